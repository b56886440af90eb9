#pragma once

/// Stand-ins for the platform's store, leafs and clients, and control of gateway processes, for the review's
/// scripts. They follow the users' page PROTOCOL. Each connection has a thread of its own.

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;

/// Writes what was sent, answered and run, one line each with the milliseconds since the start. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path), start_(Clock::now()) {}
  void line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_;
};

struct Message {
  /// Request line or status line.
  std::string first;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string header(const std::string& name) const;
  /// Second word of the first line: the target of a request, the status of a reply.
  std::string second() const;
};

/// A TCP connection that reads and writes HTTP messages.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Null if the connection is refused.
  static std::unique_ptr<Connection> open(const std::string& ip, unsigned port);
  /// Returns nothing at the end of the connection, or when `timeout` has passed without a whole message.
  std::optional<Message> read(std::chrono::milliseconds timeout);
  bool write(const std::string& bytes);
  void close();

 private:
  int descriptor_;
  std::string buffer_;
};

/// Accepts connections and runs `serve` on a thread for each.
class Server {
 public:
  using Serve = std::function<void(Connection&)>;
  /// `port` 0: any free port.
  Server(const std::string& ip, unsigned port, Serve serve);
  ~Server();
  unsigned port() const { return port_; }

 private:
  int listener_;
  unsigned port_ = 0;
  Serve serve_;
  std::atomic<bool> stopping_{false};
  std::thread accepting_;
};

/// The platform's store: `GET /kv-range` and `GET /kv-watch` over all keys. It can listen on several ports,
/// one for each caller that is to be told apart.
class Store {
 public:
  explicit Store(Record& record, std::size_t ports = 1);
  unsigned port(std::size_t number = 0) const { return servers_[number]->port(); }
  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);
  /// While the store is down it answers all calls with 503.
  void setDown(bool down);
  /// The connections that are open at this port go silent for good; new ones work.
  void silenceConnections(std::size_t port);
  /// Waits for the next answer to a call at this port.
  void awaitAnswer(std::size_t port);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    bool gone = false;
  };
  void serve(std::size_t port, Connection& connection);
  std::string range();
  std::string watch(std::uint64_t after, std::chrono::milliseconds wait);

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::uint64_t revision_ = 1;
  bool down_ = false;
  /// By port: connections opened before this moment are silent.
  std::vector<Clock::time_point> silentBefore_;
  /// By port.
  std::vector<std::size_t> answers_;
  std::vector<std::unique_ptr<Server>> servers_;
};

/// A leaf of one service: runs a request for its work time and answers with a signature.
class Leaf {
 public:
  Leaf(Store& store, Record& record, const std::string& id, const std::string& service,
       const std::string& zone, unsigned slots, std::chrono::milliseconds work);
  /// How many times as long as usual its work takes.
  void setSlowness(double factor) { slowness_ = factor; }
  /// How often it began to work on the request with this id.
  unsigned runsOf(const std::string& requestId);
  /// How many requests it began to work on after `moment`, and when it last began.
  unsigned runsAfter(Clock::time_point moment);
  Clock::time_point lastRunAt();
  /// The ids of the requests that it ran, each with the moment at which it began.
  std::vector<std::pair<std::string, Clock::time_point>> runs();
  /// The bodies of the requests that it ran and that had one, by request id.
  std::map<std::string, std::string> bodies();
  /// Deletes its entry in the store; it serves on.
  void removeEntry();

 private:
  void serve(Connection& connection);

  Store& store_;
  Record& record_;
  std::string id_;
  unsigned slots_;
  std::chrono::milliseconds work_;
  std::atomic<double> slowness_{1.0};
  /// Requests at work, at most `slots_`, and those that wait for a slot.
  unsigned running_ = 0;
  unsigned waiting_ = 0;
  std::condition_variable slotFree_;
  std::mutex mutex_;
  std::vector<std::pair<std::string, Clock::time_point>> runs_;
  std::map<std::string, std::string> bodies_;
  std::atomic<unsigned> answers_{0};
  std::unique_ptr<Server> server_;
};

/// A gateway process, started with the deploy file's command and a settings file.
class Gateway {
 public:
  struct Settings {
    std::string program;
    std::string folder;
    std::string name;
    std::string zone;
    std::string ip;
    unsigned callerPort = 0;
    unsigned readinessPort = 0;
    unsigned peerPort = 0;
    unsigned storePort = 0;
    std::vector<std::string> seedIps;
    /// Further bounds, as JSON fields with a comma before each.
    std::string moreBounds = {};
  };
  explicit Gateway(const Settings& settings);
  ~Gateway();
  void start();
  /// Waits until it says that it is ready.
  bool awaitReady(std::chrono::milliseconds timeout);
  void signal(int number) const;
  bool running();
  /// Ends the process: SIGTERM, and SIGKILL after the grace period.
  void stop();
  const Settings& settings() const { return settings_; }

 private:
  Settings settings_;
  pid_t process_ = -1;
};

/// Ports that were free on all loopback addresses just now.
std::vector<unsigned> freePorts(std::size_t count);
std::string base64(const std::string& bytes);
std::string text(double number);

}  // namespace standin
