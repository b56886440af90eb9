#pragma once

/// State of one request that all its exchanges at one daemon share.

#include "state/serving/request_fingerprint.h"

namespace oakpier::serving {

/// Not thread-safe.
struct RequestRecord {
  RequestFingerprint fingerprint;
  /// A leaf has answered the request successfully.
  bool answered = false;
};

}  // namespace oakpier::serving
