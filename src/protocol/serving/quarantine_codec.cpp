#include "protocol/serving/quarantine_codec.h"

#include <algorithm>

namespace oakpier::serving {

namespace {

/// Older records are rejected, as daemons do not keep them that long. Also keeps the conversion to `Moment`
/// from overflowing.
constexpr std::uint64_t kMaxAge = std::chrono::microseconds(std::chrono::hours(48)).count();

std::uint64_t ageOf(Moment moment, Moment now) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - moment).count()));
}

Moment momentOf(std::uint64_t age, Moment now) { return now - Duration(static_cast<std::int64_t>(age)); }

bool withinBounds(const EndingRequest& request) {
  return request.last_ended_age_us() <= kMaxAge &&
         (request.trials() == 0 || request.last_trial_age_us() <= kMaxAge) &&
         static_cast<std::size_t>(request.ended_leafs_size()) <= RequestQuarantine::kMaxCrashedLeafs;
}

}  // namespace

EndingRequests encodeQuarantineRecords(const std::vector<QuarantineRecord>& records, Moment now) {
  EndingRequests message;
  for (const QuarantineRecord& record : records) {
    EndingRequest* request = message.add_requests();
    request->set_fingerprint_high(record.fingerprint.high);
    request->set_fingerprint_low(record.fingerprint.low);
    request->set_epoch(record.epoch);
    for (const std::uint64_t instance : record.crashedLeafs) {
      request->add_ended_leafs(instance);
    }
    request->set_trials(record.trials);
    request->set_last_ended_age_us(ageOf(record.lastEvidenceAt, now));
    if (record.trials > 0) {
      request->set_last_trial_age_us(ageOf(record.lastTrialAt, now));
    }
  }
  return message;
}

std::vector<QuarantineRecord> decodeQuarantineRecords(const EndingRequests& message, Moment now) {
  std::vector<QuarantineRecord> records;
  for (const EndingRequest& request : message.requests()) {
    if (!withinBounds(request) || records.size() >= kMaxQuarantineRecordsPerFrame) {
      continue;
    }
    QuarantineRecord record;
    record.fingerprint = RequestFingerprint{request.fingerprint_high(), request.fingerprint_low()};
    record.epoch = request.epoch();
    record.crashedLeafs.assign(request.ended_leafs().begin(), request.ended_leafs().end());
    std::sort(record.crashedLeafs.begin(), record.crashedLeafs.end());
    record.trials = request.trials();
    record.lastEvidenceAt = momentOf(request.last_ended_age_us(), now);
    if (record.trials > 0) {
      record.lastTrialAt = momentOf(request.last_trial_age_us(), now);
    }
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace oakpier::serving
