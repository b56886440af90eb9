#pragma once

/// Which daemons have left frames unanswered, so that others are preferred to them.

#include <unordered_map>
#include <vector>

#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier::serving {

/// Not thread-safe.
class PeerSilence {
 public:
  /// A frame that asks for an answer was sent.
  void onSent(const Endpoint& peer, Moment now);
  void onHeard(const Endpoint& peer);
  /// The daemon has left a frame unanswered for longer than a living one would.
  bool silent(const Endpoint& peer, Moment now) const;
  /// True once in a while for a silent daemon: it may be tried again now.
  bool takeTry(const Endpoint& peer, Moment now);
  /// Silent daemons that may be tried again now.
  std::vector<Endpoint> takeTries(Moment now);
  /// Forgets the daemons that are not among these.
  void retain(const std::vector<Endpoint>& peers);

 private:
  struct Silence {
    Moment since{};
    Moment triedAt{};
  };

  bool takeTry(const Endpoint& peer, Silence& silence, Moment now) const;

  /// Daemons with a frame unanswered.
  std::unordered_map<Endpoint, Silence> silences_;
};

}  // namespace oakpier::serving
