/// Runs Catch2. Property tests use a fixed seed unless RC_PARAMS sets another, so that runs are reproducible.

#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <cstdlib>

int main(int argumentCount, char** arguments) {
  constexpr int kKeepGiven = 0;
  setenv("RC_PARAMS", "seed=20261202 max_success=60", kKeepGiven);
  return Catch::Session().run(argumentCount, arguments);
}
