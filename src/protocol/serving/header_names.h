#pragma once

/// Names of the headers that callers, the gateway and leafs exchange. The defaults are the product's own; a
/// deployment's adapter may give others.

#include <string>

namespace oakpier::serving {

struct HeaderNames {
  /// Identifies one request of a caller; leafs return it.
  std::string requestId = "Oakpier-Request-Id";
  /// Milliseconds that the caller, or the gateway towards a leaf, will wait.
  std::string deadline = "Oakpier-Deadline-Ms";
  /// A leaf's signature of one answer.
  std::string signature = "Oakpier-Signature";
  /// The incarnation of the leaf that a request is meant for.
  std::string expectedInstance = "Oakpier-Expected-Instance";
  /// Requests running, requests waiting and slots of a leaf, separated by commas; some add how long work
  /// takes there at present, in hundredths of what is usual.
  std::string load = "Oakpier-Load";
  /// Milliseconds that a leaf is still cold.
  std::string warmup = "Oakpier-Warmup-Ms";
  /// A leaf's statement that it did not run the request.
  std::string notExecuted = "Oakpier-Not-Executed";
  /// Signatures of the parts of a merged answer, separated by commas.
  std::string partSignatures = "Oakpier-Part-Signatures";
  /// How many shards a merged answer lacks.
  std::string missingParts = "Oakpier-Missing-Parts";
  /// The tenant for which a leaf runs a request.
  std::string tenant = "Oakpier-Tenant";
  /// The scheme of the header `Authorization` under which a caller's key stands.
  std::string keyScheme = "Bearer";
};

}  // namespace oakpier::serving
