#pragma once

/// Lines of the log on the following of the configuration source.

#include "coordination/serving/source_notices.h"

namespace oakpier::serving {

void logNotice(const SourceNotice& notice);

}  // namespace oakpier::serving
