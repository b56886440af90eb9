/// Requests of a tenant on a public route, with the tenant's key, while the store is silent for 7 s.

#include "harness.h"

using namespace review;

namespace {

constexpr const char* kTenant = "acme";
constexpr const char* kKey = "key-of-acme";
/// The longest outage of the store that the site file names (`platform_down`, `how = "silent"`).
constexpr double kOutageSeconds = 7;
constexpr double kBetweenRequests = 0.05;

std::string configuration() {
  const json route = {{"name", "lookup"},
                      {"host", "desk.example"},
                      {"path_prefix", "/lookup/"},
                      {"route_type", "idempotent"},
                      {"attempts", 2},
                      {"timeout_ms", 4000},
                      {"target_latency_ms", 600},
                      {"priority", 2},
                      {"service", "single"},
                      {"public", true}};
  const json service = {{"name", "single"},
                        {"health_check_path", "/health"},
                        {"max_connections", 110},
                        {"warmup_s", 3.0},
                        {"warmup_per_s", 0.0}};
  return json{{"version", 3},
              {"routes", {route}},
              {"services", {service}},
              {"tenants", {{{"name", kTenant}, {"api_keys", {kKey}}, {"priority", 1}}}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 262144},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

}  // namespace

int main() {
  limitTo(100);
  const std::string ip = "127.0.0.1";
  const int storePort = freePort({ip});
  Store store;
  store.start(ip, storePort);
  store.put("op/config", configuration());
  std::vector<std::unique_ptr<Leaf>> leafs;
  for (int number = 0; number < 4; ++number) {
    leafs.push_back(std::make_unique<Leaf>());
    leafs.back()->start("i-" + std::to_string(number), "single", number < 2 ? "a" : "b", ip, freePort({ip}),
                        {});
    store.put("servers/" + leafs.back()->id, leafs.back()->entry());
  }
  fleet.create({"a", "a", "b", "b"}, ip + ":" + std::to_string(storePort),
               {{"revoke_strict", true}, {"revoke_ms", 5000}}, nullptr);
  fleet.start();
  sleepFor(8);

  say("four gateways are ready; each request carries the key of tenant " + std::string(kTenant));
  const double outageBegin = now() + 3;
  const double outageEnd = outageBegin + kOutageSeconds;
  const double end = outageEnd + 3;
  std::thread outage([&] {
    sleepUntil(outageBegin);
    if (withTrouble()) {
      store.setMode(Store::Mode::kSilent);
      say("the store is silent");
    }
    sleepUntil(outageEnd);
    if (withTrouble()) {
      store.setMode(Store::Mode::kUp);
      say("the store answers again");
    }
  });
  std::map<std::string, Answer> answers;
  std::map<int, unsigned> statuses;
  for (std::size_t sent = 0; now() < end; ++sent) {
    const Gateway& gateway = *fleet.gateways[sent % fleet.gateways.size()];
    const Answer answer =
        request(gateway.ip, gateway.httpPort, "GET", "/lookup/1",
                {{"Host", "desk.example"}, {"Authorization", std::string("Token ") + kKey}}, "", 4);
    ++statuses[answer.status];
    answers[answer.requestId] = answer;
    sleepFor(kBetweenRequests);
  }
  outage.join();

  for (const auto& [status, count] : statuses) {
    say("answers with status " + std::to_string(status) + ": " + std::to_string(count));
  }
  unsigned right = 0;
  unsigned wrong = 0;
  for (const Run& run : runs) {
    const bool ofTenant = run.tenant == kTenant;
    ++(ofTenant ? right : wrong);
    Record::get().detail("request " + run.id + " sent " + std::to_string(answers[run.id].sentAt) +
                         " run at " + std::to_string(run.at) + " by " + run.leaf + " for tenant '" +
                         run.tenant + "' answered " + std::to_string(answers[run.id].status));
  }
  say("requests that leafs ran with X-Tenant-Id " + std::string(kTenant) + ": " + std::to_string(right));
  say("requests that leafs ran without X-Tenant-Id, or with another: " + std::to_string(wrong));
  if (right == 0) {
    finish(kCouldNotRun);
  }
  finish(wrong > 0 ? kBroken : kHeld);
}
