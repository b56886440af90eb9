#include "programs/control/explain.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <string>
#include <tuple>
#include <vector>

#include "coordination/serving/loss_causes.h"
#include "programs/gateway/request_log.h"
#include "serving/support/captured_log.h"
#include "serving/support/serving_fixtures.h"

namespace oakpier {

namespace {

const char* const kLines =
    "12.1 gateway-1 {\"time_us\":1,\"message\":\"view published\",\"configuration_version\":7}\n"
    "not a log line\n"
    "12.2 gateway-2 {\"time_us\":2,\"message\":\"configuration source lost\"}\n"
    "12.3 gateway-1 {\"time_us\":3,\"message\":\"request\",\"id\":\"a\",\"outcome\":\"refused: not run\"}\n"
    "12.4 gateway-1 {\"time_us\":4,\"message\":\"decision\",\"id\":\"a\",\"decision\":\"no usable leaf\"}\n"
    "12.5 gateway-1 {\"time_us\":5,\"message\":\"request\",\"id\":\"b\"}\n";

}  // namespace

TEST_CASE("a request is explained with the earlier state of its own process", "[serving]") {
  std::istringstream lines(kLines);
  std::ostringstream out;
  REQUIRE(explainRequest("a", lines, out));
  REQUIRE(out.str() ==
          "at gateway-1, which by then had told:\n"
          "    view published  configuration_version=7\n"
          "request a:\n"
          "  request  outcome=refused: not run\n"
          "  decision  decision=no usable leaf\n");
}

TEST_CASE("an id that no line has is not found", "[serving]") {
  std::istringstream lines(kLines);
  std::ostringstream out;
  REQUIRE_FALSE(explainRequest("c", lines, out));
}

TEST_CASE("a refused request is explained by leaf crashes under the same fingerprint", "[serving]") {
  std::istringstream lines(
      "1.0 gateway-2 {\"message\":\"leaf ended\",\"leaf\":\"x\",\"under\":[\"f1\",\"f2\"]}\n"
      "1.1 gateway-2 {\"message\":\"leaf ended\",\"leaf\":\"y\",\"under\":[\"f2\"]}\n"
      "1.2 gateway-3 {\"message\":\"leafs end under a request\",\"fingerprint\":\"f1\",\"trials\":1}\n"
      "2.0 gateway-1 {\"message\":\"request\",\"id\":\"a\",\"fingerprint\":\"f1\",\"status\":500}\n");
  std::ostringstream out;
  REQUIRE(explainRequest("a", lines, out));
  REQUIRE(out.str() ==
          "at gateway-1, which by then had told:\n"
          "request a:\n"
          "  request  fingerprint=f1  status=500\n"
          "of requests for the same:\n"
          "  gateway-2 leaf ended  leaf=x  under=[\"f1\",\"f2\"]\n"
          "  gateway-3 leafs end under a request  fingerprint=f1  trials=1\n");
}

TEST_CASE("a refusal over a limit is explained with the tenant, its quota server and what to check",
          "[serving]") {
  // More lines on the limit than the maximum of state lines: they must not displace the line on the view.
  std::string lines = "1.0 gateway-1 {\"message\":\"view published\",\"configuration_version\":7}\n";
  for (int number = 0; number < 6; ++number) {
    lines +=
        "1.1 gateway-1 {\"message\":\"tenant beyond its limit\",\"tenant\":\"amber\",\"retry_after_ms\":" +
        std::to_string(number) + ",\"home\":\"10.0.0.2:7620\"}\n";
  }
  lines +=
      "1.2 gateway-1 {\"message\":\"tenant beyond its limit\",\"tenant\":\"birch\",\"retry_after_ms\":9}\n"
      "1.2 gateway-2 {\"message\":\"tenant beyond its limit\",\"tenant\":\"amber\",\"retry_after_ms\":8}\n"
      "1.3 gateway-1 {\"message\":\"request\",\"id\":\"a\",\"outcome\":\"refused: tenant over its limit\","
      "\"status\":429,\"tenant\":\"amber\"}\n";
  std::istringstream in(lines);
  std::ostringstream out;
  REQUIRE(explainRequest("a", in, out));
  REQUIRE(
      out.str() ==
      "at gateway-1, which by then had told:\n"
      "    view published  configuration_version=7\n"
      "request a:\n"
      "  request  outcome=refused: tenant over its limit  status=429  tenant=amber\n"
      "  tenant amber: refused with a time, by the tenant's limit over all daemons: no token came for the "
      "request\n"
      "  last told of the tenant here:\n"
      "    tenant beyond its limit  tenant=amber  retry_after_ms=5  home=10.0.0.2:7620\n"
      "  look next at: tenant_refusals_unanswered_total of this daemon, and the daemon that counts (home)\n");
}

TEST_CASE("each outcome that the gateway logs for a refused caller is explained", "[serving]") {
  using serving::LossCause;
  const std::vector<std::tuple<LossCause, unsigned, std::string>> refusals = {
      {LossCause::kKeyMissing, 401, "by the request alone"},
      {LossCause::kKeyUnknown, 401, "by the configuration in force, proved fresh"},
      {LossCause::kKeyMaybeNew, 503, "but it may be newer"},
      {LossCause::kProofTooOld, 503, "may have been taken away since"},
      {LossCause::kTenantOverLimit, 429, "by the tenant's limit over all daemons"},
      {LossCause::kQuotaUnavailable, 503, "none of the daemons that were asked to count for it answered"}};
  for (const auto& [cause, status, decidedBy] : refusals) {
    for (const std::string tenant : {"", "amber"}) {
      const serving::CapturedLog captured;
      {
        serving::RequestLog log(serving::RequestLogSettings{});
        log.onRefused({"a", {}, tenant}, "page", cause, status, serving::at(1000));
      }
      std::istringstream lines(captured.text());
      std::ostringstream out;
      REQUIRE(explainRequest("a", lines, out));
      const std::string text = out.str();
      CAPTURE(text);
      REQUIRE(text.find("  status=" + std::to_string(status)) != std::string::npos);
      REQUIRE(text.find((tenant.empty() ? "  no known tenant: refused " : "  tenant amber: refused ") +
                        std::string(status == 401 ? "for good" : "with a time")) != std::string::npos);
      REQUIRE(text.find(decidedBy) != std::string::npos);
      REQUIRE(text.find("  look next at: ") != std::string::npos);
    }
  }
}

TEST_CASE("other refusals get no such explanation", "[serving]") {
  const serving::CapturedLog captured;
  {
    serving::RequestLog log(serving::RequestLogSettings{});
    log.onRefused({"a", {}, "amber"}, "page", serving::LossCause::kLeafsTooBusy, 503, serving::at(1000));
  }
  std::istringstream lines(captured.text());
  std::ostringstream out;
  REQUIRE(explainRequest("a", lines, out));
  REQUIRE(out.str().find("look next at") == std::string::npos);
}

}  // namespace oakpier
