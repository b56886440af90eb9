#include "protocol/serving/caller_credentials.h"

#include <catch2/catch.hpp>

#include "protocol/serving/leaf_messages.h"
#include "state/serving/request_fingerprint.h"

namespace oakpier::serving {

namespace {

/// The key, "none" or "unreadable".
std::string keyIn(const HeaderList& headers, const std::string& scheme = "Token") {
  HeaderNames names;
  names.keyScheme = scheme;
  const CallerKey key = keyOf(headers, names);
  if (const auto* text = std::get_if<std::string_view>(&key)) {
    return std::string(*text);
  }
  return std::holds_alternative<NoKey>(key) ? "none" : "unreadable";
}

std::string keyInValue(const std::string& value) { return keyIn({{"Authorization", value}}); }

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("a key is read from one Authorization header with the configured scheme", "[serving]") {
  REQUIRE(keyInValue("Token secret-1") == "secret-1");
  REQUIRE(keyInValue("TOKEN   secret-1") == "secret-1");
  REQUIRE(keyIn({{"authorization", "token secret-1"}, {"X-Other", "1"}}) == "secret-1");
  REQUIRE(keyIn({{"Authorization", "Bearer secret-1"}}, "Bearer") == "secret-1");
}

TEST_CASE("an Authorization header of another scheme holds no key", "[serving]") {
  for (const char* value : {"", " ", "secret-1", "Bearer secret-1", "Tokensecret-1", "Basic dG9rZW4="}) {
    CAPTURE(value);
    REQUIRE(keyInValue(value) == "none");
  }
}

TEST_CASE("a malformed Authorization header of the configured scheme is unreadable", "[serving]") {
  for (const char* value : {"Token", "Token ", "Token   ", "token", " Token secret-1", "Token secret-1 ",
                            "Token secret-1 secret-2", "Token\tsecret-1", "Token secret-1\t",
                            "Token secret\r-1", "Token Token secret-1"}) {
    CAPTURE(value);
    REQUIRE(keyInValue(value) == "unreadable");
  }
}

TEST_CASE("repeated Authorization headers are unreadable if one has the configured scheme", "[serving]") {
  REQUIRE(keyIn({{"Authorization", "Token secret-1"}, {"Authorization", "Token secret-1"}}) == "unreadable");
  REQUIRE(keyIn({{"Authorization", "Token secret-1"}, {"AUTHORIZATION", "Basic x"}}) == "unreadable");
  REQUIRE(keyIn({{"Authorization", "Basic x"}, {"AUTHORIZATION", "Token secret-1"}}) == "unreadable");
  REQUIRE(keyIn({{"Authorization", "Basic x"}, {"AUTHORIZATION", "Basic y"}}) == "none");
}

TEST_CASE("other or missing headers hold no key", "[serving]") {
  REQUIRE(keyIn({{"Proxy-Authorization", "Token secret-1"}, {"X-Authorization", "Token secret-1"}}) ==
          "none");
  REQUIRE(keyIn({}) == "none");
}

TEST_CASE("a leaf receives the tenant's name instead of the caller's key and tenant headers", "[serving]") {
  const HeaderNames names;
  HttpRequest request{"GET",
                      "/a/",
                      {{"Host", "h"},
                       {"AUTHORIZATION", "Bearer secret-1"},
                       {"Oakpier-Tenant", "forged"},
                       {"oakpier-TENANT", "forged"},
                       {"Authorization", "Basic secret-2"},
                       {"Connection", "Oakpier-Tenant, Authorization"},
                       {"X-Other", "1"}},
                      ""};
  const std::string tenant = GENERATE("amber", "");
  replaceCredentials(request, tenant, names);
  REQUIRE(request.tenant == tenant);
  REQUIRE(request.headers.size() == 3);
  const std::string bytes = LeafRequestTemplate(request, names).bytesFor("leaf-1", std::chrono::seconds(1));
  REQUIRE(contains(bytes, "X-Other: 1\r\n"));
  REQUIRE(contains(bytes, "Oakpier-Tenant: amber\r\n") == !tenant.empty());
  for (const char* removed : {"secret", "forged", "uthorization"}) {
    REQUIRE_FALSE(contains(bytes, removed));
  }
}

TEST_CASE("without tenants, credentials are forwarded, but tenant headers from callers are not",
          "[serving]") {
  const HeaderNames names;
  const HttpRequest request{
      "GET",
      "/a/",
      {{"Authorization", "Basic x"}, {"Oakpier-Tenant", "forged"}, {"OAKPIER-TENANT", "forged"}},
      ""};
  const std::string bytes = LeafRequestTemplate(request, names).bytesFor("leaf-1", std::chrono::seconds(1));
  REQUIRE(contains(bytes, "Authorization: Basic x\r\n"));
  REQUIRE_FALSE(contains(bytes, "forged"));
}

TEST_CASE("requests have the same fingerprint for two keys of one tenant, but not for two tenants",
          "[serving]") {
  const HeaderNames names;
  const auto fingerprintWith = [&](const std::string& key, const std::string& tenant) {
    HttpRequest request{"GET", "/a/", {{"Host", "h"}, {"Authorization", "Bearer " + key}}, ""};
    replaceCredentials(request, tenant, names);
    return fingerprintOf(request);
  };
  REQUIRE(fingerprintWith("secret-1", "amber") == fingerprintWith("secret-2", "amber"));
  REQUIRE(fingerprintWith("secret-1", "amber") != fingerprintWith("secret-1", "birch"));
  REQUIRE(fingerprintWith("secret-1", "amber") != fingerprintWith("secret-1", ""));
}

}  // namespace oakpier::serving
