#include "programs/common/blocked_signals.h"

#include <catch2/catch.hpp>

namespace oakpier {

namespace {

volatile std::sig_atomic_t handled = 0;

void handle(int) { handled = handled + 1; }

}  // namespace

TEST_CASE("signals that arrive before their handlers are installed stay pending", "[serving]") {
  blockSignals();
  std::raise(SIGHUP);
  std::raise(SIGTERM);
  REQUIRE(handled == 0);
  const auto hangup = std::signal(SIGHUP, handle);
  const auto terminate = std::signal(SIGTERM, handle);
  unblockSignals();
  REQUIRE(handled == 2);
  std::signal(SIGHUP, hangup);
  std::signal(SIGTERM, terminate);
}

}  // namespace oakpier
