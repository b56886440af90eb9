#include "coordination/serving/source_relay.h"

#include <algorithm>

#include "coordination/serving/forwarding_tree.h"

namespace oakpier::serving {

namespace {

/// Minimum time between requests for missing records.
constexpr Duration kAskPeriod = std::chrono::milliseconds(300);
/// An update of a known revision is forwarded only if it was read later by more than this, because there may
/// be several readers.
constexpr Duration kFreshnessStep = std::chrono::milliseconds(100);
/// Rate limit of complete states, which have some ten kilobytes each, compressed once: a start of many
/// daemons must saturate neither a small link nor a tenth of a CPU. Daemons that received one reply to
/// others.
constexpr std::size_t kMostWholeStates = 16;
constexpr Duration kWholeStatePeriod = std::chrono::milliseconds(200);
/// Number of deletions kept for replies to peers.
constexpr std::size_t kMostGone = 4096;

void addRecord(const SourceRecord& record, SourceNews& news) {
  SourceRecordNews* added = news.add_records();
  added->set_key(record.key);
  added->set_value(record.value);
  added->set_revision(record.revision);
  added->set_gone(record.gone);
  if (record.epoch != news.epoch()) {
    added->set_epoch(record.epoch);
  }
}

SourcePosition positionOf(const SourceNews& news) { return SourcePosition{news.epoch(), news.revision()}; }

/// An update without records.
SourceNews newsAt(const SourcePosition& position) {
  SourceNews news;
  news.set_epoch(position.epoch);
  news.set_revision(position.revision);
  return news;
}

}  // namespace

std::vector<SourceRecord> recordsOf(const SourceNews& news) {
  std::vector<SourceRecord> records;
  for (const SourceRecordNews& item : news.records()) {
    const std::uint64_t epoch = item.has_epoch() ? item.epoch() : news.epoch();
    records.push_back(SourceRecord{item.key(), item.value(), item.revision(), item.gone(), epoch});
  }
  return records;
}

std::uint64_t SourceRelay::ageAt(Moment now) const {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - freshAt_).count()));
}

void SourceRelay::keep(const SourceRecord& record) {
  if (record.gone) {
    records_.erase(record.key);
    gone_[record.position()] = record.key;
    if (gone_.size() > kMostGone) {
      goneSince_ = gone_.begin()->first;
      gone_.erase(gone_.begin());
    }
    return;
  }
  SourceRecord& kept = records_[record.key];
  if (kept.position() <= record.position()) {
    kept = record;
  }
}

void SourceRelay::dropUnlisted(const std::set<std::string>& keys, const SourcePosition& position) {
  // A listing does not tell which records were deleted, nor when.
  gone_.clear();
  goneSince_ = std::max(goneSince_, position);
  for (auto record = records_.begin(); record != records_.end();) {
    const bool dropped = keys.count(record->first) == 0 && record->second.position() <= position;
    record = dropped ? records_.erase(record) : std::next(record);
  }
}

RelayActions SourceRelay::onRead(std::uint64_t afterRevision, const SourcePosition& position,
                                 const std::vector<SourceRecord>& records, Moment now) {
  RelayActions actions;
  forwarded_ = std::max(forwarded_, position);
  forwardedFreshAt_ = std::max(forwardedFreshAt_, freshAt_);
  forwardedReader_ = self_;
  SourceNews news = newsAt(position);
  news.set_after_revision(afterRevision);
  news.set_age_us(ageAt(now));
  news.set_reader(self_.text());
  for (const SourceRecord& record : records) {
    addRecord(record, news);
  }
  for (const Endpoint& child : forwardTo(members_, self_, self_)) {
    actions.news.push_back(OutgoingNews{child, news});
  }
  return actions;
}

std::vector<OutgoingNews> SourceRelay::onRestored(const SourcePosition& known, Moment now) {
  forwarded_ = std::max(forwarded_, known);
  forwardedFreshAt_ = std::max(forwardedFreshAt_, freshAt_);
  forwardedReader_ = self_;
  SourceNews news = newsAt(known);
  news.set_whole(true);
  news.set_age_us(ageAt(now));
  news.set_reader(self_.text());
  addAll(news);
  std::vector<OutgoingNews> told;
  for (const Endpoint& child : forwardTo(members_, self_, self_)) {
    told.push_back(OutgoingNews{child, news});
  }
  return told;
}

RelayActions SourceRelay::onNews(const Endpoint& sender, const SourceNews& news, const SourcePosition& known,
                                 Moment now) {
  RelayActions actions;
  const SourcePosition told = positionOf(news);
  // An update of an older epoch contains what the source has lost, or what has been rewritten since.
  if (told.revision == 0 || told.epoch < known.epoch) {
    return actions;
  }
  const bool continues =
      known.revision > 0 && told.epoch == known.epoch && news.after_revision() <= known.revision;
  if (told > known && !news.whole() && !continues) {
    if (now - askedAt_ > kAskPeriod) {
      askedAt_ = now;
      actions.ask = sender;
    }
  } else if (told >= known) {
    actions.accepted = true;
    freshAt_ = std::max(freshAt_, now - Duration(static_cast<std::int64_t>(news.age_us())));
  }
  forward(news, now, actions);
  return actions;
}

void SourceRelay::forward(const SourceNews& news, Moment now, RelayActions& actions) {
  const auto reader = Endpoint::parse(news.reader());
  const Moment freshAt = now - Duration(static_cast<std::int64_t>(news.age_us()));
  const SourcePosition told = positionOf(news);
  const bool newPosition = told > forwarded_;
  const bool samePosition = told == forwarded_;
  const bool fresherNews = samePosition && freshAt > forwardedFreshAt_ + kFreshnessStep;
  const bool earlierReader = samePosition && reader && members_.before(*reader, forwardedReader_);
  if (!reader || !(newPosition || fresherNews || earlierReader)) {
    return;
  }
  forwarded_ = told;
  forwardedFreshAt_ = std::max(forwardedFreshAt_, freshAt);
  forwardedReader_ = *reader;
  for (const Endpoint& child : forwardTo(members_, *reader, self_)) {
    actions.news.push_back(OutgoingNews{child, news});
  }
}

bool SourceRelay::takeWholeTurn(Moment now) {
  if (now - wholeSince_ >= kWholeStatePeriod) {
    wholeSince_ = now;
    wholeTold_ = 0;
  }
  return ++wholeTold_ <= kMostWholeStates;
}

void SourceRelay::keepWaiting(const Endpoint& asker) {
  if (waiting_.size() < kMostWholeStates) {
    waiting_.insert(asker);
  }
}

std::vector<OutgoingNews> SourceRelay::answerWaiting(const SourcePosition& known, Moment now) {
  std::vector<OutgoingNews> answers;
  for (const Endpoint& asker : waiting_) {
    if (auto answer = missedBy(asker, SourcePosition{}, known, now)) {
      answers.push_back(std::move(*answer));
    }
  }
  waiting_.clear();
  return answers;
}

std::optional<OutgoingNews> SourceRelay::missedBy(const Endpoint& to, const SourcePosition& askers,
                                                  const SourcePosition& known, Moment now) {
  OutgoingNews outgoing{to, newsAt(known)};
  outgoing.news.set_age_us(ageAt(now));
  const bool changesKept = askers.epoch == known.epoch && askers >= goneSince_;
  if (askers.revision > 0 && changesKept) {
    outgoing.news.set_after_revision(askers.revision);
    addChangesSince(askers, outgoing.news);
    return outgoing;
  }
  if (!takeWholeTurn(now)) {
    return std::nullopt;
  }
  outgoing.news.set_whole(true);
  addAll(outgoing.news);
  return outgoing;
}

void SourceRelay::addAll(SourceNews& news) const {
  for (const auto& [key, record] : records_) {
    addRecord(record, news);
  }
}

void SourceRelay::addChangesSince(const SourcePosition& position, SourceNews& news) const {
  for (const auto& [key, record] : records_) {
    // Records that the source has lost go to every peer: one that has listed the restored source lacks them.
    const bool lostBySource = record.epoch < position.epoch;
    if (record.position() > position || lostBySource) {
      addRecord(record, news);
    }
  }
  for (auto gone = gone_.upper_bound(position); gone != gone_.end(); ++gone) {
    if (records_.count(gone->second) == 0) {
      addRecord(SourceRecord{gone->second, "", gone->first.revision, true, gone->first.epoch}, news);
    }
  }
}

}  // namespace oakpier::serving
