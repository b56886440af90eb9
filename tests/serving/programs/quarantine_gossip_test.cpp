/// Gossip of quarantine records among many daemons in one process. The test delivers, drops and counts
/// frames.

#include "programs/gateway/quarantine_gossip.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>

#include "serving/support/loopback.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

using Verdict = RequestQuarantine::Verdict;

const RequestFingerprint kRequest{1, 2};
constexpr std::uint16_t kPort = 9;

class Fleet {
 public:
  explicit Fleet(std::uint32_t daemons) {
    std::vector<Endpoint> all;
    for (std::uint32_t number = 1; number <= daemons; ++number) {
      all.emplace_back(number, kPort);
    }
    for (const Endpoint& self : all) {
      auto daemon = std::make_unique<Daemon>();
      daemon->gossip = std::make_unique<QuarantineGossip>(
          context, daemon->quarantine, random, self,
          [this](const Endpoint& to, PeerEnvelope frame) { deliver(to, std::move(frame)); });
      daemon->gossip->setDaemons(all);
      daemons_.emplace(self, std::move(daemon));
    }
  }

  RequestQuarantine& quarantineOf(std::uint32_t number) { return daemonAt(number).quarantine; }
  void notifyChanged(std::uint32_t number) { daemonAt(number).gossip->onChanged(); }
  /// Starts or stops dropping all frames to the daemon.
  void setUnreachable(std::uint32_t number, bool unreachable) {
    if (unreachable) {
      unreachable_.insert(Endpoint(number, kPort));
    } else {
      unreachable_.erase(Endpoint(number, kPort));
    }
  }
  std::size_t countOf(Verdict verdict) const {
    std::size_t count = 0;
    for (const auto& [address, daemon] : daemons_) {
      count += daemon->quarantine.assess(kRequest, steadyNow()).verdict == verdict ? 1 : 0;
    }
    return count;
  }

  boost::asio::io_context context;
  RandomEngine random{7};
  std::size_t frames = 0;

 private:
  struct Daemon {
    RequestQuarantine quarantine;
    std::unique_ptr<QuarantineGossip> gossip;
  };

  Daemon& daemonAt(std::uint32_t number) { return *daemons_.at(Endpoint(number, kPort)); }
  void deliver(const Endpoint& to, PeerEnvelope frame) {
    ++frames;
    boost::asio::post(context, [this, to, frame = std::move(frame)] {
      if (unreachable_.count(to) == 0) {
        daemons_.at(to)->gossip->onFrame(frame.ending_requests());
      }
    });
  }

  std::map<Endpoint, std::unique_ptr<Daemon>> daemons_;
  std::set<Endpoint> unreachable_;
};

/// The request crashes leafs at one daemon, including the leaf of its trial.
void quarantine(Fleet& fleet, std::uint32_t number) {
  RequestQuarantine& quarantine = fleet.quarantineOf(number);
  const Moment now = steadyNow();
  quarantine.onLeafCrashed(kRequest, 1, now);
  quarantine.onLeafCrashed(kRequest, 2, now);
  quarantine.onTrial(kRequest, now);
  quarantine.onLeafCrashed(kRequest, 3, now);
  fleet.notifyChanged(number);
}

}  // namespace

TEST_CASE("all daemons learn that a request crashes leafs, and that it was answered", "[serving]") {
  constexpr std::uint32_t kDaemons = 300;
  Fleet fleet(kDaemons);
  quarantine(fleet, 1);
  runUntil(fleet.context, [&] { return fleet.countOf(Verdict::kQuarantined) == kDaemons; });
  fleet.quarantineOf(2).onAnswered(kRequest, steadyNow());
  fleet.notifyChanged(2);
  runUntil(fleet.context, [&] { return fleet.countOf(Verdict::kUnsuspected) == kDaemons; });
}

TEST_CASE("evidence from three daemons, one leaf each, adds up at every daemon", "[serving]") {
  constexpr std::uint32_t kDaemons = 20;
  Fleet fleet(kDaemons);
  for (std::uint32_t number = 1; number <= 3; ++number) {
    fleet.quarantineOf(number).onLeafCrashed(kRequest, number, steadyNow());
    fleet.notifyChanged(number);
  }
  runUntil(fleet.context, [&] { return fleet.countOf(Verdict::kUnsuspected) == 0; });
}

TEST_CASE("a daemon that was unreachable receives missed records without a request", "[serving]") {
  constexpr std::size_t kPeers = 19;
  Fleet fleet(kPeers + 1);
  fleet.setUnreachable(5, true);
  quarantine(fleet, 1);
  // Each of the others has forwarded the record to eight peers; poll() then delivers all frames in transit.
  runUntil(fleet.context, [&] { return fleet.frames >= kPeers * 8; });
  fleet.context.poll();
  REQUIRE(fleet.countOf(Verdict::kQuarantined) == kPeers);
  fleet.setUnreachable(5, false);
  runUntil(fleet.context, [&] { return fleet.countOf(Verdict::kQuarantined) == kPeers + 1; });
}

TEST_CASE("a record that is already known is not forwarded again", "[serving]") {
  constexpr std::uint32_t kDaemons = 60;
  Fleet fleet(kDaemons);
  quarantine(fleet, 1);
  runUntil(fleet.context, [&] { return fleet.countOf(Verdict::kQuarantined) == kDaemons; });
  // Eight frames per daemon for the one change, plus the few anti-entropy frames that are due by now.
  REQUIRE(fleet.frames <= std::size_t{kDaemons} * 10);
}

}  // namespace oakpier::serving
