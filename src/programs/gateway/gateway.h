#pragma once

/// One gateway process: a request thread and a control thread, joined by the published serving view.

#include <functional>
#include <optional>

#include "programs/gateway/gateway_settings.h"
#include "protocol/serving/header_names.h"
#include "protocol/serving/source_dialect.h"

namespace oakpier::serving {

/// Reads the settings again; empty when they cannot be used, after saying why in the log.
using SettingsReload = std::function<std::optional<GatewaySettings>()>;

/// Serves until SIGTERM or SIGINT. Returns the exit code.
int runGateway(const GatewaySettings& settings, const HeaderNames& names, const SourceDialect& dialect,
               const SettingsReload& reload);

}  // namespace oakpier::serving
