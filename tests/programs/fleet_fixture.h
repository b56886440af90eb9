#pragma once

/// A small fleet of real processes for a test, in a temporary directory that is removed with it.

#include <catch2/catch.hpp>
#include <filesystem>

#include "fleet/fleet.h"

namespace oakpier {

class FleetFixture {
 public:
  explicit FleetFixture(const std::vector<std::string>& daemonFlags = {})
      : folder_(makeFolder()), fleet(options(daemonFlags)) {}
  FleetFixture(const FleetFixture&) = delete;
  FleetFixture& operator=(const FleetFixture&) = delete;
  ~FleetFixture() {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  void start() { REQUIRE(fleet.start(std::chrono::seconds(60))); }

  QueryRequest request(const std::string& id, const std::string& service = "search") const {
    QueryRequest query;
    query.set_request_id(id);
    query.set_service(service);
    query.set_priority_class("gold");
    return query;
  }

 private:
  static std::string makeFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "oakpier-test-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    return name;
  }

  FleetOptions options(const std::vector<std::string>& daemonFlags) const {
    FleetOptions chosen;
    chosen.example = std::string(OAKPIER_SOURCE_FOLDER) + "/examples/small";
    chosen.binaries = ownFolder();
    chosen.workFolder = folder_;
    chosen.daemonFlags = daemonFlags;
    return chosen;
  }

  std::string folder_;

 public:
  Fleet fleet;
};

}  // namespace oakpier
