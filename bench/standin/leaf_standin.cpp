#include "standin/leaf_standin.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <thread>

#include "transport/http_server.h"
#include "transport/steady_clock.h"

namespace oakpier {

namespace {

constexpr std::uint32_t kQueuePerSlot = 8;
/// How often a waiting request looks whether its caller is still there.
constexpr Duration kCallerCheckPeriod = std::chrono::milliseconds(2);
constexpr Duration kConnectionCountPeriod = std::chrono::milliseconds(500);
constexpr int kMostLogged = 2'000'000;
constexpr int kColdFactor = 3;

std::uint64_t systemNowUs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<Duration>(now).count());
}

/// Connections to `port` that this process holds open.
std::uint32_t openConnections(std::uint16_t port) {
  constexpr int kMostDescriptors = 1024;
  std::uint32_t count = 0;
  for (int descriptor = 0; descriptor < kMostDescriptors; ++descriptor) {
    sockaddr_in local{};
    sockaddr_in remote{};
    socklen_t localSize = sizeof(local);
    socklen_t remoteSize = sizeof(remote);
    const bool connected = getpeername(descriptor, reinterpret_cast<sockaddr*>(&remote), &remoteSize) == 0 &&
                           getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &localSize) == 0;
    count += connected && ntohs(local.sin_port) == port ? 1 : 0;
  }
  return count;
}

}  // namespace

LeafModel::LeafModel(const LeafStandInOptions& options)
    : options_(options), random_(options.seed), faults_(options.faults) {
  if (!options.logFile.empty()) {
    constexpr int kLogMode = 0644;
    logDescriptor_ = open(options.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  }
}

LeafAnswer LeafModel::execute(const LeafRequest& request) {
  const Moment deadline = steadyNow() + fromMilliseconds(request.remaining_ms());
  LeafAnswer answer;
  answer.set_request_id(request.request_id());
  answer.set_shard(request.shard());
  answer.set_snapshot(request.snapshot());
  countConnections();
  answer.set_status(refusal(request));
  if (answer.status() == LEAF_STATUS_UNSPECIFIED) {
    const SlotWait wait = waitForSlot(deadline);
    answer.set_status(wait == SlotWait::kTaken ? LEAF_OK : LEAF_EXPIRED);
  }
  if (answer.status() == LEAF_OK) {
    const std::uint64_t startedUs = systemNowUs();
    noteStart(request, startedUs);
    const bool completed = work(drawServiceTime());
    record(request, startedUs, !completed);
    fillRows(request, answer);
  }
  const std::lock_guard<std::mutex> guard(mutex_);
  log_.set_refused(log_.refused() + (answer.status() == LEAF_OK ? 0 : 1));
  *answer.mutable_state() = stateLocked();
  return answer;
}

/// LEAF_STATUS_UNSPECIFIED when the request may run.
LeafStatus LeafModel::refusal(const LeafRequest& request) {
  const std::lock_guard<std::mutex> guard(mutex_);
  log_.set_last_request_us(systemNowUs());
  if (faults_.draining()) {
    return LEAF_DRAINING;
  }
  if (request.snapshot() < faults_.oldest_snapshot() || request.snapshot() > faults_.newest_snapshot()) {
    return LEAF_SNAPSHOT_NOT_HELD;
  }
  const bool tooMany = connections_ > options_.maxConnections || waiting_ >= kQueuePerSlot * options_.slots;
  const bool shed = std::uniform_int_distribution<std::uint32_t>(0, 99)(random_) < faults_.shed_percent();
  return tooMany || shed ? LEAF_SHED : LEAF_STATUS_UNSPECIFIED;
}

LeafModel::SlotWait LeafModel::waitForSlot(Moment deadline) {
  std::unique_lock<std::mutex> lock(mutex_);
  ++waiting_;
  SlotWait result = SlotWait::kTaken;
  while (inFlight_ >= options_.slots) {
    slotFreed_.wait_for(lock, kCallerCheckPeriod);
    if (steadyNow() >= deadline) {
      result = SlotWait::kExpired;
      break;
    }
    if (currentCallerGone()) {
      result = SlotWait::kGone;
      break;
    }
  }
  --waiting_;
  inFlight_ += result == SlotWait::kTaken ? 1 : 0;
  return result;
}

bool LeafModel::work(Duration time) const {
  const Moment end = steadyNow() + time;
  while (steadyNow() < end) {
    std::this_thread::sleep_for(std::min<Duration>(kCallerCheckPeriod, end - steadyNow()));
    if (currentCallerGone()) {
      return false;
    }
  }
  return true;
}

Duration LeafModel::drawServiceTime() {
  const std::lock_guard<std::mutex> guard(mutex_);
  const bool straggles =
      std::uniform_int_distribution<std::uint32_t>(0, 99)(random_) < faults_.straggler_percent();
  const double mean = straggles ? faults_.straggler_time_us() : faults_.service_time_us();
  const double varied = mean * std::uniform_real_distribution<double>(0.75, 1.25)(random_);
  return Duration(static_cast<std::int64_t>(varied) * (faults_.cold() ? kColdFactor : 1));
}

bool LeafModel::draw(std::uint32_t percent) {
  const std::lock_guard<std::mutex> guard(mutex_);
  return std::uniform_int_distribution<std::uint32_t>(0, 99)(random_) < percent;
}

/// Each row tells which request, shard and snapshot it belongs to, for the checkers.
void LeafModel::fillRows(const LeafRequest& request, LeafAnswer& answer) {
  const std::uint32_t held = faults().rows_per_shard();
  const std::uint32_t count = std::min(held, request.max_rows());
  for (std::uint32_t number = 0; number < count; ++number) {
    Row& row = *answer.add_rows();
    row.set_key(request.shard() + "/" + std::to_string(number));
    row.set_value(request.request_id() + " " + std::to_string(request.snapshot()));
  }
  answer.set_truncated(count < held);
  std::string answeredId = request.request_id();
  {
    const std::lock_guard<std::mutex> guard(mutex_);
    answeredId.swap(lastRequestId_);
  }
  if (draw(faults().crossed_percent()) && !answeredId.empty()) {
    answer.set_request_id(answeredId);
  }
  if (draw(faults().drop_answer_percent())) {
    shutdown(currentCallerSocket(), SHUT_RDWR);
  }
}

/// One whole line a write, so that concurrent executions do not mix.
void LeafModel::noteStart(const LeafRequest& request, std::uint64_t startedUs) {
  if (logDescriptor_ < 0) {
    return;
  }
  const std::string line = request.request_id() + " " + request.shard() + " " +
                           std::to_string(request.snapshot()) + " " + std::to_string(startedUs) + " " +
                           (request.not_repeatable() ? "1" : "0") + "\n";
  [[maybe_unused]] const auto written = write(logDescriptor_, line.data(), line.size());
}

void LeafModel::record(const LeafRequest& request, std::uint64_t startedUs, bool cancelled) {
  const std::lock_guard<std::mutex> guard(mutex_);
  --inFlight_;
  slotFreed_.notify_one();
  log_.set_total(log_.total() + 1);
  log_.set_cancelled(log_.cancelled() + (cancelled ? 1 : 0));
  if (log_.executions_size() >= kMostLogged) {
    return;
  }
  Execution& execution = *log_.add_executions();
  execution.set_request_id(request.request_id());
  execution.set_service(request.service());
  execution.set_shard(request.shard());
  execution.set_snapshot(request.snapshot());
  execution.set_started_us(startedUs);
  execution.set_ended_us(systemNowUs());
  execution.set_cancelled(cancelled);
  execution.set_not_repeatable(request.not_repeatable());
}

void LeafModel::countConnections() {
  {
    const std::lock_guard<std::mutex> guard(mutex_);
    if (steadyNow() < nextConnectionCount_) {
      return;
    }
    nextConnectionCount_ = steadyNow() + kConnectionCountPeriod;
  }
  const std::uint32_t counted = openConnections(options_.address.port());
  const std::lock_guard<std::mutex> guard(mutex_);
  connections_ = counted;
  log_.set_peak_connections(std::max(log_.peak_connections(), counted));
}

LeafState LeafModel::stateLocked() const {
  LeafState state;
  state.set_draining(faults_.draining());
  state.set_cold(faults_.cold());
  state.set_slots(options_.slots);
  state.set_in_flight(inFlight_ + waiting_);
  state.set_oldest_snapshot(faults_.oldest_snapshot());
  state.set_newest_snapshot(faults_.newest_snapshot());
  return state;
}

LeafState LeafModel::state() {
  const std::lock_guard<std::mutex> guard(mutex_);
  return stateLocked();
}

void LeafModel::setFaults(const LeafFaults& faults) {
  const std::lock_guard<std::mutex> guard(mutex_);
  faults_ = faults;
}

LeafFaults LeafModel::faults() {
  const std::lock_guard<std::mutex> guard(mutex_);
  return faults_;
}

ExecutionLog LeafModel::executionLog(bool totalsOnly) {
  const std::lock_guard<std::mutex> guard(mutex_);
  if (!totalsOnly) {
    return log_;
  }
  ExecutionLog totals;
  totals.set_refused(log_.refused());
  totals.set_total(log_.total());
  totals.set_cancelled(log_.cancelled());
  totals.set_peak_connections(log_.peak_connections());
  totals.set_last_request_us(log_.last_request_us());
  return totals;
}

void LeafBackendStandIn::Execute(google::protobuf::RpcController* /*controller*/, const LeafRequest* request,
                                 LeafAnswer* answer, google::protobuf::Closure* done) {
  *answer = model_.execute(*request);
  done->Run();
}

void LeafBackendStandIn::Status(google::protobuf::RpcController* /*controller*/,
                                const LeafStatusRequest* /*request*/, LeafState* state,
                                google::protobuf::Closure* done) {
  *state = model_.state();
  done->Run();
}

void LeafStandInControl::SetFaults(google::protobuf::RpcController* /*controller*/, const LeafFaults* faults,
                                   SetLeafFaultsReply* /*reply*/, google::protobuf::Closure* done) {
  model_.setFaults(*faults);
  done->Run();
}

void LeafStandInControl::GetFaults(google::protobuf::RpcController* /*controller*/,
                                   const ExecutionLogRequest* /*request*/, LeafFaults* reply,
                                   google::protobuf::Closure* done) {
  *reply = model_.faults();
  done->Run();
}

void LeafStandInControl::GetLog(google::protobuf::RpcController* /*controller*/,
                                const ExecutionLogRequest* request, ExecutionLog* reply,
                                google::protobuf::Closure* done) {
  *reply = model_.executionLog(request->totals_only());
  done->Run();
}

}  // namespace oakpier
