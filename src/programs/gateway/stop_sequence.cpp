#include "programs/gateway/stop_sequence.h"

#include <algorithm>

#include "programs/common/logging.h"
#include "protocol/serving/caller_messages.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

constexpr unsigned kGatewayTimeout = 504;
/// Connections are accepted for this long after the stop signal, because callers connect until readiness
/// checks have shown that this daemon is not ready.
constexpr Duration kAcceptAfterStop = std::chrono::milliseconds(2600);
constexpr Duration kCheckInterval = std::chrono::milliseconds(50);
/// Time reserved before the process would be killed: this share of the grace period, up to this maximum.
constexpr double kReserveShare = 0.15;
constexpr Duration kMaxReserve = std::chrono::milliseconds(800);

}  // namespace

StopSequence::StopSequence(boost::asio::io_context& context, HttpService& callers,
                           const RequestGateway& requests)
    : context_(context), callers_(callers), requests_(requests), timer_(context) {}

void StopSequence::begin(Duration grace) {
  begun_ = true;
  grace_ = grace;
  begunAt_ = steadyNow();
  callers_.startClosing();
  check();
}

Duration StopSequence::reserve() const {
  const auto share = static_cast<std::int64_t>(static_cast<double>(grace_.count()) * kReserveShare);
  return std::min(kMaxReserve, Duration(share));
}

void StopSequence::check() {
  const Duration passed = steadyNow() - begunAt_;
  if (passed >= kAcceptAfterStop) {
    callers_.stopAccepting();
    const bool idle =
        callers_.inProgress() == 0 && callers_.connections() == 0 && requests_.inProgressForPeers() == 0;
    if (idle || requestsAborted_) {
      context_.stop();
      return;
    }
    if (passed >= grace_ - reserve()) {
      log(LogLevel::kWarning, "stop grace period ending; answering open requests with 504",
          {{"in_progress", callers_.inProgress()}});
      callers_.answerAll(textReply(kGatewayTimeout, "no answer before this daemon had to stop"));
      requestsAborted_ = true;
    }
  }
  timer_.expires_after(kCheckInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      check();
    }
  });
}

}  // namespace oakpier::serving
