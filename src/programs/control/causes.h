#pragma once

/// Aggregates the losses that gateways log, by route, cause and second.

#include <cstdint>
#include <istream>
#include <map>
#include <ostream>
#include <string>

namespace oakpier {

/// Loss is 1 for a request without an answer, or with one after its target latency. For an answer in time
/// from a fraction f of the shards it is 1 - f^2.
struct LossReport {
  struct Route {
    std::uint64_t requests = 0;
    double lost = 0;
    /// By cause.
    std::map<std::string, double> causes;
    /// Losses that owners log for shards delegated to them, by cause; each shard counts 1.
    std::map<std::string, double> delegatedCauses;
    /// By second since 1970 (Unix time), on the clocks of the gateways.
    std::map<std::int64_t, double> seconds;
  };
  std::map<std::string, Route> routes;
  /// Loss lines with missing or invalid fields.
  std::uint64_t malformedLines = 0;
};

/// Reads log lines up to the end of the stream and adds their losses to the report.
void readLosses(std::istream& lines, LossReport& report);
void printLosses(const LossReport& report, bool bySecond, std::ostream& out);
void printLossesAsJson(const LossReport& report, std::ostream& out);

}  // namespace oakpier
