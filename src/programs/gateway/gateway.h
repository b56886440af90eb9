#pragma once

/// One gateway process: a request thread and a control thread that share the published serving view.

#include <functional>
#include <optional>

#include "programs/gateway/gateway_settings.h"
#include "protocol/serving/header_names.h"
#include "protocol/serving/source_dialect.h"

namespace oakpier::serving {

/// Rereads the settings. Returns nothing if they are invalid, after logging the reason.
using SettingsReload = std::function<std::optional<GatewaySettings>()>;

/// Serves until SIGTERM or SIGINT. Returns the process exit code.
int runGateway(const GatewaySettings& settings, const HeaderNames& names, const SourceDialect& dialect,
               const SettingsReload& reload);

}  // namespace oakpier::serving
