#include "coordination/serving/source_follower.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>

#include "serving/support/serving_fixtures.h"
#include "support/property.h"

namespace oakpier::serving {

namespace {

/// The value of an invalid leaf record.
const char* const kInvalid = "invalid";

/// Process start times by leaf id.
using BirthTimes = std::map<std::string, std::uint64_t>;

/// A source with leaf records only, that keeps its history. A record's value is the leaf's process start
/// time.
class SourceModel {
 public:
  void put(const std::string& id, std::uint64_t birthTime) {
    change({"leaf/" + id, std::to_string(birthTime), ++revision_, false});
  }
  void invalidate(const std::string& id) { change({"leaf/" + id, kInvalid, ++revision_, false}); }
  void remove(const std::string& id) { change({"leaf/" + id, "", ++revision_, true}); }

  SourcePage answer(const SourceCall& call) const {
    return call.kind == SourceCall::Kind::kList ? list(call.afterKey) : changes(call.afterRevision);
  }

  /// Leafs whose record has not changed after `knownRevision` must be known in the listed incarnation; those
  /// whose record was deleted or invalid by then must not be known.
  void check(std::uint64_t knownRevision, const BirthTimes& known) const {
    for (const auto& [key, record] : records_) {
      if (record.revision > knownRevision) {
        continue;
      }
      const auto found = known.find(key.substr(key.find('/') + 1));
      const bool usable = !record.deleted && record.value != kInvalid;
      RC_ASSERT((found != known.end()) == usable);
      if (usable) {
        RC_ASSERT(found->second == std::stoull(record.value));
      }
    }
  }

 private:
  static constexpr std::size_t kPage = 3;

  void change(const SourceRecord& record) {
    records_[record.key] = record;
    history_.push_back(record);
  }

  SourcePage list(const std::string& after) const {
    SourcePage page;
    page.revision = revision_;
    for (const auto& [key, record] : records_) {
      if (key <= after || record.deleted) {
        continue;
      }
      if (page.records.size() == kPage) {
        page.more = true;
        break;
      }
      page.records.push_back(record);
    }
    return page;
  }

  SourcePage changes(std::uint64_t after) const {
    SourcePage page;
    page.revision = revision_;
    std::copy_if(history_.begin(), history_.end(), std::back_inserter(page.records),
                 [&](const SourceRecord& record) { return record.revision > after; });
    return page;
  }

  std::uint64_t revision_ = 1;
  std::map<std::string, SourceRecord> records_;
  std::vector<SourceRecord> history_;
};

SourceStatement interpret(const SourceRecord& record) {
  const std::string id = record.key.substr(record.key.find('/') + 1);
  if (record.deleted) {
    return LeafRemoval{id};
  }
  if (record.value == kInvalid) {
    return UnusableLeaf{id, "invalid"};
  }
  LeafEntry entry = leafEntry(id, "s", 1);
  entry.processStartedAt = std::stoull(record.value);
  return entry;
}

/// Some daemons that follow one source and send each other updates. Calls and messages are delayed, lost or
/// duplicated.
class FollowerSimulation {
 public:
  explicit FollowerSimulation(std::size_t daemons) {
    for (std::uint32_t number = 0; number < daemons; ++number) {
      members_.emplace_back(number + 1, 1);
      FollowerSettings settings;
      settings.state.removalDelay = Duration(0);
      daemons_.push_back(
          Daemon{SourceFollower(members_.back(), settings, interpret, RandomEngine(number)), {}, {}});
    }
  }

  void step() {
    now_ += Duration(std::chrono::milliseconds(*rc::gen::inRange(1, 400)));
    const auto number = *rc::gen::inRange<std::size_t>(0, daemons_.size());
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        changeSource();
        break;
      case 1:
        daemons_[number].follower.setMembers(*rc::gen::arbitrary<bool>() ? members_
                                                                         : std::vector<Endpoint>{});
        break;
      case 2:
        deliver(*rc::gen::element(Delivery::kLost, Delivery::kDelivered, Delivery::kDelivered,
                                  Delivery::kDuplicated));
        break;
      default:
        advance(number);
        break;
    }
    check();
  }

 private:
  enum class Delivery { kLost, kDelivered, kDuplicated };
  struct Daemon {
    SourceFollower follower;
    /// The call in progress and the source's answer at the time that the call was made.
    std::optional<std::pair<SourceCall, SourcePage>> call;
    BirthTimes known;
  };
  struct Message {
    Endpoint from;
    Endpoint to;
    std::optional<SourceNews> update;
    SourceNewsRequest request;
  };

  void changeSource() {
    const std::string id(1, *rc::gen::inRange('a', 'k'));
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1:
        source_.remove(id);
        break;
      case 2:
        source_.invalidate(id);
        break;
      default:
        // Clocks may be set back, so that a later entry may have an earlier start time.
        source_.put(id, *rc::gen::inRange<std::uint64_t>(0, 4));
        break;
    }
  }

  void advance(std::size_t number) {
    Daemon& daemon = daemons_[number];
    if (!daemon.call) {
      if (const auto call = daemon.follower.takeCall(now_)) {
        daemon.call = std::make_pair(*call, source_.answer(*call));
      }
      return;
    }
    const auto [call, page] = *daemon.call;
    daemon.call.reset();
    const int outcome = *rc::gen::inRange(0, 6);
    SourceAnswer answer = page;
    if (outcome == 0) {
      answer = SourceFailure::kNoAnswer;
    } else if (outcome == 1) {
      answer = SourceFailure::kHistoryUnavailable;
    }
    send(number, daemon.follower.onAnswer(call, answer, now_));
  }

  void send(std::size_t number, const FollowerActions& actions) {
    for (const OutgoingUpdate& outgoing : actions.updates) {
      messages_.push_back({members_[number], outgoing.to, outgoing.update, {}});
    }
    if (actions.requestFrom) {
      SourceNewsRequest request;
      request.set_known_revision(daemons_[number].follower.known().revision);
      request.set_known_epoch(daemons_[number].follower.known().epoch);
      messages_.push_back({members_[number], *actions.requestFrom, std::nullopt, request});
    }
  }

  void deliver(Delivery delivery) {
    if (messages_.empty()) {
      return;
    }
    const auto index = *rc::gen::inRange<std::size_t>(0, messages_.size());
    const Message message = messages_[index];
    if (delivery != Delivery::kDuplicated) {
      messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
    }
    const std::size_t receiver = message.to.packed() >> 16U;
    if (delivery == Delivery::kLost) {
      return;
    }
    SourceFollower& follower = daemons_[receiver - 1].follower;
    if (message.update) {
      send(receiver - 1, follower.onUpdate(message.from, *message.update, now_));
    } else if (const auto all = follower.onUpdateRequest(message.from, message.request, now_)) {
      messages_.push_back({message.to, message.from, all->update, {}});
    }
  }

  void check() {
    for (Daemon& daemon : daemons_) {
      if (const auto view = daemon.follower.takeChangedView()) {
        daemon.known.clear();
        for (const auto& [service, leafs] : *view->leafs) {
          for (const LeafEntry& leaf : leafs) {
            daemon.known[leaf.id] = leaf.processStartedAt;
          }
        }
      }
      source_.check(daemon.follower.known().revision, daemon.known);
    }
  }

  SourceModel source_;
  std::vector<Endpoint> members_;
  std::vector<Daemon> daemons_;
  std::deque<Message> messages_;
  Moment now_ = at(1);
};

}  // namespace

TEST_CASE("a daemon's leafs are those that the source held at its known revision", "[serving]") {
  OAKPIER_PROPERTY("followers", [] {
    FollowerSimulation simulation(*rc::gen::inRange<std::size_t>(1, 5));
    const auto steps = *rc::gen::inRange(1, 250);
    for (int step = 0; step < steps; ++step) {
      simulation.step();
    }
  });
}

TEST_CASE("the first-ranked daemon reads; one that took over stops when it receives an update from it",
          "[serving]") {
  const FollowerSettings settings;
  const std::vector<Endpoint> members{Endpoint(1, 1), Endpoint(2, 1)};
  for (const Endpoint& self : members) {
    SourceFollower follower(self, settings, interpret, RandomEngine(1));
    follower.setMembers(members);
    SourceModel source;
    const auto listing = follower.takeCall(at(1));
    follower.onAnswer(*listing, source.answer(*listing), at(1));
    const Moment next = follower.nextDueAt();
    if (self == members[0]) {
      REQUIRE(next == at(1) + settings.reader.minCallInterval);
    } else {
      REQUIRE(next > at(1) + settings.reader.minCallInterval + settings.reader.maxWait);
    }
    const auto changes = follower.takeCall(next);
    follower.onAnswer(*changes, source.answer(*changes), next);
    REQUIRE(follower.nextDueAt() == next + settings.reader.minCallInterval);
    SourceNews update;
    update.set_after_revision(follower.known().revision);
    update.set_revision(follower.known().revision);
    update.set_reader(Endpoint(0, 1).text());
    follower.onUpdate(Endpoint(0, 1), update, next);
    const bool stops =
        follower.nextDueAt() > next + settings.reader.minCallInterval + settings.reader.maxWait;
    REQUIRE(stops == (self != members[0]));
  }
}

TEST_CASE("a started daemon waits for peers, but not while requests are refused", "[serving]") {
  const Endpoint self(5, 1);
  SourceFollower follower(self, FollowerSettings{}, interpret, RandomEngine(1));
  follower.start({Endpoint(1, 1), Endpoint(2, 1)}, at(1000));
  REQUIRE(follower.onTimer(at(1000)).requestFrom);
  REQUIRE_FALSE(follower.takeCall(at(1000)));
  SECTION("no peer replies") { REQUIRE(follower.takeCall(at(2100))); }
  SECTION("a caller is refused") {
    follower.onConfigurationNeeded(at(1010));
    REQUIRE(follower.takeCall(at(1010))->kind == SourceCall::Kind::kList);
    follower.onConfigurationNeeded(at(1011));
    REQUIRE_FALSE(follower.takeCall(at(1011)));
  }
  SECTION("a seed does not wait") {
    SourceFollower seed(self, FollowerSettings{}, interpret, RandomEngine(1));
    seed.start({Endpoint(1, 1), self}, at(1000));
    REQUIRE(seed.takeCall(at(1000)));
  }
}

TEST_CASE("a reader whose calls fail defers to one that succeeds", "[serving]") {
  const std::vector<Endpoint> members{Endpoint(1, 1), Endpoint(2, 1)};
  SourceFollower follower(members[0], FollowerSettings{}, interpret, RandomEngine(1));
  follower.setMembers(members);
  SourceModel source;
  const auto listing = follower.takeCall(at(1));
  follower.onAnswer(*listing, source.answer(*listing), at(1));
  const Moment next = follower.nextDueAt();
  follower.onAnswer(*follower.takeCall(next), SourceFailure::kUnavailable, next);
  REQUIRE(follower.sourceLost());
  SourceNews update;
  update.set_after_revision(follower.known().revision);
  update.set_revision(follower.known().revision);
  update.set_reader(members[1].text());
  follower.onUpdate(members[1], update, next);
  REQUIRE(follower.nextDueAt() > next + FollowerSettings{}.reader.maxWait);
}

}  // namespace oakpier::serving
