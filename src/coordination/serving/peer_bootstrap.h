#pragma once

/// How a daemon gets the records of the configuration source at its start: it requests them from peers, and
/// lists the source itself only if none replies in time. Seeds list the source immediately, because after a
/// start of all daemons nobody could reply. A few listings cost little, but requests fail while there is no
/// configuration.
///
/// Invariant: a daemon that gets no reply lists the source after a bounded time.

#include <optional>
#include <vector>

#include "state/endpoint.h"
#include "state/random.h"
#include "state/time.h"

namespace oakpier::serving {

struct PeerBootstrapSettings {
  /// Between requests to peers. The first may be sent before the seed has started.
  Duration requestInterval = std::chrono::milliseconds(100);
  /// How long daemons that are no seeds wait for a reply: time for a seed's listing and its reply, both on a
  /// tenth of a CPU.
  Duration replyTimeout = std::chrono::milliseconds(300);
  /// They list the source after a further random delay up to this, so that they do not all call
  /// simultaneously.
  Duration maxJitter = std::chrono::milliseconds(700);
  /// Number of daemons that are assumed to start simultaneously.
  std::size_t assumedDaemons = 100;
};

class PeerBootstrap {
 public:
  PeerBootstrap(const Endpoint& self, const PeerBootstrapSettings& settings)
      : self_(self), settings_(settings) {}

  /// `seeds`: the peers to request from first; may contain this daemon. If there are no others, the source is
  /// listed immediately.
  void start(const std::vector<Endpoint>& seeds, Moment now, RandomEngine& random);
  /// Peers that can be requested from. The first time that there are any, a request is due immediately.
  void setMembers(const std::vector<Endpoint>& members);

  /// The peer to send a request to now, if one is due.
  std::optional<Endpoint> takeRequest(Moment now, RandomEngine& random);
  Moment nextRequestAt() const { return nextRequestAt_; }
  /// A random peer; a seed while no members are known.
  std::optional<Endpoint> randomPeer(RandomEngine& random) const;
  /// This daemon is a seed or has none: it reads the source for the others from its start.
  bool readsFromStart() const { return readsFromStart_; }
  /// When this daemon lists the source itself unless it got a reply.
  Moment listAt() const { return listAt_; }

 private:
  Endpoint self_;
  PeerBootstrapSettings settings_;
  /// Without this daemon.
  std::vector<Endpoint> seeds_;
  bool readsFromStart_ = false;
  std::vector<Endpoint> members_;
  Moment nextRequestAt_ = kNever;
  Moment listAt_{};
};

}  // namespace oakpier::serving
