#pragma once

/// Detects unresponsive peers: daemons that did not answer a frame within a timeout, as observed by this
/// daemon or reported by another one. Callers prefer responsive daemons.
///
/// Invariant: another daemon's report does not mark a peer as unresponsive if this daemon has received a
/// frame from it within the timeout.

#include <unordered_map>
#include <vector>

#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier::serving {

/// Not thread-safe.
class PeerFailureDetector {
 public:
  /// A frame that requires an answer was sent to the peer.
  void onSent(const Endpoint& peer, Moment now);
  /// Any frame was received from the peer.
  void onReceived(const Endpoint& peer, Moment now);
  /// True if a frame to the peer has been unanswered for longer than the timeout.
  bool isUnresponsive(const Endpoint& peer, Moment now) const;
  /// True at most once per probe interval for an unresponsive peer: the caller may contact it again.
  bool takeProbe(const Endpoint& peer, Moment now);
  /// The unresponsive peers whose probe interval has elapsed.
  std::vector<Endpoint> takeDueProbes(Moment now);
  /// Peers that this daemon has found unresponsive and that were not returned before. Peers reported by other
  /// daemons are not included.
  std::vector<Endpoint> takeNewlyUnresponsive(Moment now);
  /// Another daemon reported the peer as unresponsive.
  void onReportedUnresponsive(const Endpoint& peer, Moment now);
  /// Drops the state of all other peers.
  void retain(const std::vector<Endpoint>& peers);

 private:
  struct UnansweredFrame {
    Moment since{};
    Moment probedAt{};
    /// Returned by `takeNewlyUnresponsive`, or reported by another daemon.
    bool reported = false;
  };

  bool takeProbe(const Endpoint& peer, UnansweredFrame& entry, Moment now) const;

  /// Peers with an unanswered frame.
  std::unordered_map<Endpoint, UnansweredFrame> unanswered_;
  std::unordered_map<Endpoint, Moment> receivedAt_;
};

}  // namespace oakpier::serving
