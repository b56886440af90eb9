#pragma once

/// The difference between two configurations, and its application. Changes, not whole configurations, travel
/// between daemons.

#include "oakpier/configuration.pb.h"

namespace oakpier {

/// What leads from `from` to `to`. The revision is left to the caller.
ConfigurationChange differenceBetween(const Configuration& from, const Configuration& to);

bool isEmpty(const ConfigurationChange& change);

/// Puts the change in place and takes over its revision. Items are kept sorted by name, so that daemons which
/// applied the same changes hold equal bytes; so they must be in `configuration` before.
void applyChange(const ConfigurationChange& change, Configuration& configuration);

}  // namespace oakpier
