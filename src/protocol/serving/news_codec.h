#pragma once

/// Packs news of the configuration source into frames between daemons. Records are texts that repeat the same
/// names, and each daemon passes them on several times, so larger news travel compressed.

#include <optional>

#include "oakpier/peer.pb.h"

namespace oakpier::serving {

/// Sets the envelope's body.
void packNews(const SourceNews& news, PeerEnvelope& envelope);

/// The news in the envelope; empty when it holds none, or bytes that are not news.
std::optional<SourceNews> unpackNews(const PeerEnvelope& envelope);

}  // namespace oakpier::serving
