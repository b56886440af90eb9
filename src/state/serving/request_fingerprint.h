#pragma once

/// What tells whether two requests ask for the same work, whatever their ids: method, host, path with query,
/// tenant (or, without one, credentials) and body.

#include <cstdint>
#include <string>

#include "state/serving/http_message.h"

namespace oakpier::serving {

/// 128 bits, so that of a million requests a second two that differ are not taken for one within any
/// daemon's life: at 10^12 requests the chance is about 10^-15.
struct RequestFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const RequestFingerprint& other) const { return high == other.high && low == other.low; }
  bool operator!=(const RequestFingerprint& other) const { return !(*this == other); }
  bool operator<(const RequestFingerprint& other) const {
    return high != other.high ? high < other.high : low < other.low;
  }
  /// 32 hexadecimal digits, as logs show it.
  std::string text() const;
};

/// The same on every daemon. Headers that differ between repeats of a request, such as its id and its
/// deadline, do not count.
RequestFingerprint fingerprintOf(const HttpRequest& request);

struct RequestFingerprintHash {
  std::size_t operator()(const RequestFingerprint& fingerprint) const { return fingerprint.low; }
};

}  // namespace oakpier::serving
