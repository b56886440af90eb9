#pragma once

/// Small stand-ins for the platform around the gateway: the metadata store, leafs, callers and the process
/// manager. Plain threads and blocking sockets, independent of the code under review. Loopback only.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;

/// Exit codes of a case.
enum ExitCode { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

inline const Clock::time_point kStart = Clock::now();

/// Seconds since the start of the case.
inline double now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void sleepFor(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }
inline void sleepUntil(double moment) { sleepFor(std::max(0.0, moment - now())); }

/// False with TROUBLE=0 in the environment: the case runs without its disruption.
inline bool withTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// The record of what was sent, answered and run; printed and written to the file named by RECORD.
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void line(const std::string& text) {
    const std::lock_guard<std::mutex> guard(mutex_);
    char moment[32];
    std::snprintf(moment, sizeof(moment), "%8.3f  ", now());
    file_ << moment << text << "\n" << std::flush;
    std::cout << moment << text << std::endl;
  }
  /// Written to the file only.
  void detail(const std::string& text) {
    const std::lock_guard<std::mutex> guard(mutex_);
    file_ << text << "\n";
  }

 private:
  Record() : file_(std::getenv("RECORD") == nullptr ? "/dev/null" : std::getenv("RECORD")) {}
  std::mutex mutex_;
  std::ofstream file_;
};
inline void say(const std::string& text) { Record::get().line(text); }

[[noreturn]] void finish(int code);

inline sockaddr_in addressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int listenAt(const std::string& ip, int port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const sockaddr_in address = addressOf(ip, port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener, 512) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

/// A port that is free at all of these addresses.
inline int freePort(const std::vector<std::string>& ips) {
  std::mt19937 random(std::random_device{}());
  for (int attempt = 0; attempt < 200; ++attempt) {
    const int port = 20000 + static_cast<int>(random() % 12000);
    const bool free = std::all_of(ips.begin(), ips.end(), [port](const std::string& ip) {
      const int listener = listenAt(ip, port);
      if (listener >= 0) {
        close(listener);
      }
      return listener >= 0;
    });
    if (free) {
      return port;
    }
  }
  say("no free port");
  finish(kCouldNotRun);
}

struct Message {
  /// Request or status line.
  std::string first;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string target() const {
    const auto begin = first.find(' ') + 1;
    return first.substr(begin, first.find(' ', begin) - begin);
  }
  int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
};

inline bool sendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// Reads HTTP/1.1 messages with a Content-Length (or none: no body).
class Reader {
 public:
  explicit Reader(int socket) : socket_(socket) {}
  /// False at the end of the connection, after an error or a timeout.
  bool read(Message& message) {
    message = Message{};
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!fill()) {
        return false;
      }
    }
    const std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    std::size_t begin = 0;
    for (std::size_t stop = head.find("\r\n"); stop != std::string::npos; stop = head.find("\r\n", begin)) {
      const std::string line = head.substr(begin, stop - begin);
      begin = stop + 2;
      if (message.first.empty()) {
        message.first = line;
        continue;
      }
      const auto colon = line.find(':');
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(line.substr(0, colon),
                                   value == std::string::npos ? "" : line.substr(value));
    }
    const std::size_t length = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
      if (!fill()) {
        message.body = buffer_;
        return false;
      }
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }

 private:
  bool fill() {
    char bytes[65536];
    const ssize_t count = recv(socket_, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  int socket_;
  std::string buffer_;
};

inline std::string replyText(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                             const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + (status < 300 ? " OK\r\n" : " Error\r\n");
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// One thread per connection. The handler returns the reply's bytes; empty: close without a reply.
class Server {
 public:
  using Handler = std::function<std::string(const Message&)>;
  void start(const std::string& ip, int port, Handler handler) {
    listener_ = listenAt(ip, port);
    if (listener_ < 0) {
      say("cannot listen at " + ip + ":" + std::to_string(port));
      finish(kCouldNotRun);
    }
    std::thread([listener = listener_, handler = std::move(handler)] {
      while (true) {
        const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
          return;
        }
        const int enabled = 1;
        setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        std::thread([connection, handler] {
          Reader reader(connection);
          Message request;
          while (reader.read(request)) {
            const std::string reply = handler(request);
            if (reply.empty() || !sendAll(connection, reply)) {
              break;
            }
          }
          close(connection);
        }).detach();
      }
    }).detach();
  }

 private:
  int listener_ = -1;
};

inline std::string base64Of(const std::string& bytes) {
  static const char* const kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    unsigned group = 0;
    for (std::size_t byte = 0; byte < 3; ++byte) {
      group = group << 8U | (at + byte < bytes.size() ? static_cast<unsigned char>(bytes[at + byte]) : 0U);
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      const bool padding = at + digit > bytes.size();
      text += padding ? '=' : kDigits[group >> (18 - 6 * digit) & 63U];
    }
  }
  return text;
}

/// The platform's metadata store, for readers: /kv-key, /kv-range and /kv-watch as PROTOCOL.md tells them.
class Store {
 public:
  enum class Mode { kUp, kBusy, kSilent };

  void start(const std::string& ip, int port) {
    server_.start(ip, port, [this](const Message& request) { return answer(request); });
  }
  std::uint64_t put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> guard(mutex_);
    json item = {{"tls_key", key},
                 {"value", base64Of(value)},
                 {"revision", ++revision_},
                 {"created", items_.count(key) ? items_[key]["created"] : json(revision_)},
                 {"lease", 0}};
    items_[key] = item;
    history_.push_back(item);
    changed_.notify_all();
    return revision_;
  }
  void remove(const std::string& key) {
    const std::lock_guard<std::mutex> guard(mutex_);
    items_.erase(key);
    history_.push_back({{"tls_key", key}, {"revision", ++revision_}, {"gone", true}});
    changed_.notify_all();
  }
  void setMode(Mode mode) {
    const std::lock_guard<std::mutex> guard(mutex_);
    mode_ = mode;
    changed_.notify_all();
  }

 private:
  static std::string parameter(const std::string& target, const std::string& name) {
    const auto query = target.find('?');
    auto begin = target.find(name + "=", query == std::string::npos ? target.size() : query);
    if (begin == std::string::npos) {
      return "";
    }
    begin += name.size() + 1;
    std::string value;
    for (std::size_t at = begin; at < target.size() && target[at] != '&'; ++at) {
      if (target[at] == '%' && at + 2 < target.size()) {
        value += static_cast<char>(std::strtol(target.substr(at + 1, 2).c_str(), nullptr, 16));
        at += 2;
      } else {
        value += target[at];
      }
    }
    return value;
  }
  static std::string reply(const json& body) {
    return replyText(200, {{"Content-Type", "application/json"}}, body.dump());
  }

  std::string answer(const Message& request) {
    std::unique_lock<std::mutex> guard(mutex_);
    const auto unavailable = [&]() -> std::string {
      if (mode_ == Mode::kBusy) {
        return replyText(503, {}, "");
      }
      // Silent: a connection that loses an answer carries nothing further.
      changed_.wait(guard, [&] { return mode_ != Mode::kSilent; });
      return "";
    };
    if (mode_ != Mode::kUp) {
      return unavailable();
    }
    const std::string target = request.target();
    if (target.rfind("/kv-key", 0) == 0) {
      const auto found = items_.find(parameter(target, "tls_key"));
      if (found == items_.end()) {
        return replyText(404, {}, "{}");
      }
      json body = found->second;
      body["at"] = revision_;
      return reply(body);
    }
    const std::string prefix = parameter(target, "path_prefix");
    if (target.rfind("/kv-range", 0) == 0) {
      json body = {{"items", json::array()}, {"more", false}, {"at", revision_}};
      for (auto item = items_.upper_bound(parameter(target, "after")); item != items_.end(); ++item) {
        if (item->first.rfind(prefix, 0) != 0) {
          continue;
        }
        if (body["items"].size() >= 500) {
          body["more"] = true;
          break;
        }
        body["items"].push_back(item->second);
      }
      return reply(body);
    }
    const std::uint64_t after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
    const int wait = std::min(30000, std::atoi(parameter(target, "wait_ms").c_str()));
    const auto eventsAfter = [&] {
      json events = json::array();
      for (const json& event : history_) {
        if (event["revision"].get<std::uint64_t>() > after &&
            event["tls_key"].get<std::string>().rfind(prefix, 0) == 0) {
          events.push_back(event);
        }
      }
      return events;
    };
    changed_.wait_for(guard, std::chrono::milliseconds(wait),
                      [&] { return mode_ != Mode::kUp || !eventsAfter().empty(); });
    if (mode_ != Mode::kUp) {
      return unavailable();
    }
    return reply({{"events", eventsAfter()}, {"at", revision_}});
  }

  Server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, json> items_;
  std::vector<json> history_;
  std::uint64_t revision_ = 1;
  Mode mode_ = Mode::kUp;
};

/// A request that a leaf has begun to work on.
struct Run {
  double at = 0;
  std::string id;
  std::string service;
  std::string leaf;
  std::string tenant;
  /// The leaf works longer than usual.
  bool slow = false;
};

inline std::mutex runsMutex;
inline std::vector<Run> runs;

struct LeafOptions {
  double workSeconds = 0.005;
  /// Requests that it works on at once, and that may wait besides; it turns further ones away.
  int slots = 8;
  int queue = 12;
  /// Answer body.
  std::string body = "answer\n";
};

/// A leaf that runs each request which names it, and turns away any other with 421.
class Leaf {
 public:
  void start(const std::string& leafId, const std::string& serviceName, const std::string& leafZone,
             const std::string& ip, int port, LeafOptions options) {
    id = leafId;
    service = serviceName;
    zone = leafZone;
    address = ip + ":" + std::to_string(port);
    options_ = std::move(options);
    server_.start(ip, port, [this](const Message& request) { return answer(request); });
  }
  std::string entry(const std::string& state = "ready") const {
    return json{{"service", service},         {"address", address}, {"zone", zone},        {"version", "1"},
                {"capacity", options_.slots}, {"state", state},     {"warmup_left_ms", 0}, {"sequence", 1}}
        .dump();
  }
  /// Works this many times as long from now on.
  void setSlowness(double factor) { slowness_ = factor; }
  std::string id;
  std::string service;
  std::string zone;
  std::string address;

 private:
  std::string answer(const Message& request) {
    const std::string requestId = request.header("X-Request-Id");
    if (request.header("X-Expect-Instance") != id) {
      return replyText(421, {{"X-Request-Id", requestId}, {"X-Not-Executed", "1"}}, "");
    }
    {
      std::unique_lock<std::mutex> guard(slotsMutex_);
      if (running_ + waiting_ >= options_.slots + options_.queue) {
        return replyText(503, {{"X-Request-Id", requestId}, {"X-Not-Executed", "1"}}, "");
      }
      ++waiting_;
      slotFree_.wait(guard, [this] { return running_ < options_.slots; });
      --waiting_;
      ++running_;
    }
    {
      const std::lock_guard<std::mutex> guard(runsMutex);
      runs.push_back(Run{now(), requestId, service, id, request.header("X-Tenant-Id"), slowness_ != 1});
    }
    sleepFor(options_.workSeconds * slowness_);
    {
      const std::lock_guard<std::mutex> guard(slotsMutex_);
      --running_;
    }
    slotFree_.notify_one();
    const std::string stamp = id + "." + std::to_string(++answers_);
    return replyText(200, {{"X-Request-Id", requestId}, {"X-Response-Stamp", stamp}}, options_.body);
  }
  Server server_;
  LeafOptions options_;
  std::atomic<unsigned> answers_{0};
  std::atomic<double> slowness_{1};
  std::mutex slotsMutex_;
  std::condition_variable slotFree_;
  int running_ = 0;
  int waiting_ = 0;
};

/// What a caller sees of one attempt. Status 0: the connection ended or nothing came in time.
struct Answer {
  int status = 0;
  double sentAt = 0;
  double endedAt = 0;
  std::string requestId;
  Message message;
};

inline std::string newRequestId() {
  static std::atomic<unsigned> count{0};
  static const unsigned seed = std::random_device{}();
  char text[32];
  std::snprintf(text, sizeof(text), "%08x%08x", seed, ++count);
  return text;
}

inline int connectTo(const std::string& ip, int port, double timeout) {
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{};
  limit.tv_sec = static_cast<time_t>(timeout);
  limit.tv_usec = static_cast<suseconds_t>((timeout - static_cast<double>(limit.tv_sec)) * 1e6);
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = addressOf(ip, port);
  if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(connection);
    return -1;
  }
  return connection;
}

/// One attempt of a caller on a new connection.
inline Answer request(const std::string& ip, int port, const std::string& method, const std::string& target,
                      const std::vector<std::pair<std::string, std::string>>& headers,
                      const std::string& body, double deadline) {
  Answer answer;
  answer.requestId = newRequestId();
  answer.sentAt = now();
  const int connection = connectTo(ip, port, deadline);
  if (connection >= 0) {
    std::string bytes = method + " " + target + " HTTP/1.1\r\nX-Request-Id: " + answer.requestId +
                        "\r\nX-Deadline-Ms: " + std::to_string(static_cast<int>(deadline * 1000)) + "\r\n";
    for (const auto& [name, value] : headers) {
      bytes += name + ": " + value + "\r\n";
    }
    if (!body.empty()) {
      bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    Reader reader(connection);
    if (sendAll(connection, bytes + "\r\n" + body) && reader.read(answer.message)) {
      answer.status = answer.message.status();
    }
    close(connection);
  }
  answer.endedAt = now();
  return answer;
}

/// A gateway process, started as the deploy file tells, with a settings file as DEPLOY.md shows it.
class Gateway {
 public:
  std::string name;
  std::string zone;
  std::string ip;
  int httpPort = 0;
  int readinessPort = 0;
  json settings;
  pid_t process = -1;
  /// Ended without an order of the case.
  bool endedByItself = false;

  void writeSettings(const std::string& folder) {
    settingsFile_ = folder + "/" + name + ".json";
    std::ofstream(settingsFile_) << settings.dump(1);
    logFile_ = folder + "/" + name + ".log";
  }
  const std::string& logFile() const { return logFile_; }
  void start() {
    const std::string program = "target/bin/oakpier-gateway";
    process = fork();
    if (process == 0) {
      // Does not outlive the case, whatever ends that.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      setenv("OAKPIER_BOOT", settingsFile_.c_str(), 1);
      const int log = open(logFile_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  void send(int signal) const {
    if (process > 0) {
      kill(process, signal);
    }
  }
  /// Returns true if the process has ended.
  bool ended() {
    if (process <= 0) {
      return true;
    }
    int status = 0;
    if (waitpid(process, &status, WNOHANG) == process) {
      exitStatus = status;
      process = -1;
      return true;
    }
    return false;
  }
  /// Waits up to `seconds`, then kills the process, as the platform does after the grace period.
  void awaitEnd(double seconds) {
    const double limit = now() + seconds;
    while (!ended()) {
      if (now() > limit) {
        send(SIGKILL);
      }
      sleepFor(0.02);
    }
  }
  bool ready() const {
    const int connection = connectTo(ip, readinessPort, 0.5);
    if (connection < 0) {
      return false;
    }
    Message reply;
    Reader reader(connection);
    const bool answered =
        sendAll(connection, "GET /ready HTTP/1.1\r\nHost: " + ip + "\r\n\r\n") && reader.read(reply);
    close(connection);
    return answered && reply.status() == 200;
  }
  /// Resident memory in megabytes, as the kernel tells it.
  double residentMegabytes() const {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("VmRSS:", 0) == 0) {
        return std::strtod(line.c_str() + 6, nullptr) / 1024;
      }
    }
    return 0;
  }
  int exitStatus = 0;

 private:
  std::string settingsFile_;
  std::string logFile_;
};

/// The gateways of a small deployment, which are ended when the case ends.
struct Fleet {
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::string folder;
  int peerPort = 0;

  /// `zones`: the zone of each gateway. `bounds` and `limits` are merged into those of a small deployment.
  void create(const std::vector<std::string>& zones, const std::string& storeAddress, const json& bounds,
              const json& limits) {
    char path[] = "/tmp/oakpier-review-XXXXXX";
    folder = mkdtemp(path);
    std::vector<std::string> ips;
    std::random_device random;
    const std::string net =
        "127." + std::to_string(10 + random() % 200) + "." + std::to_string(random() % 250) + ".";
    for (std::size_t number = 0; number < zones.size(); ++number) {
      ips.push_back(net + std::to_string(number + 1));
    }
    peerPort = freePort(ips);
    const int httpPort = freePort(ips);
    const int readinessPort = freePort(ips);
    const int adminPort = freePort(ips);
    json zoneTable;
    json seeds = json::array();
    for (std::size_t number = 0; number < zones.size(); ++number) {
      zoneTable[zones[number]] = "region";
      if (seeds.size() < 3) {
        seeds.push_back(ips[number] + ":" + std::to_string(adminPort));
      }
    }
    for (std::size_t number = 0; number < zones.size(); ++number) {
      auto gateway = std::make_unique<Gateway>();
      gateway->name = "edge-" + std::to_string(number + 1);
      gateway->zone = zones[number];
      gateway->ip = ips[number];
      gateway->httpPort = httpPort;
      gateway->readinessPort = readinessPort;
      const auto at = [&](int port) { return gateway->ip + ":" + std::to_string(port); };
      json& settings = gateway->settings;
      settings = {{"node_name", gateway->name},
                  {"role", "gateway"},
                  {"machine_class", "edge"},
                  {"serves", {"edge", "control_plane"}},
                  {"ip", gateway->ip},
                  {"zone", gateway->zone},
                  {"region", "region"},
                  {"zones", zoneTable},
                  {"bind_addresses",
                   {{"http", at(httpPort)}, {"readiness", at(readinessPort)}, {"admin", at(adminPort)}}},
                  {"internal_port_range", {peerPort, peerPort}},
                  {"seeds", seeds},
                  {"bootstrap", true},
                  {"in_tolerance", false},
                  {"data_dir", nullptr},
                  {"discovery", "platform"},
                  {"entrypoint", "virtual_ip"},
                  {"heartbeat_ms", 1200},
                  {"platform",
                   {{"address", storeAddress},
                    {"form", "read"},
                    {"writes_per_s", 1200},
                    {"reads_per_s", 6000},
                    {"history_s", 20},
                    {"value_bytes", 1048576},
                    {"min_ttl_ms", 1000}}}};
      settings["limits"] = {{"cpu_share", 0.5},       {"cpu_cores", 1},        {"memory_mb", 512},
                            {"max_open_files", 4100}, {"network_mbps", 200.0}, {"disk_mb", 0}};
      if (limits.is_object()) {
        settings["limits"].update(limits);
      }
      settings["bounds"] = {{"seed_lag_s", 3},       {"addr_reuse_s", 2},    {"contact_ms", 5000},
                            {"ack_ms", 8000},        {"sync_s", 6},          {"drain_ms", 5000},
                            {"grace_s", 6},          {"loss_slack_ms", 200}, {"config_apply_ms", 5000},
                            {"downgrade_ms", 250},   {"skew_max_ms", 15000}, {"retry_budget_ratio", 0.2},
                            {"budget_window_s", 10}, {"budget_slack", 188},  {"recovery_s", 15}};
      if (bounds.is_object()) {
        settings["bounds"].update(bounds);
      }
      gateway->writeSettings(folder);
      gateways.push_back(std::move(gateway));
    }
  }
  /// Starts all gateways and waits until they are ready.
  void start() {
    for (auto& gateway : gateways) {
      gateway->start();
    }
    for (auto& gateway : gateways) {
      awaitReady(*gateway, 20);
    }
  }
  static void awaitReady(Gateway& gateway, double seconds) {
    const double limit = now() + seconds;
    while (!gateway.ready()) {
      if (now() > limit || gateway.ended()) {
        say(gateway.name + " did not become ready");
        finish(kCouldNotRun);
      }
      sleepFor(0.05);
    }
  }
  void end() {
    for (auto& gateway : gateways) {
      gateway->send(SIGCONT);
      gateway->send(SIGTERM);
    }
    for (auto& gateway : gateways) {
      gateway->awaitEnd(7);
    }
    if (std::getenv("KEEP") == nullptr) {
      const std::string command = "rm -rf '" + folder + "'";
      [[maybe_unused]] const int ignored = std::system(command.c_str());
    }
  }
};

inline Fleet fleet;

/// Ends the case with `kCouldNotRun` if it has not ended by itself by then.
inline void limitTo(double seconds) {
  std::thread([seconds] {
    sleepUntil(seconds);
    say("out of time");
    finish(kCouldNotRun);
  }).detach();
}

/// Ends all processes of the case, then this one.
inline void finish(int code) {
  fleet.end();
  say(code == kHeld ? "the rule held" : code == kBroken ? "THE RULE WAS BROKEN" : "the case could not run");
  std::_Exit(code);
}

}  // namespace review
