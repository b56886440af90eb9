/// oakpier-proof: the whole proof over real processes with a chosen seed. Ends with 0 only when no checker
/// found a violation and the fleet came back to full service.

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

#include "history/checkers.h"
#include "history/history_file.h"
#include "programs/common/exit_codes.h"
#include "proof/proof_run.h"

namespace oakpier {

namespace {

int report(const ProofResult& result, std::uint64_t seed) {
  std::cout << "seed " << seed << ": " << result.history.entries_size() << " history entries\n";
  for (const auto& [kind, count] : result.faults) {
    std::cout << "  fault " << nameOf(kind) << ": " << count << "\n";
  }
  for (const auto& [outcome, count] : result.outcomes) {
    std::cout << "  " << outcome << ": " << count << "\n";
  }
  const Violations violations = checkAll(result.history);
  for (const auto& violation : violations) {
    std::cout << "VIOLATION " << violation.promise << ": " << violation.subject << ": " << violation.text
              << "\n";
  }
  std::cout << "  violations: " << violations.size() << "\n";
  std::cout << "  afterwards: " << (result.afterwards.empty() ? "full service" : result.afterwards)
            << std::endl;
  return violations.empty() && result.afterwards.empty() ? kExitOk : kExitFailure;
}

}  // namespace

}  // namespace oakpier

int main(int argumentCount, char** arguments) {
  CLI::App app("Proves the promises over real processes under faults drawn from a seed.", "oakpier-proof");
  oakpier::ProofOptions options;
  options.binaries = oakpier::ownFolder();
  double seconds = 30;
  std::string history;
  std::vector<std::string> kinds;
  app.add_option("--example", options.example, "Folder of the small example")
      ->required()
      ->check(CLI::ExistingDirectory);
  app.add_option("--seed", options.seed)->capture_default_str();
  app.add_option("--seconds", seconds)->check(CLI::Range(2.0, 7200.0))->capture_default_str();
  app.add_option("--faults", options.concurrentFaults, "Faults at a time")
      ->check(CLI::Range(0, 8))
      ->capture_default_str();
  app.add_option("--kind", kinds, "Only these kinds of faults");
  app.add_option("--rate", options.perSecond, "Queries a second of each service")->capture_default_str();
  app.add_option("--daemon-flag", options.daemonFlags, "Further flag of every daemon");
  app.add_option("--history", history, "Write the history to this file");
  app.add_option("--work-folder", options.workFolder, "For logs; a new temporary folder by default");
  CLI11_PARSE(app, argumentCount, arguments);
  options.length = oakpier::Duration(static_cast<std::int64_t>(seconds * 1e6));
  if (!kinds.empty()) {
    options.kinds.clear();
    for (const auto kind : oakpier::allFaultKinds()) {
      if (std::find(kinds.begin(), kinds.end(), oakpier::nameOf(kind)) != kinds.end()) {
        options.kinds.push_back(kind);
      }
    }
  }
  if (options.workFolder.empty()) {
    std::string name = (std::filesystem::temp_directory_path() / "oakpier-proof-XXXXXX").string();
    options.workFolder = mkdtemp(name.data()) == nullptr ? "." : name;
  }
  const oakpier::ProofResult result = oakpier::runProof(options);
  if (!history.empty()) {
    const std::string problem = oakpier::writeHistory(history, result.history);
    if (!problem.empty()) {
      std::cerr << problem << "\n";
    }
  }
  return oakpier::report(result, options.seed);
}
