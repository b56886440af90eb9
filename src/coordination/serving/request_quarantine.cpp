#include "coordination/serving/request_quarantine.h"

#include <algorithm>
#include <utility>

namespace oakpier::serving {

namespace {

/// Number of trials after which the interval between them stops growing.
constexpr std::uint32_t kMaxBackoffSteps = 8;
constexpr int kBackoffFactor = 4;

/// Returns whether the hash was added.
bool addCrashedLeaf(std::uint64_t instance, std::vector<std::uint64_t>& crashedLeafs) {
  const auto place = std::lower_bound(crashedLeafs.begin(), crashedLeafs.end(), instance);
  if (place != crashedLeafs.end() && *place == instance) {
    return false;
  }
  if (crashedLeafs.size() >= RequestQuarantine::kMaxCrashedLeafs) {
    return false;
  }
  crashedLeafs.insert(place, instance);
  return true;
}

}  // namespace

bool RequestQuarantine::crashedInTrial(const QuarantineRecord& record) {
  return record.trials > 0 && record.crashedLeafs.size() >= kCrashesBeforeQuarantine &&
         record.lastEvidenceAt >= record.lastTrialAt;
}

Duration RequestQuarantine::trialBackoff(std::uint32_t trials) const {
  Duration backoff = settings_.initialTrialBackoff;
  for (std::uint32_t step = 1; step < std::min(trials, kMaxBackoffSteps); ++step) {
    backoff *= kBackoffFactor;
  }
  return backoff;
}

RequestQuarantine::Assessment RequestQuarantine::assess(const RequestFingerprint& fingerprint,
                                                        Moment now) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || found->second.record.crashedLeafs.size() < kCrashesBeforeTrial) {
    return {};
  }
  const QuarantineRecord& record = found->second.record;
  Moment notBefore = lastCrashAt_ + settings_.crashFreeInterval;
  if (crashedInTrial(record)) {
    if (now < record.lastEvidenceAt + settings_.quarantineDuration) {
      return {Verdict::kQuarantined, {}};
    }
  } else if (record.trials > 0) {
    notBefore = std::max(notBefore, record.lastTrialAt + trialBackoff(record.trials));
  }
  if (now < notBefore) {
    return {Verdict::kDeferred, notBefore - now};
  }
  return {Verdict::kTrial, {}};
}

RequestQuarantine::Entry& RequestQuarantine::entryOf(const RequestFingerprint& fingerprint) {
  const auto found = records_.find(fingerprint);
  if (found != records_.end()) {
    return found->second;
  }
  evictIfFull();
  Entry& entry = records_[fingerprint];
  entry.record.fingerprint = fingerprint;
  return entry;
}

void RequestQuarantine::evictIfFull() {
  if (records_.size() < kMaxRecords) {
    return;
  }
  const auto oldest =
      std::min_element(records_.begin(), records_.end(), [](const auto& left, const auto& right) {
        return left.second.record.lastEvidenceAt < right.second.record.lastEvidenceAt;
      });
  records_.erase(oldest);
}

void RequestQuarantine::onLeafCrashed(const RequestFingerprint& fingerprint, std::uint64_t instance,
                                      Moment now) {
  lastCrashAt_ = std::max(lastCrashAt_, now);
  Entry& entry = entryOf(fingerprint);
  const bool wasQuarantined = crashedInTrial(entry.record);
  const bool added = addCrashedLeaf(instance, entry.record.crashedLeafs);
  entry.record.lastEvidenceAt = now;
  // Peers are notified only of an added leaf or a changed verdict; further crashes do not matter to them.
  entry.changed = entry.changed || added || crashedInTrial(entry.record) != wasQuarantined;
}

void RequestQuarantine::onTrial(const RequestFingerprint& fingerprint, Moment now) {
  Entry& entry = entryOf(fingerprint);
  ++entry.record.trials;
  entry.record.lastTrialAt = now;
  entry.changed = true;
}

void RequestQuarantine::onAnswered(const RequestFingerprint& fingerprint, Moment now) {
  if (records_.empty()) {
    return;
  }
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || found->second.record.crashedLeafs.empty()) {
    return;
  }
  QuarantineRecord& record = found->second.record;
  record = QuarantineRecord{fingerprint, record.epoch + 1, {}, 0, now, {}};
  found->second.changed = true;
}

void RequestQuarantine::merge(const QuarantineRecord& other) {
  if (!other.crashedLeafs.empty()) {
    lastCrashAt_ = std::max(lastCrashAt_, other.lastEvidenceAt);
  }
  Entry& entry = entryOf(other.fingerprint);
  QuarantineRecord& record = entry.record;
  if (other.epoch < record.epoch) {
    return;
  }
  if (other.epoch > record.epoch) {
    record = other;
    entry.changed = true;
    return;
  }
  const bool wasQuarantined = crashedInTrial(record);
  for (const std::uint64_t instance : other.crashedLeafs) {
    entry.changed = addCrashedLeaf(instance, record.crashedLeafs) || entry.changed;
  }
  entry.changed = entry.changed || other.trials > record.trials;
  record.trials = std::max(record.trials, other.trials);
  record.lastEvidenceAt = std::max(record.lastEvidenceAt, other.lastEvidenceAt);
  record.lastTrialAt = std::max(record.lastTrialAt, other.lastTrialAt);
  entry.changed = entry.changed || crashedInTrial(record) != wasQuarantined;
}

std::vector<QuarantineRecord> RequestQuarantine::takeChanged() {
  std::vector<QuarantineRecord> changed;
  for (auto& [fingerprint, entry] : records_) {
    if (std::exchange(entry.changed, false)) {
      changed.push_back(entry.record);
    }
  }
  return changed;
}

std::vector<QuarantineRecord> RequestQuarantine::newest(std::size_t count) const {
  std::vector<QuarantineRecord> records;
  records.reserve(records_.size());
  for (const auto& [fingerprint, entry] : records_) {
    records.push_back(entry.record);
  }
  const std::size_t kept = std::min(count, records.size());
  std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(),
                    [](const QuarantineRecord& left, const QuarantineRecord& right) {
                      return left.lastEvidenceAt > right.lastEvidenceAt;
                    });
  records.resize(kept);
  return records;
}

bool RequestQuarantine::expired(const QuarantineRecord& record, Moment now) const {
  const Duration kept = record.trials > 0 ? settings_.retention : settings_.suspectRetention;
  return now - record.lastEvidenceAt > kept;
}

void RequestQuarantine::dropExpired(Moment now) {
  for (auto entry = records_.begin(); entry != records_.end();) {
    entry = expired(entry->second.record, now) ? records_.erase(entry) : std::next(entry);
  }
}

std::size_t RequestQuarantine::quarantinedCount(Moment now) const {
  return static_cast<std::size_t>(std::count_if(records_.begin(), records_.end(), [&](const auto& entry) {
    return assess(entry.first, now).verdict == Verdict::kQuarantined;
  }));
}

}  // namespace oakpier::serving
