#include <catch2/catch.hpp>

#include "programs/gateway/gateway_metrics.h"
#include "programs/gateway/request_log.h"
#include "serving/support/serving_fixtures.h"

namespace oakpier::serving {

TEST_CASE("the rate of log lines is limited and suppressed lines are counted", "[serving]") {
  RequestLog log(RequestLogSettings{1, 5});
  for (int number = 0; number < 20; ++number) {
    log.onRefused({"id", {}}, "page", LossCause::kLeafsTooBusy, 503, at(1000));
  }
  REQUIRE(log.linesSuppressed() == 15);
  log.onRefused({"id", {}}, "page", LossCause::kLeafsTooBusy, 503, at(1400));
  REQUIRE(log.linesSuppressed() == 15);
}

TEST_CASE("a query keeps a trace of its decisions", "[serving]") {
  const auto view = viewOf({gatherRoute({"s0"}, 1.0)}, {"s0"}, 2);
  QueryWorld world(view);
  Query query(view, view->configuration->routes[0], *world.context, at(0), at(2000));
  const auto started = query.start(at(0));
  query.onWriteStarted(started.sends[0].exchange);
  const auto hedged = query.onTimer(query.nextDecisionAt());
  query.onWriteStarted(hedged.sends[0].exchange);
  query.onOutcome(hedged.sends[0].exchange, outcomeOf(LeafOutcome::Kind::kNoAnswer), at(120));
  const auto& events = query.trace().events();
  REQUIRE(events.size() == 3);
  REQUIRE(events[0].decision == Decision::kSend);
  REQUIRE(events[1].decision == Decision::kHedge);
  REQUIRE(events[1].leaf == hedged.sends[0].leaf);
  REQUIRE(*events[2].outcome == LeafOutcome::Kind::kNoAnswer);
  REQUIRE(query.missingServices() == std::vector<std::string>{"s0"});
}

TEST_CASE("metrics contain the values of all counters", "[serving]") {
  RequestCounters requests;
  requests.received = 7;
  requests.rejectedKeys = 31;
  requests.anonymousWithKey = 35;
  requests.refusedUnproven = 32;
  requests.refusedOverLimit = 33;
  requests.answerTimes["page"].record(std::chrono::milliseconds(3));
  requests.answerTimes["page"].record(std::chrono::minutes(5));
  LeafPoolCounters pool;
  OwnerClientCounters owners;
  owners.probes = 4;
  MergeClientCounters mergeServers;
  mergeServers.parts = 21;
  mergeServers.incomplete = 3;
  PeerTransportCounters peers;
  peers.bytesSentByKind.at(static_cast<std::size_t>(FrameKind::kWork)) = 77;
  FollowerCounters source;
  source.proofs.requests = 31;
  source.proofs.timedOut = 5;
  QuotaMetrics quota;
  quota.client.requests = 31;
  quota.server.granted = 32;
  quota.buckets = 33;
  quota.waits.record(std::chrono::milliseconds(3));
  const std::string text =
      metricsText(GatewayMetrics{requests, pool, owners, 9, mergeServers, 22,   peers, source, 12,   70, 8,
                                 4,        true, 1,      2, 12,           1192, 34,    1.5,    quota});
  for (const char* line : {"oakpier_gateway_requests_total 7",
                           "oakpier_gateway_configuration_version 12",
                           "oakpier_gateway_rejected_keys_total 31",
                           "oakpier_gateway_anonymous_with_key_total 35",
                           "oakpier_gateway_refusals_unproved_total 32",
                           "oakpier_gateway_refusals_over_limit_total 33",
                           "oakpier_gateway_keys 34",
                           "oakpier_gateway_proof_questions_total 31",
                           "oakpier_gateway_proof_questions_timed_out_total 5",
                           "oakpier_gateway_configuration_proof_age_seconds 1.5",
                           "oakpier_gateway_log_lines_dropped_total 2",
                           "oakpier_gateway_ready 1",
                           "oakpier_gateway_owner_probes_total 4",
                           "oakpier_gateway_parts_served_total 9",
                           "oakpier_gateway_capacity_cores 0.12",
                           "oakpier_gateway_fleet_capacity_cores 11.92",
                           "oakpier_gateway_parts_by_way_of_mergers_total 21",
                           "oakpier_gateway_merger_answers_incomplete_total 3",
                           "oakpier_gateway_parts_merged_total 22",
                           "oakpier_gateway_peer_bytes_sent_total{kind=\"work\"} 77",
                           "oakpier_gateway_token_asks_total 31",
                           "oakpier_gateway_home_tokens_granted_total 32",
                           "oakpier_gateway_tenant_homes_held 33",
                           "oakpier_gateway_token_wait_seconds_bucket{le=\"0.004\"} 1",
                           "oakpier_gateway_answer_seconds_bucket{route=\"page\",le=\"0.004\"} 1",
                           "oakpier_gateway_answer_seconds_bucket{route=\"page\",le=\"+Inf\"} 2"}) {
    REQUIRE(text.find(line) != std::string::npos);
  }
}

}  // namespace oakpier::serving
