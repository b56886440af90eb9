#include "coordination/serving/query.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "serving/support/serving_fixtures.h"
#include "support/property.h"

namespace oakpier::serving {

namespace {

using Kind = LeafOutcome::Kind;

std::string record(char letter) { return std::string(16, letter); }

const std::vector<std::string> kShards{"s0", "s1", "s2", "s3"};

/// Starts the query and reports every first send as written.
QueryActions startAndWrite(Query& query, Moment now) {
  QueryActions started = query.start(now);
  for (const SendAction& send : started.sends) {
    query.onWriteStarted(send.exchange);
  }
  return started;
}

}  // namespace

TEST_CASE("a query answers with the merged top records as soon as all shards have answered", "[serving]") {
  const auto view = viewOf({gatherRoute(kShards, 0.5)}, kShards, 2);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  const QueryActions started = query.start(at(0));
  REQUIRE(started.sends.size() == 4);
  QueryActions last;
  char letter = 'a';
  for (const SendAction& send : started.sends) {
    query.onWriteStarted(send.exchange);
    last = query.onOutcome(send.exchange, outcomeOf(Kind::kAnswered, record(letter++)), at(10));
  }
  const auto& answer = std::get<MergedAnswer>(*last.answer);
  REQUIRE(answer.records == record('d') + record('c') + record('b'));
  REQUIRE(answer.signatures.size() == 4);
  REQUIRE(answer.missingShards == 0);
}

TEST_CASE("when the caller disconnects, pending exchanges are cancelled and nothing more is sent",
          "[serving]") {
  const auto view = viewOf({gatherRoute(kShards, 0.75)}, kShards, 2);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  const QueryActions started = startAndWrite(query, at(0));
  query.onOutcome(started.sends[0].exchange, outcomeOf(Kind::kAnswered, record('a')), at(5));
  const QueryActions disconnected = query.onCallerDisconnected();
  const std::vector<ExchangeId> pending{started.sends[1].exchange, started.sends[2].exchange,
                                        started.sends[3].exchange};
  REQUIRE(disconnected.cancellations == pending);
  REQUIRE_FALSE(disconnected.answer);
  REQUIRE(query.finished());
  REQUIRE(query.onTimer(at(150)).sends.empty());
  REQUIRE(query.nextDecisionAt() == kNever);
}

TEST_CASE("near the target latency a query answers with the shards received so far", "[serving]") {
  const auto view = viewOf({gatherRoute(kShards, 0.75)}, kShards, 2);
  QueryWorld world(view, 0);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  const QueryActions started = startAndWrite(query, at(0));
  for (std::size_t place = 0; place < 3; ++place) {
    REQUIRE_FALSE(query.onOutcome(started.sends[place].exchange, outcomeOf(Kind::kAnswered), at(10)).answer);
  }
  REQUIRE_FALSE(query.onTimer(at(100)).answer);
  const QueryActions last = query.onTimer(at(190));
  REQUIRE(std::get<MergedAnswer>(*last.answer).missingShards == 1);
  REQUIRE(last.cancellations == std::vector<ExchangeId>{started.sends[3].exchange});
}

TEST_CASE("with too few shards a query waits and fails at its deadline", "[serving]") {
  const auto view = viewOf({gatherRoute(kShards, 0.75)}, kShards, 1);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(500));
  const QueryActions started = query.start(at(0));
  query.onWriteStarted(started.sends[0].exchange);
  query.onOutcome(started.sends[0].exchange, outcomeOf(Kind::kAnswered), at(10));
  REQUIRE_FALSE(query.onTimer(at(300)).answer);
  REQUIRE(std::get<Failure>(*query.onTimer(at(500)).answer).timedOut);
}

TEST_CASE("a query that cannot get enough shards any more fails immediately", "[serving]") {
  Route route = gatherRoute(kShards, 0.75);
  route.attempts = 1;
  const auto view = viewOf({route}, kShards, 1);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  const QueryActions started = startAndWrite(query, at(0));
  const auto lost = [&](std::size_t send, int moment) {
    return query.onOutcome(started.sends[send].exchange, outcomeOf(Kind::kLeafFailed), at(moment));
  };
  // One of four may be missing.
  REQUIRE_FALSE(lost(0, 5).answer);
  const QueryActions ended = lost(1, 6);
  REQUIRE(ended.answer);
  REQUIRE_FALSE(std::get<Failure>(*ended.answer).timedOut);
  REQUIRE(ended.cancellations ==
          std::vector<ExchangeId>{started.sends[2].exchange, started.sends[3].exchange});
}

TEST_CASE("a query that lacks too many shards at the leafs' deadline retries them with a new deadline",
          "[serving]") {
  const auto view = viewOf({gatherRoute(kShards, 0.75)}, kShards, 2);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  const QueryActions started = startAndWrite(query, at(0));
  query.onOutcome(started.sends[0].exchange, outcomeOf(Kind::kAnswered, record('a')), at(10));
  query.onOutcome(started.sends[1].exchange, outcomeOf(Kind::kAnswered, record('b')), at(10));
  // Too late for another send within the target latency; the fourth part is still pending.
  REQUIRE(query.onOutcome(started.sends[2].exchange, outcomeOf(Kind::kNotExecuted), at(199)).sends.empty());
  REQUIRE_FALSE(query.onTimer(at(199)).answer);
  REQUIRE(query.nextDecisionAt() <= at(200));
  const QueryActions retried = query.onTimer(at(200));
  REQUIRE(retried.sends.size() == 2);
  for (const SendAction& send : retried.sends) {
    REQUIRE(send.deadline == at(400));
    query.onWriteStarted(send.exchange);
  }
  REQUIRE(query.onTimer(at(210)).sends.empty());
  const QueryActions last =
      query.onOutcome(retried.sends[0].exchange, outcomeOf(Kind::kAnswered, record('c')), at(230));
  REQUIRE(std::get<MergedAnswer>(*last.answer).missingShards == 1);
  REQUIRE_FALSE(last.cancellations.empty());
}

TEST_CASE("a query with enough shards does not wait for one that could only be late", "[serving]") {
  const auto view = viewOf({gatherRoute(kShards, 0.75)}, kShards, 2);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  const QueryActions started = startAndWrite(query, at(0));
  const Moment late = at(170);
  REQUIRE(query.onOutcome(started.sends[3].exchange, outcomeOf(Kind::kNoAnswer), late).sends.empty());
  for (std::size_t place = 0; place < 2; ++place) {
    REQUIRE_FALSE(query.onOutcome(started.sends[place].exchange, outcomeOf(Kind::kAnswered), late).answer);
  }
  const QueryActions last = query.onOutcome(started.sends[2].exchange, outcomeOf(Kind::kAnswered), late);
  REQUIRE(std::get<MergedAnswer>(*last.answer).missingShards == 1);
}

TEST_CASE("an unanswered part gets at most one late retry", "[serving]") {
  const auto view = viewOf({gatherRoute({"s0"}, 1.0)}, {"s0"}, 4);
  QueryWorld world(view);
  Route route = view->configuration->routes[0];
  route.attempts = 4;
  Query query(view, route, *world.context, at(0), at(2000));
  const QueryActions started = query.start(at(0));
  query.onWriteStarted(started.sends[0].exchange);
  query.onOutcome(started.sends[0].exchange, outcomeOf(Kind::kNoAnswer), at(190));
  const QueryActions retried = query.onTimer(at(200));
  REQUIRE(retried.sends.size() == 1);
  query.onWriteStarted(retried.sends[0].exchange);
  const QueryActions last = query.onOutcome(retried.sends[0].exchange, outcomeOf(Kind::kNoAnswer), at(395));
  REQUIRE(last.sends.empty());
  REQUIRE(std::holds_alternative<Failure>(*last.answer));
}

TEST_CASE("the leafs' deadline of a scatter-gather query is the target latency", "[serving]") {
  const auto view = viewOf({gatherRoute(kShards, 0.75), singleRoute("s0", true, 2)}, kShards, 1);
  QueryWorld world(view);
  const Query gathered(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  REQUIRE(gathered.leafDeadline() == at(200));
  const Query hurried(view, view->configuration->routes[0], *world.context, at(0), at(100));
  REQUIRE(hurried.leafDeadline() < at(100));
  const Query single(view, view->configuration->routes[1], *world.context, at(0), at(1000));
  REQUIRE(single.leafDeadline() > at(900));
}

TEST_CASE("a slow shard is hedged to its other replica before the target latency", "[serving]") {
  const auto view = viewOf({gatherRoute({"s0"}, 1.0)}, {"s0"}, 2);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  const QueryActions started = query.start(at(0));
  query.onWriteStarted(started.sends[0].exchange);
  const Moment hedgeAt = query.nextDecisionAt();
  REQUIRE(hedgeAt < at(190));
  const QueryActions hedged = query.onTimer(hedgeAt);
  REQUIRE(hedged.sends.size() == 1);
  REQUIRE(hedged.sends[0].leaf != started.sends[0].leaf);
  const QueryActions last =
      query.onOutcome(hedged.sends[0].exchange, outcomeOf(Kind::kAnswered, record('x')), at(120));
  REQUIRE(std::get<MergedAnswer>(*last.answer).records == record('x'));
}

TEST_CASE("nothing is sent with less time than a leaf usually takes", "[serving]") {
  const auto view = viewOf({gatherRoute({"s0"}, 1.0)}, {"s0"}, 3);
  QueryWorld world(view);
  const Route& route = view->configuration->routes[0];
  for (int answers = 0; answers < 100; ++answers) {
    world.context->latencyOf(route).record(std::chrono::milliseconds(40), at(answers));
  }
  Query query(view, route, *world.context, at(1000), at(3000));
  const QueryActions started = query.start(at(1000));
  REQUIRE(started.sends[0].deadline == at(1200));
  REQUIRE(started.sends[0].minTimeLeft == std::chrono::milliseconds(40));
  query.onWriteStarted(started.sends[0].exchange);
  SECTION("a retry is sent while the time left suffices for the usual latency") {
    const auto retried = query.onOutcome(started.sends[0].exchange, outcomeOf(Kind::kNoAnswer), at(1159));
    REQUIRE(retried.sends.size() == 1);
  }
  SECTION("a later retry is not sent and takes no token") {
    const double before = world.budgets.fillRatio("s0", at(1161));
    const auto retried = query.onOutcome(started.sends[0].exchange, outcomeOf(Kind::kNoAnswer), at(1161));
    REQUIRE(retried.sends.empty());
    REQUIRE(world.budgets.fillRatio("s0", at(1161)) == before);
  }
  SECTION("a later hedge is not sent") {
    const QueryActions late = query.onTimer(at(1165));
    REQUIRE(late.sends.empty());
  }
}

TEST_CASE("a request that expires unsent counts as not executed and not as a failure of the leaf",
          "[serving]") {
  const auto view = viewOf({singleRoute("s0", true, 2)}, {"s0"}, 2);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  QueryActions actions = query.start(at(0));
  std::size_t sends = 0;
  while (!actions.answer) {
    REQUIRE(actions.sends.size() == 1);
    ++sends;
    const SendAction send = actions.sends[0];
    send.leaf->onFinished(send.exchange, Kind::kExpired, at(10));
    REQUIRE_FALSE(send.leaf->ejected(at(10)));
    REQUIRE(send.leaf->inProgress() == 0);
    actions = query.onOutcome(send.exchange, outcomeOf(Kind::kExpired), at(10));
  }
  REQUIRE(sends == 2);
  REQUIRE(std::holds_alternative<Refusal>(*actions.answer));
  REQUIRE(world.budgets.fillRatio("s0", at(10)) > 0);
}

TEST_CASE("the token of an extra attempt that did not reach a leaf is returned", "[serving]") {
  const auto view = viewOf({gatherRoute({"s0"}, 1.0)}, {"s0"}, 3);
  QueryWorld world(view, 4);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  const QueryActions started = query.start(at(0));
  query.onWriteStarted(started.sends[0].exchange);
  const double before = world.budgets.fillRatio("s0", at(1));
  const QueryActions hedged = query.onTimer(query.nextDecisionAt());
  REQUIRE(hedged.sends.size() == 1);
  REQUIRE(world.budgets.fillRatio("s0", at(1)) < before);
  const Kind unsent = GENERATE(Kind::kExpired, Kind::kNotSent);
  query.onOutcome(hedged.sends[0].exchange, outcomeOf(unsent), at(100));
  REQUIRE(world.budgets.fillRatio("s0", at(100)) == before);
}

TEST_CASE("a request that every leaf rejects is refused with a retry delay", "[serving]") {
  const auto view = viewOf({singleRoute("s", false, 2)}, {"s"}, 2);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  QueryActions actions = query.start(at(0));
  while (!actions.answer) {
    REQUIRE(actions.sends.size() == 1);
    query.onWriteStarted(actions.sends[0].exchange);
    actions = query.onOutcome(actions.sends[0].exchange, outcomeOf(Kind::kNotExecuted), at(1));
  }
  REQUIRE(std::get<Refusal>(*actions.answer).retryAfter.count() > 0);
}

TEST_CASE("a request that is not repeatable is not sent again once it may have been executed", "[serving]") {
  const Kind kind = GENERATE(Kind::kNoAnswer, Kind::kLeafFailed, Kind::kCancelled);
  const auto view = viewOf({singleRoute("s", false, 3)}, {"s"}, 4);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  const QueryActions started = query.start(at(0));
  REQUIRE(started.sends.size() == 1);
  query.onWriteStarted(started.sends[0].exchange);
  REQUIRE(query.onTimer(at(1000)).sends.empty());
  const QueryActions last = query.onOutcome(started.sends[0].exchange, outcomeOf(kind), at(1001));
  REQUIRE(last.sends.empty());
  REQUIRE(last.answer);
  REQUIRE_FALSE(std::holds_alternative<Refusal>(*last.answer));
}

TEST_CASE("a leaf's error response is forwarded if no attempt is left", "[serving]") {
  const auto view = viewOf({singleRoute("s", true, 1)}, {"s"}, 2);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  const QueryActions started = query.start(at(0));
  query.onWriteStarted(started.sends[0].exchange);
  const auto last = query.onOutcome(started.sends[0].exchange, outcomeOf(Kind::kLeafFailed), at(5));
  REQUIRE(std::get<ForwardedAnswer>(*last.answer).reply->status == 500);
}

namespace {

/// Feeds generated outcomes to one query and checks its invariants at each step.
class GeneratedRun {
 public:
  GeneratedRun(const Route& route, std::size_t replicas, double retryTokens)
      : view_(viewOf({route}, kShards, replicas)),
        world_(view_, retryTokens),
        route_(view_->configuration->routes[0]),
        retryTokens_(retryTokens),
        query_(view_, route_, *world_.context, at(0), at(kDeadline)) {}

  void play() {
    take(query_.start(at(now_)));
    while (!answer_) {
      step();
    }
    checkAnswer();
    RC_ASSERT(query_.onTimer(at(now_ + 1000)).sends.empty());
  }

 private:
  static constexpr int kDeadline = 600;
  struct Sent {
    SendAction action;
    bool written = false;
  };

  void step() {
    now_ += *rc::gen::inRange(1, 60);
    if (sent_.empty() || *rc::gen::inRange(0, 3) == 0) {
      take(query_.onTimer(at(now_)));
      RC_ASSERT(answer_ || now_ < kDeadline);
      return;
    }
    const auto place = *rc::gen::inRange<std::size_t>(0, sent_.size());
    if (!sent_[place].written && *rc::gen::arbitrary<bool>()) {
      write(sent_[place]);
    } else {
      const Sent finished = sent_[place];
      sent_.erase(sent_.begin() + static_cast<std::ptrdiff_t>(place));
      finish(finished);
    }
  }

  void write(Sent& sent) {
    sent.written = true;
    query_.onWriteStarted(sent.action.exchange);
    const std::string& service = sent.action.leaf->entry().service;
    RC_ASSERT(++arrivals_[service] - 1 <= retryTokens_);
  }

  void finish(const Sent& sent) {
    const Kind kind = sent.written ? *rc::gen::element(Kind::kAnswered, Kind::kLeafFailed, Kind::kNotExecuted,
                                                       Kind::kWrongInstance, Kind::kNoAnswer)
                                   : *rc::gen::element(Kind::kNotSent, Kind::kExpired);
    if (kind != Kind::kNotSent && kind != Kind::kExpired && kind != Kind::kNotExecuted &&
        kind != Kind::kWrongInstance) {
      ++mayHaveExecuted_;
      const LeafEntry& leaf = sent.action.leaf->entry();
      ranAt_[leaf.service].insert(leaf.id);
      RC_ASSERT(ranAt_[leaf.service].size() <= route_.attempts);
    }
    take(query_.onOutcome(sent.action.exchange, outcomeOf(kind, record('r')), at(now_)));
  }

  void take(const QueryActions& actions) {
    for (const SendAction& send : actions.sends) {
      const bool alone = sent_.empty() && mayHaveExecuted_ == 0;
      RC_ASSERT(route_.repeatable || alone);
      sent_.push_back(Sent{send});
    }
    RC_ASSERT(!answer_ || !actions.answer);
    if (actions.answer) {
      answer_ = actions.answer;
    }
  }

  void checkAnswer() const {
    if (std::holds_alternative<Refusal>(*answer_)) {
      RC_ASSERT(mayHaveExecuted_ == 0U);
    }
    if (const auto* merged = std::get_if<MergedAnswer>(&*answer_)) {
      RC_ASSERT(merged->signatures.size() + merged->missingShards == kShards.size());
      RC_ASSERT(merged->signatures.size() >= 2U);
    }
  }

  std::shared_ptr<const ServingView> view_;
  QueryWorld world_;
  const Route& route_;
  double retryTokens_;
  Query query_;
  int now_ = 0;
  std::vector<Sent> sent_;
  std::map<std::string, double> arrivals_;
  std::map<std::string, std::set<std::string>> ranAt_;
  std::size_t mayHaveExecuted_ = 0;
  std::optional<FinalAnswer> answer_;
};

}  // namespace

TEST_CASE("after two leafs have crashed under a request, nothing more is sent until a leaf answers",
          "[serving]") {
  const std::vector<std::string> shards = {"s0", "s1", "s2", "s3"};
  const auto view = viewOf({gatherRoute(shards, 0.5)}, shards, 2);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  const auto started = query.start(at(0));
  for (const SendAction& send : started.sends) {
    query.onWriteStarted(send.exchange);
  }
  // A single crash may have another cause.
  const auto retried = query.onOutcome(started.sends[0].exchange, outcomeOf(Kind::kLeafCrashed), at(5));
  REQUIRE(retried.sends.size() == 1);
  query.onWriteStarted(retried.sends[0].exchange);
  const auto suspended = query.onOutcome(started.sends[1].exchange, outcomeOf(Kind::kLeafCrashed), at(6));
  REQUIRE(suspended.sends.empty());
  REQUIRE_FALSE(suspended.answer);
  REQUIRE(query.onTimer(at(60)).sends.empty());

  SECTION("no leaf answers") {
    REQUIRE(query.onOutcome(started.sends[2].exchange, outcomeOf(Kind::kLeafCrashed), at(61)).sends.empty());
    REQUIRE_FALSE(query.onOutcome(started.sends[3].exchange, outcomeOf(Kind::kLeafCrashed), at(62)).answer);
    const auto last = query.onOutcome(retried.sends[0].exchange, outcomeOf(Kind::kLeafCrashed), at(63));
    REQUIRE(last.answer);
    REQUIRE(std::holds_alternative<Failure>(*last.answer));
    REQUIRE(query.crashedLeafs() == 4 + 1);
  }
  SECTION("a leaf answers") {
    const auto resumed = query.onOutcome(started.sends[2].exchange, outcomeOf(Kind::kAnswered, "b"), at(61));
    REQUIRE(resumed.sends.size() == 1);
    REQUIRE(resumed.sends[0].leaf->entry().service == "s1");
  }
}

TEST_CASE("the number of hedges is limited while no leaf has answered", "[serving]") {
  std::vector<std::string> shards(20);
  for (std::size_t number = 0; number < shards.size(); ++number) {
    shards[number] = "s" + std::to_string(number);
  }
  const auto view = viewOf({gatherRoute(shards, 0.5)}, shards, 2);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  const auto started = query.start(at(0));
  for (const SendAction& send : started.sends) {
    query.onWriteStarted(send.exchange);
  }
  std::size_t hedges = 0;
  for (int now = 1; now < 150; ++now) {
    hedges += query.onTimer(at(now)).sends.size();
  }
  REQUIRE(hedges == 4);
  query.onOutcome(started.sends[0].exchange, outcomeOf(Kind::kAnswered, "b"), at(150));
  for (int now = 151; now < 170; ++now) {
    hedges += query.onTimer(at(now)).sends.size();
  }
  REQUIRE(hedges >= shards.size() - 1);
}

TEST_CASE("a trial is sent to one leaf first", "[serving]") {
  const std::vector<std::string> shards = {"s0", "s1", "s2", "s3"};
  const auto view = viewOf({gatherRoute(shards, 0.5)}, shards, 2);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000), Query::Start::kTrial);
  const auto started = query.start(at(0));
  REQUIRE(started.sends.size() == 1);
  SECTION("nothing more is sent if that leaf crashes") {
    query.onWriteStarted(started.sends[0].exchange);
    const auto last = query.onOutcome(started.sends[0].exchange, outcomeOf(Kind::kLeafCrashed), at(5));
    REQUIRE(last.sends.empty());
    REQUIRE(last.answer);
    REQUIRE(std::holds_alternative<Failure>(*last.answer));
  }
  SECTION("all other shards follow when it answers") {
    query.onWriteStarted(started.sends[0].exchange);
    const auto resumed = query.onOutcome(started.sends[0].exchange, outcomeOf(Kind::kAnswered, "a"), at(5));
    REQUIRE(resumed.sends.size() == 3);
    REQUIRE_FALSE(resumed.answer);
  }
  SECTION("another leaf is tried if it is unreachable") {
    const auto again = query.onOutcome(started.sends[0].exchange, outcomeOf(Kind::kNotSent), at(5));
    REQUIRE(again.sends.size() == 1);
  }
  SECTION("the request is refused as not executed if that leaf rejects it") {
    query.onWriteStarted(started.sends[0].exchange);
    const auto last = query.onOutcome(started.sends[0].exchange, outcomeOf(Kind::kNotExecuted), at(5));
    REQUIRE(last.sends.empty());
    REQUIRE(std::holds_alternative<Refusal>(*last.answer));
  }
  SECTION("no hedge is sent while it is slow") {
    query.onWriteStarted(started.sends[0].exchange);
    for (int now = 10; now < 400; now += 10) {
      REQUIRE(query.onTimer(at(now)).sends.empty());
    }
  }
}

TEST_CASE("the invariants of a query hold for any outcomes in any order", "[serving]") {
  OAKPIER_PROPERTY("invariants", [] {
    const bool gather = *rc::gen::arbitrary<bool>();
    const bool repeatable = gather || *rc::gen::arbitrary<bool>();
    const auto attempts = *rc::gen::inRange<unsigned>(1, 4);
    const auto replicas = *rc::gen::inRange<std::size_t>(0, 5);
    Route route = gather ? gatherRoute(kShards, 0.5) : singleRoute("s0", repeatable, attempts);
    route.attempts = attempts;
    GeneratedRun(route, replicas, *rc::gen::element(0.0, 1.0, 50.0)).play();
  });
}

}  // namespace oakpier::serving
