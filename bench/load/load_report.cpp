#include "load/load_report.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <map>

namespace oakpier {

namespace {

namespace accumulators = boost::accumulators;
using Latencies =
    accumulators::accumulator_set<double,
                                  accumulators::stats<accumulators::tag::tail_quantile<accumulators::right>>>;

bool usable(const QueryRecord& record) {
  return record.delivery() == DELIVERY_ANSWERED &&
         (record.answer().outcome() == OUTCOME_COMPLETE || record.answer().outcome() == OUTCOME_PARTIAL);
}

double latencyMs(const QueryRecord& record) {
  return static_cast<double>(record.ended_us() - record.intended_us()) / 1000.0;
}

double round3(double value) { return std::round(value * 1000) / 1000; }

std::string outcomeName(const QueryRecord& record) {
  return record.delivery() == DELIVERY_ANSWERED ? Outcome_Name(record.answer().outcome())
                                                : Delivery_Name(record.delivery());
}

/// Percentiles of the records that `wanted` selects; empty when there are none.
template <typename Wanted>
nlohmann::ordered_json percentiles(const std::vector<const QueryRecord*>& records, Wanted wanted) {
  Latencies latencies(accumulators::right_tail_cache_size = records.size() + 1);
  std::size_t count = 0;
  for (const QueryRecord* record : records) {
    if (wanted(*record)) {
      latencies(latencyMs(*record));
      ++count;
    }
  }
  nlohmann::ordered_json summary;
  if (count == 0) {
    return summary;
  }
  const auto quantile = [&](double probability) {
    return round3(accumulators::quantile(latencies, accumulators::quantile_probability = probability));
  };
  summary["p50"] = quantile(0.5);
  summary["p90"] = quantile(0.9);
  summary["p99"] = quantile(0.99);
  summary["p999"] = quantile(0.999);
  return summary;
}

nlohmann::ordered_json reportStream(const std::vector<const QueryRecord*>& records) {
  nlohmann::ordered_json report;
  std::map<std::string, std::size_t> outcomes;
  double coverage = 0;
  std::size_t usableCount = 0;
  std::uint64_t needed = 0;
  std::uint64_t extra = 0;
  for (const QueryRecord* record : records) {
    ++outcomes[outcomeName(*record)];
    const int shards = record->answer().covered_size() + record->answer().lacking_size();
    needed += static_cast<std::uint64_t>(shards);
    extra += record->answer().extra_leaf_requests();
    if (usable(*record)) {
      ++usableCount;
      coverage += static_cast<double>(record->answer().covered_size()) / shards;
    }
  }
  report["queries"] = records.size();
  report["outcomes"] = outcomes;
  report["latency_ms"] = percentiles(records, usable);
  report["refusal_latency_ms"] = percentiles(
      records, [](const QueryRecord& record) { return record.answer().outcome() == OUTCOME_NOT_RUN; });
  report["mean_coverage"] = usableCount == 0 ? 0 : round3(coverage / static_cast<double>(usableCount));
  report["coverage_over_all"] = records.empty() ? 0 : round3(coverage / static_cast<double>(records.size()));
  report["extra_leaf_requests"] =
      needed == 0 ? 0 : round3(static_cast<double>(extra) / static_cast<double>(needed));
  return report;
}

}  // namespace

nlohmann::ordered_json reportStreams(const std::vector<LoadStream>& streams,
                                     const std::vector<PlannedQuery>& plan,
                                     const std::vector<QueryRecord>& records) {
  std::vector<std::vector<const QueryRecord*>> byStream(streams.size());
  for (std::size_t position = 0; position < plan.size(); ++position) {
    byStream[plan[position].stream].push_back(&records[position]);
  }
  nlohmann::ordered_json report;
  for (std::size_t number = 0; number < streams.size(); ++number) {
    report[streams[number].service + ":" + streams[number].priorityClass] = reportStream(byStream[number]);
  }
  return report;
}

nlohmann::ordered_json reportLeafWork(const std::vector<QueryRecord>& records, const LeafWork& work) {
  std::uint64_t needed = 0;
  for (const auto& record : records) {
    needed +=
        usable(record)
            ? static_cast<std::uint64_t>(record.answer().covered_size() + record.answer().lacking_size())
            : 0;
  }
  nlohmann::ordered_json report;
  report["needed"] = needed;
  report["executions"] = work.executions;
  report["cancelled"] = work.cancelled;
  report["ratio"] =
      needed == 0 ? 0 : round3(static_cast<double>(work.executions) / static_cast<double>(needed));
  return report;
}

}  // namespace oakpier
