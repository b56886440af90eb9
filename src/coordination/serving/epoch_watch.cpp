#include "coordination/serving/epoch_watch.h"

namespace oakpier::serving {

EpochVerdict EpochWatch::judge(const ToldEpoch& told) {
  switch (told.kind) {
    case ToldEpoch::Kind::kMalformed:
      ++counters_.malformed;
      return EpochVerdict::kMalformed;
    case ToldEpoch::Kind::kMissing:
      counters_.missing += counters_.told > 0 ? 1 : 0;
      return counters_.told > 0 ? EpochVerdict::kMissing : EpochVerdict::kKnown;
    default:
      break;
  }
  ++counters_.told;
  if (told.epoch < known_) {
    ++counters_.older;
    return EpochVerdict::kOlder;
  }
  return told.epoch > known_ ? EpochVerdict::kNewer : EpochVerdict::kKnown;
}

void EpochWatch::adopt(std::uint64_t epoch) {
  if (everKnown_ && epoch > known_) {
    ++counters_.restorations;
    counters_.skipped += epoch - known_ - 1;
  }
  everKnown_ = true;
  known_ = epoch > known_ ? epoch : known_;
}

}  // namespace oakpier::serving
