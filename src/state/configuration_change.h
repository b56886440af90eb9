#pragma once

/// Computes and applies differences between configurations. Daemons exchange changes rather than complete
/// configurations.

#include "oakpier/configuration.pb.h"

namespace oakpier {

/// The change that turns `from` into `to`. The caller sets its revision.
ConfigurationChange differenceBetween(const Configuration& from, const Configuration& to);

bool isEmpty(const ConfigurationChange& change);

/// Applies the change and sets its revision. Requires items sorted by name in `configuration` and keeps them
/// sorted, so that daemons which applied the same changes serialize to the same bytes.
void applyChange(const ConfigurationChange& change, Configuration& configuration);

}  // namespace oakpier
