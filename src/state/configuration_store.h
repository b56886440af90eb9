#pragma once

/// The accepted configuration, the voters that accept the next change, and the latest changes for peers
/// that are a few revisions behind. Not thread-safe.

#include <deque>

#include "oakpier/peer.pb.h"

namespace oakpier {

class ConfigurationStore {
 public:
  const Configuration& configuration() const { return configuration_; }
  const VoterSet& voters() const { return voters_; }
  /// 0 until the first configuration was accepted or received from a peer.
  std::uint64_t revision() const { return configuration_.revision(); }
  std::uint64_t cluster() const { return cluster_; }

  /// Applies an accepted proposal; false unless it has the next revision and the same cluster.
  bool adopt(const Proposal& accepted);
  /// Applies accepted changes received from a peer; false if the reply is not newer, belongs to another
  /// cluster, or has neither a complete configuration nor the change to the next revision.
  bool adopt(const ChangesReply& reply);

  /// The changes after `revision` if all of them are retained, else, and always for revision 0, the complete
  /// configuration.
  ChangesReply changesSince(std::uint64_t revision) const;

 private:
  void put(const ConfigurationChange& change);

  /// Changes retained for peers that are behind.
  static constexpr std::size_t kChangesKept = 64;

  Configuration configuration_;
  VoterSet voters_;
  std::uint64_t cluster_ = 0;
  std::deque<ConfigurationChange> recent_;
};

}  // namespace oakpier
