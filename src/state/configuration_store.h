#pragma once

/// The accepted configuration, the voters that accept the next change, and the latest changes for daemons
/// that are a little behind. Not thread-safe.

#include <deque>

#include "oakpier/peer.pb.h"

namespace oakpier {

class ConfigurationStore {
 public:
  const Configuration& configuration() const { return configuration_; }
  const VoterSet& voters() const { return voters_; }
  /// 0 until the first configuration was accepted or learnt.
  std::uint64_t revision() const { return configuration_.revision(); }
  std::uint64_t cluster() const { return cluster_; }

  /// Takes over an accepted proposal; false unless it is of the next revision.
  bool adopt(const Proposal& accepted);
  /// Takes over what another daemon has accepted; false when nothing in it is newer.
  bool adopt(const ChangesReply& reply);

  /// What a daemon at `revision` lacks: changes where they are still kept, else the whole.
  ChangesReply changesSince(std::uint64_t revision) const;

 private:
  void put(const ConfigurationChange& change);

  /// Changes kept for daemons that are behind.
  static constexpr std::size_t kChangesKept = 64;

  Configuration configuration_;
  VoterSet voters_;
  std::uint64_t cluster_ = 0;
  std::deque<ConfigurationChange> recent_;
};

}  // namespace oakpier
