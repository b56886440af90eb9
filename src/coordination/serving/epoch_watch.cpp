#include "coordination/serving/epoch_watch.h"

namespace oakpier::serving {

EpochVerdict EpochWatch::judge(const ToldEpoch& told, std::uint64_t known) {
  switch (told.kind) {
    case ToldEpoch::Kind::kUnanswered:
      return EpochVerdict::kKnown;
    case ToldEpoch::Kind::kMalformed:
      ++counters_.malformed;
      return EpochVerdict::kMalformed;
    case ToldEpoch::Kind::kMissing:
      if (counters_.told == 0 && known == 0) {
        return EpochVerdict::kKnown;
      }
      ++counters_.missing;
      return EpochVerdict::kMissing;
    default:
      break;
  }
  ++counters_.told;
  if (told.epoch < known) {
    ++counters_.older;
    return EpochVerdict::kOlder;
  }
  return told.epoch > known ? EpochVerdict::kNewer : EpochVerdict::kKnown;
}

void EpochWatch::onRestored(std::uint64_t before, std::uint64_t now) {
  ++counters_.restorations;
  counters_.skipped += now - before - 1;
}

}  // namespace oakpier::serving
