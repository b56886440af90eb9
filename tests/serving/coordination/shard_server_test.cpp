/// Queries that delegate shards to owners, and the owners that execute them. The test delivers, loses and
/// delays the frames in between.

#include "coordination/serving/shard_server.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>

#include "coordination/serving/shard_owners.h"
#include "serving/support/serving_fixtures.h"
#include "support/property.h"

namespace oakpier::serving {

namespace {

using Kind = LeafOutcome::Kind;

const Endpoint kRequester(1, 9);
constexpr std::uint64_t kRun = 77;

OwnerWork workOf(const std::vector<std::string>& services, unsigned attempts = 2) {
  OwnerWork work;
  work.set_sender_run(kRun);
  work.set_method("GET");
  work.set_target("/all/");
  work.set_route("gather");
  work.set_target_latency_us(200'000);
  work.set_remaining_us(600'000);
  work.set_useful_us(180'000);
  work.set_top_records(2);
  work.set_attempts(attempts);
  for (std::size_t number = 0; number < services.size(); ++number) {
    OwnerPart* part = work.add_parts();
    part->set_exchange(100 + number);
    part->set_service(services[number]);
  }
  return work;
}

std::string record(char letter) { return std::string(16, letter); }

struct ServerWorld : QueryWorld {
  explicit ServerWorld(std::size_t replicas = 2, double retryBudget = 100)
      : QueryWorld(viewOf({gatherRoute({"s", "t"}, 0.5)}, {"s", "t"}, replicas), retryBudget),
        server(*context) {}

  ShardServer server;
};

}  // namespace

TEST_CASE("an owner returns the greatest records to the requesting process", "[serving]") {
  ServerWorld world;
  const auto started = world.server.onWork(kRequester, workOf({"s"}), at(0));
  REQUIRE(started.sends.size() == 1);
  REQUIRE(started.results.empty());
  const ExchangeId exchange = started.sends[0].action.exchange;
  world.server.onWriteStarted(exchange);
  const auto done = world.server.onOutcome(
      exchange, outcomeOf(Kind::kAnswered, record('a') + record('c') + record('b')), at(20));
  REQUIRE(done.results.size() == 1);
  REQUIRE(done.results[0].to == kRequester);
  REQUIRE(done.results[0].results.receiver_run() == kRun);
  const OwnerResult& result = done.results[0].results.results(0);
  REQUIRE(result.exchange() == 100);
  REQUIRE(result.status() == OWNER_ANSWERED);
  REQUIRE(result.signature() == "signature");
  REQUIRE(result.records() == record('c') + record('b'));
  REQUIRE(done.unanswered.empty());
  REQUIRE(world.server.inProgress() == 0);
}

TEST_CASE("an owner passes the tenant and the rank on to the leafs", "[serving]") {
  ServerWorld world;
  OwnerWork work = workOf({"s"});
  work.set_tenant("amber");
  work.set_rank(5);
  const auto started = world.server.onWork(kRequester, work, at(0));
  REQUIRE(started.sends.at(0).task->request.tenant == "amber");
  REQUIRE(started.sends.at(0).task->route.rank == 5);
}

TEST_CASE("an owner hedges, and cancels the other attempt after the first answer", "[serving]") {
  ServerWorld world;
  const auto started = world.server.onWork(kRequester, workOf({"s"}), at(0));
  const ExchangeId first = started.sends[0].action.exchange;
  world.server.onWriteStarted(first);
  const Moment due = world.server.nextDecisionAt();
  REQUIRE(due < at(180));
  const auto hedged = world.server.onTimer(due);
  REQUIRE(hedged.sends.size() == 1);
  const ExchangeId second = hedged.sends[0].action.exchange;
  world.server.onWriteStarted(second);
  const auto done = world.server.onOutcome(second, outcomeOf(Kind::kAnswered, record('a')),
                                           due + std::chrono::milliseconds(5));
  REQUIRE(done.cancellations == std::vector<ExchangeId>{first});
  REQUIRE(done.results.size() == 1);
  // A late answer to the cancelled attempt is ignored.
  REQUIRE(world.server.onOutcome(first, outcomeOf(Kind::kAnswered, record('b')), at(300)).results.empty());
}

TEST_CASE("an owner reports a part as not run or not sent only if no leaf can have executed it",
          "[serving]") {
  ServerWorld unknown;
  const auto nowhere = unknown.server.onWork(kRequester, workOf({"nowhere"}), at(0));
  REQUIRE(nowhere.results[0].results.results(0).status() == OWNER_NOT_SENT);

  ServerWorld unreachable(1);
  const auto tried = unreachable.server.onWork(kRequester, workOf({"s"}), at(0));
  const auto unsent =
      unreachable.server.onOutcome(tried.sends[0].action.exchange, outcomeOf(Kind::kNotSent), at(5));
  REQUIRE(unsent.results[0].results.results(0).status() == OWNER_NOT_SENT);

  ServerWorld rejecting(1);
  const auto started = rejecting.server.onWork(kRequester, workOf({"s"}), at(0));
  rejecting.server.onWriteStarted(started.sends[0].action.exchange);
  const auto rejected =
      rejecting.server.onOutcome(started.sends[0].action.exchange, outcomeOf(Kind::kNotExecuted), at(5));
  REQUIRE(rejected.results[0].results.results(0).status() == OWNER_NOT_RUN);

  ServerWorld lost(1);
  const auto begun = lost.server.onWork(kRequester, workOf({"s"}), at(0));
  lost.server.onWriteStarted(begun.sends[0].action.exchange);
  const auto broken =
      lost.server.onOutcome(begun.sends[0].action.exchange, outcomeOf(Kind::kNoAnswer), at(5));
  REQUIRE(broken.results[0].results.results(0).status() == OWNER_NO_ANSWER);
}

TEST_CASE("an owner refuses a quarantined request unless the requester sends it as a trial", "[serving]") {
  ServerWorld world;
  RequestQuarantine quarantine;
  world.context->quarantine = &quarantine;
  OwnerWork work = workOf({"s", "t"});
  const RequestFingerprint fingerprint = fingerprintOf(HttpRequest{"GET", "/all/", {}, ""});
  quarantine.onLeafCrashed(fingerprint, 1, at(0));
  quarantine.onLeafCrashed(fingerprint, 2, at(0));
  SECTION("the requester does not know of the quarantine") {
    const auto refused = world.server.onWork(kRequester, work, at(1000));
    REQUIRE(refused.sends.empty());
    REQUIRE(refused.results[0].results.results_size() == 2);
    REQUIRE(refused.results[0].results.results(1).status() == OWNER_NOT_RUN);
    REQUIRE(refused.unanswered[0].cause == LossCause::kCrashesLeafs);
    REQUIRE(world.server.inProgress() == 0);
  }
  SECTION("the requester sends it as a trial") {
    work.set_vetted(true);
    REQUIRE(world.server.onWork(kRequester, work, at(1000)).sends.size() == 2);
  }
}

TEST_CASE("an owner suspends a request after two leafs have crashed on it", "[serving]") {
  ServerWorld world(3);
  const auto started = world.server.onWork(kRequester, workOf({"s", "t"}, 3), at(0));
  for (const OwnerSend& send : started.sends) {
    world.server.onWriteStarted(send.action.exchange);
  }
  const auto retried =
      world.server.onOutcome(started.sends[0].action.exchange, outcomeOf(Kind::kLeafCrashed), at(5));
  REQUIRE(retried.sends.size() == 1);
  world.server.onWriteStarted(retried.sends[0].action.exchange);
  const auto held =
      world.server.onOutcome(started.sends[1].action.exchange, outcomeOf(Kind::kLeafCrashed), at(6));
  REQUIRE(held.sends.empty());
  REQUIRE(held.results.empty());
  const ExchangeId last = retried.sends[0].action.exchange;
  SECTION("and finishes it without an answer if the last leaf crashes too") {
    const auto ended = world.server.onOutcome(last, outcomeOf(Kind::kLeafCrashed), at(7));
    REQUIRE(ended.sends.empty());
    REQUIRE(ended.results[0].results.results_size() == 2);
    REQUIRE(ended.results[0].results.results(0).status() == OWNER_NO_ANSWER);
    REQUIRE(world.server.inProgress() == 0);
  }
  SECTION("and resumes it if a leaf answers") {
    const auto released = world.server.onOutcome(last, outcomeOf(Kind::kAnswered, record('a')), at(7));
    REQUIRE(released.sends.size() == 1);
    REQUIRE(released.sends[0].action.leaf->entry().service == "t");
  }
}

TEST_CASE("sends of cancelled and expired work are cancelled at the leafs, without a result", "[serving]") {
  ServerWorld world;
  const auto started = world.server.onWork(kRequester, workOf({"s", "t"}), at(0));
  REQUIRE(started.sends.size() == 2);
  OwnerCancel cancel;
  cancel.add_exchanges(100);
  cancel.set_sender_run(kRun + 1);
  REQUIRE(world.server.onCancel(kRequester, cancel).cancellations.empty());
  cancel.set_sender_run(kRun);
  const auto cancelled = world.server.onCancel(kRequester, cancel);
  REQUIRE(cancelled.cancellations == std::vector<ExchangeId>{started.sends[0].action.exchange});
  REQUIRE(cancelled.results.empty());
  REQUIRE(cancelled.unanswered.size() == 1);
  REQUIRE(cancelled.unanswered[0].reason == UnansweredPart::Reason::kCancelled);
  REQUIRE(cancelled.unanswered[0].service == "s");
  REQUIRE(world.server.inProgress() == 1);
  const auto expired = world.server.onTimer(at(600));
  REQUIRE(std::count(expired.cancellations.begin(), expired.cancellations.end(),
                     started.sends[1].action.exchange) == 1);
  REQUIRE(expired.results.empty());
  REQUIRE(expired.unanswered[0].reason == UnansweredPart::Reason::kExpired);
  REQUIRE(world.server.inProgress() == 0);
  REQUIRE(world.server.nextDecisionAt() == kNever);
}

namespace {

/// A query over owned shards at a daemon that owns none of them.
struct RequesterWorld : QueryWorld {
  explicit RequesterWorld(const std::vector<std::string>& shards, double share)
      : QueryWorld(viewOf({gatherRoute(shards, share)}, shards, 2)),
        view(viewOf({gatherRoute(shards, share)}, shards, 2)),
        owners(kRequester) {
    owners.setDaemons({Endpoint(2, 9), Endpoint(3, 9), Endpoint(4, 9)});
    owners.setServices({shards.begin(), shards.end()});
    context->owners = &owners;
    query = std::make_unique<Query>(view, view->configuration->routes.front(), *context, at(0), at(1000));
  }

  std::shared_ptr<const ServingView> view;
  ShardOwners owners;
  std::unique_ptr<Query> query;
};

}  // namespace

TEST_CASE("a second owner is asked only if the first is known to have sent nothing", "[serving]") {
  for (const Kind kind : {Kind::kNotSent, Kind::kNotExecuted, Kind::kNoAnswer}) {
    RequesterWorld world({"s"}, 1.0);
    const auto started = world.query->start(at(0));
    REQUIRE(started.sends.empty());
    REQUIRE(started.delegations.size() == 1);
    const auto next = world.query->onOutcome(started.delegations[0].exchange, outcomeOf(kind), at(30));
    if (kind == Kind::kNoAnswer) {
      REQUIRE(next.delegations.empty());
      REQUIRE(std::holds_alternative<Failure>(*next.answer));
      continue;
    }
    if (kind == Kind::kNotExecuted) {
      // A leaf rejected the request, so a send by a second owner would be an extra attempt that is not
      // charged to the retry budget.
      REQUIRE(next.delegations.empty());
      REQUIRE(std::holds_alternative<Refusal>(*next.answer));
      continue;
    }
    REQUIRE(next.delegations.size() == 1);
    REQUIRE_FALSE(next.delegations[0].owner == started.delegations[0].owner);
    const auto& events = world.query->trace().events();
    REQUIRE(events.size() == 3);
    REQUIRE(events[0].decision == Decision::kDelegate);
    REQUIRE(*events[0].owner == started.delegations[0].owner);
    REQUIRE(*events[1].outcome == kind);
    REQUIRE(*events[2].owner == next.delegations[0].owner);
    const auto last = world.query->onOutcome(next.delegations[0].exchange, outcomeOf(kind), at(60));
    REQUIRE(std::holds_alternative<Refusal>(*last.answer));
  }
}

TEST_CASE("a caller's disconnect cancels the parts at the owners", "[serving]") {
  RequesterWorld world({"s", "t"}, 1.0);
  const auto started = world.query->start(at(0));
  world.query->onOutcome(started.delegations[0].exchange, outcomeOf(Kind::kAnswered, record('a')), at(10));
  REQUIRE(world.query->onCallerDisconnected().cancellations ==
          std::vector<ExchangeId>{started.delegations[1].exchange});
}

TEST_CASE("a query does not wait for an unresponsive owner", "[serving]") {
  for (const double share : {0.5, 1.0}) {
    RequesterWorld world({"s", "t"}, share);
    const auto started = world.query->start(at(0));
    const Endpoint unresponsive = started.delegations[1].owner;
    world.owners.onSent(unresponsive, at(0));
    world.query->onOutcome(started.delegations[0].exchange, outcomeOf(Kind::kAnswered, record('a')), at(10));
    QueryActions actions;
    Moment now = at(10);
    while (!world.query->finished()) {
      now = world.query->nextDecisionAt();
      actions = world.query->onTimer(now);
    }
    REQUIRE(now < at(180));
    if (share < 1.0) {
      REQUIRE(std::get<MergedAnswer>(*actions.answer).missingShards == 1);
    } else {
      REQUIRE_FALSE(std::get<Failure>(*actions.answer).timedOut);
    }
    // The owner may still be executing the part.
    REQUIRE(actions.cancellations == std::vector<ExchangeId>{started.delegations[1].exchange});
  }
}

TEST_CASE("a query waits for a responsive owner", "[serving]") {
  RequesterWorld world({"s"}, 1.0);
  const auto started = world.query->start(at(0));
  world.owners.onSent(started.delegations[0].owner, at(0));
  world.owners.onReceived(started.delegations[0].owner, at(0));
  for (int milliseconds = 50; milliseconds < 950; milliseconds += 50) {
    REQUIRE_FALSE(world.query->onTimer(at(milliseconds)).answer);
  }
}

TEST_CASE("a query merges the owners' answers and reports the number of missing shards", "[serving]") {
  RequesterWorld world({"s", "t", "u"}, 0.6);
  const auto started = world.query->start(at(0));
  REQUIRE(started.delegations.size() == 3);
  world.query->onOutcome(started.delegations[0].exchange, outcomeOf(Kind::kAnswered, record('a')), at(10));
  world.query->onOutcome(started.delegations[2].exchange, outcomeOf(Kind::kAnswered, record('b')), at(12));
  const auto due = world.query->onTimer(world.query->answerBy());
  const auto& merged = std::get<MergedAnswer>(*due.answer);
  REQUIRE(merged.missingShards == 1);
  REQUIRE(merged.records == record('b') + record('a'));
  // The part that is still open is cancelled at its owner.
  REQUIRE(due.cancellations == std::vector<ExchangeId>{started.delegations[1].exchange});
}

namespace {

/// One query, three owners and the frames in between. The generator decides which frames and leafs fail.
class DelegationSimulation {
 public:
  DelegationSimulation() : requester_(shards_, 0.5) {
    for (const Endpoint& daemon : {Endpoint(2, 9), Endpoint(3, 9), Endpoint(4, 9)}) {
      owners_[daemon] = std::make_unique<ServerWorld>(3);
      owners_[daemon]->registry.reconcile(leafsOf(shards_, 3), at(0));
    }
    handle(requester_.query->start(at(0)));
  }

  void deliverFrame(Moment now) {
    if (frames_.empty()) {
      return;
    }
    const DelegateAction relay = frames_.front();
    frames_.pop_front();
    const int delivery = *rc::gen::inRange(0, 4);
    if (delivery == 0) {
      // The transport reports that the frame was not sent.
      handle(requester_.query->onOutcome(relay.exchange, outcomeOf(Kind::kNotSent), now));
    } else if (delivery != 1) {
      OwnerWork work = workOf({relay.service}, relay.attempts);
      work.mutable_parts(0)->set_exchange(relay.exchange);
      handle(relay.owner, owners_[relay.owner]->server.onWork(kRequester, work, now), now);
    }
  }

  void endExchange(Moment now) {
    if (running_.empty()) {
      return;
    }
    const auto picked = static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, running_.size()));
    const Running ended = running_[static_cast<std::size_t>(picked)];
    running_.erase(running_.begin() + picked);
    const Kind kind = *rc::gen::element(Kind::kAnswered, Kind::kNoAnswer, Kind::kNotExecuted, Kind::kNotSent);
    ShardServer& server = owners_[ended.owner]->server;
    if (kind != Kind::kNotSent) {
      server.onWriteStarted(ended.action.exchange);
      arrivedFrom_[ended.action.leaf->entry().service].insert(ended.owner);
    }
    if (kind == Kind::kNotExecuted || kind == Kind::kNotSent) {
      const LeafEntry& leaf = ended.action.leaf->entry();
      ranAt_[leaf.service].erase(leaf.id);
    }
    handle(ended.owner, server.onOutcome(ended.action.exchange, outcomeOf(kind), now), now);
  }

  void passTime(Moment now) {
    for (auto& [owner, world] : owners_) {
      handle(owner, world->server.onTimer(now), now);
    }
  }

  /// The maximum, over all shards, of the number of owners from which leafs have received the request.
  std::size_t maxOwners() const {
    std::size_t highest = 0;
    for (const auto& [shard, owners] : arrivedFrom_) {
      highest = std::max(highest, owners.size());
    }
    return highest;
  }

  /// The maximum, over all shards, of the number of leafs that may have executed the request.
  std::size_t maxLeafs() const {
    std::size_t highest = 0;
    for (const auto& [shard, leafs] : ranAt_) {
      highest = std::max(highest, leafs.size());
    }
    return highest;
  }

 private:
  struct Running {
    Endpoint owner;
    SendAction action;
  };

  void handle(const QueryActions& actions) {
    frames_.insert(frames_.end(), actions.delegations.begin(), actions.delegations.end());
  }

  void handle(const Endpoint& owner, const ShardServerActions& actions, Moment now) {
    for (const OwnerSend& send : actions.sends) {
      const LeafEntry& leaf = send.action.leaf->entry();
      ranAt_[leaf.service].insert(leaf.id);
      running_.push_back({owner, send.action});
    }
    for (const OutgoingOwnerResults& outgoing : actions.results) {
      for (const OwnerResult& result : outgoing.results.results()) {
        const bool lost = *rc::gen::inRange(0, 5) == 0;
        if (!lost) {
          handle(requester_.query->onOutcome(result.exchange(), outcomeOf(kindOf(result)), now));
        }
      }
    }
  }

  static Kind kindOf(const OwnerResult& result) {
    if (result.status() == OWNER_ANSWERED) {
      return Kind::kAnswered;
    }
    if (result.status() == OWNER_NOT_SENT) {
      return Kind::kNotSent;
    }
    return result.status() == OWNER_NOT_RUN ? Kind::kNotExecuted : Kind::kNoAnswer;
  }

  const std::vector<std::string> shards_{"s", "t", "u", "v"};
  RequesterWorld requester_;
  std::map<Endpoint, std::unique_ptr<ServerWorld>> owners_;
  std::deque<DelegateAction> frames_;
  std::vector<Running> running_;
  /// By shard: leafs that may have executed the request.
  std::map<std::string, std::set<std::string>> ranAt_;
  /// By shard: owners from which a leaf has received the request.
  std::map<std::string, std::set<Endpoint>> arrivedFrom_;
};

}  // namespace

TEST_CASE("the owners of a shard together stay within the route's attempts", "[serving]") {
  OAKPIER_PROPERTY("attempts", [] {
    DelegationSimulation simulation;
    for (int step = 1; step < 60; ++step) {
      const Moment now = at(step * 7);
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          simulation.deliverFrame(now);
          break;
        case 1:
          simulation.endExchange(now);
          break;
        default:
          simulation.passTime(now);
          break;
      }
      RC_ASSERT(simulation.maxLeafs() <= 2U);
      RC_ASSERT(simulation.maxOwners() <= 1U);
    }
  });
}

}  // namespace oakpier::serving
