#pragma once

/// Which daemons have left frames unanswered, here or at another daemon, so that others are preferred to
/// them.
///
/// Invariant: a daemon that was heard from in the last `kSilenceLimit` does not become silent by hearsay.

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
  void onHeard(const Endpoint& peer, Moment now);
  /// The daemon has left a frame unanswered for longer than a living one would.
  bool silent(const Endpoint& peer, Moment now) const;
  /// True once in a while for a silent daemon: it may be tried again now.
  bool takeTry(const Endpoint& peer, Moment now);
  /// Silent daemons that may be tried again now.
  std::vector<Endpoint> takeTries(Moment now);
  /// Daemons that have become silent here and that others have not been told of yet.
  std::vector<Endpoint> takeNewlySilent(Moment now);
  /// Another daemon says that this one is silent.
  void onToldSilent(const Endpoint& peer, Moment now);
  /// Forgets the daemons that are not among these.
  void retain(const std::vector<Endpoint>& peers);

 private:
  struct Silence {
    Moment since{};
    Moment triedAt{};
    /// Others know of it.
    bool told = false;
  };

  bool takeTry(const Endpoint& peer, Silence& silence, Moment now) const;

  /// Daemons with a frame unanswered.
  std::unordered_map<Endpoint, Silence> silences_;
  std::unordered_map<Endpoint, Moment> heardAt_;
};

}  // namespace oakpier::serving
