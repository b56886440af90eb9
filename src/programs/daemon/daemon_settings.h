#pragma once

/// The settings of oakpierd, from a settings file (TOML) and flags; flags take precedence.

#include <string>
#include <variant>
#include <vector>

#include "coordination/entry_query.h"
#include "programs/common/logging.h"
#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier {

struct DaemonSettings {
  Endpoint callerAddress;
  Endpoint operatorAddress;
  Endpoint peerAddress;
  std::string zone;
  /// Seed peers in addition to those on the platform's list.
  std::vector<Endpoint> peers;
  /// A default endpoint if there is no platform.
  Endpoint platform;
  Duration platformPeriod{0};
  /// Limit of concurrent queries over all classes.
  std::uint32_t maxQueries = 0;
  std::uint32_t ownerThreads = 0;
  std::size_t maxRequestBytes = 0;
  std::size_t voters = 0;
  Duration probePeriod{0};
  Duration stopTimeout{0};
  Duration repeatWindow{0};
  QueryPolicy policy;
  bool admission = true;
  LogLevel logLevel = LogLevel::kInfo;
  bool checkConfigOnly = false;
  /// For tests only: serve the fault injection interface, which blocks traffic with chosen peers.
  bool allowFaultInjection = false;
};

/// Text to print before exiting with `code`.
struct SettingsExit {
  int code = 0;
  std::string text;
};

std::variant<DaemonSettings, SettingsExit> readDaemonSettings(int argumentCount,
                                                              const char* const* arguments);

}  // namespace oakpier
