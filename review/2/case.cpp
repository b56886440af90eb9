/// Case 2: the store is down for some seconds, so that all gateways call it. Some time later the connections
/// that the other gateways than the reader have kept to the store go silent while they are idle. Again later
/// the gateway that reads the store for all is killed, and right after that a leaf leaves without having
/// said `draining`. Checks that no request reaches it more than `drain_ms` later.
///
/// Usage: case GATEWAY FOLDER RECORD TROUBLE
/// TROUBLE: 0 none of it, 1 all, "silent" all but the killed gateway, "kill" only the killed gateway.

#include <signal.h>

#include <cstdlib>
#include <iostream>

#include "../standin/standin.h"

using namespace standin;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kGateways = 8;
constexpr std::size_t kLeafs = 5;
constexpr milliseconds kWork(20);
/// Between two requests to one gateway.
constexpr milliseconds kPace(40);
constexpr milliseconds kStoreDown(4000);
/// `contact_ms` is 4,000, so the store is stable and all machines are in touch again after this time.
constexpr milliseconds kBackInTouch(6000);
constexpr milliseconds kDrain(3000);
/// How long a killed process is away, by the `troubles` of cql-navfeed (`for_s` of `node_kill`).
constexpr milliseconds kAway(3500);

const char* const kConfiguration =
    R"({"version":1,"routes":[{"name":"holding-detail","host":"funds.example","path_prefix":"/detail/",)"
    R"("route_type":"idempotent","timeout_ms":6000,"target_latency_ms":400,"priority":2,"attempts":2,)"
    R"("service":"holdings-api"}],"services":[{"name":"holdings-api","health_check_path":"/health",)"
    R"("max_connections":110}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// Sends one request after the other to a gateway until `stopping`.
void runCaller(const std::string& name, const Gateway& gateway, Record& record,
               const std::atomic<bool>& stopping) {
  std::unique_ptr<Connection> connection;
  for (unsigned number = 1; !stopping; ++number) {
    const auto begin = Clock::now();
    if (!connection) {
      connection = Connection::open(gateway.settings().ip, gateway.settings().callerPort);
    }
    if (connection) {
      const std::string id = name + "-" + std::to_string(number);
      connection->write("GET /detail/" + id + " HTTP/1.1\r\nHost: funds.example\r\nX-Request-Id: " + id +
                        "\r\nX-Deadline-Ms: 6000\r\n\r\n");
      const auto reply = connection->read(milliseconds(7000));
      record.line(name + " gets for " + id + ": " + (reply ? reply->first : "no answer"));
      if (!reply) {
        connection.reset();
      }
    }
    std::this_thread::sleep_until(begin + kPace);
  }
}

}  // namespace

int main(int count, char** arguments) {
  if (count != 5) {
    return 2;
  }
  const std::string folder = arguments[2];
  const std::string trouble = arguments[4];
  Record record(arguments[3]);
  Store store(record, kGateways);
  store.put("op/config", kConfiguration);
  const std::vector<std::string> zones = {"sea-a", "sea-b", "sea-c"};
  std::vector<std::unique_ptr<Leaf>> leafs;
  for (std::size_t number = 0; number < kLeafs; ++number) {
    leafs.push_back(std::make_unique<Leaf>(store, record, "i-" + std::to_string(number), "holdings-api",
                                           zones[number % zones.size()], 3, kWork));
  }
  const std::vector<unsigned> ports = freePorts(3);
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (std::size_t number = 0; number < kGateways; ++number) {
    Gateway::Settings settings{arguments[1],
                               folder,
                               "edge-" + std::to_string(number + 1),
                               zones[number % zones.size()],
                               "127.0.1." + std::to_string(number + 1),
                               ports[0],
                               ports[1],
                               ports[2],
                               store.port(number),
                               {"127.0.1.1", "127.0.1.2", "127.0.1.3"}};
    gateways.push_back(std::make_unique<Gateway>(settings));
    gateways.back()->start();
  }
  for (const auto& gateway : gateways) {
    if (!gateway->awaitReady(milliseconds(20000))) {
      std::cerr << "a gateway is not ready\n";
      return 2;
    }
  }
  std::this_thread::sleep_for(milliseconds(6000));
  if (trouble == "1" || trouble == "silent") {
    store.setDown(true);
    std::this_thread::sleep_for(kStoreDown);
    store.setDown(false);
  }
  std::this_thread::sleep_for(kBackInTouch);
  std::atomic<bool> stopping{false};
  std::vector<std::thread> callers;
  for (std::size_t number = 1; number < kGateways; ++number) {
    callers.emplace_back([&, number] {
      runCaller("caller-" + std::to_string(number + 1), *gateways[number], record, stopping);
    });
  }
  if (trouble == "1" || trouble == "silent") {
    for (std::size_t number = 1; number < kGateways; ++number) {
      store.silenceConnections(number);
    }
  }
  std::this_thread::sleep_for(kBackInTouch);
  if (trouble == "1" || trouble == "kill") {
    store.awaitAnswer(0);
    std::this_thread::sleep_for(milliseconds(40));
    record.line("edge-1, which reads the store, is killed");
    gateways[0]->signal(SIGKILL);
  }
  const std::vector<Leaf*> leaving = {leafs[1].get()};
  for (Leaf* leaf : leaving) {
    leaf->removeEntry();
  }
  const auto goneAt = Clock::now();
  std::this_thread::sleep_for(kAway);
  if (!gateways[0]->running()) {
    record.line("edge-1 starts again");
    gateways[0]->start();
  }
  std::this_thread::sleep_for(milliseconds(3500));
  stopping = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const auto& gateway : gateways) {
    gateway->stop();
  }
  unsigned late = 0;
  unsigned all = 0;
  Clock::time_point last = goneAt;
  for (Leaf* leaf : leaving) {
    late += leaf->runsAfter(goneAt + kDrain);
    all += leaf->runsAfter(goneAt);
    last = std::max(last, leaf->lastRunAt());
  }
  const auto lastAfter = std::chrono::duration_cast<milliseconds>(last - goneAt).count();
  const std::string summary =
      std::to_string(late) +
      " requests reached the leaf more than 3000 ms after the store had its leaving (" + std::to_string(all) +
      " after it at all, the last " + std::to_string(lastAfter) + " ms after it)";
  record.line(summary);
  std::cout << (late > 0 ? "DRAIN broken: " : "DRAIN held: ") << summary << "\n" << std::flush;
  std::_Exit(late > 0 ? 1 : 0);
}
