#pragma once

/// A stand-in for the platform: a read-only configuration service and a list of machines, which experiments
/// make stale, slow or unreachable.

#include <mutex>

#include "oakpier/platform.pb.h"
#include "oakpier/standin.pb.h"

namespace oakpier {

class PlatformModel {
 public:
  void setFaults(const PlatformFaults& faults);
  void setConfiguration(const Configuration& configuration);
  void setMachines(const MachineList& machines);

  /// Waits or drops the caller's connection as the faults say, then reads.
  Configuration configuration();
  MachineList machines();

 private:
  void suffer();

  std::mutex mutex_;
  PlatformFaults faults_;
  Configuration configuration_;
  MachineList machines_;
};

class PlatformServiceStandIn : public Platform {
 public:
  explicit PlatformServiceStandIn(PlatformModel& model) : model_(model) {}
  void GetConfiguration(google::protobuf::RpcController* controller,
                        const PlatformConfigurationRequest* request, Configuration* reply,
                        google::protobuf::Closure* done) override;
  void ListMachines(google::protobuf::RpcController* controller, const MachineListRequest* request,
                    MachineList* reply, google::protobuf::Closure* done) override;

 private:
  PlatformModel& model_;
};

class PlatformStandInControl : public PlatformStandIn {
 public:
  explicit PlatformStandInControl(PlatformModel& model) : model_(model) {}
  void SetFaults(google::protobuf::RpcController* controller, const PlatformFaults* faults,
                 SetPlatformReply* reply, google::protobuf::Closure* done) override;
  void SetConfiguration(google::protobuf::RpcController* controller, const Configuration* configuration,
                        SetPlatformReply* reply, google::protobuf::Closure* done) override;
  void SetMachines(google::protobuf::RpcController* controller, const MachineList* machines,
                   SetPlatformReply* reply, google::protobuf::Closure* done) override;

 private:
  PlatformModel& model_;
};

}  // namespace oakpier
