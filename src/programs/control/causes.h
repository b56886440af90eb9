#pragma once

/// Adds up from gateways' log lines what requests lost and why, by route, cause and second.

#include <cstdint>
#include <istream>
#include <map>
#include <ostream>
#include <string>

namespace oakpier {

/// The losses that gateways wrote down. A request that got nothing, or its answer late, has lost 1; one that
/// got a share of the shards in time 1 less the square of the share.
struct LossReport {
  struct Route {
    std::uint64_t requests = 0;
    double lost = 0;
    /// By cause.
    std::map<std::string, double> causes;
    /// By cause, of shards that were served for other daemons; each counts 1.
    std::map<std::string, double> atOwners;
    /// By second of the processes' time of day.
    std::map<std::int64_t, double> seconds;
  };
  std::map<std::string, Route> routes;
  /// Lines that tell of losses and could not be read.
  std::uint64_t unreadable = 0;
};

/// Reads all lines and adds them to the report.
void addLosses(std::istream& lines, LossReport& report);
void printLosses(const LossReport& report, bool bySecond, std::ostream& out);
void printLossesAsJson(const LossReport& report, std::ostream& out);

}  // namespace oakpier
