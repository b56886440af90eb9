#pragma once

/// Keeps a daemon's proof that its configuration is current: renews it by reads of the source and by the
/// replies of peers to its requests, and replies to theirs.
///
/// Invariants: at the time of a proof, the source had acknowledged no newer version, even if frames are lost,
/// delayed or replayed, processes are suspended, or the source is restored from a backup; no requests are
/// sent unless the configuration has tenants; outstanding requests, deferred replies and retries are bounded.

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

/// Subtracted from the operator's bound. Covers the drift between two clocks (500 ppm each: 5 ms in 5 s) and
/// the time from the decision until the leaf receives the request: up to one CPU quota period (100 ms) and
/// the network delay between zones.
inline constexpr Duration kProofMargin = std::chrono::milliseconds(200);

struct ProverSettings {
  /// The greatest age of a proof. Also applies if the operator sets no bound, since unknown keys are refused
  /// for good only under a recent proof.
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
  /// Requests sent to peers.
  std::uint64_t requests = 0;
  /// Subset of `requests`: replied to in time.
  std::uint64_t answered = 0;
  std::uint64_t timedOut = 0;
  /// Reads of the source that `takeReadRequest` asked for.
  std::uint64_t readRequests = 0;
};

class ConfigurationProver {
 public:
  ConfigurationProver(const Endpoint& self, const ProverSettings& settings, RandomEngine random);

  void setSettings(const ProverSettings& settings) { settings_ = settings; }
  /// All serving daemons, this one included.
  void setMembers(const std::vector<Endpoint>& members);

  /// The configuration that this daemon uses now.
  void onVersion(std::uint64_t version, bool hasTenants);
  /// A configuration record was read or relayed. While the newest one is unusable the daemon runs on an older
  /// version, so its reads prove nothing.
  void onConfigurationRecord(const SourcePosition& position, bool usable);
  /// The source may just have been restored from a backup, and so have lost a newer configuration that it had
  /// acknowledged. Reads sent before `until` prove nothing, unless `onConfigurationWritten` is called first.
  void ignoreReadsUntil(Moment until) { readsProveFrom_ = until; }
  /// The operator has written the configuration since the restore, so any lost version is older.
  void onConfigurationWritten() { readsProveFrom_ = Moment{}; }
  /// A linearizable read of the source was applied completely; its first call was sent at `sentAt`.
  void onRead(Moment sentAt, Moment now, ProofActions& actions);
  /// A source update relayed by `sender` was accepted, so `sender` may have a recent proof.
  void onUpdate(const Endpoint& sender, Moment now, ProofActions& actions);
  void onRequest(const Endpoint& sender, const ConfigurationProofRequest& request, Moment now,
                 ProofActions& actions);
  void onReply(const Endpoint& sender, const ConfigurationProofReply& reply, Moment now,
               ProofActions& actions);
  void onTimer(Moment now, ProofActions& actions);
  /// When `onTimer` or `takeReadRequest` is due.
  Moment nextDueAt() const;
  /// True if peers did not renew the proof and the source is to be read now. At most once a second.
  bool takeReadRequest(Moment now);

  const ConfigurationProof& proof() const { return proof_; }
  /// Whether the proof was within the bound at the last call with a time.
  bool holds() const { return holds_; }
  const ProofCounters& counters() const { return counters_; }

 private:
  struct PendingRequest {
    Endpoint to;
    Moment sentAt{};
  };
  struct DeferredReply {
    Endpoint to;
    std::uint64_t number = 0;
    Moment until{};
  };

  /// Whether proofs are needed and can be renewed.
  bool active() const { return hasTenants_ && version_ > 0 && newestUsable_; }
  /// `Duration::max()` without a proof.
  Duration ageAt(Moment now) const;
  void refreshHolds(Moment now) { holds_ = proof_.covers(version_, now, settings_.bound); }
  /// `part` of the bound on the age of proofs.
  Duration fractionOfBound(double part) const;
  void sendRequest(const Endpoint& to, Moment now, ProofActions& actions);
  void requestFromPeers(Moment now, ProofActions& actions);
  /// Replaces the proof if the new one is younger.
  void adopt(const ConfigurationProof& candidate);
  void sendReply(const Endpoint& to, std::uint64_t number, Moment now, ProofActions& actions) const;
  /// Until when a reply to a peer waits for the replies that this daemon expects; `now` if it need not.
  Moment deferUntil(Moment now) const;
  void sendDeferredReplies(Moment now, bool all, ProofActions& actions);
  void drawReadThreshold();

  Endpoint self_;
  ProverSettings settings_;
  RandomEngine random_;
  std::vector<Endpoint> peers_;
  std::uint64_t version_ = 0;
  bool hasTenants_ = false;
  SourcePosition newestRecord_;
  bool newestUsable_ = true;
  /// Reads sent earlier prove nothing.
  Moment readsProveFrom_{};
  ConfigurationProof proof_;
  /// A proof of a newer version, kept until this daemon uses that version.
  ConfigurationProof nextVersionProof_;
  bool holds_ = false;
  /// Outstanding requests by number.
  std::map<std::uint64_t, PendingRequest> pendingRequests_;
  std::vector<DeferredReply> deferredReplies_;
  Moment requestFromSenderAfter_{};
  Moment requestAfter_{};
  Moment readAfter_{};
  /// Age of the proof, as a fraction of the bound, at which the source is read.
  double readThreshold_ = 1;
  /// Rounds of requests since the proof was last renewed.
  unsigned roundsSinceRenewal_ = 0;
  ProofCounters counters_;
};

}  // namespace oakpier::serving
