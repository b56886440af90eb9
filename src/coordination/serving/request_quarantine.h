#pragma once

/// Detects requests that crash the leafs that execute them, and quarantines them, based on the crashes that
/// this daemon and its peers have seen.
///
/// Requests are identified by fingerprint, since each attempt has a new id. A crash counts against every
/// unanswered request at the leaf; an answer from any leaf clears a request. After two crashes without an
/// answer, the next attempt is a *trial*: it is sent to a single leaf, at a time without other crashes. If
/// the trial crashes its leaf and at least three leafs have crashed in all, the request is quarantined: all
/// daemons refuse it until the quarantine expires, and then allow another trial.
///
/// Invariants: once a leaf has answered a request, crashes from before that answer no longer count against
/// it; the interval between trials grows with each trial that ends without an answer; the verdict does not
/// depend on the order in which records are merged.
///
/// Holds at most `kMaxRecords` records; the one with the oldest crash or answer is dropped first.

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "state/serving/request_fingerprint.h"
#include "state/time.h"

namespace oakpier::serving {

struct QuarantineSettings {
  /// How long a request is refused before the next trial. Bounds both the rate of crashes by a request that
  /// still crashes leafs and the time until a repaired service accepts the request again.
  Duration quarantineDuration = std::chrono::hours(1);
  /// A record is dropped this long after the last crash or answer.
  Duration retention = std::chrono::hours(24);
  /// A record without a trial is dropped this long after the last crash or answer.
  Duration suspectRetention = std::chrono::minutes(10);
  /// A trial starts only after this long without a crash, so that another request is unlikely to crash the
  /// trial's leaf. Must exceed the time between the crashes that one request causes, which
  /// come within 170 ms.
  Duration crashFreeInterval = std::chrono::milliseconds(300);
  /// Minimum interval between the first trial and the second, if the first brought neither an answer nor a
  /// crash. It grows by a factor of 4 with each further trial. Must not be shorter than a trial may take.
  Duration initialTrialBackoff = std::chrono::seconds(2);
};

/// Evidence against one request. Times are on the clock of the daemon that holds the record.
struct QuarantineRecord {
  RequestFingerprint fingerprint;
  /// Incremented by an answer. When records are merged, the higher epoch replaces the lower.
  std::uint32_t epoch = 0;
  /// Hashes of the leaf incarnations that crashed under the request, in ascending order. Of more than
  /// `kMaxCrashedLeafs`, an unspecified selection is kept.
  std::vector<std::uint64_t> crashedLeafs;
  std::uint32_t trials = 0;
  /// Time of the last crash, or of the answer that cleared the record.
  Moment lastEvidenceAt{};
  Moment lastTrialAt{};
};

class RequestQuarantine {
 public:
  enum class Verdict {
    /// Send it as usual.
    kUnsuspected,
    /// Send it to one leaf first, and call `onTrial` then.
    kTrial,
    /// Refuse it for now: a trial is due after `retryAfter`.
    kDeferred,
    /// Refuse it: it crashes leafs.
    kQuarantined,
  };
  struct Assessment {
    Verdict verdict = Verdict::kUnsuspected;
    /// For kDeferred: the time until a trial is allowed.
    Duration retryAfter{};
  };
  static constexpr std::size_t kMaxRecords = 1024;
  static constexpr std::size_t kMaxCrashedLeafs = 4;
  /// Number of crashed leafs before the next attempt becomes a trial, and before the request is quarantined.
  static constexpr std::size_t kCrashesBeforeTrial = 2;
  static constexpr std::size_t kCrashesBeforeQuarantine = 3;

  explicit RequestQuarantine(const QuarantineSettings& settings = {}) : settings_(settings) {}

  Assessment assess(const RequestFingerprint& fingerprint, Moment now) const;
  /// A leaf crashed before it answered the request. `instance`: hash of the leaf's incarnation.
  void onLeafCrashed(const RequestFingerprint& fingerprint, std::uint64_t instance, Moment now);
  void onTrial(const RequestFingerprint& fingerprint, Moment now);
  /// A leaf answered the request.
  void onAnswered(const RequestFingerprint& fingerprint, Moment now);
  /// Merges a peer's record, whose times must have been converted to this daemon's clock.
  void merge(const QuarantineRecord& record);

  /// Records that changed since the last call, to be sent to peers.
  std::vector<QuarantineRecord> takeChanged();
  /// At most `count` records, those with the latest crash or answer.
  std::vector<QuarantineRecord> newest(std::size_t count) const;
  /// Drops expired records.
  void dropExpired(Moment now);
  bool empty() const { return records_.empty(); }
  std::size_t size() const { return records_.size(); }
  /// Number of requests in quarantine.
  std::size_t quarantinedCount(Moment now) const;

 private:
  struct Entry {
    QuarantineRecord record;
    bool changed = false;
  };

  /// Whether the last trial was followed by a crash, and enough leafs have crashed in all.
  static bool crashedInTrial(const QuarantineRecord& record);
  Duration trialBackoff(std::uint32_t trials) const;
  bool expired(const QuarantineRecord& record, Moment now) const;
  Entry& entryOf(const RequestFingerprint& fingerprint);
  /// Drops the record with the oldest crash or answer if there are `kMaxRecords`.
  void evictIfFull();

  QuarantineSettings settings_;
  std::unordered_map<RequestFingerprint, Entry, RequestFingerprintHash> records_;
  /// Time of the last crash under any request.
  Moment lastCrashAt_{};
};

}  // namespace oakpier::serving
