#include "programs/daemon/platform_poller.h"

#include "oakpier/platform.pb.h"
#include "programs/common/logging.h"
#include "transport/http_channel.h"

namespace oakpier {

namespace {

constexpr Duration kPlatformTimeout = std::chrono::seconds(2);

}  // namespace

PlatformPoller::PlatformPoller(const Endpoint& platform, Duration period, ControlLoop& control,
                               std::function<bool()> needsConfiguration)
    : platform_(platform),
      period_(period),
      control_(control),
      needsConfiguration_(std::move(needsConfiguration)) {}

PlatformPoller::~PlatformPoller() { stop(); }

void PlatformPoller::start() {
  thread_ = std::thread([this] { run(); });
}

void PlatformPoller::stop() {
  {
    const std::lock_guard<std::mutex> guard(mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void PlatformPoller::run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    readOnce();
    lock.lock();
    stopped_.wait_for(lock, period_, [this] { return stopping_; });
  }
}

void PlatformPoller::readOnce() {
  HttpChannel channel(platform_, kPlatformTimeout);
  Platform_Stub platform(&channel);
  CallController call;
  MachineList machines;
  const MachineListRequest listRequest;
  platform.ListMachines(&call, &listRequest, &machines, nullptr);
  if (call.Failed()) {
    if (++failures_ == 1) {
      log(LogLevel::kWarning, "cannot read from the platform",
          {{"platform", platform_.text()}, {"error", call.ErrorText()}});
    }
    return;
  }
  report_.daemons.clear();
  leaving_.leaves.clear();
  for (const auto& machine : machines.machines()) {
    const auto address = Endpoint::parse(machine.address());
    if (machine.daemon() && address && machine.condition() == MACHINE_LIVE) {
      report_.daemons.push_back(*address);
    } else if (!machine.daemon() && machine.condition() == MACHINE_LEAVING) {
      leaving_.leaves.insert(machine.address());
    }
  }
  if (needsConfiguration_()) {
    Configuration configuration;
    const PlatformConfigurationRequest request;
    platform.GetConfiguration(&call, &request, &configuration, nullptr);
    if (!call.Failed()) {
      report_.configuration = configuration;
    }
  } else {
    report_.configuration.reset();
  }
  control_.postPlatform(report_, leaving_);
}

}  // namespace oakpier
