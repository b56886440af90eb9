#include "state/serving/request_fingerprint.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <string_view>

namespace oakpier::serving {

namespace {

std::string_view valueOf(const HttpRequest& request, std::string_view name) {
  const std::string* value = findHeader(request.headers, name);
  return value == nullptr ? std::string_view() : std::string_view(*value);
}

}  // namespace

std::string RequestFingerprint::text() const {
  char digits[33];
  std::snprintf(digits, sizeof(digits), "%016llx%016llx", static_cast<unsigned long long>(high),
                static_cast<unsigned long long>(low));
  return digits;
}

RequestFingerprint fingerprintOf(const HttpRequest& request) {
  // All keys of a tenant identify the same caller.
  const std::string_view caller =
      request.tenant.empty() ? valueOf(request, "Authorization") : std::string_view(request.tenant);
  const std::array<std::string_view, 5> parts = {request.method, valueOf(request, "Host"), request.target,
                                                 caller, request.body};
  std::string bytes;
  for (const std::string_view part : parts) {
    // The length prefix keeps different requests from yielding the same concatenation.
    bytes.append(std::to_string(part.size())).append(":").append(part);
  }
  const XXH128_hash_t digest = XXH3_128bits(bytes.data(), bytes.size());
  return RequestFingerprint{digest.high64, digest.low64};
}

}  // namespace oakpier::serving
