#include "programs/gateway/quarantine_link.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

#include "programs/common/logging.h"
#include "protocol/serving/quarantine_codec.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

/// Daemons that a new record is passed on to. Each of them does the same, so that a record that all but a
/// share of e^-8 (0.03%) of the daemons get takes some four rounds at 7,100; the repair reaches the rest.
constexpr std::size_t kSpread = 8;
/// Changes within this time travel together: a request for 20 shards ends 20 leafs within some milliseconds.
constexpr Duration kGather = std::chrono::milliseconds(2);
/// All that is known goes to one other daemon so often. A daemon that has started, or was out of reach, hears
/// on average twice a second then, and in four seconds fails to with a chance of e^-8 (0.03%). A record is
/// some 80 bytes, so that ten of them cost 1.6 KB a second.
constexpr Duration kRepairPeriod = std::chrono::milliseconds(500);
/// Older news are of no use: the repair brings newer.
constexpr std::uint32_t kLifetimeMilliseconds = 1000;

const char* textOf(RequestQuarantine::Verdict verdict) {
  switch (verdict) {
    case RequestQuarantine::Verdict::kOrdinary:
      return "sent as any other";
    case RequestQuarantine::Verdict::kTrial:
      return "to be tried on one leaf";
    case RequestQuarantine::Verdict::kNotYet:
      return "to be tried later";
    default:
      return "rejected";
  }
}

}  // namespace

QuarantineLink::QuarantineLink(boost::asio::io_context& io, RequestQuarantine& quarantine,
                               RandomEngine& random, const Endpoint& self, SendFrame sendFrame)
    : io_(io),
      quarantine_(quarantine),
      random_(random),
      self_(self),
      sendFrame_(std::move(sendFrame)),
      tellTimer_(io_),
      repairTimer_(io_) {}

void QuarantineLink::setDaemons(const std::vector<Endpoint>& daemons) {
  others_ = daemons;
  others_.erase(std::remove(others_.begin(), others_.end(), self_), others_.end());
}

void QuarantineLink::onFrame(const EndingRequests& message) {
  for (const QuarantineRecord& record : decodeQuarantineRecords(message, steadyNow())) {
    quarantine_.merge(record);
    ++counters_.recordsTakenOver;
  }
  onChanged();
}

void QuarantineLink::onChanged() {
  if (quarantine_.empty()) {
    return;
  }
  if (!std::exchange(telling_, true)) {
    tellTimer_.expires_after(kGather);
    tellTimer_.async_wait([this](const boost::system::error_code& error) {
      telling_ = false;
      if (!error) {
        tellChanged();
      }
    });
  }
  if (!std::exchange(repairing_, true)) {
    scheduleRepair();
  }
}

void QuarantineLink::tellChanged() {
  const std::vector<QuarantineRecord> changed = quarantine_.takeChanged();
  for (const QuarantineRecord& record : changed) {
    logBelief(record);
  }
  if (!changed.empty()) {
    tell(changed, drawReceivers(kSpread));
  }
}

void QuarantineLink::logBelief(const QuarantineRecord& record) const {
  const Moment now = steadyNow();
  const Duration age = now - record.lastEndedAt;
  log(LogLevel::kWarning, "leafs end under a request",
      {{"fingerprint", record.fingerprint.text()},
       {"from_now_on", textOf(quarantine_.judge(record.fingerprint, now).verdict)},
       {"ended_leafs", record.endedLeafs.size()},
       {"trials", record.trials},
       {"answers", record.epoch},
       {"last_ended_ms_ago", toMilliseconds(age)}});
}

void QuarantineLink::scheduleRepair() {
  repairTimer_.expires_after(kRepairPeriod);
  repairTimer_.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    quarantine_.forgetOld(steadyNow());
    if (quarantine_.empty()) {
      repairing_ = false;
      return;
    }
    tell(quarantine_.newest(kMaxQuarantineRecordsPerFrame), drawReceivers(1));
    scheduleRepair();
  });
}

std::vector<Endpoint> QuarantineLink::drawReceivers(std::size_t count) {
  std::vector<Endpoint> drawn;
  std::sample(others_.begin(), others_.end(), std::back_inserter(drawn), count, random_);
  return drawn;
}

void QuarantineLink::tell(const std::vector<QuarantineRecord>& records,
                          const std::vector<Endpoint>& receivers) {
  const Moment now = steadyNow();
  for (std::size_t begin = 0; begin < records.size(); begin += kMaxQuarantineRecordsPerFrame) {
    const std::size_t end = std::min(records.size(), begin + kMaxQuarantineRecordsPerFrame);
    const std::vector<QuarantineRecord> some(records.begin() + static_cast<std::ptrdiff_t>(begin),
                                             records.begin() + static_cast<std::ptrdiff_t>(end));
    PeerEnvelope frame;
    *frame.mutable_ending_requests() = encodeQuarantineRecords(some, now);
    frame.set_time_to_live_ms(kLifetimeMilliseconds);
    for (const Endpoint& receiver : receivers) {
      ++counters_.framesSent;
      sendFrame_(receiver, frame);
    }
  }
}

}  // namespace oakpier::serving
