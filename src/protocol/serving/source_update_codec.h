#pragma once

/// Encodes updates from the configuration source into frames between daemons. Larger updates are compressed:
/// their records are repetitive text, and each daemon forwards an update to several peers.

#include <cstdint>
#include <optional>
#include <string>

#include "oakpier/peer.pb.h"

namespace oakpier::serving {

/// Sets the envelope's body to the update, compressed if it is large.
void encodeUpdate(const SourceNews& update, PeerEnvelope& envelope);

/// Works like `encodeUpdate`, but reuses the last compressed update if only the age differs, since an update
/// is sent to several peers and a full state is large.
class UpdateEncoder {
 public:
  void encode(const SourceNews& update, PeerEnvelope& envelope);
  /// Number of updates that were compressed rather than reused.
  std::uint64_t compressions() const { return compressions_; }

 private:
  /// Identifies an update's content: within an epoch, the content of a revision is immutable.
  struct Identity {
    bool whole = false;
    std::uint64_t epoch = 0;
    std::uint64_t afterRevision = 0;
    std::uint64_t revision = 0;
    int records = 0;
    std::string reader;
  };
  static Identity identityOf(const SourceNews& update);
  bool sameAsLast(const Identity& identity) const;

  Identity last_;
  PackedSourceNews packed_;
  std::uint64_t compressions_ = 0;
};

/// The update in the envelope; empty if there is none, or if it is corrupted or declares a size over 128 MiB.
std::optional<SourceNews> decodeUpdate(const PeerEnvelope& envelope);

}  // namespace oakpier::serving
