/// How long leafs are used after they left, over simulated fleets that lose the reader of the configuration
/// source at that time.

#include <catch2/catch.hpp>

#include "serving/support/serving_fixtures.h"
#include "serving/support/source_fleet.h"

namespace oakpier::serving {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time for requests that were sent just before a daemon removed the leaf to reach it.
constexpr Duration kSendTime = milliseconds(50);

struct ReaderLoss {
  std::size_t daemons = 0;
  /// The operator's bound on the use of a leaf after its departure.
  Duration leaveBound{};
  /// The reader is suspended instead of killed.
  bool suspended = false;
  /// From the loss of the reader to the leaf's departure; negative if the leaf leaves before.
  Duration departure{};
  /// Daemons that rank after the reader and whose calls the source does not answer.
  std::size_t struck = 0;
};

std::vector<std::size_t> byRank(const SourceFleet& fleet) {
  std::vector<std::size_t> numbers(fleet.size());
  for (std::size_t number = 0; number < fleet.size(); ++number) {
    numbers.at(fleet.followerOf(number).rank()) = number;
  }
  return numbers;
}

void strike(SourceFleet& fleet, const ReaderLoss& loss) {
  const std::vector<std::size_t> numbers = byRank(fleet);
  if (loss.suspended) {
    fleet.suspend(numbers.front());
  } else {
    fleet.kill(numbers.front());
  }
  for (std::size_t rank = 1; rank <= loss.struck; ++rank) {
    fleet.setAnswersLost(numbers.at(rank), true);
  }
}

/// How many running daemons, other than those struck, still use the leaf when the bound is over.
std::size_t daemonsUsingLeafTooLong(const ReaderLoss& loss, std::uint64_t random) {
  SourceFleetSettings settings;
  settings.daemons = loss.daemons;
  settings.leaveBound = loss.leaveBound;
  settings.random = random;
  SourceFleet fleet(settings);
  fleet.runFor(seconds(12) + milliseconds(static_cast<int>(random) * 37));
  const std::vector<std::size_t> numbers = byRank(fleet);
  const std::string leaf = *fleet.followerOf(0).leafIds().begin();
  const std::size_t leafNumber = std::stoul(leaf.substr(leaf.find_first_of("0123456789")));
  if (loss.departure < Duration(0)) {
    fleet.removeLeaf(leafNumber);
    fleet.runFor(-loss.departure);
    strike(fleet, loss);
    fleet.runFor(loss.leaveBound - kSendTime + loss.departure);
  } else {
    strike(fleet, loss);
    fleet.runFor(loss.departure);
    fleet.removeLeaf(leafNumber);
    fleet.runFor(loss.leaveBound - kSendTime);
  }
  std::size_t count = 0;
  for (std::size_t rank = loss.struck + 1; rank < numbers.size(); ++rank) {
    count += fleet.followerOf(numbers[rank]).leafIds().count(leaf);
  }
  return count;
}

/// Plays each loss of the reader for a fleet of this size and bound, with up to `maxStruck` struck daemons.
void requireLeafsLeaveInTime(std::size_t daemons, Duration leaveBound, std::size_t maxStruck) {
  constexpr std::uint64_t kPlays = 2;
  for (const bool suspended : {false, true}) {
    for (const int departure : {-1000, -200, 0, 40, 300, 1000, 1500, 2000}) {
      for (std::size_t struck = 0; struck <= maxStruck; ++struck) {
        for (std::uint64_t random = 1; random <= kPlays; ++random) {
          const ReaderLoss loss{daemons, leaveBound, suspended, milliseconds(departure), struck};
          CAPTURE(daemons, suspended, departure, struck, random);
          CHECK(daemonsUsingLeafTooLong(loss, random) == 0);
        }
      }
    }
  }
}

}  // namespace

// Guards against a leaf that is used for longer than the operator's bound after it left, because those who
// take over from the lost reader learn of it too late.
TEST_CASE("a leaf that leaves while the reader is lost is used no longer than the bound",
          "[serving][readers]") {
  requireLeafsLeaveInTime(3, seconds(3), 1);
  requireLeafsLeaveInTime(8, seconds(3), 4);
  requireLeafsLeaveInTime(74, seconds(5), 4);
}

// Guards against the same in a large fleet with a short bound: where the first daemons in order are struck as
// well, the others read so late that the removal delay no longer fits into the bound.
TEST_CASE("a leaf that leaves while several readers are lost is used no longer than a short bound",
          "[serving][readers]") {
  requireLeafsLeaveInTime(74, seconds(3), 4);
}

// Guards against the loss of all leafs after an outage of the source: entries that lapse meanwhile are
// written again within seconds, so they are kept for the whole removal delay.
TEST_CASE("a leaf whose entry lapses during an outage is kept for the whole removal delay",
          "[serving][readers]") {
  constexpr Duration kStep = milliseconds(10);
  for (const std::size_t daemons : {3, 8, 74}) {
    for (const int outage : {500, 1200, 1500, 1800, 2000, 2400, 2700, 2900, 3400, 6000}) {
      SourceFleetSettings settings;
      settings.daemons = daemons;
      SourceFleet fleet(settings);
      fleet.runFor(seconds(12));
      fleet.setSourceDown(true);
      fleet.runFor(milliseconds(outage) - milliseconds(200));
      fleet.removeLeaf(7);
      const std::uint64_t deletion = fleet.sourceRevision();
      const std::size_t leafs = fleet.followerOf(0).leafCount();
      fleet.runFor(milliseconds(200));
      fleet.setSourceDown(false);
      std::vector<Moment> knownAt(daemons, kNever);
      std::vector<bool> removed(daemons, false);
      Duration shortest = seconds(10);
      const Moment end = fleet.now() + seconds(8);
      while (fleet.now() < end) {
        fleet.runFor(kStep);
        for (std::size_t number = 0; number < daemons; ++number) {
          const bool known = fleet.knownRevisionOf(number) >= deletion;
          if (known && knownAt[number] == kNever) {
            knownAt[number] = fleet.now();
          }
          if (known && !removed[number] && fleet.followerOf(number).leafCount() < leafs) {
            shortest = std::min(shortest, fleet.now() - knownAt[number]);
            removed[number] = true;
          }
        }
      }
      CAPTURE(daemons, outage);
      CHECK(shortest >= milliseconds(1000) - 2 * kStep);
    }
  }
}

}  // namespace oakpier::serving
