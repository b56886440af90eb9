#include "standin/platform_standin.h"

#include <sys/socket.h>

#include <chrono>
#include <thread>

#include "transport/http_server.h"

namespace oakpier {

void PlatformModel::setFaults(const PlatformFaults& faults) {
  const std::lock_guard<std::mutex> guard(mutex_);
  faults_ = faults;
}

void PlatformModel::setConfiguration(const Configuration& configuration) {
  const std::lock_guard<std::mutex> guard(mutex_);
  configuration_ = configuration;
}

void PlatformModel::setMachines(const MachineList& machines) {
  const std::lock_guard<std::mutex> guard(mutex_);
  machines_ = machines;
}

Configuration PlatformModel::configuration() {
  suffer();
  const std::lock_guard<std::mutex> guard(mutex_);
  return configuration_;
}

MachineList PlatformModel::machines() {
  suffer();
  const std::lock_guard<std::mutex> guard(mutex_);
  return machines_;
}

void PlatformModel::suffer() {
  PlatformFaults faults;
  {
    const std::lock_guard<std::mutex> guard(mutex_);
    faults = faults_;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(faults.delay_ms()));
  if (faults.down()) {
    shutdown(currentCallerSocket(), SHUT_RDWR);
  }
}

void PlatformServiceStandIn::GetConfiguration(google::protobuf::RpcController* /*controller*/,
                                              const PlatformConfigurationRequest* /*request*/,
                                              Configuration* reply, google::protobuf::Closure* done) {
  *reply = model_.configuration();
  done->Run();
}

void PlatformServiceStandIn::ListMachines(google::protobuf::RpcController* /*controller*/,
                                          const MachineListRequest* /*request*/, MachineList* reply,
                                          google::protobuf::Closure* done) {
  *reply = model_.machines();
  done->Run();
}

void PlatformStandInControl::SetFaults(google::protobuf::RpcController* /*controller*/,
                                       const PlatformFaults* faults, SetPlatformReply* /*reply*/,
                                       google::protobuf::Closure* done) {
  model_.setFaults(*faults);
  done->Run();
}

void PlatformStandInControl::SetConfiguration(google::protobuf::RpcController* /*controller*/,
                                              const Configuration* configuration, SetPlatformReply* /*reply*/,
                                              google::protobuf::Closure* done) {
  model_.setConfiguration(*configuration);
  done->Run();
}

void PlatformStandInControl::SetMachines(google::protobuf::RpcController* /*controller*/,
                                         const MachineList* machines, SetPlatformReply* /*reply*/,
                                         google::protobuf::Closure* done) {
  model_.setMachines(*machines);
  done->Run();
}

}  // namespace oakpier
