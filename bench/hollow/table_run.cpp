#include "hollow/table_run.h"

#include <malloc.h>

#include <chrono>

#include "coordination/placement.h"
#include "simulation/simulated_fleet.h"
#include "state/configuration_change.h"
#include "state/configuration_store.h"
#include "state/hashing.h"

namespace oakpier {

namespace {

constexpr int kRepeats = 5;

std::size_t heapBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

/// Median milliseconds of processor time of `action`.
template <typename Action>
double milliseconds(Action action) {
  std::vector<double> times;
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    const auto began = std::chrono::steady_clock::now();
    action();
    times.push_back(
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began).count());
  }
  std::sort(times.begin(), times.end());
  return std::round(times[kRepeats / 2] * 1000) / 1000;
}

std::vector<Candidate> candidates(std::size_t count) {
  std::vector<Candidate> members;
  for (std::uint32_t number = 0; number < count; ++number) {
    members.push_back({Endpoint(number + 1, 1), hashText("zone-" + std::to_string(number % 3))});
  }
  return members;
}

ConfigurationChange oneLeafChange(const Configuration& configuration, std::uint64_t revision) {
  ConfigurationChange change;
  *change.add_put_leaves() = configuration.leaves(0);
  change.mutable_put_leaves(0)->set_slots(static_cast<std::uint32_t>(1 + revision % 5));
  change.set_revision(revision);
  return change;
}

}  // namespace

nlohmann::ordered_json runTables(const TableOptions& options) {
  nlohmann::ordered_json report;
  report["leaves"] = options.leaves;
  report["daemons"] = options.daemons;
  const Configuration configuration = smallConfiguration(options.leaves);
  report["whole_configuration_bytes"] = configuration.ByteSizeLong();

  std::size_t before = heapBytes();
  ConfigurationStore store;
  Proposal first;
  *first.mutable_change() = differenceBetween(Configuration(), configuration);
  first.mutable_change()->set_revision(1);
  first.set_cluster(1);
  const ChangesReply whole = [&] {
    ConfigurationStore founder;
    founder.adopt(first);
    return founder.changesSince(0);
  }();
  first.Clear();
  before = heapBytes();
  store.adopt(whole);
  report["store_bytes"] = heapBytes() - before;

  before = heapBytes();
  auto table = std::make_shared<const RoutingTable>(store.configuration(), nullptr);
  report["routing_table_bytes"] = heapBytes() - before;
  before = heapBytes();
  Placement placement;
  placement.updateLeaves(*table);
  placement.setMembers(candidates(options.daemons));
  report["placement_bytes"] = heapBytes() - before;

  std::uint64_t revision = 1;
  ConfigurationChange change;
  report["apply_change_ms"] = milliseconds([&] {
    Proposal proposal;
    change = oneLeafChange(store.configuration(), ++revision);
    *proposal.mutable_change() = change;
    proposal.set_cluster(1);
    store.adopt(proposal);
  });
  report["next_table_ms"] =
      milliseconds([&] { table = std::make_shared<const RoutingTable>(*table, change); });
  report["placement_of_change_ms"] = milliseconds([&] { placement.updateLeaves(*table); });
  report["whole_table_ms"] = milliseconds([&] { const RoutingTable built(store.configuration(), nullptr); });
  std::size_t members = options.daemons;
  report["placement_one_member_ms"] = milliseconds([&] { placement.setMembers(candidates(--members)); });
  return report;
}

}  // namespace oakpier
