/// End-to-end tests over real processes: answers, errors, and correct outcomes when processes are killed.

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include <csignal>
#include <fstream>
#include <thread>

#include "history/checkers.h"
#include "load/load_runner.h"
#include "programs/common/exit_codes.h"
#include "programs/common/json_files.h"
#include "programs/fleet_fixture.h"
#include "transport/http_channel.h"

namespace oakpier {

namespace {

struct RawReply {
  unsigned status = 0;
  Error error;
};

RawReply post(const Endpoint& server, const std::string& url, const std::string& body) {
  cxxtools::http::Client client(server.ip(), server.port());
  cxxtools::http::Request request(url);
  request.method("POST");
  request.setHeader("Content-Type", kBinaryContentType);
  request.body() << body;
  client.execute(request, cxxtools::Milliseconds(5000));
  client.readBody();
  RawReply reply;
  reply.status = client.header().httpReturnCode();
  reply.error.ParseFromString(client.body());
  return reply;
}

std::string get(const Endpoint& server, const std::string& url) {
  cxxtools::http::Client client(server.ip(), server.port());
  return client.get(url, cxxtools::Milliseconds(5000)).body();
}

struct Run {
  int exitCode = 0;
  std::string output;
};

Run runProgram(const std::string& name, const std::vector<std::string>& arguments) {
  const std::string output =
      (std::filesystem::temp_directory_path() / ("oakpier-run-" + std::to_string(getpid()))).string();
  std::filesystem::remove(output);
  Run run;
  run.exitCode = Process(ownFolder() + "/" + name, arguments, output).wait();
  std::stringstream content;
  content << std::ifstream(output).rdbuf();
  run.output = content.str();
  std::filesystem::remove(output);
  return run;
}

bool mentions(const std::string& text, const std::string& words) {
  return text.find(words) != std::string::npos;
}

}  // namespace

TEST_CASE("queries are answered and errors are typed", "[fleet]") {
  FleetFixture fixture;
  fixture.start();
  Fleet& fleet = fixture.fleet;
  const Endpoint caller = fleet.daemons()[0].caller;
  const Endpoint operators = fleet.daemons()[0].operators;

  SECTION("few and many rows") {
    QueryRequest few = fixture.request("few");
    few.set_max_rows(2);
    const auto handful = fleet.query(0, few);
    REQUIRE(handful->outcome() == OUTCOME_COMPLETE);
    REQUIRE(handful->rows_size() == 2);
    REQUIRE(handful->truncated());
    const auto page = fleet.query(1, fixture.request("page"));
    REQUIRE(page->rows_size() == 80);
    REQUIRE(page->covered_size() == 4);
    REQUIRE_FALSE(page->truncated());
    QueryRequest one = fixture.request("one", "lookup");
    one.set_routing_key("order-7");
    REQUIRE(fleet.query(2, one)->covered_size() == 1);
  }

  SECTION("invalid requests get a typed error and do not run") {
    const auto codeOf = [&](const QueryRequest& request) {
      const auto answer = fleet.query(0, request);
      REQUIRE(answer->outcome() == OUTCOME_NOT_RUN);
      return answer->error().code();
    };
    REQUIRE(codeOf(fixture.request("r", "nowhere")) == ERROR_UNKNOWN_SERVICE);
    REQUIRE(codeOf(fixture.request("")) == ERROR_INVALID_FIELD);
    QueryRequest wrong = fixture.request("r");
    wrong.set_priority_class("tin");
    REQUIRE(codeOf(wrong) == ERROR_UNKNOWN_CLASS);
    wrong = fixture.request("r");
    wrong.set_deadline_ms(1'000'000);
    REQUIRE(codeOf(wrong) == ERROR_INVALID_FIELD);
    wrong = fixture.request("r");
    wrong.set_minimum_coverage(2);
    REQUIRE(codeOf(wrong) == ERROR_INVALID_FIELD);
  }

  SECTION("malformed and oversized bodies get typed errors and the daemon keeps running") {
    const RawReply malformed = post(caller, "/oakpier.Caller/Query", "\xff\xff\xff");
    REQUIRE(malformed.status == 400);
    REQUIRE(malformed.error.code() == ERROR_MALFORMED_REQUEST);
    const RawReply oversized = post(caller, "/oakpier.Caller/Query", std::string(2U << 20U, 'x'));
    REQUIRE(oversized.status == 413);
    REQUIRE(oversized.error.code() == ERROR_TOO_LARGE);
    const RawReply unknown = post(caller, "/oakpier.Caller/Nothing", "");
    REQUIRE(unknown.status == 404);
    REQUIRE(unknown.error.code() == ERROR_UNKNOWN_METHOD);
    REQUIRE(fleet.query(0, fixture.request("after"))->outcome() == OUTCOME_COMPLETE);
  }

  SECTION("health and metrics pages") {
    REQUIRE(get(operators, "/healthz") == "ok\n");
    REQUIRE(get(operators, "/readyz") == "ready\n");
    fleet.query(0, fixture.request("counted"));
    REQUIRE(mentions(get(operators, "/metrics"),
                     "oakpier_answers_total{class=\"gold\",outcome=\"OUTCOME_COMPLETE\""));
  }

  SECTION("operator command line") {
    const std::string daemon = "--daemon=" + operators.text();
    const std::string file =
        std::filesystem::temp_directory_path() / ("oakpier-new-" + std::to_string(getpid()) + ".json");
    Configuration wanted = *fleet.configurationAt(0);
    wanted.mutable_services(0)->set_max_rows(50);
    REQUIRE(writeJsonFile(file, wanted).empty());
    const Run dryRun = runProgram("oakpierctl", {daemon, "apply", file, "--dry-run"});
    REQUIRE(dryRun.exitCode == kExitOk);
    REQUIRE(mentions(dryRun.output, "put     service " + wanted.services(0).name()));
    REQUIRE(fleet.configurationAt(0)->revision() == wanted.revision());
    const Run applied = runProgram("oakpierctl", {daemon, "apply", file});
    REQUIRE(applied.exitCode == kExitOk);
    REQUIRE(mentions(applied.output, "is accepted"));
    // The file's base revision is no longer in effect.
    const Run again = runProgram("oakpierctl", {daemon, "apply", file});
    REQUIRE(again.exitCode == kExitFailure);
    REQUIRE(mentions(again.output, "ERROR_REVISION_CONFLICT"));
    wanted.mutable_leaves(0)->set_address("nowhere");
    REQUIRE(writeJsonFile(file, wanted).empty());
    const Run invalid = runProgram("oakpierctl", {daemon, "validate", file});
    REQUIRE(invalid.exitCode == kExitFailure);
    REQUIRE(mentions(invalid.output, "leaves[0].address is 'nowhere', allowed: "));
    REQUIRE(runProgram("oakpierctl", {daemon, "drain", "no-such-leaf"}).exitCode == kExitFailure);
    REQUIRE(runProgram("oakpierctl", {daemon, "drain", wanted.leaves(1).name()}).exitCode == kExitOk);
    REQUIRE(
        mentions(runProgram("oakpierctl", {daemon, "--output", "json", "status"}).output, "\"voter\": true"));
    const Run unknown = runProgram("oakpierctl", {daemon, "frobnicate"});
    REQUIRE(unknown.exitCode == kExitUsage);
    REQUIRE(mentions(unknown.output, "unknown command \"frobnicate\""));
    const Run noLog = runProgram("oakpierctl", {"causes", "/no/such/log"});
    REQUIRE(noLog.exitCode == kExitUsage);
    REQUIRE(mentions(noLog.output, "/no/such/log"));
    REQUIRE(runProgram("oakpierctl", {"--daemon=127.0.0.1:1", "status"}).exitCode == kExitUnreachable);
    std::filesystem::remove(file);
  }
}

TEST_CASE("a daemon without platform and peers is alive and reports why it is not ready", "[fleet]") {
  FleetFixture fixture;
  Fleet& fleet = fixture.fleet;
  fleet.startDaemon(0);
  std::optional<StatusReply> status;
  REQUIRE(waitUntil([&] { return (status = fleet.status(0, true)).has_value(); }, std::chrono::seconds(20)));
  REQUIRE_FALSE(status->ready());
  REQUIRE(mentions(status->not_ready_because(), "no accepted configuration"));
  REQUIRE(get(fleet.daemons()[0].operators, "/readyz") == "not ready\n");
  const auto answer = fleet.query(0, fixture.request("early"));
  REQUIRE(answer->outcome() == OUTCOME_NOT_RUN);
  REQUIRE(answer->error().code() == ERROR_NOT_READY);
  REQUIRE(answer->retry_after_ms() > 0);
  // The second daemon exits with an error, since the address is in use.
  Process second(ownFolder() + "/oakpierd",
                 {"--caller-address", fleet.daemons()[0].caller.text(), "--operator-address",
                  fleet.daemons()[1].operators.text(), "--peer-address", fleet.daemons()[1].peer.text(),
                  "--zone", "z", "--platform", fleet.platformAddress().text()},
                 "/dev/null");
  REQUIRE(second.wait() == kExitUnreachable);
}

TEST_CASE("answers match the execution logs when leafs and daemons are killed", "[fleet]") {
  FleetFixture fixture;
  fixture.start();
  Fleet& fleet = fixture.fleet;
  LoadStream search{"search", "gold", 120, 400, 0, 0, 0.2, false};
  LoadStream lookup{"lookup", "silver", 60, 1500, 0, 0, 1, true};
  const auto plan = planLoad({search, lookup}, std::chrono::seconds(5), 3);
  LoadOptions options;
  options.connections = 64;
  for (const auto& daemon : fleet.daemons()) {
    options.callers.push_back(daemon.caller);
  }
  std::vector<QueryRecord> records;
  std::thread load([&] { records = runLoad(plan, options); });
  const auto executedAt = [&](std::size_t leaf, std::uint64_t count) {
    return waitUntil([&] { return fleet.executionLog(leaf, true).value_or(ExecutionLog()).total() >= count; },
                     std::chrono::seconds(20));
  };
  // A killed leaf loses its log, so executions may be missing from the logs, but none may be added.
  const bool leafWasBusy = executedAt(0, 40);
  fleet.leaves()[0].process->signal(SIGKILL);
  const bool othersWentOn = executedAt(1, 150);
  fleet.daemons()[3].process->signal(SIGKILL);
  load.join();
  REQUIRE(leafWasBusy);
  REQUIRE(othersWentOn);
  History history;
  *history.add_entries()->mutable_configuration() = fleet.configuration();
  std::size_t usable = 0;
  for (const auto& record : records) {
    *history.add_entries()->mutable_query() = record;
    usable +=
        record.answer().outcome() == OUTCOME_COMPLETE || record.answer().outcome() == OUTCOME_PARTIAL ? 1 : 0;
  }
  for (std::size_t leaf = 1; leaf < fleet.leaves().size(); ++leaf) {
    const auto log = fleet.executionLog(leaf, false);
    REQUIRE(log.has_value());
    for (const auto& execution : log->executions()) {
      ExecutionRecord& record = *history.add_entries()->mutable_execution();
      record.set_leaf(fleet.leaves()[leaf].name);
      *record.mutable_execution() = execution;
    }
  }
  for (const auto& violation : checkAll(history)) {
    FAIL_CHECK(violation.promise << ": " << violation.subject << ": " << violation.text);
  }
  REQUIRE(usable > records.size() / 2);
}

}  // namespace oakpier
