/// Compares the losses that `oakpierctl causes` reads from the gateway's log with the losses that callers
/// see.

#include "programs/control/causes.h"

#include <catch2/catch.hpp>
#include <sstream>

#include "programs/control/explain.h"
#include "programs/gateway/loss_logger.h"
#include "serving/support/captured_log.h"
#include "serving/support/serving_fixtures.h"
#include "support/property.h"

namespace oakpier::serving {

namespace {

using Kind = LeafOutcome::Kind;

const std::vector<std::string> kShards{"s0", "s1", "s2", "s3"};

/// Loss as a caller computes it from the answer and its latency.
double callerLoss(const FinalAnswer& answer, Duration taken, Duration target) {
  if (const auto* forwarded = std::get_if<ForwardedAnswer>(&answer)) {
    return forwarded->reply->status == 200 && taken <= target ? 0.0 : 1.0;
  }
  const auto* merged = std::get_if<MergedAnswer>(&answer);
  if (merged == nullptr || taken > target) {
    return 1.0;
  }
  const auto in = static_cast<double>(merged->signatures.size());
  const double share = in / (in + static_cast<double>(merged->missingShards));
  return 1.0 - share * share;
}

/// Runs queries with generated outcomes; returns the sum of their callers' losses.
double runQueries(LossLogger& ledger, int queries) {
  const bool gather = *rc::gen::arbitrary<bool>();
  const auto view = viewOf({gather ? gatherRoute(kShards, 0.5) : singleRoute("s0", true, 2)}, kShards, 2);
  const Route& route = view->configuration->routes[0];
  double lost = 0;
  int now = 1;
  for (int number = 0; number < queries; ++number) {
    QueryWorld world(view, *rc::gen::element(0.0, 50.0));
    const Moment receivedAt = at(now);
    Query query(view, route, *world.context, receivedAt, at(now + 600));
    std::vector<SendAction> out;
    QueryActions actions = query.start(receivedAt);
    while (!actions.answer) {
      out.insert(out.end(), actions.sends.begin(), actions.sends.end());
      now += *rc::gen::inRange(1, 90);
      if (out.empty() || *rc::gen::inRange(0, 3) == 0) {
        actions = query.onTimer(at(now));
        continue;
      }
      const SendAction send = out.back();
      out.pop_back();
      query.onWriteStarted(send.exchange);
      const Kind kind = *rc::gen::element(Kind::kAnswered, Kind::kAnswered, Kind::kNoAnswer,
                                          Kind::kNotExecuted, Kind::kLeafFailed);
      actions = query.onOutcome(send.exchange, outcomeOf(kind, std::string(16, 'r')), at(now));
    }
    lost += callerLoss(*actions.answer, at(now) - receivedAt, route.targetLatency);
    ledger.add(route.name, query.lossOf(*actions.answer, at(now)), at(now));
  }
  return lost;
}

double sumOfCauses(const LossReport& report) {
  double sum = 0;
  for (const auto& [name, route] : report.routes) {
    for (const auto& [cause, lost] : route.causes) {
      sum += lost;
    }
  }
  return sum;
}

}  // namespace

TEST_CASE("logged causes sum up to the losses of callers", "[serving]") {
  OAKPIER_PROPERTY("losses", [] {
    const CapturedLog captured;
    double lost = 0;
    const int queries = *rc::gen::inRange(1, 20);
    {
      LossLogger ledger;
      lost = runQueries(ledger, queries);
    }
    LossReport report;
    std::istringstream lines(captured.text());
    readLosses(lines, report);
    RC_ASSERT(report.malformedLines == 0U);
    RC_ASSERT(report.routes.size() == 1U);
    RC_ASSERT(report.routes.begin()->second.requests == static_cast<std::uint64_t>(queries));
    RC_ASSERT(std::abs(report.routes.begin()->second.lost - lost) < 1e-6);
    RC_ASSERT(std::abs(sumOfCauses(report) - lost) < 1e-6);
  });
}

TEST_CASE("the number of loss lines does not grow with the load", "[serving]") {
  const CapturedLog captured;
  {
    LossLogger ledger;
    Loss loss;
    loss.add(LossCause::kOwnerLate, 0.25);
    for (int number = 0; number < 100'000; ++number) {
      ledger.add("page", loss, at(1000 + number / 50));
      ledger.addServed("page", LossCause::kEveryLeafSlow, at(1000 + number / 50));
    }
  }
  const std::string text = captured.text();
  REQUIRE(std::count(text.begin(), text.end(), '\n') <= 12);
  LossReport report;
  std::istringstream lines(text);
  readLosses(lines, report);
  REQUIRE(report.routes.at("page").causes.at("owner late") == Approx(25'000));
  REQUIRE(report.routes.at("page").delegatedCauses.at("every leaf asked slow") == Approx(100'000));
}

TEST_CASE("losses are printed by route and cause, largest first", "[serving]") {
  std::istringstream lines(
      "1.0 gateway-1 {\"time_us\":7000001,\"message\":\"requests ended\",\"route\":\"page\",\"requests\":10,"
      "\"lost\":4.0}\n"
      "1.0 gateway-1 {\"time_us\":7000002,\"message\":\"loss\",\"route\":\"page\",\"cause\":\"owner late\","
      "\"lost\":1.0}\n"
      "1.0 gateway-1 {\"time_us\":7000003,\"message\":\"loss\",\"route\":\"page\",\"cause\":\"owner silent\","
      "\"lost\":3.0}\n"
      "not a log line\n"
      "1.0 gateway-1 {\"time_us\":7000003,\"message\":\"loss\",\"cause\":\"of no route\"}\n");
  LossReport report;
  readLosses(lines, report);
  REQUIRE(report.malformedLines == 1);
  std::ostringstream out;
  printLosses(report, true, out);
  const std::string text = out.str();
  REQUIRE(text.find("page: 10 requests, lost 4.00") == 0);
  REQUIRE(text.find("owner silent") < text.find("owner late"));
  REQUIRE(text.find("lost by second from 7 on") != std::string::npos);
}

TEST_CASE("refusals for keys, proofs and limits have their own causes", "[serving]") {
  const CapturedLog captured;
  const std::vector<LossCause> causes = {LossCause::kKeyMissing,      LossCause::kKeyUnknown,
                                         LossCause::kKeyMaybeNew,     LossCause::kProofTooOld,
                                         LossCause::kTenantOverLimit, LossCause::kQuotaUnavailable};
  {
    LossLogger ledger;
    for (const LossCause cause : causes) {
      Loss loss;
      loss.add(cause, 1.0);
      ledger.add("page", loss, at(1000));
    }
  }
  LossReport report;
  std::istringstream lines(captured.text());
  readLosses(lines, report);
  std::ostringstream out;
  printLosses(report, false, out);
  CAPTURE(out.str());
  REQUIRE(report.malformedLines == 0);
  REQUIRE(report.routes.at("page").causes.size() == causes.size());
  // The figures are aligned, also after the longest cause.
  const std::string share = "      1.00   16.67 %\n";
  for (const LossCause cause : causes) {
    std::string line = std::string("    ") + textOf(cause);
    line.resize(4 + 44, ' ');
    REQUIRE(out.str().find(line + share) != std::string::npos);
  }
}

}  // namespace oakpier::serving
