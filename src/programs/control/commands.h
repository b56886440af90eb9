#pragma once

/// Commands of oakpierctl: each calls one daemon and prints the reply as a table or as JSON.

#include <string>

#include "state/endpoint.h"

namespace oakpier {

struct ControlOptions {
  Endpoint daemon;
  bool json = false;
};

// Each returns the program's exit code.
int showConfiguration(const ControlOptions& options);
int validateFile(const ControlOptions& options, const std::string& path);
/// Prints the difference, then applies it unless `dryRun` is set.
int applyFile(const ControlOptions& options, const std::string& path, bool dryRun);
int showStatus(const ControlOptions& options);
int drainLeaf(const ControlOptions& options, const std::string& leaf, bool drained);

}  // namespace oakpier
