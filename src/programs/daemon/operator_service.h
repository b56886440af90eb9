#pragma once

/// The operator interface of the daemon. Changes go through the control thread; a call returns when the
/// voters have decided or have not answered in time.

#include "oakpier/operator.pb.h"
#include "programs/daemon/control_loop.h"
#include "state/published.h"

namespace oakpier {

class OperatorService : public Operator {
 public:
  OperatorService(const SelfMember& self, ControlLoop& control, const Published<RoutingView>& view)
      : self_(self), control_(control), view_(view) {}

  void GetConfiguration(google::protobuf::RpcController* controller, const GetConfigurationRequest* request,
                        GetConfigurationReply* reply, google::protobuf::Closure* done) override;
  void Validate(google::protobuf::RpcController* controller, const ValidateRequest* request,
                ValidateReply* reply, google::protobuf::Closure* done) override;
  void Apply(google::protobuf::RpcController* controller, const ApplyRequest* request, ApplyReply* reply,
             google::protobuf::Closure* done) override;
  void Status(google::protobuf::RpcController* controller, const StatusRequest* request, StatusReply* reply,
              google::protobuf::Closure* done) override;
  void Drain(google::protobuf::RpcController* controller, const DrainRequest* request, DrainReply* reply,
             google::protobuf::Closure* done) override;

  void setStopping() { stopping_ = true; }

 private:
  Configuration currentConfiguration();
  void describeMembers(const ControlPlane& plane, StatusReply& reply) const;
  void describeLeaves(StatusReply& reply) const;
  std::string notReadyReason(const ControlPlane& plane) const;

  SelfMember self_;
  ControlLoop& control_;
  const Published<RoutingView>& view_;
  std::atomic<bool> stopping_{false};
};

}  // namespace oakpier
