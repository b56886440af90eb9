#pragma once

/// Fingerprints identify repetitions of a request: a hash of the method, the host, the path with the query,
/// the tenant (without one, the Authorization header) and the body.

#include <cstdint>
#include <string>

#include "state/serving/http_message.h"

namespace oakpier::serving {

/// A 128-bit hash. The probability of a collision among 10^12 requests is about 10^-15.
struct RequestFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const RequestFingerprint& other) const { return high == other.high && low == other.low; }
  bool operator!=(const RequestFingerprint& other) const { return !(*this == other); }
  bool operator<(const RequestFingerprint& other) const {
    return high != other.high ? high < other.high : low < other.low;
  }
  /// 32 hexadecimal digits, as in logs.
  std::string text() const;
};

/// The result is the same on every daemon. Headers other than Host and Authorization are ignored, since
/// some of them, such as the request id and the deadline, differ between repetitions of a request.
RequestFingerprint fingerprintOf(const HttpRequest& request);

struct RequestFingerprintHash {
  std::size_t operator()(const RequestFingerprint& fingerprint) const { return fingerprint.low; }
};

}  // namespace oakpier::serving
