#pragma once

/// Encodes records of requests that crashed leafs, for exchange between daemons. Times are encoded as ages,
/// since each daemon has its own clock.

#include <vector>

#include "coordination/serving/request_quarantine.h"
#include "oakpier/peer.pb.h"

namespace oakpier::serving {

/// Maximum number of records per frame, which is then about 5 KB.
inline constexpr std::size_t kMaxQuarantineRecordsPerFrame = 64;

EndingRequests encodeQuarantineRecords(const std::vector<QuarantineRecord>& records, Moment now);
/// Skips records with out-of-range fields and those beyond the maximum number per frame.
std::vector<QuarantineRecord> decodeQuarantineRecords(const EndingRequests& message, Moment now);

}  // namespace oakpier::serving
