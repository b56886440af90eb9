#pragma once

/// Stand-in for a leaf on the platform: slots and a queue, signed answers, load reports, draining.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "platform_model/observations.h"
#include "state/random.h"
#include "transport/serving/http_service.h"

namespace oakpier::serving::model {

struct LeafSettings {
  std::string id;
  std::string service;
  std::string zone;
  Endpoint address;
  unsigned slots = 2;
  Duration meanServiceTime = std::chrono::milliseconds(5);
  std::size_t bodyBytes = 200;
  /// Fraction of requests whose answer is delayed by `pause`.
  double pauseProbability = 0.01;
  Duration pause = std::chrono::milliseconds(60);
  /// Time until the leaf restarts after a crash.
  Duration restartAfter = std::chrono::milliseconds(500);
  /// Restarts under the same id instead of a new one.
  bool keepsIdOnRestart = false;
};

/// A request whose path contains this crashes each leaf that runs it.
inline const char* const kCrashingPathMark = "ends-leafs";

class LeafStandin : public RequestHandler {
 public:
  LeafStandin(boost::asio::io_context& context, const LeafSettings& settings, Observations& observations,
              std::uint64_t seed);

  std::string listen();
  const LeafSettings& settings() const { return settings_; }
  /// The leaf's entry in the store, as JSON.
  std::string entry() const;
  void drain() { draining_ = true; }
  /// Stops answering and accepting connections; does not restart.
  void stopForGood();
  /// Crashes, and restarts later as a new instance. No effect while the leaf is down.
  void crashAndRestart();
  /// Stops answering but keeps its connections; restarts as a new instance after `duration`.
  void hang(Duration duration);
  /// Called when the process has terminated and when it has restarted, both with the id from before.
  using LifecycleListener = std::function<void(const std::string& previousId)>;
  void setLifecycleListeners(LifecycleListener onTerminated, LifecycleListener onRestarted);

  std::function<void()> onRequest(HttpRequest request, ResponseWriter writer) override;

 private:
  struct Work {
    Work(boost::asio::io_context& context, HttpRequest incoming, ResponseWriter responseWriter)
        : request(std::move(incoming)), writer(std::move(responseWriter)), timer(context) {}
    HttpRequest request;
    ResponseWriter writer;
    boost::asio::steady_timer timer;
    bool cancelled = false;
  };

  void startNext();
  /// Closes all connections and the listener, drops queued requests, and schedules the restart.
  void terminate(Duration restartAfter);
  void restart(const std::string& previousId);
  void finish(const std::shared_ptr<Work>& work);
  Duration drawServiceTime();

  boost::asio::io_context& context_;
  LeafSettings settings_;
  Observations& observations_;
  RandomEngine random_;
  std::unique_ptr<HttpService> service_;
  std::deque<std::shared_ptr<Work>> queue_;
  unsigned running_ = 0;
  std::uint64_t answers_ = 0;
  /// Incremented when the process terminates or hangs, so that its pending work is ignored.
  unsigned incarnation_ = 1;
  /// When the process started, in milliseconds since 1970.
  std::uint64_t processStartedAt_;
  std::string baseId_;
  boost::asio::steady_timer restartTimer_;
  LifecycleListener onTerminated_;
  LifecycleListener onRestarted_;
  bool draining_ = false;
  bool unresponsive_ = false;
  /// Terminated or hanging, and not restarted yet.
  bool unavailable_ = false;
  boost::asio::steady_timer hangTimer_;
};

}  // namespace oakpier::serving::model
