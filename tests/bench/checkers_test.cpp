/// Every checker is shown a right history and one wrong in each way it is there to find.

#include "history/checkers.h"

#include <catch2/catch.hpp>
#include <functional>

namespace oakpier {

namespace {

constexpr std::uint64_t kSnapshot = 4;

/// One complete answer over two shards, executed once on each.
History rightHistory() {
  History history;
  Service& service = *history.add_entries()->mutable_configuration()->add_services();
  service.set_name("service");
  Partition& partition = *service.add_partitions();
  partition.add_shards()->set_name("s0");
  partition.add_shards()->set_name("s1");
  QueryRecord& query = *history.add_entries()->mutable_query();
  query.mutable_request()->set_request_id("r");
  query.mutable_request()->set_service("service");
  query.mutable_request()->set_not_repeatable(true);
  query.set_daemon("d");
  query.set_sent_us(100);
  query.set_ended_us(200);
  query.set_delivery(DELIVERY_ANSWERED);
  QueryAnswer& answer = *query.mutable_answer();
  answer.set_request_id("r");
  answer.set_outcome(OUTCOME_COMPLETE);
  answer.set_snapshot(kSnapshot);
  for (const char* shard : {"s0", "s1"}) {
    answer.add_covered(shard);
    Row& row = *answer.add_rows();
    row.set_key(std::string(shard) + "/0");
    row.set_shard(shard);
    row.set_value("r " + std::to_string(kSnapshot));
    ExecutionRecord& record = *history.add_entries()->mutable_execution();
    record.set_leaf("leaf");
    record.mutable_execution()->set_request_id("r");
    record.mutable_execution()->set_shard(shard);
    record.mutable_execution()->set_not_repeatable(true);
    record.mutable_execution()->set_started_us(1000);
  }
  RevisionRecord& seen = *history.add_entries()->mutable_revision();
  seen.set_daemon("d");
  seen.set_revision(2);
  seen.set_content("two");
  seen.set_connected(true);
  seen.set_seen_us(10'000);
  ChangeRecord& change = *history.add_entries()->mutable_change();
  change.set_revision(2);
  change.set_content("two");
  change.set_accepted_us(1000);
  change.set_bound_us(5000);
  return history;
}

QueryAnswer& answerOf(History& history) {
  return *history.mutable_entries(1)->mutable_query()->mutable_answer();
}
Execution& executionOf(History& history) {
  return *history.mutable_entries(2)->mutable_execution()->mutable_execution();
}
RevisionRecord& revisionOf(History& history) { return *history.mutable_entries(4)->mutable_revision(); }

using Checker = Violations (*)(const History&);

/// `make` must turn the right history into one that `checker`, and it alone of those listed, refuses.
void requireRefused(Checker checker, const std::function<void(History&)>& make) {
  History history = rightHistory();
  REQUIRE(checker(history).empty());
  make(history);
  REQUIRE_FALSE(checker(history).empty());
}

}  // namespace

TEST_CASE("a right history has no violations", "[bench]") { REQUIRE(checkAll(rightHistory()).empty()); }

TEST_CASE("mixed snapshots are refused", "[bench]") {
  requireRefused(checkOneSnapshot, [](History& h) { answerOf(h).mutable_rows(1)->set_value("r 5"); });
  requireRefused(checkOneSnapshot, [](History& h) { answerOf(h).set_snapshot(5); });
}

TEST_CASE("untrue coverage is refused", "[bench]") {
  requireRefused(checkTruthfulCoverage, [](History& h) { answerOf(h).add_lacking("s0"); });
  requireRefused(checkTruthfulCoverage, [](History& h) { answerOf(h).set_covered(1, "s7"); });
  requireRefused(checkTruthfulCoverage, [](History& h) { answerOf(h).mutable_covered()->RemoveLast(); });
  requireRefused(checkTruthfulCoverage, [](History& h) { answerOf(h).mutable_rows(1)->set_shard("s9"); });
  requireRefused(checkTruthfulCoverage, [](History& h) { answerOf(h).mutable_rows()->RemoveLast(); });
  requireRefused(checkTruthfulCoverage, [](History& h) { *answerOf(h).add_rows() = answerOf(h).rows(0); });
  requireRefused(checkTruthfulCoverage, [](History& h) { answerOf(h).set_outcome(OUTCOME_PARTIAL); });
  requireRefused(checkTruthfulCoverage, [](History& h) { answerOf(h).set_outcome(OUTCOME_UNKNOWN); });
}

TEST_CASE("another request's answer is refused", "[bench]") {
  requireRefused(checkOwnAnswer, [](History& h) { answerOf(h).set_request_id("other"); });
  requireRefused(checkOwnAnswer, [](History& h) { answerOf(h).mutable_rows(0)->set_value("other 4"); });
}

TEST_CASE("an executed request that is called not run is refused", "[bench]") {
  requireRefused(checkNotRun, [](History& h) { answerOf(h).set_outcome(OUTCOME_NOT_RUN); });
}

TEST_CASE("a second execution of a request not to be repeated is refused", "[bench]") {
  requireRefused(checkAtMostOnce, [](History& h) { *h.add_entries() = HistoryEntry(h.entries(2)); });
  History repeatable = rightHistory();
  executionOf(repeatable).set_not_repeatable(false);
  *repeatable.add_entries() = HistoryEntry(repeatable.entries(2));
  REQUIRE(checkAtMostOnce(repeatable).empty());
}

TEST_CASE("work at a leaf past its bound is refused", "[bench]") {
  requireRefused(checkLeaving, [](History& h) {
    LeavingRecord& leaving = *h.add_entries()->mutable_leaving();
    leaving.set_leaf("leaf");
    leaving.set_left_us(100);
    leaving.set_bound_us(500);
  });
}

TEST_CASE("a query cut off by a planned stop is refused", "[bench]") {
  requireRefused(checkPlannedStop, [](History& h) {
    StopRecord& stop = *h.add_entries()->mutable_stop();
    stop.set_daemon("d");
    stop.set_began_us(150);
    stop.set_ended_us(300);
    h.mutable_entries(1)->mutable_query()->set_delivery(DELIVERY_BROKEN);
  });
}

TEST_CASE("a configuration that reverts, forks or is late is refused", "[bench]") {
  requireRefused(checkConfiguration, [](History& h) {
    RevisionRecord& later = *h.add_entries()->mutable_revision();
    later = revisionOf(h);
    later.set_revision(1);
    later.set_content("one");
    later.set_connected(false);
  });
  requireRefused(checkConfiguration, [](History& h) { revisionOf(h).set_content("fork"); });
  requireRefused(checkConfiguration, [](History& h) {
    revisionOf(h).set_revision(1);
    revisionOf(h).set_content("one");
  });
}

}  // namespace oakpier
