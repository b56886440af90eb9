#pragma once

/// Records what the model's leafs and clients observe, and checks the gateways' guarantees on it.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "state/time.h"

namespace oakpier::serving::model {

/// A signed answer of a leaf.
struct SignedPart {
  std::string requestId;
  std::string service;
  std::string body;
};

class Observations {
 public:
  void onArrival(const std::string& requestId, const std::string& leaf, bool isDraining, Moment now);
  void onSigned(const std::string& signature, SignedPart part) { signed_[signature] = std::move(part); }
  /// A crashing request has reached a leaf, whether the leaf runs it or not.
  void onCrashingSend(const std::string& target, const std::string& requestId, Moment now);
  /// The request goes to a gateway that a fault has hit recently and that may lack its peers' state.
  void onSentToRecoveringGateway(const std::string& requestId) { recoveringRequests_.insert(requestId); }
  /// A request got no answer although its gateway was neither killed nor paused since it was sent. A
  /// violation if a leaf ran it.
  void checkAborted(const std::string& requestId);
  /// A leaf has crashed while it ran the request.
  void onLeafCrash(const std::string& target, Moment now);
  void onDraining(const std::string& leaf, Moment now) { drainingSince_[leaf] = now; }

  /// For a successful answer merged from all `shards`.
  void checkMerged(const std::string& requestId, const std::set<std::string>& shards, std::size_t topRecords,
                   const std::string& signatures, std::size_t missing, const std::string& body);
  /// For a successful answer of a single leaf.
  void checkForwarded(const std::string& requestId, const std::string& signature, const std::string& body);
  /// For a refused request that must run at most once.
  void checkRefusedNotExecuted(const std::string& requestId);
  /// At the end of the run: these requests ran at most once.
  void checkExecutedAtMostOnce(const std::set<std::string>& requestIds);

  /// Reports another violation.
  void addViolation(const std::string& text) { violations_.push_back(text); }
  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t arrivals() const { return arrivals_; }
  /// Number of leaf crashes caused by requests.
  std::size_t leafsCrashed() const;
  /// At the end of the run: crashing requests reached only few leafs after all gateways must have known them.
  void checkCrashingRequests();

 private:
  /// Crashes caused by one request, identified by its target.
  struct CrashingRequest {
    std::size_t crashes = 0;
    /// When it caused its third crash.
    Moment thirdCrashAt = kNever;
    std::size_t lateSends = 0;
  };

  std::map<std::string, CrashingRequest> crashingRequests_;
  std::set<std::string> recoveringRequests_;
  std::map<std::string, SignedPart> signed_;
  std::map<std::string, std::size_t> runs_;
  std::map<std::string, Moment> drainingSince_;
  std::vector<std::string> violations_;
  std::size_t arrivals_ = 0;
};

}  // namespace oakpier::serving::model
