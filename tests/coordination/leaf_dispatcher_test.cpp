#include "coordination/leaf_dispatcher.h"

#include <catch2/catch.hpp>

#include "simulation/simulated_fleet.h"

namespace oakpier {

namespace {

constexpr std::uint32_t kSlots = 2;

/// A dispatcher with the leafs of a small configuration and a manual clock.
struct Bench {
  Bench() {
    auto fresh = std::make_shared<RoutingView>();
    fresh->table = std::make_shared<const RoutingTable>(smallConfiguration(2), nullptr);
    fresh->owners.resize(2);
    fresh->leaving.resize(2);
    view = fresh;
  }

  DispatchActions work(std::uint32_t attempt, std::uint32_t priority, std::uint32_t remainingMs = 100) {
    WorkBatch batch;
    batch.set_work_id("w" + std::to_string(attempt));
    batch.set_request_id("r" + std::to_string(attempt));
    batch.set_priority(priority);
    batch.set_remaining_ms(remainingMs);
    WorkItem& item = *batch.add_items();
    item.set_attempt(attempt);
    item.set_leaf("leaf-0");
    item.set_shard("shard-0");
    return dispatcher.onWork(Endpoint(9, 9), std::make_shared<const WorkBatch>(batch),
                             now + fromMilliseconds(remainingMs), *view, now);
  }

  LeafState state(bool draining = false) const {
    LeafState reported;
    reported.set_slots(kSlots);
    reported.set_draining(draining);
    return reported;
  }

  LeafAnswer answerTo(const SendToLeaf& send, LeafStatus status = LEAF_OK) const {
    LeafAnswer answer;
    answer.set_request_id(send.task.batch->request_id());
    answer.set_shard("shard-0");
    answer.set_status(status);
    *answer.mutable_state() = state();
    return answer;
  }

  /// Reports the leaf's state, so that later work is sent without a status check.
  void reportLeafState() {
    const DispatchActions first = work(1000, 0);
    const DispatchActions second = dispatcher.onStatus(first.sends.at(0).exchange, state(), now);
    dispatcher.onAnswer(second.sends.at(0).exchange, answerTo(second.sends[0]), now);
  }

  LeafDispatcher dispatcher{true};
  std::shared_ptr<const RoutingView> view;
  Moment now{std::chrono::hours(1)};
};

NotSentReason onlyRefusal(const DispatchActions& actions) {
  REQUIRE(actions.replies.size() == 1);
  REQUIRE(actions.replies[0].results.results(0).status() == WORK_NOT_SENT);
  return actions.replies[0].results.results(0).reason();
}

}  // namespace

TEST_CASE("a leaf whose state is unknown or expired gets a status check before work", "[coordination]") {
  Bench bench;
  const DispatchActions first = bench.work(1, 0);
  REQUIRE(first.sends.size() == 1);
  REQUIRE(first.sends[0].statusOnly);
  const DispatchActions second = bench.dispatcher.onStatus(first.sends[0].exchange, bench.state(), bench.now);
  REQUIRE(second.sends.size() == 1);
  REQUIRE_FALSE(second.sends[0].statusOnly);
  bench.dispatcher.onAnswer(second.sends[0].exchange, bench.answerTo(second.sends[0]), bench.now);
  REQUIRE_FALSE(bench.work(2, 0).sends.at(0).statusOnly);
  bench.now += kStateLease;
  REQUIRE(bench.work(3, 0).sends.at(0).statusOnly);
  REQUIRE(bench.dispatcher.counters().statusChecks == 2);
}

TEST_CASE("a leaf that reports draining gets no work", "[coordination]") {
  Bench bench;
  const DispatchActions first = bench.work(1, 0);
  REQUIRE(onlyRefusal(bench.dispatcher.onStatus(first.sends[0].exchange, bench.state(true), bench.now)) ==
          NOT_SENT_DRAINING);
  REQUIRE(onlyRefusal(bench.work(2, 0)) == NOT_SENT_DRAINING);
}

TEST_CASE("requests in flight stay within the slots, highest class first", "[coordination]") {
  Bench bench;
  bench.reportLeafState();
  const DispatchActions one = bench.work(1, 5);
  const DispatchActions two = bench.work(2, 5);
  REQUIRE(one.sends.size() + two.sends.size() == kSlots);
  REQUIRE(bench.work(3, 5).sends.empty());
  REQUIRE(bench.work(4, 1).sends.empty());
  const DispatchActions freed =
      bench.dispatcher.onAnswer(one.sends[0].exchange, bench.answerTo(one.sends[0]), bench.now);
  REQUIRE(freed.sends.size() == 1);
  REQUIRE(freed.sends[0].task.workItem().attempt() == 4);
}

TEST_CASE("work that would miss its deadline is refused immediately with a retry-after time",
          "[coordination]") {
  Bench bench;
  bench.reportLeafState();
  DispatchActions last;
  for (std::uint32_t attempt = 1; attempt < 100 && last.replies.empty(); ++attempt) {
    last = bench.work(attempt, 0, 20);
  }
  REQUIRE(onlyRefusal(last) == NOT_SENT_QUEUE_FULL);
  REQUIRE(last.replies[0].results.results(0).retry_after_ms() > 0);
}

TEST_CASE("cancelling a request aborts it and frees its slot for the next", "[coordination]") {
  Bench bench;
  bench.reportLeafState();
  const DispatchActions one = bench.work(1, 0);
  bench.work(2, 0);
  bench.work(3, 0);
  CancelWork cancel;
  cancel.set_work_id("w1");
  cancel.add_attempts(1);
  const DispatchActions actions = bench.dispatcher.onCancel(cancel, bench.now);
  REQUIRE(actions.aborts.size() == 1);
  REQUIRE(actions.aborts[0].exchange == one.sends[0].exchange);
  REQUIRE(actions.sends.size() == 1);
  REQUIRE(actions.sends[0].task.workItem().attempt() == 3);
}

TEST_CASE("a sent request without an answer is never reported as not sent", "[coordination]") {
  Bench bench;
  bench.reportLeafState();
  const DispatchActions sent = bench.work(1, 0);
  bench.now += std::chrono::milliseconds(100);
  const DispatchActions actions = bench.dispatcher.onTimer(bench.now);
  REQUIRE(actions.aborts.size() == 1);
  REQUIRE(actions.replies.at(0).results.results(0).status() == WORK_NO_ANSWER);
  REQUIRE(bench.dispatcher.onAnswer(sent.sends[0].exchange, bench.answerTo(sent.sends[0]), bench.now)
              .replies.empty());
}

TEST_CASE("an answer with a different request id counts as no answer", "[coordination]") {
  Bench bench;
  bench.reportLeafState();
  const DispatchActions sent = bench.work(1, 0);
  LeafAnswer crossed = bench.answerTo(sent.sends[0]);
  crossed.set_request_id("r7");
  const DispatchActions actions = bench.dispatcher.onAnswer(sent.sends[0].exchange, crossed, bench.now);
  REQUIRE(actions.replies.at(0).results.results(0).status() == WORK_NO_ANSWER);
}

TEST_CASE("the limit of a leaf decreases when it sheds load and recovers with answers", "[coordination]") {
  LeafLimit limit(10);
  LeafState state;
  limit.onAnswer(LEAF_SHED, state);
  REQUIRE(limit.current() == 7);
  for (int answer = 0; answer < 100; ++answer) {
    limit.onAnswer(LEAF_OK, state);
  }
  REQUIRE(limit.current() == 10);
  state.set_cold(true);
  limit.onAnswer(LEAF_OK, state);
  REQUIRE(limit.current() == 1);
}

}  // namespace oakpier
