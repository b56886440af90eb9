#pragma once

/// Detects unresponsive peers: daemons that did not answer a frame within a timeout, as observed by this
/// daemon or reported by another peer.
///
/// Invariant: a report does not mark a peer as unresponsive if this daemon has received a frame from the peer
/// within the timeout.

#include <unordered_map>
#include <vector>

#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier::serving {

/// Not thread-safe.
class PeerFailureDetector {
 public:
  /// A frame that requires an answer was sent to the peer. Starts the timeout unless an earlier frame is
  /// still unanswered.
  void onSent(const Endpoint& peer, Moment now);
  /// Any frame was received from the peer.
  void onReceived(const Endpoint& peer, Moment now);
  /// True if a frame to the peer has been unanswered for longer than the timeout, or if another peer has
  /// reported it as unresponsive, and no frame has been received from it since.
  bool isUnresponsive(const Endpoint& peer, Moment now) const;
  /// How long the first unanswered frame to the peer has been unanswered; 0 if there is none.
  Duration unansweredFor(const Endpoint& peer, Moment now) const;
  /// True at most once per probe interval for an unresponsive peer: the caller may contact it again.
  bool takeProbe(const Endpoint& peer, Moment now);
  /// The unresponsive peers whose probe interval has elapsed.
  std::vector<Endpoint> takeDueProbes(Moment now);
  /// Peers that this daemon has found unresponsive. Each is returned once until a frame is received from it.
  /// Peers that others have reported are not included.
  std::vector<Endpoint> takeNewlyUnresponsive(Moment now);
  /// Another peer reported this one as unresponsive.
  void onReportedUnresponsive(const Endpoint& peer, Moment now);
  /// Drops the state of all other peers.
  void retain(const std::vector<Endpoint>& peers);

 private:
  struct PeerState {
    Moment since{};
    Moment probedAt{};
    /// Returned by `takeNewlyUnresponsive`, or reported by another peer.
    bool reported = false;
  };

  bool takeProbe(const Endpoint& peer, PeerState& entry, Moment now) const;

  /// Peers with an unanswered frame and peers reported as unresponsive.
  std::unordered_map<Endpoint, PeerState> peers_;
  std::unordered_map<Endpoint, Moment> receivedAt_;
};

}  // namespace oakpier::serving
