#pragma once

/// The commands of oakpierctl, each a call to one daemon and a report for people (table) or scripts (JSON).

#include <string>

#include "state/endpoint.h"

namespace oakpier {

struct ControlOptions {
  Endpoint daemon;
  bool json = false;
};

/// Each returns the exit code of the program.
int showConfiguration(const ControlOptions& options);
int validateFile(const ControlOptions& options, const std::string& path);
/// Shows the difference first; changes nothing when `dryRun`.
int applyFile(const ControlOptions& options, const std::string& path, bool dryRun);
int showStatus(const ControlOptions& options);
int drainLeaf(const ControlOptions& options, const std::string& leaf, bool drained);

}  // namespace oakpier
