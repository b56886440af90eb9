/// oakpier-check: reads a history and names every broken promise.

#include <CLI/CLI.hpp>
#include <iostream>

#include "history/checkers.h"
#include "history/history_file.h"
#include "programs/common/exit_codes.h"

int main(int argumentCount, char** arguments) {
  CLI::App app("Checks a history against the promises in docs/PROOFS.md.", "oakpier-check");
  std::string path;
  app.add_option("history", path, "File written by oakpier-load or oakpier-proof")->required();
  try {
    app.parse(argumentCount, arguments);
  } catch (const CLI::ParseError& problem) {
    return app.exit(problem) == 0 ? oakpier::kExitOk : oakpier::kExitUsage;
  }
  oakpier::History history;
  const std::string problem = oakpier::readHistory(path, history);
  if (!problem.empty()) {
    std::cerr << problem << "\n";
    return oakpier::kExitUsage;
  }
  const oakpier::Violations violations = oakpier::checkAll(history);
  for (const auto& violation : violations) {
    std::cout << violation.promise << ": " << violation.subject << ": " << violation.text << "\n";
  }
  std::cout << history.entries_size() << " entries, " << violations.size() << " violations\n";
  return violations.empty() ? oakpier::kExitOk : oakpier::kExitFailure;
}
