#pragma once

/// Proves how lately a daemon's configuration was the newest, from its own reads of the source and from
/// answers of other daemons to its own questions; and answers theirs.
///
/// Invariants: a proof never names a later moment than one at which its version was the newest that the
/// source had acknowledged, whatever frames are lost, late or replayed, whoever stands still and whatever the
/// source loses by coming back from a copy; without
/// tenants in the configuration nobody is asked; questions, held answers and tries are bounded.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "coordination/serving/configuration_proof.h"
#include "oakpier/peer.pb.h"
#include "state/endpoint.h"
#include "state/random.h"
#include "state/serving/source_position.h"
#include "state/time.h"

namespace oakpier::serving {

/// Kept free below the operator's bound. Two clocks that are slewed by 500 parts in a million each part by
/// 5 ms in 5 s; from the decision to the leaf a request may wait for the next period of its processor's
/// quota (100 ms) and then crosses a zone or two.
inline constexpr Duration kProofMargin = std::chrono::milliseconds(200);

struct ProverSettings {
  /// Proofs are kept younger than this. Also where the operator sets no bound, as unknown keys are only
  /// refused for good under a fresh proof.
  Duration bound = std::chrono::milliseconds(5000) - kProofMargin;
};

struct OutgoingProofRequest {
  Endpoint to;
  ConfigurationProofRequest request;
};

struct OutgoingProofReply {
  Endpoint to;
  ConfigurationProofReply reply;
};

struct ProofActions {
  std::vector<OutgoingProofRequest> requests;
  std::vector<OutgoingProofReply> replies;
};

struct ProofCounters {
  std::uint64_t asked = 0;
  /// Of these, with an answer in time.
  std::uint64_t answered = 0;
  std::uint64_t timedOut = 0;
  /// Times that the source was to be read for this daemon's own sake.
  std::uint64_t readWishes = 0;
};

class ConfigurationProver {
 public:
  ConfigurationProver(const Endpoint& self, const ProverSettings& settings, RandomEngine random);

  void setSettings(const ProverSettings& settings) { settings_ = settings; }
  /// Serving daemons, this one among them.
  void setMembers(const std::vector<Endpoint>& members);

  /// The configuration in force here. `hasTenants`: requests may need a proof.
  void onVersion(std::uint64_t version, bool hasTenants);
  /// A record of the configuration as of a position of the source. While the newest is not usable, this
  /// daemon cannot say that it uses the newest.
  void onConfigurationRecord(const SourcePosition& position, bool usable);
  /// The source's state of an epoch became known that may have begun just now. Until `until`, or until the
  /// operator has written the configuration again, a read proves nothing: the source may have lost a newer
  /// one that it had acknowledged.
  void holdClaims(Moment until) { claimsFrom_ = until; }
  /// The operator has written the configuration since the source came back: whatever was lost is older.
  void onConfigurationWritten() { claimsFrom_ = Moment{}; }
  /// A linearizable answer of the source was taken over whole; its (first) call was sent at `sentAt`.
  void onRead(Moment sentAt, Moment now, ProofActions& actions);
  /// News of the source was accepted: its sender has heard of a round of reading.
  void onUpdate(const Endpoint& sender, Moment now, ProofActions& actions);
  void onRequest(const Endpoint& sender, const ConfigurationProofRequest& request, Moment now,
                 ProofActions& actions);
  void onReply(const Endpoint& sender, const ConfigurationProofReply& reply, Moment now,
               ProofActions& actions);
  void onTime(Moment now, ProofActions& actions);
  /// When `onTime` or `takeReadWish` has something to do.
  Moment nextDueAt() const;
  /// Other daemons did not help: the source is to be read now for this daemon's own sake. True once a while.
  bool takeReadWish(Moment now);

  const ConfigurationProof& proof() const { return proof_; }
  /// As of the last call with a time, the proof is within the bound.
  bool holds() const { return holds_; }
  const ProofCounters& counters() const { return counters_; }

 private:
  struct Question {
    Endpoint to;
    Moment sentAt{};
  };
  struct Held {
    Endpoint to;
    std::uint64_t number = 0;
    Moment until{};
  };

  /// Whether anything is asked at all.
  bool active() const { return hasTenants_ && version_ > 0 && newestUsable_; }
  /// Of the proof; without one, longer than any bound.
  Duration ageAt(Moment now) const;
  void refreshHolds(Moment now) { holds_ = proof_.covers(version_, now, settings_.bound); }
  Duration share(double part) const;
  void ask(const Endpoint& to, Moment now, ProofActions& actions);
  void askSome(Moment now, ProofActions& actions);
  void claim(const ConfigurationProof& claimed);
  void answer(const Endpoint& to, std::uint64_t number, Moment now, ProofActions& actions) const;
  /// Until when an answer waits for the answer to a question of this daemon; `now` at most if it does not.
  Moment holdUntil(Moment now) const;
  void answerHeld(Moment now, bool all, ProofActions& actions);
  void drawReadShare();

  Endpoint self_;
  ProverSettings settings_;
  RandomEngine random_;
  std::vector<Endpoint> others_;
  std::uint64_t version_ = 0;
  bool hasTenants_ = false;
  SourcePosition newestRecord_;
  bool newestUsable_ = true;
  /// Reads that were sent earlier prove nothing.
  Moment claimsFrom_{};
  ConfigurationProof proof_;
  /// Proved of a version that is not known here yet.
  ConfigurationProof ahead_;
  bool holds_ = false;
  std::map<std::uint64_t, Question> questions_;
  std::vector<Held> held_;
  Moment askNewsSenderAfter_{};
  Moment askAfter_{};
  Moment readAfter_{};
  /// At which share of the bound the source is read for this daemon's own sake.
  double readShare_ = 1;
  /// Rounds of asking since the proof last grew younger.
  unsigned vainRounds_ = 0;
  ProofCounters counters_;
};

}  // namespace oakpier::serving
