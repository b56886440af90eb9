#include "platform_model/observations.h"

#include <algorithm>
#include <functional>

namespace oakpier::serving::model {

namespace {

/// A leaf receives no requests later than this after it began draining.
constexpr Duration kDrainBound = std::chrono::seconds(3);
constexpr std::size_t kRecordBytes = 16;
/// All gateways know of a third crash after this time.
constexpr Duration kPropagationTime = std::chrono::seconds(1);
/// Maximum number of later sends to leafs, which are trials.
constexpr std::size_t kMaxLateSends = 3;
constexpr std::size_t kCrashesBeforeQuarantine = 3;

std::vector<std::string> splitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin < text.size()) {
    std::size_t end = text.find(',', begin);
    end = end == std::string::npos ? text.size() : end;
    const std::size_t first = text.find_first_not_of(' ', begin);
    parts.push_back(text.substr(first, end - first));
    begin = end + 1;
  }
  return parts;
}

std::string sortedRecords(const std::vector<std::string>& bodies, std::size_t count) {
  std::vector<std::string> records;
  for (const std::string& body : bodies) {
    for (std::size_t begin = 0; begin + kRecordBytes <= body.size(); begin += kRecordBytes) {
      records.push_back(body.substr(begin, kRecordBytes));
    }
  }
  std::sort(records.begin(), records.end(), std::greater<>());
  std::string all;
  for (std::size_t index = 0; index < std::min(count, records.size()); ++index) {
    all += records[index];
  }
  return all;
}

}  // namespace

void Observations::onArrival(const std::string& requestId, const std::string& leaf, bool isDraining,
                             Moment now) {
  ++arrivals_;
  ++runs_[requestId];
  const auto draining = drainingSince_.find(leaf);
  if (isDraining && draining != drainingSince_.end() && now - draining->second > kDrainBound) {
    std::string text = "request ";
    text.append(requestId).append(" reached leaf ").append(leaf).append(" too long after it began draining");
    violations_.push_back(text);
  }
}

void Observations::checkAborted(const std::string& requestId) {
  if (runs_.count(requestId) != 0) {
    violations_.push_back("request " + requestId +
                          " ran at a leaf and its connection was closed without an answer");
  }
}

void Observations::onCrashingSend(const std::string& target, const std::string& requestId, Moment now) {
  CrashingRequest& request = crashingRequests_[target];
  if (recoveringRequests_.count(requestId) == 0 && request.thirdCrashAt != kNever &&
      now - request.thirdCrashAt > kPropagationTime) {
    ++request.lateSends;
  }
}

void Observations::onLeafCrash(const std::string& target, Moment now) {
  CrashingRequest& request = crashingRequests_[target];
  if (++request.crashes == kCrashesBeforeQuarantine) {
    request.thirdCrashAt = now;
  }
}

std::size_t Observations::leafsCrashed() const {
  std::size_t crashes = 0;
  for (const auto& [target, request] : crashingRequests_) {
    crashes += request.crashes;
  }
  return crashes;
}

void Observations::checkCrashingRequests() {
  for (const auto& [target, request] : crashingRequests_) {
    if (request.lateSends > kMaxLateSends) {
      violations_.push_back("a request that had crashed leafs was sent to leafs " +
                            std::to_string(request.lateSends) + " more times; " +
                            std::to_string(request.crashes) + " crashes in total");
    }
  }
}

void Observations::checkMerged(const std::string& requestId, const std::set<std::string>& shards,
                               std::size_t topRecords, const std::string& signatures, std::size_t missing,
                               const std::string& body) {
  std::set<std::string> services;
  std::vector<std::string> bodies;
  for (const std::string& signature : splitAtCommas(signatures)) {
    const auto part = signed_.find(signature);
    if (part == signed_.end() || part->second.requestId != requestId) {
      std::string text = "answer to ";
      text.append(requestId).append(" names an unknown part or one of another request: ").append(signature);
      violations_.push_back(text);
      return;
    }
    if (shards.count(part->second.service) == 0 || !services.insert(part->second.service).second) {
      violations_.push_back("answer to " + requestId + " names a shard twice or a shard outside the request");
    }
    bodies.push_back(part->second.body);
  }
  if (services.size() + missing != shards.size()) {
    violations_.push_back("answer to " + requestId + " has a wrong count of missing shards");
  }
  if (body != sortedRecords(bodies, topRecords)) {
    violations_.push_back("answer to " + requestId +
                          " is not the merge of the parts that its signatures name");
  }
}

void Observations::checkForwarded(const std::string& requestId, const std::string& signature,
                                  const std::string& body) {
  const auto part = signed_.find(signature);
  const bool matches =
      part != signed_.end() && part->second.requestId == requestId && part->second.body == body;
  if (!matches) {
    violations_.push_back("answer to " + requestId + " is not the answer that a leaf gave to it");
  }
}

void Observations::checkRefusedNotExecuted(const std::string& requestId) {
  if (runs_.count(requestId) != 0) {
    violations_.push_back("request " + requestId + " was refused as not executed but ran at a leaf");
  }
}

void Observations::checkExecutedAtMostOnce(const std::set<std::string>& requestIds) {
  for (const std::string& id : requestIds) {
    const auto runs = runs_.find(id);
    if (runs != runs_.end() && runs->second > 1) {
      violations_.push_back("request " + id + ", which must run at most once, ran " +
                            std::to_string(runs->second) + " times");
    }
  }
}

}  // namespace oakpier::serving::model
