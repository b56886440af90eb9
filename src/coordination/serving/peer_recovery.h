#pragma once

/// How a daemon that has just started comes to know what the configuration source holds: it asks other
/// daemons for all they know, and lists the source itself only when none has answered for a while. Seeds list
/// it at once, as after a start of all daemons nobody knows anything: a moment without a view costs requests,
/// three listings cost little.
///
/// Invariant: a daemon that gets no answer lists the source after a bounded time.

#include <optional>
#include <vector>

#include "state/endpoint.h"
#include "state/random.h"
#include "state/time.h"

namespace oakpier::serving {

struct PeerRecoverySettings {
  /// Between requests to other daemons. The first may come before the seed has started.
  Duration askPeriod = std::chrono::milliseconds(100);
  /// How long others wait for an answer: a seed's listing and the way of its answer on a tenth of a
  /// processor.
  Duration patience = std::chrono::milliseconds(300);
  /// They list up to this much later, so that they don't all call at once.
  Duration longestSpread = std::chrono::milliseconds(700);
  /// Daemons that are assumed to start at once.
  std::size_t assumedDaemons = 100;
};

class PeerRecovery {
 public:
  PeerRecovery(const Endpoint& self, const PeerRecoverySettings& settings)
      : self_(self), settings_(settings) {}

  /// `seeds`: daemons to ask first; this one may be among them. Without any the source is listed at once.
  void start(const std::vector<Endpoint>& seeds, Moment now, RandomEngine& random);
  /// Other daemons that may be asked. The first that are known are asked at once.
  void setMembers(const std::vector<Endpoint>& members);

  /// The daemon to ask now, if one is due.
  std::optional<Endpoint> takeAsk(Moment now, RandomEngine& random);
  Moment nextAskAt() const { return nextAskAt_; }
  /// Another daemon, for who cannot read the source; a seed while no other is known.
  std::optional<Endpoint> drawOther(RandomEngine& random) const;
  /// Seeds, and a daemon without any, read for the others from their start on.
  bool readsFirst() const { return readsFirst_; }
  /// From then on this daemon lists the source itself.
  Moment listAt() const { return listAt_; }

 private:
  Endpoint self_;
  PeerRecoverySettings settings_;
  /// Without this daemon.
  std::vector<Endpoint> seeds_;
  bool readsFirst_ = false;
  std::vector<Endpoint> members_;
  Moment nextAskAt_ = kNever;
  Moment listAt_{};
};

}  // namespace oakpier::serving
