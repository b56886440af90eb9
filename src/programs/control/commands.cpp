#include "programs/control/commands.h"

#include <iomanip>
#include <iostream>
#include <optional>

#include "oakpier/operator.pb.h"
#include "programs/common/exit_codes.h"
#include "programs/common/json_files.h"
#include "transport/http_channel.h"

namespace oakpier {

namespace {

/// Includes the time that an apply waits for the voters.
constexpr Duration kCallTimeout = std::chrono::seconds(15);

template <typename Request, typename Reply>
using OperatorMethod = void (Operator_Stub::*)(google::protobuf::RpcController*, const Request*, Reply*,
                                               google::protobuf::Closure*);

/// Prints an error and returns nothing when the call fails.
template <typename Request, typename Reply>
std::optional<Reply> call(const ControlOptions& options, OperatorMethod<Request, Reply> method,
                          const Request& request) {
  HttpChannel channel(options.daemon, kCallTimeout);
  Operator_Stub stub(&channel);
  CallController controller;
  Reply reply;
  (stub.*method)(&controller, &request, &reply, nullptr);
  if (controller.Failed()) {
    std::cerr << "daemon " << options.daemon.text() << ": " << controller.ErrorText() << "\n";
    return std::nullopt;
  }
  return reply;
}

void printJson(const google::protobuf::Message& message) {
  std::cout << encodeBody(message, BodyFormat::kJson);
}

void printError(const Error& error) {
  std::cerr << ErrorCode_Name(error.code()) << ": " << error.message() << "\n";
}

template <typename Errors>
int reportErrors(const Errors& errors) {
  for (const auto& error : errors) {
    printError(error);
  }
  return errors.empty() ? kExitOk : kExitFailure;
}

template <typename Items>
void printPut(const char* kind, const Items& items) {
  for (const auto& item : items) {
    std::cout << "put     " << kind << " " << item.name() << "\n";
  }
}

template <typename Names>
void printRemoved(const char* kind, const Names& names) {
  for (const auto& name : names) {
    std::cout << "remove  " << kind << " " << name << "\n";
  }
}

void printChange(const ConfigurationChange& change) {
  printPut("class", change.put_classes());
  printPut("leaf", change.put_leaves());
  printPut("service", change.put_services());
  printRemoved("class", change.removed_classes());
  printRemoved("leaf", change.removed_leaves());
  printRemoved("service", change.removed_services());
}

const char* yesNo(bool value) { return value ? "yes" : "no"; }

void printStatus(const StatusReply& reply) {
  std::cout << "daemon " << reply.address() << "  revision " << reply.revision() << "  ready "
            << yesNo(reply.ready());
  std::cout << (reply.ready() ? "" : "  (" + reply.not_ready_because() + ")") << "\n\n";
  std::cout << std::left << std::setw(24) << "MEMBER" << std::setw(16) << "ZONE" << std::setw(18)
            << "CONDITION" << std::setw(10) << "REVISION"
            << "VOTER\n";
  for (const auto& member : reply.members()) {
    std::cout << std::setw(24) << member.address() << std::setw(16) << member.zone() << std::setw(18)
              << MemberCondition_Name(member.condition()) << std::setw(10) << member.revision()
              << yesNo(member.voter()) << "\n";
  }
  std::cout << "\n"
            << std::setw(24) << "LEAF" << std::setw(24) << "ADDRESS" << std::setw(24) << "OWNER"
            << std::setw(10) << "DRAINING" << std::setw(6) << "COLD" << std::setw(10) << "FAILURES"
            << "SNAPSHOTS\n";
  for (const auto& leaf : reply.leaves()) {
    std::cout << std::setw(24) << leaf.name() << std::setw(24) << leaf.address() << std::setw(24)
              << leaf.owner() << std::setw(10) << yesNo(leaf.draining()) << std::setw(6) << yesNo(leaf.cold())
              << std::setw(10) << leaf.consecutive_failures();
    std::cout << (leaf.known()
                      ? std::to_string(leaf.oldest_snapshot()) + "-" + std::to_string(leaf.newest_snapshot())
                      : std::string("unknown"))
              << "\n";
  }
}

}  // namespace

int showConfiguration(const ControlOptions& options) {
  const auto reply = call(options, &Operator_Stub::GetConfiguration, GetConfigurationRequest());
  if (!reply) {
    return kExitUnreachable;
  }
  if (reply->error().code() != ERROR_NONE) {
    printError(reply->error());
    return kExitFailure;
  }
  printJson(reply->configuration());
  return kExitOk;
}

int validateFile(const ControlOptions& options, const std::string& path) {
  ValidateRequest request;
  const std::string problem = readJsonFile(path, *request.mutable_configuration());
  if (!problem.empty()) {
    std::cerr << problem << "\n";
    return kExitUsage;
  }
  const auto reply = call(options, &Operator_Stub::Validate, request);
  if (!reply) {
    return kExitUnreachable;
  }
  if (options.json) {
    printJson(*reply);
  } else if (reply->errors().empty()) {
    std::cout << "valid\n";
  }
  return reportErrors(reply->errors());
}

int applyFile(const ControlOptions& options, const std::string& path, bool dryRun) {
  ApplyRequest request;
  const std::string problem = readJsonFile(path, *request.mutable_configuration());
  if (!problem.empty()) {
    std::cerr << problem << "\n";
    return kExitUsage;
  }
  const auto current = call(options, &Operator_Stub::GetConfiguration, GetConfigurationRequest());
  if (!current) {
    return kExitUnreachable;
  }
  // A file written by `get` holds the revision that it was based on.
  const std::uint64_t baseRevision = request.configuration().revision();
  request.set_base_revision(baseRevision == 0 ? current->configuration().revision() : baseRevision);
  request.set_dry_run(true);
  auto reply = call(options, &Operator_Stub::Apply, request);
  if (!reply) {
    return kExitUnreachable;
  }
  if (!options.json) {
    printChange(reply->change());
  }
  if (reply->errors().empty() && !dryRun && reply->revision() == 0) {
    request.set_dry_run(false);
    reply = call(options, &Operator_Stub::Apply, request);
    if (!reply) {
      return kExitUnreachable;
    }
  }
  if (options.json) {
    printJson(*reply);
  } else if (reply->errors().empty()) {
    std::cout << (reply->revision() == 0 ? "nothing was changed (dry run)"
                                         : "revision " + std::to_string(reply->revision()) + " is accepted")
              << "\n";
  }
  return reportErrors(reply->errors());
}

int showStatus(const ControlOptions& options) {
  const auto reply = call(options, &Operator_Stub::Status, StatusRequest());
  if (!reply) {
    return kExitUnreachable;
  }
  if (options.json) {
    printJson(*reply);
  } else {
    printStatus(*reply);
  }
  return kExitOk;
}

int drainLeaf(const ControlOptions& options, const std::string& leaf, bool drained) {
  DrainRequest request;
  request.set_leaf(leaf);
  request.set_drained(drained);
  const auto reply = call(options, &Operator_Stub::Drain, request);
  if (!reply) {
    return kExitUnreachable;
  }
  if (options.json) {
    printJson(*reply);
  }
  if (reply->error().code() != ERROR_NONE) {
    printError(reply->error());
    return kExitFailure;
  }
  if (!options.json) {
    std::cout << leaf << (drained ? " is drained" : " takes work") << " from revision " << reply->revision()
              << "\n";
  }
  return kExitOk;
}

}  // namespace oakpier
