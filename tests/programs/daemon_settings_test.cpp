#include "programs/daemon/daemon_settings.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "programs/common/exit_codes.h"

namespace oakpier {

namespace {

std::variant<DaemonSettings, SettingsExit> read(std::vector<const char*> flags, bool withRequired = true) {
  std::vector<const char*> arguments{"oakpierd"};
  if (withRequired) {
    for (const char* flag : {"--caller-address=127.0.0.1:1", "--operator-address=127.0.0.1:2",
                             "--peer-address=127.0.0.1:3", "--zone=a", "--platform=127.0.0.1:4"}) {
      arguments.push_back(flag);
    }
  }
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  return readDaemonSettings(static_cast<int>(arguments.size()), arguments.data());
}

std::string errorOf(const std::vector<const char*>& flags) {
  const auto exit = std::get<SettingsExit>(read(flags));
  REQUIRE(exit.code == kExitUsage);
  return exit.text;
}

}  // namespace

TEST_CASE("flags set the settings", "[programs]") {
  const auto settings =
      std::get<DaemonSettings>(read({"--max-queries=7", "--hedge-rule=off", "--check-config"}));
  REQUIRE(settings.maxQueries == 7);
  REQUIRE(settings.policy.hedge == HedgeMode::kOff);
  REQUIRE(settings.callerAddress.text() == "127.0.0.1:1");
  REQUIRE(settings.checkConfigOnly);
}

TEST_CASE("an invalid setting is reported with its value and the allowed values", "[programs]") {
  struct Case {
    const char* flag;
    std::vector<std::string> mentioned;
  };
  const std::vector<Case> cases{
      {"--max-queries=0", {"--max-queries", "0", "1", "10000"}},
      {"--owner-threads=x", {"--owner-threads", "x"}},
      {"--peers=host:1", {"--peers", "host:1", "IP number"}},
      {"--log-level=loud", {"--log-level", "loud", "debug"}},
      {"--no-such-flag=1", {"--no-such-flag"}},
  };
  for (const auto& wrong : cases) {
    const std::string text = errorOf({wrong.flag});
    CAPTURE(wrong.flag, text);
    for (const auto& word : wrong.mentioned) {
      REQUIRE(text.find(word) != std::string::npos);
    }
  }
  const auto missing = std::get<SettingsExit>(read({}, false));
  REQUIRE(missing.code == kExitUsage);
  REQUIRE(missing.text.find("--caller-address") != std::string::npos);
}

TEST_CASE("a settings file is read, flags take precedence, and unknown keys are rejected", "[programs]") {
  const auto path =
      std::filesystem::temp_directory_path() / ("oakpier-settings-" + std::to_string(getpid()) + ".toml");
  const std::string flag = "--config=" + path.string();
  std::ofstream(path) << "max-queries=5\nowner-threads=3\n";
  const auto settings = std::get<DaemonSettings>(read({flag.c_str(), "--owner-threads=4"}));
  REQUIRE(settings.maxQueries == 5);
  REQUIRE(settings.ownerThreads == 4);
  std::ofstream(path) << "max-querys=5\n";
  REQUIRE(errorOf({flag.c_str()}).find("max-querys") != std::string::npos);
  std::filesystem::remove(path);
}

TEST_CASE("help and version exit with success", "[programs]") {
  for (const char* flag : {"--help", "--version"}) {
    const auto exit = std::get<SettingsExit>(read({flag}, false));
    REQUIRE(exit.code == kExitOk);
    REQUIRE(exit.text.find("oakpierd") != std::string::npos);
  }
}

}  // namespace oakpier
