#pragma once

/// Decides whether a configuration may be accepted.

#include <vector>

#include "oakpier/configuration.pb.h"
#include "oakpier/error.pb.h"

namespace oakpier {

/// Every fault found, each with the path of the field, its value and what is allowed. Empty = valid.
std::vector<Error> checkConfiguration(const Configuration& configuration);

}  // namespace oakpier
