#pragma once

/// A real gateway process between a stand-in of the store and scriptable leafs, for tests of what ends a
/// process or keeps it from starting.

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "platform_model/store_standin.h"
#include "serving/support/loopback.h"
#include "state/endpoint.h"
#include "state/serving/http_message.h"

namespace oakpier::serving {

/// The process of a gateway. It is killed and waited for at the end of its life here.
class GatewayProcess {
 public:
  /// Called in the child process before the program starts; only async-signal-safe functions may be used.
  using Preparation = std::function<void()>;

  explicit GatewayProcess(const Endpoint& store);
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;
  ~GatewayProcess();

  const Endpoint& callerAddress() const { return callerAddress_; }
  const Endpoint& readinessAddress() const { return readinessAddress_; }
  const Endpoint& peerAddress() const { return peerAddress_; }
  const std::string& settingsFile() const { return settingsFile_; }
  /// The complete settings, to be changed before they are written.
  nlohmann::json& settings() { return settings_; }
  void writeSettings() const;
  /// Starts the program; its output goes to a file unless `prepare` redirects it.
  void start(const Preparation& prepare = [] {});
  void signal(int number) const;
  /// Status of `waitpid` if the process has ended.
  std::optional<int> ended();
  /// All output up to now.
  std::string output() const;
  pid_t id() const { return id_; }
  /// A memory figure of the kernel such as VmHWM, in MB.
  std::size_t memoryMegabytes(const std::string& name) const;

 private:
  std::string folder_;
  Endpoint callerAddress_;
  Endpoint readinessAddress_;
  Endpoint peerAddress_;
  std::string settingsFile_;
  std::string outputFile_;
  nlohmann::json settings_;
  pid_t id_ = -1;
  std::optional<int> status_;
};

/// A gateway, the store and one leaf of the service "single", on one event loop.
struct GatewayWorld {
  static constexpr const char* kService = "single";

  GatewayWorld();

  /// The configuration that `putConfiguration` writes, to be changed before it is written.
  static nlohmann::json configuration(std::uint64_t version);
  /// Writes the configuration, as of this version, to the store.
  void putConfiguration(std::uint64_t version);
  /// Adds a leaf of the service at this address to the store.
  void addLeaf(const std::string& id, const Endpoint& address);
  /// Serves until the gateway answers readiness checks with 200; fails the test if it ends instead.
  void awaitReady();
  /// Serves until the gateway has ended, and returns the status of `waitpid`.
  int awaitEnd();
  /// Serves for this long.
  void runFor(Duration duration);
  /// The reply to a GET request to the gateway, or nothing if the connection ended without one.
  std::optional<HttpReply> get(const Endpoint& address, const std::string& target,
                               const HeaderList& headers = {});
  /// What a leaf does once it has answered.
  enum class AfterAnswer { kKeepOpen, kClose };
  /// Sends a request with the id "id" and a deadline of half a second, writes `answer` for each request that
  /// arrives at the leaf, and returns the caller's reply.
  std::optional<HttpReply> askLeaf(const std::string& target, const std::string& answer,
                                   AfterAnswer after = AfterAnswer::kKeepOpen);

  boost::asio::io_context context;
  model::StoreStandin store;
  Endpoint storeAddress;
  RawServer leaf;
  GatewayProcess gateway;

 private:
  static Endpoint listen(model::StoreStandin& store);
  std::size_t requests_ = 0;
};

}  // namespace oakpier::serving
