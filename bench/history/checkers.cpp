#include "history/checkers.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace oakpier {

namespace {

constexpr const char* kOneSnapshot = "one snapshot";
constexpr const char* kTruthfulCoverage = "truthful coverage";
constexpr const char* kOwnAnswer = "own answer";
constexpr const char* kNotRun = "not run";
constexpr const char* kAtMostOnce = "at most once";
constexpr const char* kLeaving = "leaving";
constexpr const char* kPlannedStop = "planned stop";
constexpr const char* kConfiguration = "configuration";

/// What a stand-in leaf writes into each row: the request it ran and the snapshot it read.
struct RowContent {
  std::string requestId;
  std::uint64_t snapshot = 0;
};

RowContent contentOf(const Row& row) {
  RowContent content;
  std::istringstream(row.value()) >> content.requestId >> content.snapshot;
  return content;
}

template <typename Visit>
void forEachAnswer(const History& history, Visit visit) {
  for (const auto& entry : history.entries()) {
    if (entry.has_query() && entry.query().delivery() == DELIVERY_ANSWERED) {
      visit(entry.query());
    }
  }
}

template <typename Visit>
void forEachExecution(const History& history, Visit visit) {
  for (const auto& entry : history.entries()) {
    if (entry.has_execution()) {
      visit(entry.execution());
    }
  }
}

/// The shards of the service's partition at `snapshot`; empty when the history does not declare the service.
std::set<std::string> shardsAt(const History& history, const std::string& service, std::uint64_t snapshot) {
  std::set<std::string> shards;
  for (const auto& entry : history.entries()) {
    for (const auto& declared : entry.configuration().services()) {
      if (declared.name() != service) {
        continue;
      }
      for (const auto& partition : declared.partitions()) {
        if (partition.first_snapshot() <= snapshot || shards.empty()) {
          shards.clear();
          for (const auto& shard : partition.shards()) {
            shards.insert(shard.name());
          }
        }
      }
    }
  }
  return shards;
}

void checkShardLists(const History& history, const QueryRecord& query, Violations& violations) {
  const QueryAnswer& answer = query.answer();
  const auto fault = [&](const std::string& text) {
    violations.push_back({kTruthfulCoverage, query.request().request_id(), text});
  };
  const std::set<std::string> covered(answer.covered().begin(), answer.covered().end());
  const std::set<std::string> lacking(answer.lacking().begin(), answer.lacking().end());
  std::set<std::string> listed = covered;
  listed.insert(lacking.begin(), lacking.end());
  const auto names =
      static_cast<std::size_t>(answer.covered_size()) + static_cast<std::size_t>(answer.lacking_size());
  if (listed.size() != names) {
    fault("a shard is listed twice");
  }
  const std::set<std::string> asked = shardsAt(history, query.request().service(), answer.snapshot());
  const bool oneShard = !query.request().routing_key().empty();
  if (oneShard ? listed.size() != 1 : listed != asked) {
    fault("the shards listed are not those asked");
  }
  if ((answer.outcome() == OUTCOME_COMPLETE) != lacking.empty()) {
    fault("the outcome contradicts the lacking shards");
  }
}

void checkRows(const QueryRecord& query, Violations& violations) {
  const QueryAnswer& answer = query.answer();
  const std::set<std::string> covered(answer.covered().begin(), answer.covered().end());
  std::set<std::string> keys;
  std::map<std::string, int> perShard;
  for (const auto& row : answer.rows()) {
    ++perShard[row.shard()];
    if (!keys.insert(row.key()).second) {
      violations.push_back(
          {kTruthfulCoverage, query.request().request_id(), "row " + row.key() + " comes twice"});
    }
    if (covered.count(row.shard()) == 0) {
      violations.push_back({kTruthfulCoverage, query.request().request_id(), "a row of a shard not covered"});
    }
  }
  for (const auto& shard : covered) {
    // Stand-ins hold the same number of rows for every shard.
    const bool whole = !perShard.empty() && perShard[shard] == perShard.begin()->second;
    if (!answer.truncated() && !whole) {
      violations.push_back(
          {kTruthfulCoverage, query.request().request_id(), "rows of " + shard + " are missing"});
    }
  }
}

}  // namespace

Violations checkOneSnapshot(const History& history) {
  Violations violations;
  forEachAnswer(history, [&](const QueryRecord& query) {
    for (const auto& row : query.answer().rows()) {
      if (contentOf(row).snapshot != query.answer().snapshot()) {
        violations.push_back({kOneSnapshot, query.request().request_id(), "a row is of another snapshot"});
      }
    }
    const bool rowsWithoutSnapshot = query.answer().snapshot() == 0 && !query.answer().rows().empty();
    if (rowsWithoutSnapshot) {
      violations.push_back({kOneSnapshot, query.request().request_id(), "rows without a snapshot"});
    }
  });
  return violations;
}

Violations checkTruthfulCoverage(const History& history) {
  Violations violations;
  forEachAnswer(history, [&](const QueryRecord& query) {
    const bool usable =
        query.answer().outcome() == OUTCOME_COMPLETE || query.answer().outcome() == OUTCOME_PARTIAL;
    if (usable) {
      checkShardLists(history, query, violations);
      checkRows(query, violations);
    } else if (!query.answer().rows().empty()) {
      violations.push_back(
          {kTruthfulCoverage, query.request().request_id(), "rows without a usable outcome"});
    }
  });
  return violations;
}

Violations checkOwnAnswer(const History& history) {
  Violations violations;
  forEachAnswer(history, [&](const QueryRecord& query) {
    const std::string& id = query.request().request_id();
    if (query.answer().request_id() != id) {
      violations.push_back({kOwnAnswer, id, "answered as " + query.answer().request_id()});
    }
    for (const auto& row : query.answer().rows()) {
      if (contentOf(row).requestId != id) {
        violations.push_back({kOwnAnswer, id, "a row of request " + contentOf(row).requestId});
      }
    }
  });
  return violations;
}

Violations checkNotRun(const History& history) {
  std::set<std::string> executed;
  forEachExecution(history,
                   [&](const ExecutionRecord& record) { executed.insert(record.execution().request_id()); });
  // A caller may send an id again; only when every send of it is said not to have run must none have.
  std::map<std::string, bool> neverRan;
  for (const auto& entry : history.entries()) {
    if (entry.has_query()) {
      const QueryRecord& query = entry.query();
      const bool notRun =
          query.delivery() == DELIVERY_NOT_CONNECTED ||
          (query.delivery() == DELIVERY_ANSWERED && query.answer().outcome() == OUTCOME_NOT_RUN);
      bool& so = neverRan.emplace(query.request().request_id(), true).first->second;
      so = so && notRun;
    }
  }
  Violations violations;
  for (const auto& [id, so] : neverRan) {
    if (so && executed.count(id) != 0) {
      violations.push_back({kNotRun, id, "answered as not run, but a leaf executed it"});
    }
  }
  return violations;
}

Violations checkAtMostOnce(const History& history) {
  std::map<std::pair<std::string, std::string>, int> runs;
  forEachExecution(history, [&](const ExecutionRecord& record) {
    if (record.execution().not_repeatable()) {
      ++runs[{record.execution().request_id(), record.execution().shard()}];
    }
  });
  Violations violations;
  for (const auto& [run, count] : runs) {
    if (count > 1) {
      violations.push_back(
          {kAtMostOnce, run.first, run.second + " executed it " + std::to_string(count) + " times"});
    }
  }
  return violations;
}

Violations checkLeaving(const History& history) {
  Violations violations;
  for (const auto& entry : history.entries()) {
    if (!entry.has_leaving()) {
      continue;
    }
    const LeavingRecord& leaving = entry.leaving();
    forEachExecution(history, [&](const ExecutionRecord& record) {
      const bool after = record.execution().started_us() > leaving.left_us() + leaving.bound_us();
      const bool before =
          leaving.returned_us() == 0 || record.execution().started_us() < leaving.returned_us();
      if (record.leaf() == leaving.leaf() && after && before) {
        violations.push_back(
            {kLeaving, leaving.leaf(), "executed " + record.execution().request_id() + " after its bound"});
      }
    });
  }
  return violations;
}

Violations checkPlannedStop(const History& history) {
  Violations violations;
  for (const auto& entry : history.entries()) {
    if (!entry.has_stop()) {
      continue;
    }
    for (const auto& other : history.entries()) {
      const QueryRecord& query = other.query();
      const bool inTime =
          query.sent_us() <= entry.stop().ended_us() && query.ended_us() >= entry.stop().began_us();
      if (other.has_query() && query.daemon() == entry.stop().daemon() && inTime &&
          query.delivery() == DELIVERY_BROKEN) {
        violations.push_back({kPlannedStop, query.request().request_id(), "cut off: " + query.problem()});
      }
    }
  }
  return violations;
}

Violations checkConfiguration(const History& history) {
  Violations violations;
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> highest;
  std::map<std::uint64_t, std::string> contents;
  const auto sameContent = [&](const std::string& subject, std::uint64_t revision,
                               const std::string& content) {
    if (!content.empty() && contents.emplace(revision, content).first->second != content) {
      violations.push_back(
          {kConfiguration, subject, "revision " + std::to_string(revision) + " has two contents"});
    }
  };
  for (const auto& entry : history.entries()) {
    if (entry.has_change()) {
      sameContent("operator", entry.change().revision(), entry.change().content());
    }
    if (!entry.has_revision()) {
      continue;
    }
    const RevisionRecord& seen = entry.revision();
    sameContent(seen.daemon(), seen.revision(), seen.content());
    std::uint64_t& before = highest[{seen.daemon(), seen.incarnation()}];
    if (seen.revision() < before) {
      violations.push_back(
          {kConfiguration, seen.daemon(), "fell back to revision " + std::to_string(seen.revision())});
    }
    before = std::max(before, seen.revision());
    for (const auto& other : history.entries()) {
      const ChangeRecord& change = other.change();
      const bool due =
          other.has_change() && seen.connected() && seen.seen_us() > change.accepted_us() + change.bound_us();
      if (due && seen.revision() < change.revision()) {
        violations.push_back({kConfiguration, seen.daemon(),
                              "revision " + std::to_string(change.revision()) + " is not in force in time"});
      }
    }
  }
  return violations;
}

Violations checkAll(const History& history) {
  Violations all;
  for (const auto check : {checkOneSnapshot, checkTruthfulCoverage, checkOwnAnswer, checkNotRun,
                           checkAtMostOnce, checkLeaving, checkPlannedStop, checkConfiguration}) {
    for (auto& violation : check(history)) {
      all.push_back(std::move(violation));
    }
  }
  return all;
}

}  // namespace oakpier
