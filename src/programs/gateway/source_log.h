#pragma once

/// Log lines for notices about the configuration source.

#include "coordination/serving/source_notices.h"

namespace oakpier::serving {

void logNotice(const SourceNotice& notice);

}  // namespace oakpier::serving
