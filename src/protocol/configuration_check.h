#pragma once

/// Validates configurations.

#include <vector>

#include "oakpier/configuration.pb.h"
#include "oakpier/error.pb.h"

namespace oakpier {

/// All validation errors, each with the path of the field, its value and the allowed values. Empty if valid.
std::vector<Error> checkConfiguration(const Configuration& configuration);

}  // namespace oakpier
