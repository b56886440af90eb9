#include "coordination/serving/source_reader.h"

#include <algorithm>

namespace oakpier::serving {

namespace {

constexpr unsigned kMostDoublings = 6;

}  // namespace

SourceReader::SourceReader(const SourceReaderSettings& settings, RandomEngine random)
    : settings_(settings), random_(random) {}

std::optional<SourceCall> SourceReader::takeCall(Moment now) {
  if (inProgress_ || now < nextCallAt_) {
    return std::nullopt;
  }
  inProgress_ = true;
  current_ = next_;
  return next_;
}

SourceCall SourceReader::nextFor(Duration wait) const {
  if (historyGoneAt_ == known_) {
    return SourceCall{};
  }
  return SourceCall{SourceCall::Kind::kChanges, "", known_.revision, wait, known_.epoch};
}

void SourceReader::onPage(const SourcePage& page, std::uint64_t epoch, Moment now) {
  inProgress_ = false;
  failuresInRow_ = 0;
  listingComplete_ = false;
  const SourcePosition position{epoch, page.revision};
  if (current_.kind == SourceCall::Kind::kChanges) {
    known_ = std::max(known_, position);
    next_ = nextFor(settings_.wait);
    nextCallAt_ = now + settings_.pace;
    return;
  }
  if (current_.afterKey.empty()) {
    listing_ = position;
  }
  if (page.more && !page.records.empty()) {
    next_ = SourceCall{SourceCall::Kind::kList, page.records.back().key, 0, {}, epoch};
    nextCallAt_ = now;
    return;
  }
  listingComplete_ = true;
  historyGoneAt_.reset();
  known_ = std::max(known_, listing_);
  next_ = nextFor(settings_.wait);
  nextCallAt_ = now + settings_.pace;
}

void SourceReader::listAnew(Duration after, Moment now) {
  inProgress_ = false;
  failuresInRow_ = 0;
  listingComplete_ = false;
  historyGoneAt_ = known_;
  next_ = SourceCall{};
  nextCallAt_ = now + after;
}

void SourceReader::dropAnswer(Moment now) {
  inProgress_ = false;
  failuresInRow_ = 0;
  listingComplete_ = false;
  next_ = nextFor(settings_.wait);
  nextCallAt_ = now + settings_.pace;
}

void SourceReader::readNow(Moment now) {
  if (inProgress_ || known_.revision == 0) {
    return;
  }
  if (next_.kind == SourceCall::Kind::kChanges) {
    next_.wait = Duration(0);
  }
  nextCallAt_ = std::min(nextCallAt_, std::max(now, backoffUntil_));
}

void SourceReader::onNews(const SourcePosition& position) {
  if (position < known_) {
    return;
  }
  known_ = position;
  const Duration wait = next_.kind == SourceCall::Kind::kChanges ? next_.wait : settings_.wait;
  next_ = nextFor(wait);
}

void SourceReader::leaveToOther(Moment freshAt, Duration stagger) {
  next_ = nextFor(Duration(0));
  // The last update may be old already, as during an outage of the source: the backoff still applies.
  nextCallAt_ = std::max(freshAt + settings_.pace + settings_.wait + stagger, backoffUntil_);
}

void SourceReader::onFailure(SourceFailure failure, Duration longestBackoff, Moment now) {
  inProgress_ = false;
  listingComplete_ = false;
  if (failure == SourceFailure::kHistoryGone) {
    historyGoneAt_ = known_;
    next_ = SourceCall{};
  }
  const unsigned doublings = std::min(failuresInRow_, kMostDoublings);
  ++failuresInRow_;
  const Duration longest = std::min(longestBackoff, settings_.shortestBackoff * (1U << doublings));
  // Uniform jitter over the upper half, so that daemons whose calls failed together do not retry together.
  const auto half = static_cast<std::size_t>(longest.count() / 2);
  nextCallAt_ = now + longest / 2 + Duration(static_cast<std::int64_t>(drawBelow(half + 1, random_)));
  backoffUntil_ = nextCallAt_;
}

}  // namespace oakpier::serving
