#include "programs/daemon/operator_service.h"

#include "programs/common/logging.h"
#include "protocol/configuration_check.h"
#include "protocol/rpc_codec.h"
#include "state/configuration_change.h"

namespace oakpier {

namespace {

/// ERROR_NONE for an accepted change.
Error errorOf(const ChangeResult& result) {
  const std::string revision = std::to_string(result.revision);
  switch (result.outcome) {
    case ChangeOutcome::kAccepted:
      return {};
    case ChangeOutcome::kConflict:
      return makeError(ERROR_REVISION_CONFLICT,
                       "another change came first; revision " + revision + " is in force");
    case ChangeOutcome::kNoMajority:
      return makeError(ERROR_NO_MAJORITY, "no majority of voters was reached; nothing was changed");
    case ChangeOutcome::kUndecided:
      return makeError(ERROR_NO_MAJORITY,
                       "no majority answered in time; the change may yet take effect, look again");
    case ChangeOutcome::kNotReady:
      return makeError(ERROR_NOT_READY, "this daemon holds no accepted configuration yet");
  }
  return {};
}

}  // namespace

Configuration OperatorService::currentConfiguration() {
  Configuration configuration;
  control_.inspect([&](const ControlPlane& plane) { configuration = plane.store().configuration(); });
  return configuration;
}

void OperatorService::GetConfiguration(google::protobuf::RpcController* /*controller*/,
                                       const GetConfigurationRequest* /*request*/,
                                       GetConfigurationReply* reply, google::protobuf::Closure* done) {
  *reply->mutable_configuration() = currentConfiguration();
  if (reply->configuration().revision() == 0) {
    *reply->mutable_error() = makeError(ERROR_NOT_READY, "this daemon holds no accepted configuration yet");
  }
  done->Run();
}

void OperatorService::Validate(google::protobuf::RpcController* /*controller*/,
                               const ValidateRequest* request, ValidateReply* reply,
                               google::protobuf::Closure* done) {
  for (auto& error : checkConfiguration(request->configuration())) {
    *reply->add_errors() = std::move(error);
  }
  done->Run();
}

void OperatorService::Apply(google::protobuf::RpcController* /*controller*/, const ApplyRequest* request,
                            ApplyReply* reply, google::protobuf::Closure* done) {
  for (auto& error : checkConfiguration(request->configuration())) {
    *reply->add_errors() = std::move(error);
  }
  const Configuration current = currentConfiguration();
  if (current.revision() != request->base_revision()) {
    *reply->add_errors() = makeError(ERROR_REVISION_CONFLICT,
                                     "revision " + std::to_string(current.revision()) + " is in force, not " +
                                         std::to_string(request->base_revision()),
                                     "base_revision");
  }
  *reply->mutable_change() = differenceBetween(current, request->configuration());
  const bool nothingToDo = isEmpty(reply->change());
  if (reply->errors().empty() && nothingToDo) {
    reply->set_revision(current.revision());
  } else if (reply->errors().empty() && !request->dry_run()) {
    const ChangeResult result = control_.submit(reply->change(), request->base_revision()).get();
    const Error error = errorOf(result);
    if (error.code() == ERROR_NONE) {
      reply->set_revision(result.revision);
      log(LogLevel::kInfo, "change accepted", {{"revision", result.revision}});
    } else {
      *reply->add_errors() = error;
    }
  }
  done->Run();
}

void OperatorService::Drain(google::protobuf::RpcController* /*controller*/, const DrainRequest* request,
                            DrainReply* reply, google::protobuf::Closure* done) {
  const Configuration current = currentConfiguration();
  ConfigurationChange change;
  for (const auto& leaf : current.leaves()) {
    if (leaf.name() == request->leaf()) {
      Leaf& wanted = *change.add_put_leaves();
      wanted = leaf;
      wanted.set_drained(request->drained());
    }
  }
  if (change.put_leaves().empty()) {
    *reply->mutable_error() = makeError(ERROR_UNKNOWN_LEAF, "no leaf '" + request->leaf() + "'", "leaf");
  } else {
    const ChangeResult result = control_.submit(std::move(change), current.revision()).get();
    *reply->mutable_error() = errorOf(result);
    if (reply->error().code() == ERROR_NONE) {
      reply->clear_error();
      reply->set_revision(result.revision);
    }
  }
  done->Run();
}

void OperatorService::Status(google::protobuf::RpcController* /*controller*/, const StatusRequest* request,
                             StatusReply* reply, google::protobuf::Closure* done) {
  reply->set_address(self_.process.address);
  reply->set_incarnation(self_.process.incarnation);
  control_.inspect([&](const ControlPlane& plane) {
    reply->set_revision(plane.store().revision());
    reply->set_guards_ids(plane.grantsReservations(steadyNow()));
    reply->set_not_ready_because(notReadyReason(plane));
    if (!request->local_only()) {
      describeMembers(plane, *reply);
    }
  });
  reply->set_ready(reply->not_ready_because().empty());
  if (!request->local_only()) {
    describeLeaves(*reply);
  }
  done->Run();
}

std::string OperatorService::notReadyReason(const ControlPlane& plane) const {
  if (stopping_) {
    return "stopping";
  }
  if (plane.store().revision() == 0) {
    return "no accepted configuration yet: neither a peer nor a majority of the platform's daemons was "
           "reached";
  }
  return plane.revalidating() ? "woke from a pause and has not heard from a peer yet" : "";
}

void OperatorService::describeMembers(const ControlPlane& plane, StatusReply& reply) const {
  const auto describe = [&](const std::string& address, const std::string& zone, MemberCondition condition,
                            std::uint64_t incarnation, std::uint64_t revision) {
    MemberStatus& status = *reply.add_members();
    status.set_address(address);
    status.set_zone(zone);
    status.set_condition(condition);
    status.set_incarnation(incarnation);
    status.set_revision(revision);
    status.set_voter(isVoter(plane.store().voters(), {address, incarnation}));
  };
  describe(self_.process.address, self_.zone, MEMBER_ALIVE, self_.process.incarnation,
           plane.store().revision());
  const MemberTable& members = plane.membership().members();
  for (const auto& record : members.records()) {
    describe(record.address.text(), members.zoneName(record.zone), record.condition, record.incarnation,
             plane.revisionOf(record.address));
  }
}

void OperatorService::describeLeaves(StatusReply& reply) const {
  const auto view = view_.read();
  for (LeafIndex index = 0; index < view->table->indexCount(); ++index) {
    const LeafEntry& leaf = view->table->leaf(index);
    if (!view->table->declared(index)) {
      continue;
    }
    LeafReport& report = *reply.add_leaves();
    report.set_name(leaf.name);
    report.set_address(leaf.address.text());
    report.set_owner(view->owners[index].front().text());
    report.set_known(leaf.knowledge->known());
    report.set_draining(leaf.drained || view->leaving[index] || leaf.knowledge->draining());
    report.set_cold(leaf.knowledge->cold());
    report.set_in_flight(leaf.knowledge->outstanding());
    report.set_consecutive_failures(leaf.knowledge->consecutiveFailures());
    report.set_oldest_snapshot(leaf.knowledge->oldestSnapshot());
    report.set_newest_snapshot(leaf.knowledge->newestSnapshot());
  }
}

}  // namespace oakpier
