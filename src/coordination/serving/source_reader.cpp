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

void SourceReader::onPage(const SourcePage& page, Moment now) {
  inProgress_ = false;
  failuresInRow_ = 0;
  listingComplete_ = false;
  if (current_.kind == SourceCall::Kind::kChanges) {
    knownRevision_ = std::max(knownRevision_, page.revision);
    next_ = SourceCall{SourceCall::Kind::kChanges, "", knownRevision_, settings_.wait};
    nextCallAt_ = now + settings_.pace;
    return;
  }
  if (current_.afterKey.empty()) {
    listingRevision_ = page.revision;
  }
  if (page.more && !page.records.empty()) {
    next_ = SourceCall{SourceCall::Kind::kList, page.records.back().key, 0, {}};
    nextCallAt_ = now;
    return;
  }
  listingComplete_ = true;
  knownRevision_ = std::max(knownRevision_, listingRevision_);
  next_ = SourceCall{SourceCall::Kind::kChanges, "", knownRevision_, settings_.wait};
  nextCallAt_ = now + settings_.pace;
}

void SourceReader::readNow(Moment now) {
  if (inProgress_ || knownRevision_ == 0) {
    return;
  }
  if (next_.kind == SourceCall::Kind::kChanges) {
    next_.wait = Duration(0);
  }
  nextCallAt_ = std::min(nextCallAt_, std::max(now, backoffUntil_));
}

void SourceReader::onNews(std::uint64_t revision) {
  if (revision < knownRevision_) {
    return;
  }
  knownRevision_ = revision;
  const Duration wait = next_.kind == SourceCall::Kind::kChanges ? next_.wait : settings_.wait;
  next_ = SourceCall{SourceCall::Kind::kChanges, "", revision, wait};
}

void SourceReader::leaveToOther(Moment freshAt, Duration stagger) {
  next_ = SourceCall{SourceCall::Kind::kChanges, "", knownRevision_, Duration(0)};
  nextCallAt_ = freshAt + settings_.pace + settings_.wait + stagger;
}

void SourceReader::onFailure(SourceFailure failure, Duration longestBackoff, Moment now) {
  inProgress_ = false;
  listingComplete_ = false;
  if (failure == SourceFailure::kHistoryGone) {
    next_ = SourceCall{};
  }
  const unsigned doublings = std::min(failuresInRow_, kMostDoublings);
  ++failuresInRow_;
  const Duration longest = std::min(longestBackoff, settings_.shortestBackoff * (1U << doublings));
  // Evenly spread, so that daemons that failed together do not come back together.
  const auto half = static_cast<std::size_t>(longest.count() / 2);
  nextCallAt_ = now + longest / 2 + Duration(static_cast<std::int64_t>(drawBelow(half + 1, random_)));
  backoffUntil_ = nextCallAt_;
}

}  // namespace oakpier::serving
