#include "load/load_plan.h"

#include <catch2/catch.hpp>

namespace oakpier {

TEST_CASE("a stream is read from its text, and a wrong text is explained", "[bench]") {
  LoadStream stream;
  REQUIRE(parseStream("shelf:gold:12.5:deadline=80:once=0.5:bykey=1", stream).empty());
  REQUIRE(stream.service == "shelf");
  REQUIRE(stream.perSecond == 12.5);
  REQUIRE(stream.deadlineMs == 80);
  REQUIRE(stream.notRepeatable == 0.5);
  REQUIRE(stream.byKey);
  for (const char* wrong : {"shelf", "shelf:gold:x", "shelf:gold:0", "shelf:gold:1:nothing=2"}) {
    CAPTURE(wrong);
    REQUIRE(parseStream(wrong, stream).find("not allowed") != std::string::npos);
  }
}

TEST_CASE("a plan repeats with its seed and keeps its rate", "[bench]") {
  const std::vector<LoadStream> streams{{"a", "gold", 200, 0, 0, 0, 0, false},
                                        {"b", "gold", 50, 0, 0, 0, 1, false}};
  const auto plan = planLoad(streams, std::chrono::seconds(20), 7);
  const auto again = planLoad(streams, std::chrono::seconds(20), 7);
  REQUIRE(plan.size() == again.size());
  REQUIRE(plan.back().at == again.back().at);
  REQUIRE(plan.size() > 4500);
  REQUIRE(plan.size() < 5500);
  for (std::size_t position = 1; position < plan.size(); ++position) {
    REQUIRE(plan[position - 1].at <= plan[position].at);
  }
}

}  // namespace oakpier
