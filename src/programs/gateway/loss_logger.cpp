#include "programs/gateway/loss_logger.h"

#include "programs/common/logging.h"

namespace oakpier::serving {

namespace {

constexpr Duration kPeriod = std::chrono::seconds(1);

void logCauses(const char* message, const std::string& route, const Loss& loss) {
  for (std::size_t number = 0; number < kLossCauseCount; ++number) {
    const auto cause = static_cast<LossCause>(number);
    if (loss.of(cause) > 0) {
      log(LogLevel::kInfo, message, {{"route", route}, {"cause", textOf(cause)}, {"lost", loss.of(cause)}});
    }
  }
}

}  // namespace

void LossLogger::add(const std::string& route, const Loss& loss, Moment now) {
  flushIfDue(now);
  RouteLoss& sum = routes_[route];
  ++sum.requests;
  for (std::size_t number = 0; number < kLossCauseCount; ++number) {
    const auto cause = static_cast<LossCause>(number);
    sum.loss.add(cause, loss.of(cause));
  }
}

void LossLogger::addServed(const std::string& route, LossCause cause, Moment now) {
  flushIfDue(now);
  served_[route].add(cause, 1.0);
}

void LossLogger::flushIfDue(Moment now) {
  if (now - periodStartedAt_ < kPeriod) {
    return;
  }
  flush();
  periodStartedAt_ = now;
}

void LossLogger::flush() {
  for (const auto& [route, sum] : routes_) {
    log(LogLevel::kInfo, "requests ended",
        {{"route", route}, {"requests", sum.requests}, {"lost", sum.loss.total()}});
    logCauses("loss", route, sum.loss);
  }
  for (const auto& [route, loss] : served_) {
    logCauses("loss at owner", route, loss);
  }
  routes_.clear();
  served_.clear();
}

}  // namespace oakpier::serving
