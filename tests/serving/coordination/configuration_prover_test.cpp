#include "coordination/serving/configuration_prover.h"

#include <catch2/catch.hpp>

#include "coordination/serving/source_follower.h"
#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

namespace {

using std::chrono::milliseconds;

const Endpoint kSelf(1, 1);
const Endpoint kFirst(2, 1);
const Endpoint kSecond(3, 1);

/// A daemon that uses version 5, proven as of 1,000 ms.
struct ProvenDaemon {
  ProvenDaemon() {
    prover.setMembers({kSelf, kFirst, kSecond});
    prover.onVersion(5, true);
    prover.onRead(at(1000), at(1001), actions);
  }

  /// The number of the only request sent since the last call.
  std::uint64_t takeNumber() {
    REQUIRE(actions.requests.size() == 1);
    const std::uint64_t number = actions.requests[0].request.number();
    actions.requests.clear();
    return number;
  }

  ConfigurationProver prover{kSelf, ProverSettings{milliseconds(4800)}, RandomEngine(7)};
  ProofActions actions;
};

ConfigurationProofReply replyOf(std::uint64_t number, std::uint64_t version, Duration age) {
  ConfigurationProofReply reply;
  reply.set_number(number);
  reply.set_version(version);
  reply.set_age_us(static_cast<std::uint64_t>(age.count()));
  return reply;
}

ConfigurationProofRequest requestOf(std::uint64_t number) {
  ConfigurationProofRequest request;
  request.set_number(number);
  return request;
}

}  // namespace

TEST_CASE("a proof by a read dates from when its call was sent", "[serving]") {
  ProvenDaemon daemon;
  daemon.prover.onRead(at(2000), at(3100), daemon.actions);
  REQUIRE(daemon.prover.proof().provenAt == at(2000));
  REQUIRE(daemon.prover.proof().covers(5, at(6800), milliseconds(4800)));
  REQUIRE_FALSE(daemon.prover.proof().covers(5, at(6801), milliseconds(4800)));
  REQUIRE_FALSE(daemon.prover.proof().covers(4, at(3100), milliseconds(4800)));
}

TEST_CASE("while the newest configuration is unusable reads prove nothing and no requests are sent",
          "[serving]") {
  ProvenDaemon daemon;
  daemon.prover.onConfigurationRecord(inFirstEpoch(20), false);
  daemon.prover.onRead(at(2000), at(2001), daemon.actions);
  daemon.prover.onUpdate(kFirst, at(4500), daemon.actions);
  daemon.prover.onTimer(at(4500), daemon.actions);
  REQUIRE(daemon.prover.proof().provenAt == at(1000));
  REQUIRE(daemon.actions.requests.empty());
  REQUIRE_FALSE(daemon.prover.takeReadRequest(at(9000)));
  SECTION("an older record, received again") {
    daemon.prover.onConfigurationRecord(inFirstEpoch(19), true);
    daemon.prover.onRead(at(3000), at(3001), daemon.actions);
    REQUIRE(daemon.prover.proof().provenAt == at(1000));
  }
  SECTION("a newer usable record") {
    daemon.prover.onConfigurationRecord(inFirstEpoch(21), true);
    daemon.prover.onVersion(7, true);
    daemon.prover.onRead(at(3000), at(3001), daemon.actions);
    REQUIRE(daemon.prover.proof().provenAt == at(3000));
    REQUIRE(daemon.prover.proof().version == 7);
  }
}

TEST_CASE("a proof by a reply dates from when the request was sent, less the reported age", "[serving]") {
  ProvenDaemon daemon;
  daemon.prover.onUpdate(kFirst, at(3000), daemon.actions);
  const std::uint64_t number = daemon.takeNumber();
  SECTION("in time") {
    daemon.prover.onReply(kFirst, replyOf(number, 5, milliseconds(400)), at(3700), daemon.actions);
    REQUIRE(daemon.prover.proof().provenAt == at(2600));
    REQUIRE(daemon.prover.counters().answered == 1);
  }
  SECTION("once") {
    daemon.prover.onReply(kFirst, replyOf(number, 5, milliseconds(400)), at(3100), daemon.actions);
    daemon.prover.onReply(kFirst, replyOf(number, 5, milliseconds(0)), at(3101), daemon.actions);
    REQUIRE(daemon.prover.proof().provenAt == at(2600));
  }
  SECTION("not from another peer") {
    daemon.prover.onReply(kSecond, replyOf(number, 5, milliseconds(0)), at(3100), daemon.actions);
    REQUIRE(daemon.prover.proof().provenAt == at(1000));
  }
  SECTION("not with an unknown number") {
    daemon.prover.onReply(kFirst, replyOf(number + 1, 5, milliseconds(0)), at(3100), daemon.actions);
    REQUIRE(daemon.prover.proof().provenAt == at(1000));
  }
  SECTION("not after the timeout") {
    daemon.prover.onTimer(at(4000), daemon.actions);
    REQUIRE(daemon.prover.counters().timedOut == 1);
    daemon.prover.onReply(kFirst, replyOf(number, 5, milliseconds(0)), at(4001), daemon.actions);
    REQUIRE(daemon.prover.proof().provenAt == at(1000));
  }
  SECTION("not with an age beyond the limit") {
    ConfigurationProofReply reply = replyOf(number, 5, milliseconds(0));
    reply.set_age_us(~std::uint64_t{0});
    daemon.prover.onReply(kFirst, reply, at(3001), daemon.actions);
    REQUIRE(daemon.prover.proof().provenAt == at(1000));
  }
  SECTION("not if the peer has no proof") {
    daemon.prover.onReply(kFirst, replyOf(number, 0, milliseconds(0)), at(3001), daemon.actions);
    REQUIRE(daemon.prover.proof().provenAt == at(1000));
  }
  SECTION("an older proof does not replace a younger one") {
    daemon.prover.onReply(kFirst, replyOf(number, 5, milliseconds(2500)), at(3001), daemon.actions);
    REQUIRE(daemon.prover.proof().provenAt == at(1000));
  }
}

TEST_CASE("a proof of a newer version takes effect once that version is in use", "[serving]") {
  ProvenDaemon daemon;
  daemon.prover.onUpdate(kFirst, at(3000), daemon.actions);
  daemon.prover.onReply(kFirst, replyOf(daemon.takeNumber(), 7, milliseconds(100)), at(3010), daemon.actions);
  REQUIRE(daemon.prover.proof().version == 5);
  REQUIRE(daemon.prover.proof().provenAt == at(1000));
  daemon.prover.onVersion(6, true);
  REQUIRE(daemon.prover.proof().provenAt == at(1000));
  daemon.prover.onVersion(7, true);
  REQUIRE(daemon.prover.proof().version == 7);
  REQUIRE(daemon.prover.proof().provenAt == at(2900));
}

TEST_CASE(
    "a reply contains the age of the proof, and is deferred while the daemon's own request is outstanding",
    "[serving]") {
  ProvenDaemon daemon;
  SECTION("no own request: immediately") {
    daemon.prover.onRequest(kFirst, requestOf(9), at(3000), daemon.actions);
    REQUIRE(daemon.actions.replies.at(0).reply.number() == 9);
    REQUIRE(daemon.actions.replies.at(0).reply.version() == 5);
    REQUIRE(daemon.actions.replies.at(0).reply.age_us() == 2000000);
    return;
  }
  daemon.prover.onUpdate(kFirst, at(3000), daemon.actions);
  const std::uint64_t number = daemon.takeNumber();
  daemon.prover.onRequest(kSecond, requestOf(9), at(3010), daemon.actions);
  REQUIRE(daemon.actions.replies.empty());
  SECTION("the own request is replied to") {
    daemon.prover.onReply(kFirst, replyOf(number, 5, milliseconds(100)), at(3050), daemon.actions);
    REQUIRE(daemon.actions.replies.at(0).to == kSecond);
    REQUIRE(daemon.actions.replies.at(0).reply.age_us() == 150000);
  }
  SECTION("the own request is not replied to") {
    REQUIRE(daemon.prover.nextDueAt() == at(3150));
    daemon.prover.onTimer(at(3149), daemon.actions);
    REQUIRE(daemon.actions.replies.empty());
    daemon.prover.onTimer(at(3150), daemon.actions);
    REQUIRE(daemon.actions.replies.at(0).reply.age_us() == 2150000);
    daemon.prover.onRequest(kSecond, requestOf(10), at(3160), daemon.actions);
    REQUIRE(daemon.actions.replies.size() == 2);
  }
  SECTION("beyond the limit of deferred replies: immediately") {
    for (int asker = 0; asker < 200; ++asker) {
      daemon.prover.onRequest(kSecond, requestOf(100), at(3020), daemon.actions);
    }
    REQUIRE(daemon.actions.replies.size() > 100);
  }
}

TEST_CASE("peers are asked in rounds of two as the proof ages, and less often after many rounds",
          "[serving]") {
  ProvenDaemon daemon;
  daemon.prover.onUpdate(kFirst, at(1900), daemon.actions);
  REQUIRE(daemon.actions.requests.empty());
  daemon.prover.onTimer(at(3879), daemon.actions);
  REQUIRE(daemon.actions.requests.empty());
  REQUIRE(daemon.prover.nextDueAt() == at(3880));
  daemon.prover.onTimer(at(3880), daemon.actions);
  REQUIRE(daemon.actions.requests.size() == 2);
  daemon.prover.onTimer(at(4179), daemon.actions);
  REQUIRE(daemon.actions.requests.size() == 2);
  daemon.prover.onTimer(at(4180), daemon.actions);
  REQUIRE(daemon.actions.requests.size() == 4);
  for (int now = 4181; now < 20000; ++now) {
    daemon.prover.onTimer(at(now), daemon.actions);
  }
  REQUIRE(daemon.actions.requests.size() <= 40);
  SECTION("a renewed proof ends the rounds") {
    daemon.prover.onRead(at(20000), at(20001), daemon.actions);
    daemon.actions.requests.clear();
    daemon.prover.onTimer(at(22000), daemon.actions);
    REQUIRE(daemon.actions.requests.empty());
  }
}

TEST_CASE("without tenants no requests are sent, and requests of peers are answered", "[serving]") {
  ProvenDaemon daemon;
  daemon.prover.onVersion(6, false);
  daemon.prover.onUpdate(kFirst, at(9000), daemon.actions);
  daemon.prover.onTimer(at(9000), daemon.actions);
  REQUIRE(daemon.actions.requests.empty());
  REQUIRE_FALSE(daemon.prover.takeReadRequest(at(9000)));
  REQUIRE(daemon.prover.nextDueAt() == kNever);
  daemon.prover.onRequest(kFirst, requestOf(9), at(9000), daemon.actions);
  REQUIRE(daemon.actions.replies.at(0).reply.version() == 5);
}

TEST_CASE("the source is read at most once a second if peers do not renew the proof", "[serving]") {
  ProvenDaemon daemon;
  REQUIRE_FALSE(daemon.prover.takeReadRequest(at(1000 + 3840)));
  for (int round = 0; round < 3; ++round) {
    daemon.prover.onTimer(at(1000 + 2880 + 300 * round), daemon.actions);
  }
  REQUIRE_FALSE(daemon.prover.takeReadRequest(at(1000 + 3359)));
  REQUIRE(daemon.prover.takeReadRequest(at(1000 + 3840)));
  REQUIRE_FALSE(daemon.prover.takeReadRequest(at(1000 + 4839)));
  REQUIRE(daemon.prover.takeReadRequest(at(1000 + 4840)));
}

TEST_CASE("a proof expires, and is renewed by a read", "[serving]") {
  ProvenDaemon daemon;
  daemon.prover.onTimer(at(5800), daemon.actions);
  REQUIRE(daemon.prover.holds());
  daemon.prover.onTimer(at(5801), daemon.actions);
  REQUIRE_FALSE(daemon.prover.holds());
  daemon.prover.onRead(at(6000), at(6010), daemon.actions);
  REQUIRE(daemon.prover.holds());
}

namespace {

SourceStatement interpret(const SourceRecord& record) {
  if (record.value == "unusable") {
    return UnusableRecord{"unusable", record.key == "configuration"};
  }
  if (record.key != "configuration") {
    return {};
  }
  ServingConfiguration configuration;
  configuration.version = std::stoull(record.value);
  configuration.tenants.push_back(Tenant{"tenant", {"key"}, {}, {}});
  return configuration;
}

SourcePage pageOf(std::uint64_t revision, std::vector<SourceRecord> records, bool more = false) {
  return SourcePage{std::move(records), more, revision};
}

SourceRecord configurationRecord(const std::string& value, std::uint64_t revision) {
  return SourceRecord{"configuration", value, revision, false};
}

/// The first of two daemons, after a listing of the source.
struct ListedDaemon {
  ListedDaemon() {
    follower.setMembers(std::vector<Endpoint>{kSelf, kFirst});
    const auto listing = follower.takeCall(at(1000));
    follower.onAnswer(*listing, pageOf(10, {configurationRecord("5", 10)}), at(1300));
  }

  SourceFollower follower{kSelf, FollowerSettings{}, interpret, RandomEngine(1)};
};

}  // namespace

TEST_CASE("a proof by a complete listing dates from its first call", "[serving]") {
  SourceFollower follower(kSelf, FollowerSettings{}, interpret, RandomEngine(1));
  follower.setMembers(std::vector<Endpoint>{kSelf, kFirst});
  const auto first = follower.takeCall(at(1000));
  follower.onAnswer(*first, pageOf(10, {configurationRecord("5", 10)}, true), at(1100));
  REQUIRE(follower.proof().version == 0);
  const auto second = follower.takeCall(at(1200));
  follower.onAnswer(*second, pageOf(11, {}), at(1300));
  REQUIRE(follower.proof().version == 5);
  REQUIRE(follower.proof().provenAt == at(1000));
}

TEST_CASE("a proof by a watch call dates from when the call was sent", "[serving]") {
  ListedDaemon daemon;
  const Moment sent = daemon.follower.nextDueAt();
  const auto watch = daemon.follower.takeCall(sent);
  REQUIRE(watch->wait > Duration(0));
  SECTION("nothing changed") { daemon.follower.onAnswer(*watch, pageOf(10, {}), sent + watch->wait); }
  SECTION("another version") {
    daemon.follower.onAnswer(*watch, pageOf(11, {configurationRecord("6", 11)}), sent + watch->wait);
    REQUIRE(daemon.follower.proof().version == 6);
  }
  REQUIRE(daemon.follower.proof().provenAt == sent);
}

TEST_CASE("an unusable configuration record prevents proofs, other unusable records do not", "[serving]") {
  ListedDaemon daemon;
  const Moment before = daemon.follower.proof().provenAt;
  const Moment sent = daemon.follower.nextDueAt();
  const auto watch = daemon.follower.takeCall(sent);
  SECTION("a configuration") {
    daemon.follower.onAnswer(*watch, pageOf(11, {configurationRecord("unusable", 11)}), sent);
    REQUIRE(daemon.follower.proof().provenAt == before);
  }
  SECTION("a leaf") {
    daemon.follower.onAnswer(*watch, pageOf(11, {SourceRecord{"leaf", "unusable", 11, false}}), sent);
    REQUIRE(daemon.follower.proof().provenAt == sent);
  }
}

TEST_CASE("an update alone proves nothing; its sender is asked for a proof", "[serving]") {
  ListedDaemon daemon;
  const Moment before = daemon.follower.proof().provenAt;
  SourceNews update;
  update.set_after_revision(10);
  update.set_revision(10);
  update.set_reader(kFirst.text());
  const FollowerActions actions = daemon.follower.onUpdate(kFirst, update, at(3000));
  REQUIRE(daemon.follower.proof().provenAt == before);
  REQUIRE(actions.proofs.requests.size() == 1);
  REQUIRE(actions.proofs.requests[0].to == kFirst);
}

}  // namespace oakpier::serving
