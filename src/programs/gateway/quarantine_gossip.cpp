#include "programs/gateway/quarantine_gossip.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

#include "programs/common/logging.h"
#include "protocol/serving/quarantine_codec.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

/// Fan-out of a new record. Every receiver forwards it too, so that it reaches all but a share of e^-8
/// (0.03%) of 7,100 daemons in about four rounds; anti-entropy reaches the rest.
constexpr std::size_t kFanOut = 8;
/// Changes within this time are sent together: a request for 20 shards crashes 20 leafs within milliseconds.
constexpr Duration kBatchDelay = std::chrono::milliseconds(2);
/// Anti-entropy period. A daemon receives two such frames per second on average; the probability that it
/// receives none within four seconds is e^-8 (0.03%). A record takes about 80 bytes, so ten records cost
/// 1.6 KB/s.
constexpr Duration kAntiEntropyPeriod = std::chrono::milliseconds(500);
/// A late frame is useless because anti-entropy sends a newer one.
constexpr std::uint32_t kLifetimeMilliseconds = 1000;

const char* textOf(RequestQuarantine::Verdict verdict) {
  switch (verdict) {
    case RequestQuarantine::Verdict::kUnsuspected:
      return "normal";
    case RequestQuarantine::Verdict::kTrial:
      return "trial on one leaf";
    case RequestQuarantine::Verdict::kDeferred:
      return "trial postponed";
    default:
      return "rejected";
  }
}

}  // namespace

QuarantineGossip::QuarantineGossip(boost::asio::io_context& io, RequestQuarantine& quarantine,
                                   RandomEngine& random, const Endpoint& self, SendFrame sendFrame)
    : io_(io),
      quarantine_(quarantine),
      random_(random),
      self_(self),
      sendFrame_(std::move(sendFrame)),
      sendTimer_(io_),
      antiEntropyTimer_(io_) {}

void QuarantineGossip::setDaemons(const std::vector<Endpoint>& daemons) {
  peers_ = daemons;
  peers_.erase(std::remove(peers_.begin(), peers_.end(), self_), peers_.end());
}

void QuarantineGossip::onFrame(const EndingRequests& message) {
  for (const QuarantineRecord& record : decodeQuarantineRecords(message, steadyNow())) {
    quarantine_.merge(record);
    ++counters_.recordsMerged;
  }
  onChanged();
}

void QuarantineGossip::onChanged() {
  if (quarantine_.empty()) {
    return;
  }
  if (!std::exchange(sendScheduled_, true)) {
    sendTimer_.expires_after(kBatchDelay);
    sendTimer_.async_wait([this](const boost::system::error_code& error) {
      sendScheduled_ = false;
      if (!error) {
        sendChangedRecords();
      }
    });
  }
  if (!std::exchange(antiEntropyScheduled_, true)) {
    scheduleAntiEntropy();
  }
}

void QuarantineGossip::sendChangedRecords() {
  const std::vector<QuarantineRecord> changed = quarantine_.takeChanged();
  for (const QuarantineRecord& record : changed) {
    logVerdict(record);
  }
  if (!changed.empty()) {
    sendRecords(changed, pickRandomPeers(kFanOut));
  }
}

void QuarantineGossip::logVerdict(const QuarantineRecord& record) const {
  const Moment now = steadyNow();
  const Duration age = now - record.lastEvidenceAt;
  log(LogLevel::kWarning, "leafs end under a request",
      {{"fingerprint", record.fingerprint.text()},
       {"verdict", textOf(quarantine_.assess(record.fingerprint, now).verdict)},
       {"ended_leafs", record.crashedLeafs.size()},
       {"trials", record.trials},
       {"answers", record.epoch},
       {"last_ended_ms_ago", toMilliseconds(age)}});
}

void QuarantineGossip::scheduleAntiEntropy() {
  antiEntropyTimer_.expires_after(kAntiEntropyPeriod);
  antiEntropyTimer_.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    quarantine_.dropExpired(steadyNow());
    if (quarantine_.empty()) {
      antiEntropyScheduled_ = false;
      return;
    }
    sendRecords(quarantine_.newest(kMaxQuarantineRecordsPerFrame), pickRandomPeers(1));
    scheduleAntiEntropy();
  });
}

std::vector<Endpoint> QuarantineGossip::pickRandomPeers(std::size_t count) {
  std::vector<Endpoint> picked;
  std::sample(peers_.begin(), peers_.end(), std::back_inserter(picked), count, random_);
  return picked;
}

void QuarantineGossip::sendRecords(const std::vector<QuarantineRecord>& records,
                                   const std::vector<Endpoint>& receivers) {
  const Moment now = steadyNow();
  for (std::size_t begin = 0; begin < records.size(); begin += kMaxQuarantineRecordsPerFrame) {
    const std::size_t end = std::min(records.size(), begin + kMaxQuarantineRecordsPerFrame);
    const std::vector<QuarantineRecord> batch(records.begin() + static_cast<std::ptrdiff_t>(begin),
                                              records.begin() + static_cast<std::ptrdiff_t>(end));
    PeerEnvelope frame;
    *frame.mutable_ending_requests() = encodeQuarantineRecords(batch, now);
    frame.set_time_to_live_ms(kLifetimeMilliseconds);
    for (const Endpoint& receiver : receivers) {
      ++counters_.framesSent;
      sendFrame_(receiver, frame);
    }
  }
}

}  // namespace oakpier::serving
