#pragma once

/// Names of the headers that callers, the gateway and leafs exchange. A deployment's adapter may override the
/// defaults.

#include <string>

namespace oakpier::serving {

struct HeaderNames {
  /// Id of a caller's request; leafs echo it.
  std::string requestId = "Oakpier-Request-Id";
  /// Milliseconds that the sender (the caller, or the gateway towards a leaf) waits for the answer.
  std::string deadline = "Oakpier-Deadline-Ms";
  /// A leaf's signature of an answer.
  std::string signature = "Oakpier-Signature";
  /// Id of the leaf that a request is meant for.
  std::string expectedInstance = "Oakpier-Expected-Instance";
  /// Load of a leaf, as comma-separated numbers: running requests, queued requests, slots and, optionally,
  /// the current processing time in percent of the usual one.
  std::string load = "Oakpier-Load";
  /// Remaining warm-up time of a leaf, in milliseconds.
  std::string warmup = "Oakpier-Warmup-Ms";
  /// Present if the leaf did not run the request.
  std::string notExecuted = "Oakpier-Not-Executed";
  /// Comma-separated signatures of the parts of a merged answer.
  std::string partSignatures = "Oakpier-Part-Signatures";
  /// Number of shards missing from a merged answer.
  std::string missingParts = "Oakpier-Missing-Parts";
  /// Name of the tenant on whose behalf a leaf runs a request.
  std::string tenant = "Oakpier-Tenant";
  /// The Authorization scheme of a caller's key.
  std::string keyScheme = "Bearer";
};

}  // namespace oakpier::serving
