#pragma once

/// Packs news of the configuration source into frames between daemons. Records are texts that repeat the same
/// names, and each daemon passes them on several times, so larger news travel compressed.

#include <cstdint>
#include <optional>
#include <string>

#include "oakpier/peer.pb.h"

namespace oakpier::serving {

/// Sets the envelope's body.
void packNews(const SourceNews& news, PeerEnvelope& envelope);

/// Packs like `packNews`, but news that was packed last, its age aside, is not compressed again: the same
/// news goes to several daemons, and whole states are large.
class NewsPacker {
 public:
  void pack(const SourceNews& news, PeerEnvelope& envelope);
  /// How often news was compressed.
  std::uint64_t compressions() const { return compressions_; }

 private:
  /// What of the last news tells it from others: what a revision holds does not change within an epoch.
  struct Identity {
    bool whole = false;
    std::uint64_t epoch = 0;
    std::uint64_t afterRevision = 0;
    std::uint64_t revision = 0;
    int records = 0;
    std::string reader;
  };
  static Identity identityOf(const SourceNews& news);
  bool sameAsLast(const Identity& identity) const;

  Identity last_;
  PackedSourceNews packed_;
  std::uint64_t compressions_ = 0;
};

/// The news in the envelope; empty when it holds none, or bytes that are not news.
std::optional<SourceNews> unpackNews(const PeerEnvelope& envelope);

}  // namespace oakpier::serving
