#include "transport/serving/receive_memory.h"

#include <catch2/catch.hpp>

namespace oakpier::serving {

namespace {

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;

struct CountingReceiver : ReceiveMemory::Receiver {
  void giveUp() override { ++givenUp; }
  int givenUp = 0;
};

HttpReply replyOf(std::size_t bytes) {
  HttpReply reply;
  reply.body.assign(bytes, 'x');
  return reply;
}

}  // namespace

TEST_CASE("the reply that takes the most memory is given up for the others", "[serving]") {
  ReceiveMemory memory;
  memory.setLimit(10 * kMegabyte);
  CountingReceiver large;
  CountingReceiver small;
  REQUIRE(memory.hold(large, 9 * kMegabyte));
  REQUIRE(memory.hold(small, 2 * kMegabyte));
  REQUIRE(large.givenUp == 1);
  REQUIRE(small.givenUp == 0);
  REQUIRE(memory.used() == 2 * kMegabyte);
  REQUIRE(memory.givenUp() == 1);
}

TEST_CASE("a reply that takes the most memory itself is refused", "[serving]") {
  ReceiveMemory memory;
  memory.setLimit(10 * kMegabyte);
  CountingReceiver small;
  CountingReceiver large;
  REQUIRE(memory.hold(small, 2 * kMegabyte));
  REQUIRE_FALSE(memory.hold(large, 9 * kMegabyte));
  REQUIRE(small.givenUp == 0);
  REQUIRE(memory.used() == 2 * kMegabyte);
}

TEST_CASE("a finished reply counts until it is released", "[serving]") {
  ReceiveMemory memory;
  memory.setLimit(10 * kMegabyte);
  CountingReceiver first;
  CountingReceiver second;
  REQUIRE(memory.hold(first, 8 * kMegabyte));
  auto reply = memory.keepFinished(first, replyOf(8 * kMegabyte));
  REQUIRE_FALSE(memory.hold(second, 3 * kMegabyte));
  reply.reset();
  REQUIRE(memory.used() == 0);
  REQUIRE(memory.hold(second, 3 * kMegabyte));
}

TEST_CASE("small replies are not counted", "[serving]") {
  ReceiveMemory memory;
  memory.setLimit(1);
  CountingReceiver receiver;
  REQUIRE(memory.hold(receiver, ReceiveMemory::kUncountedBytes));
  const auto reply = memory.keepFinished(receiver, replyOf(1000));
  REQUIRE(memory.used() == 0);
}

}  // namespace oakpier::serving
