#pragma once

/// One gateway process: a request thread and a control thread that share the published serving view.

#include "programs/gateway/startup.h"
#include "protocol/serving/header_names.h"
#include "protocol/serving/source_dialect.h"

namespace oakpier::serving {

/// Waits until the settings can be used and the addresses are free, then serves until SIGTERM or SIGINT.
/// Rereads the settings meanwhile. Returns the process exit code.
int runGateway(const SettingsReader& read, const HeaderNames& names, const SourceDialect& dialect);

}  // namespace oakpier::serving
