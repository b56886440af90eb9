#pragma once

/// The daemon's metrics, in the Prometheus text format at /metrics. docs/OPERATIONS.md explains each.

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "coordination/entry_query.h"
#include "coordination/leaf_dispatcher.h"
#include "coordination/membership.h"
#include "oakpier/caller.pb.h"

namespace oakpier {

/// Values collected from the daemon's components at each scrape.
struct DaemonGauges {
  std::uint64_t revision = 0;
  bool ready = false;
  std::size_t members = 0;
  std::size_t queriesInFlight = 0;
  std::size_t ownerBusy = 0;
  std::size_t leafConnections = 0;
  std::uint64_t pauses = 0;
  std::uint64_t platformFailures = 0;
  double processorSeconds = 0;
  std::uint64_t residentBytes = 0;
  std::uint64_t framesSent = 0;
  std::uint64_t framesReceived = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t controlFramesSent = 0;
  std::uint64_t controlBytesSent = 0;
  std::uint64_t framesUndeliverable = 0;
  std::uint64_t framesStale = 0;
  DispatchCounters dispatch;
  MembershipCounters membership;
};

/// Thread-safe.
class DaemonMetrics {
 public:
  DaemonMetrics();

  void countAnswer(const std::string& service, const std::string& priorityClass, const QueryAnswer& answer,
                   Duration elapsed);
  void count(const QueryCounters& counters);

  /// The response body of /metrics.
  std::string text(const DaemonGauges& gauges);

 private:
  void set(const std::string& name, const std::string& help, double value);

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Family<prometheus::Counter>& decisions_;
};

}  // namespace oakpier
