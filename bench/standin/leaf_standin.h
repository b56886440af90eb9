#pragma once

/// A stand-in for a leaf: executes requests by waiting, within its slots, and misbehaves as it is told to.

#include <condition_variable>
#include <mutex>
#include <random>
#include <string>

#include "oakpier/leaf.pb.h"
#include "oakpier/standin.pb.h"
#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier {

struct LeafStandInOptions {
  Endpoint address;
  std::uint32_t slots = 2;
  std::uint32_t maxConnections = 70;
  std::uint64_t seed = 1;
  LeafFaults faults;
  /// Every execution is appended here when it begins, so that the record outlives a killed process. Empty =
  /// none.
  std::string logFile;
};

/// The state behind both interfaces. Thread-safe; a call blocks its thread for the time of the execution.
class LeafModel {
 public:
  explicit LeafModel(const LeafStandInOptions& options);

  LeafAnswer execute(const LeafRequest& request);
  LeafState state();
  void setFaults(const LeafFaults& faults);
  LeafFaults faults();
  ExecutionLog executionLog(bool totalsOnly);

 private:
  enum class SlotWait { kTaken, kExpired, kGone };

  LeafStatus refusal(const LeafRequest& request);
  SlotWait waitForSlot(Moment deadline);
  /// False when the caller went away meanwhile.
  bool work(Duration time) const;
  Duration drawServiceTime();
  bool draw(std::uint32_t percent);
  void fillRows(const LeafRequest& request, LeafAnswer& answer);
  void noteStart(const LeafRequest& request, std::uint64_t startedUs);
  void record(const LeafRequest& request, std::uint64_t startedUs, bool cancelled);
  void countConnections();
  LeafState stateLocked() const;

  LeafStandInOptions options_;
  std::mutex mutex_;
  std::condition_variable slotFreed_;
  std::mt19937_64 random_;
  LeafFaults faults_;
  std::uint32_t inFlight_ = 0;
  std::uint32_t waiting_ = 0;
  ExecutionLog log_;
  Moment nextConnectionCount_{};
  std::uint32_t connections_ = 0;
  std::string lastRequestId_;
  int logDescriptor_ = -1;
};

/// The interface that owner daemons call.
class LeafBackendStandIn : public LeafBackend {
 public:
  explicit LeafBackendStandIn(LeafModel& model) : model_(model) {}
  void Execute(google::protobuf::RpcController* controller, const LeafRequest* request, LeafAnswer* answer,
               google::protobuf::Closure* done) override;
  void Status(google::protobuf::RpcController* controller, const LeafStatusRequest* request, LeafState* state,
              google::protobuf::Closure* done) override;

 private:
  LeafModel& model_;
};

/// The interface of experiments: faults and the log.
class LeafStandInControl : public LeafStandIn {
 public:
  explicit LeafStandInControl(LeafModel& model) : model_(model) {}
  void SetFaults(google::protobuf::RpcController* controller, const LeafFaults* faults,
                 SetLeafFaultsReply* reply, google::protobuf::Closure* done) override;
  void GetFaults(google::protobuf::RpcController* controller, const ExecutionLogRequest* request,
                 LeafFaults* reply, google::protobuf::Closure* done) override;
  void GetLog(google::protobuf::RpcController* controller, const ExecutionLogRequest* request,
              ExecutionLog* reply, google::protobuf::Closure* done) override;

 private:
  LeafModel& model_;
};

}  // namespace oakpier
