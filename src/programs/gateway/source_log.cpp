#include "programs/gateway/source_log.h"

#include "programs/common/logging.h"

namespace oakpier::serving {

namespace {

const char* textOf(EpochVerdict verdict) {
  switch (verdict) {
    case EpochVerdict::kNewer:
      return "newer";
    case EpochVerdict::kOlder:
      return "older";
    case EpochVerdict::kMissing:
      return "missing";
    case EpochVerdict::kMalformed:
      return "malformed";
    default:
      return "known";
  }
}

void logLine(const EpochNotice& notice) {
  log(LogLevel::kWarning, "configuration source reported a different epoch",
      {{"verdict", textOf(notice.verdict)},
       {"reported_epoch", notice.reported},
       {"known_epoch", notice.known.epoch},
       {"known_revision", notice.known.revision}});
}

void logLine(const StaleListing& notice) {
  log(LogLevel::kWarning, "outdated listing dropped",
      {{"listed_epoch", notice.listed.epoch},
       {"listed_revision", notice.listed.revision},
       {"known_epoch", notice.known.epoch},
       {"known_revision", notice.known.revision}});
}

void logLine(const SourceRestored& notice) {
  log(LogLevel::kWarning, "configuration source restored from a backup",
      {{"epoch_before", notice.previous.epoch},
       {"revision_before", notice.previous.revision},
       {"epoch", notice.current.epoch},
       {"revision", notice.current.revision},
       {"configuration_version", notice.configurationVersion},
       {"leafs_listed", notice.leafsListed},
       {"leafs_awaited", notice.leafsRetained},
       {"leafs_disputed", notice.leafsConflicting}});
}

void logLine(const EpochsSupported& notice) {
  log(LogLevel::kInfo, "configuration source reports epochs", {{"first_epoch", notice.first}});
}

}  // namespace

void logNotice(const SourceNotice& notice) {
  std::visit([](const auto& specific) { logLine(specific); }, notice);
}

}  // namespace oakpier::serving
