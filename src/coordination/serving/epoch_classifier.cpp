#include "coordination/serving/epoch_classifier.h"

namespace oakpier::serving {

EpochVerdict EpochClassifier::classify(const ReportedEpoch& reported, std::uint64_t known) {
  switch (reported.kind) {
    case ReportedEpoch::Kind::kUnanswered:
      return EpochVerdict::kKnown;
    case ReportedEpoch::Kind::kMalformed:
      ++counters_.malformed;
      return EpochVerdict::kMalformed;
    case ReportedEpoch::Kind::kMissing:
      if (counters_.reported == 0 && known == 0) {
        return EpochVerdict::kKnown;
      }
      ++counters_.missing;
      return EpochVerdict::kMissing;
    default:
      break;
  }
  ++counters_.reported;
  if (reported.epoch < known) {
    ++counters_.older;
    return EpochVerdict::kOlder;
  }
  return reported.epoch > known ? EpochVerdict::kNewer : EpochVerdict::kKnown;
}

void EpochClassifier::onRestored(std::uint64_t previous, std::uint64_t current) {
  ++counters_.restorations;
  counters_.skipped += current - previous - 1;
}

}  // namespace oakpier::serving
