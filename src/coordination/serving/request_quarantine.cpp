#include "coordination/serving/request_quarantine.h"

#include <algorithm>
#include <utility>

namespace oakpier::serving {

namespace {

/// Number of trials after which the interval between them stops growing.
constexpr std::uint32_t kMostPauseSteps = 8;
constexpr int kPauseFactor = 4;

/// Returns whether the hash was added.
bool addEndedLeaf(std::uint64_t instance, std::vector<std::uint64_t>& endedLeafs) {
  const auto place = std::lower_bound(endedLeafs.begin(), endedLeafs.end(), instance);
  if (place != endedLeafs.end() && *place == instance) {
    return false;
  }
  if (endedLeafs.size() >= RequestQuarantine::kMostEndedLeafs) {
    return false;
  }
  endedLeafs.insert(place, instance);
  return true;
}

}  // namespace

bool RequestQuarantine::triedAndEnded(const QuarantineRecord& record) {
  return record.trials > 0 && record.endedLeafs.size() >= kEndedBeforeCondemned &&
         record.lastEndedAt >= record.lastTrialAt;
}

Duration RequestQuarantine::pauseAfter(std::uint32_t trials) const {
  Duration pause = settings_.firstTrialPause;
  for (std::uint32_t step = 1; step < std::min(trials, kMostPauseSteps); ++step) {
    pause *= kPauseFactor;
  }
  return pause;
}

RequestQuarantine::Judgement RequestQuarantine::judge(const RequestFingerprint& fingerprint,
                                                      Moment now) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || found->second.record.endedLeafs.size() < kEndedBeforeTrial) {
    return {};
  }
  const QuarantineRecord& record = found->second.record;
  Moment notBefore = lastEndedAt_ + settings_.calm;
  if (triedAndEnded(record)) {
    if (now < record.lastEndedAt + settings_.quarantine) {
      return {Verdict::kCondemned, {}};
    }
  } else if (record.trials > 0) {
    notBefore = std::max(notBefore, record.lastTrialAt + pauseAfter(record.trials));
  }
  if (now < notBefore) {
    return {Verdict::kNotYet, notBefore - now};
  }
  return {Verdict::kTrial, {}};
}

RequestQuarantine::Entry& RequestQuarantine::entryOf(const RequestFingerprint& fingerprint) {
  const auto found = records_.find(fingerprint);
  if (found != records_.end()) {
    return found->second;
  }
  makeRoom();
  Entry& entry = records_[fingerprint];
  entry.record.fingerprint = fingerprint;
  return entry;
}

void RequestQuarantine::makeRoom() {
  if (records_.size() < kMostRecords) {
    return;
  }
  const auto oldest =
      std::min_element(records_.begin(), records_.end(), [](const auto& left, const auto& right) {
        return left.second.record.lastEndedAt < right.second.record.lastEndedAt;
      });
  records_.erase(oldest);
}

void RequestQuarantine::onLeafEnded(const RequestFingerprint& fingerprint, std::uint64_t instance,
                                    Moment now) {
  lastEndedAt_ = std::max(lastEndedAt_, now);
  Entry& entry = entryOf(fingerprint);
  const bool condemnedBefore = triedAndEnded(entry.record);
  const bool added = addEndedLeaf(instance, entry.record.endedLeafs);
  entry.record.lastEndedAt = now;
  // Peers are notified only of an added leaf or a changed verdict; further crashes do not matter to them.
  entry.changed = entry.changed || added || triedAndEnded(entry.record) != condemnedBefore;
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
  if (found == records_.end() || found->second.record.endedLeafs.empty()) {
    return;
  }
  QuarantineRecord& record = found->second.record;
  record = QuarantineRecord{fingerprint, record.epoch + 1, {}, 0, now, {}};
  found->second.changed = true;
}

void RequestQuarantine::merge(const QuarantineRecord& theirs) {
  if (!theirs.endedLeafs.empty()) {
    lastEndedAt_ = std::max(lastEndedAt_, theirs.lastEndedAt);
  }
  Entry& entry = entryOf(theirs.fingerprint);
  QuarantineRecord& record = entry.record;
  if (theirs.epoch < record.epoch) {
    return;
  }
  if (theirs.epoch > record.epoch) {
    record = theirs;
    entry.changed = true;
    return;
  }
  const bool condemnedBefore = triedAndEnded(record);
  for (const std::uint64_t instance : theirs.endedLeafs) {
    entry.changed = addEndedLeaf(instance, record.endedLeafs) || entry.changed;
  }
  entry.changed = entry.changed || theirs.trials > record.trials;
  record.trials = std::max(record.trials, theirs.trials);
  record.lastEndedAt = std::max(record.lastEndedAt, theirs.lastEndedAt);
  record.lastTrialAt = std::max(record.lastTrialAt, theirs.lastTrialAt);
  entry.changed = entry.changed || triedAndEnded(record) != condemnedBefore;
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
                      return left.lastEndedAt > right.lastEndedAt;
                    });
  records.resize(kept);
  return records;
}

bool RequestQuarantine::old(const QuarantineRecord& record, Moment now) const {
  const Duration kept = record.trials > 0 ? settings_.memory : settings_.suspicion;
  return now - record.lastEndedAt > kept;
}

void RequestQuarantine::forgetOld(Moment now) {
  for (auto entry = records_.begin(); entry != records_.end();) {
    entry = old(entry->second.record, now) ? records_.erase(entry) : std::next(entry);
  }
}

std::size_t RequestQuarantine::condemned(Moment now) const {
  return static_cast<std::size_t>(std::count_if(records_.begin(), records_.end(), [&](const auto& entry) {
    return judge(entry.first, now).verdict == Verdict::kCondemned;
  }));
}

}  // namespace oakpier::serving
