/// Short fault-injection runs over real processes, with fixed seeds. `oakpier-proof` runs them longer.

#include <catch2/catch.hpp>
#include <filesystem>

#include "history/checkers.h"
#include "proof/proof_run.h"

namespace oakpier {

namespace {

void runWithFaults(std::uint64_t seed, const std::vector<FaultKind>& kinds) {
  std::string folder = (std::filesystem::temp_directory_path() / "oakpier-test-XXXXXX").string();
  REQUIRE(mkdtemp(folder.data()) != nullptr);
  ProofOptions options;
  options.example = std::string(OAKPIER_SOURCE_FOLDER) + "/examples/small";
  options.binaries = ownFolder();
  options.workFolder = folder;
  options.seed = seed;
  options.length = std::chrono::seconds(8);
  options.kinds = kinds;
  const ProofResult result = runProof(options);
  std::filesystem::remove_all(folder);
  for (const auto& violation : checkAll(result.history)) {
    FAIL_CHECK(violation.promise << ": " << violation.subject << ": " << violation.text);
  }
  REQUIRE(result.afterwards.empty());
  REQUIRE_FALSE(result.faults.empty());
}

}  // namespace

TEST_CASE("guarantees hold while daemons are killed, paused, stopped and partitioned", "[proof]") {
  runWithFaults(
      1, {FaultKind::kKillDaemon, FaultKind::kFreezeDaemon, FaultKind::kStopDaemon, FaultKind::kCutZone});
}

TEST_CASE("guarantees hold while leafs fail, leave and change snapshots and partitions", "[proof]") {
  runWithFaults(2, {FaultKind::kKillLeaf, FaultKind::kFreezeLeaf, FaultKind::kLeafLeaves,
                    FaultKind::kNextSnapshot, FaultKind::kRepartition, FaultKind::kUnrulyLeaf});
}

TEST_CASE("guarantees hold while the platform is down and operators make concurrent changes", "[proof]") {
  runWithFaults(3, {FaultKind::kPlatformOutage, FaultKind::kOperatorRace, FaultKind::kKillDaemon,
                    FaultKind::kStopDaemon});
}

}  // namespace oakpier
