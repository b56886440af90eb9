#include "platform_model/observations.h"

#include <algorithm>
#include <functional>

namespace oakpier::serving::model {

namespace {

/// A draining leaf receives no requests after this time.
constexpr Duration kDrainBound = std::chrono::seconds(3);
constexpr std::size_t kRecord = 16;
/// After this time all gateways know of a third crash.
constexpr Duration kKnownAfter = std::chrono::seconds(1);
/// Later sends that are allowed, as trials.
constexpr std::size_t kMostLaterSends = 3;
constexpr std::size_t kEndingsThatCount = 3;

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
    for (std::size_t begin = 0; begin + kRecord <= body.size(); begin += kRecord) {
      records.push_back(body.substr(begin, kRecord));
    }
  }
  std::sort(records.begin(), records.end(), std::greater<>());
  std::string all;
  for (std::size_t place = 0; place < std::min(count, records.size()); ++place) {
    all += records[place];
  }
  return all;
}

}  // namespace

void Observations::onArrival(const std::string& requestId, const std::string& leaf, bool leaving,
                             Moment now) {
  ++arrivals_;
  ++runs_[requestId];
  const auto draining = drainingSince_.find(leaf);
  if (leaving && draining != drainingSince_.end() && now - draining->second > kDrainBound) {
    std::string text = "request ";
    text.append(requestId).append(" reached leaf ").append(leaf).append(" too long after it began draining");
    violations_.push_back(text);
  }
}

void Observations::checkBrokenOff(const std::string& requestId) {
  if (runs_.count(requestId) != 0) {
    violations_.push_back("request " + requestId +
                          " ran at a leaf and its connection was closed without an answer");
  }
}

void Observations::onEndingSend(const std::string& target, const std::string& requestId, Moment now) {
  EndingRequest& request = endingRequests_[target];
  if (outOfTouch_.count(requestId) == 0 && request.thirdAt != kNever && now - request.thirdAt > kKnownAfter) {
    ++request.sentLater;
  }
}

void Observations::onEndedUnder(const std::string& target, Moment now) {
  EndingRequest& request = endingRequests_[target];
  if (++request.ended == kEndingsThatCount) {
    request.thirdAt = now;
  }
}

std::size_t Observations::leafsEnded() const {
  std::size_t ended = 0;
  for (const auto& [target, request] : endingRequests_) {
    ended += request.ended;
  }
  return ended;
}

void Observations::checkEndingRequests() {
  for (const auto& [target, request] : endingRequests_) {
    if (request.sentLater > kMostLaterSends) {
      violations_.push_back("a request that had crashed leafs was sent to leafs " +
                            std::to_string(request.sentLater) + " more times; " +
                            std::to_string(request.ended) + " crashes in total");
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
  const bool own = part != signed_.end() && part->second.requestId == requestId && part->second.body == body;
  if (!own) {
    violations_.push_back("answer to " + requestId + " is not the answer that a leaf gave to it");
  }
}

void Observations::checkRefusedOnce(const std::string& requestId) {
  if (runs_.count(requestId) != 0) {
    violations_.push_back("request " + requestId + " was refused as not executed but ran at a leaf");
  }
}

void Observations::checkOnce(const std::set<std::string>& requestIds) {
  for (const std::string& id : requestIds) {
    const auto runs = runs_.find(id);
    if (runs != runs_.end() && runs->second > 1) {
      violations_.push_back("request " + id + ", which must run at most once, ran " +
                            std::to_string(runs->second) + " times");
    }
  }
}

}  // namespace oakpier::serving::model
