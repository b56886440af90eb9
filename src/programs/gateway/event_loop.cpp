#include "programs/gateway/event_loop.h"

#include <exception>

#include "programs/common/exit_codes.h"
#include "programs/common/logging.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

constexpr std::size_t kMaxFailures = 100;
constexpr Duration kFailureWindow = std::chrono::seconds(60);

}  // namespace

bool HandlerFailures::onFailure(Moment now) {
  ++total_;
  latest_.push_back(now);
  if (latest_.size() <= kMaxFailures) {
    return true;
  }
  const Moment first = latest_.front();
  latest_.pop_front();
  return now - first > kFailureWindow;
}

bool runIsolatingFailures(boost::asio::io_context& context, const std::string& name,
                          HandlerFailures& failures) {
  while (true) {
    try {
      context.run();
      return true;
    } catch (const std::exception& error) {
      log(LogLevel::kError, "handler failed",
          {{"event_loop", name}, {"problem", error.what()}, {"failures", failures.total() + 1}});
      if (!failures.onFailure(steadyNow())) {
        log(LogLevel::kError, "handlers keep failing; the process ends", {{"event_loop", name}});
        return false;
      }
    }
  }
}

void runOrEndProcess(boost::asio::io_context& context, const std::string& name) {
  try {
    context.run();
  } catch (const std::exception& error) {
    log(LogLevel::kError, "handler failed; the process ends",
        {{"event_loop", name}, {"problem", error.what()}});
    flushLogsAndExit(kExitInternalError);
  }
}

}  // namespace oakpier::serving
