#include "coordination/serving/source_reader.h"

#include <algorithm>

namespace oakpier::serving {

namespace {

constexpr unsigned kMaxDoublings = 6;

}  // namespace

SourceReader::SourceReader(const SourceReaderSettings& settings, RandomEngine random)
    : settings_(settings), random_(random) {}

std::optional<SourceCall> SourceReader::takeCall(Moment now) {
  if (inProgress_ || now < nextCallAt_) {
    return std::nullopt;
  }
  inProgress_ = true;
  callMadeAt_ = now;
  currentCall_ = nextCall_;
  return nextCall_;
}

SourceCall SourceReader::nextCallFor(Duration wait) const {
  if (historyUnavailableAfter_ == known_) {
    return SourceCall{};
  }
  return SourceCall{SourceCall::Kind::kChanges, "", known_.revision, wait, known_.epoch};
}

void SourceReader::onPage(const SourcePage& page, std::uint64_t epoch, Moment now) {
  inProgress_ = false;
  consecutiveFailures_ = 0;
  listingComplete_ = false;
  const SourcePosition position{epoch, page.revision};
  if (currentCall_.kind == SourceCall::Kind::kChanges) {
    known_ = std::max(known_, position);
    nextCall_ = nextCallFor(settings_.maxWait);
    nextCallAt_ = now + settings_.minCallInterval;
    return;
  }
  if (currentCall_.afterKey.empty()) {
    listingPosition_ = position;
  }
  if (page.more && !page.records.empty()) {
    nextCall_ = SourceCall{SourceCall::Kind::kList, page.records.back().key, 0, {}, epoch};
    nextCallAt_ = now;
    return;
  }
  listingComplete_ = true;
  historyUnavailableAfter_.reset();
  known_ = std::max(known_, listingPosition_);
  nextCall_ = nextCallFor(settings_.maxWait);
  nextCallAt_ = now + settings_.minCallInterval;
}

void SourceReader::relist(Duration after, Moment now) {
  inProgress_ = false;
  consecutiveFailures_ = 0;
  listingComplete_ = false;
  historyUnavailableAfter_ = known_;
  nextCall_ = SourceCall{};
  nextCallAt_ = now + after;
}

void SourceReader::discardAnswer(Moment now) {
  inProgress_ = false;
  consecutiveFailures_ = 0;
  listingComplete_ = false;
  nextCall_ = nextCallFor(settings_.maxWait);
  nextCallAt_ = now + settings_.minCallInterval;
}

void SourceReader::expediteCall(Moment now) {
  if (inProgress_ || known_.revision == 0) {
    return;
  }
  if (nextCall_.kind == SourceCall::Kind::kChanges) {
    nextCall_.wait = Duration(0);
  }
  nextCallAt_ = std::min(nextCallAt_, std::max(now, backoffUntil_));
}

void SourceReader::onUpdate(const SourcePosition& position) {
  if (position < known_) {
    return;
  }
  known_ = position;
  const Duration wait = nextCall_.kind == SourceCall::Kind::kChanges ? nextCall_.wait : settings_.maxWait;
  nextCall_ = nextCallFor(wait);
}

void SourceReader::awaitUpdate(Moment confirmedAt, Duration stagger) {
  nextCall_ = nextCallFor(Duration(0));
  // The last update may be old already, as during an outage of the source: the backoff still applies.
  nextCallAt_ =
      std::max(confirmedAt + settings_.minCallInterval + settings_.maxWait + stagger, backoffUntil_);
}

Duration SourceReader::nextBackoff(Duration backoffCap) {
  // Updates of a reader may have delayed the call far beyond the last backoff. The failures before it, as of
  // an outage that is over, must then not slow down a daemon that reads because the reader was lost.
  const bool inARow = consecutiveFailures_ > 0 && callMadeAt_ - backoffUntil_ <= backoffCap;
  backoffDoublings_ = inARow ? std::min(backoffDoublings_ + 1, kMaxDoublings) : 0;
  ++consecutiveFailures_;
  return std::min(backoffCap, settings_.initialBackoff * (1U << backoffDoublings_));
}

void SourceReader::onFailure(SourceFailure failure, Duration backoffCap, Moment now) {
  inProgress_ = false;
  listingComplete_ = false;
  if (failure == SourceFailure::kHistoryUnavailable) {
    historyUnavailableAfter_ = known_;
    nextCall_ = SourceCall{};
  }
  const Duration cap = nextBackoff(backoffCap);
  // Uniform jitter over the upper half, so that daemons whose calls failed together do not retry together.
  const auto half = static_cast<std::size_t>(cap.count() / 2);
  nextCallAt_ = now + cap / 2 + Duration(static_cast<std::int64_t>(drawBelow(half + 1, random_)));
  backoffUntil_ = nextCallAt_;
}

}  // namespace oakpier::serving
