#include "load/load_runner.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <random>
#include <thread>
#include <unordered_map>

#include "transport/http_channel.h"

namespace oakpier {

namespace {

/// Beyond its deadline a query has this long to be answered before the caller gives up.
constexpr Duration kGrace = std::chrono::seconds(3);
constexpr std::uint32_t kLongestDeadlineMs = 10'000;
constexpr const char* kConnectFailure = "while trying to connect";

/// What callers learn of daemons and share: one that stops or is away is left alone for a while.
class DaemonAvoidance {
 public:
  explicit DaemonAvoidance(std::size_t daemons) : avoidUntilUs_(daemons) {}
  bool avoided(std::size_t daemon) const { return steadyNowUs() < avoidUntilUs_[daemon]; }
  void avoid(std::size_t daemon) { avoidUntilUs_[daemon] = steadyNowUs() + kAvoidUs; }

 private:
  static constexpr std::uint64_t kAvoidUs = 2'000'000;
  std::vector<std::atomic<std::uint64_t>> avoidUntilUs_;
};

/// One caller thread with a kept-alive connection to each daemon it used.
class CallerThread {
 public:
  CallerThread(const LoadOptions& options, DaemonAvoidance& avoidance, std::uint64_t seed)
      : options_(options), avoidance_(avoidance), random_(seed) {}

  bool drawResend(const QueryRecord& record) {
    return record.request().not_repeatable() && std::bernoulli_distribution(options_.resendShare)(random_);
  }

  QueryRecord send(const PlannedQuery& planned, std::uint64_t startUs) {
    QueryRecord record;
    *record.mutable_request() = planned.request;
    record.set_intended_us(startUs + static_cast<std::uint64_t>(planned.at.count()));
    for (int attempt = 0; attempt < options_.connectAttempts; ++attempt) {
      sendOnce(record);
      const bool stopping = record.answer().error().code() == ERROR_STOPPING;
      if (record.delivery() != DELIVERY_NOT_CONNECTED && !stopping) {
        break;
      }
    }
    return record;
  }

 private:
  void sendOnce(QueryRecord& record) {
    const std::size_t chosen = chooseDaemon();
    const Endpoint daemon = options_.callers[chosen];
    auto& channel = channels_[daemon];
    if (channel == nullptr) {
      channel = std::make_unique<HttpChannel>(daemon, fromMilliseconds(kLongestDeadlineMs) + kGrace);
    }
    if (record.request().not_repeatable()) {
      channel->useFreshConnection();
    }
    Caller_Stub caller(channel.get());
    CallController call;
    record.set_daemon(daemon.text());
    record.set_sent_us(steadyNowUs());
    caller.Query(&call, &record.request(), record.mutable_answer(), nullptr);
    record.set_ended_us(steadyNowUs());
    record.set_delivery(DELIVERY_ANSWERED);
    if (call.Failed()) {
      const bool notConnected = call.ErrorText().rfind(kConnectFailure, 0) == 0;
      record.set_delivery(notConnected ? DELIVERY_NOT_CONNECTED : DELIVERY_BROKEN);
      record.set_problem(call.ErrorText());
      record.clear_answer();
    }
    if (record.delivery() == DELIVERY_NOT_CONNECTED || record.answer().error().code() == ERROR_STOPPING) {
      avoidance_.avoid(chosen);
    }
  }

  std::size_t chooseDaemon() {
    constexpr int kDraws = 10;
    std::size_t chosen = 0;
    for (int attempt = 0; attempt < kDraws; ++attempt) {
      chosen = std::uniform_int_distribution<std::size_t>(0, options_.callers.size() - 1)(random_);
      if (!avoidance_.avoided(chosen)) {
        break;
      }
    }
    return chosen;
  }

  const LoadOptions& options_;
  DaemonAvoidance& avoidance_;
  std::mt19937_64 random_;
  std::unordered_map<Endpoint, std::unique_ptr<HttpChannel>> channels_;
};

}  // namespace

std::uint64_t steadyNowUs() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<Duration>(now).count());
}

std::vector<QueryRecord> runLoad(const std::vector<PlannedQuery>& plan, const LoadOptions& options) {
  std::vector<QueryRecord> records(plan.size());
  std::atomic<std::size_t> next{0};
  DaemonAvoidance avoidance(options.callers.size());
  std::mutex resendMutex;
  std::vector<QueryRecord> resends;
  const std::uint64_t startUs = steadyNowUs();
  std::vector<std::thread> threads;
  for (std::size_t number = 0; number < std::min(options.connections, plan.size()); ++number) {
    threads.emplace_back([&, number] {
      CallerThread caller(options, avoidance, options.seed * 1000 + number);
      for (std::size_t position = next++; position < plan.size(); position = next++) {
        const auto due = startUs + static_cast<std::uint64_t>(plan[position].at.count());
        const auto now = steadyNowUs();
        if (due > now) {
          std::this_thread::sleep_for(Duration(due - now));
        }
        records[position] = caller.send(plan[position], startUs);
        if (caller.drawResend(records[position])) {
          const QueryRecord again = caller.send(plan[position], startUs);
          const std::lock_guard<std::mutex> guard(resendMutex);
          resends.push_back(again);
        }
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  records.insert(records.end(), resends.begin(), resends.end());
  return records;
}

}  // namespace oakpier
