#include "coordination/serving/source_relay.h"

#include <algorithm>

#include "coordination/serving/forwarding_tree.h"

namespace oakpier::serving {

namespace {

/// A daemon asks for what it missed no more often than this.
constexpr Duration kAskPeriod = std::chrono::milliseconds(300);
/// News of a known revision is passed on only if the source said it later by more than this: several daemons
/// may read at once.
constexpr Duration kFreshnessStep = std::chrono::milliseconds(100);
/// A whole state is some ten kilobytes, compressed once: no more than this many are told in this time, so
/// that a start of many daemons neither fills a small link nor a tenth of a processor. Those that were told
/// help.
constexpr std::size_t kMostWholeStates = 16;
constexpr Duration kWholeStatePeriod = std::chrono::milliseconds(200);
/// Ends of records that are remembered for daemons that missed them.
constexpr std::size_t kMostGone = 4096;

void addRecord(const SourceRecord& record, SourceNews& news) {
  SourceRecordNews* added = news.add_records();
  added->set_key(record.key);
  added->set_value(record.value);
  added->set_revision(record.revision);
  added->set_gone(record.gone);
}

}  // namespace

std::vector<SourceRecord> recordsOf(const SourceNews& news) {
  std::vector<SourceRecord> records;
  for (const SourceRecordNews& item : news.records()) {
    records.push_back(SourceRecord{item.key(), item.value(), item.revision(), item.gone()});
  }
  return records;
}

std::uint64_t SourceRelay::ageAt(Moment now) const {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - freshAt_).count()));
}

void SourceRelay::keep(const SourceRecord& record) {
  if (record.gone) {
    records_.erase(record.key);
    gone_[record.revision] = record.key;
    if (gone_.size() > kMostGone) {
      goneSince_ = gone_.begin()->first;
      gone_.erase(gone_.begin());
    }
    return;
  }
  SourceRecord& kept = records_[record.key];
  if (kept.revision <= record.revision) {
    kept = record;
  }
}

void SourceRelay::dropUnlisted(const std::set<std::string>& keys, std::uint64_t revision) {
  // Which records went, and when, is not told by a listing.
  gone_.clear();
  goneSince_ = std::max(goneSince_, revision);
  for (auto record = records_.begin(); record != records_.end();) {
    const bool dropped = keys.count(record->first) == 0 && record->second.revision <= revision;
    record = dropped ? records_.erase(record) : std::next(record);
  }
}

RelayActions SourceRelay::onRead(std::uint64_t afterRevision, std::uint64_t revision,
                                 const std::vector<SourceRecord>& records, Moment now) {
  RelayActions actions;
  forwardedRevision_ = std::max(forwardedRevision_, revision);
  forwardedFreshAt_ = std::max(forwardedFreshAt_, freshAt_);
  forwardedReader_ = self_;
  SourceNews news;
  news.set_after_revision(afterRevision);
  news.set_revision(revision);
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

RelayActions SourceRelay::onNews(const Endpoint& sender, const SourceNews& news, std::uint64_t knownRevision,
                                 Moment now) {
  RelayActions actions;
  if (news.revision() == 0) {
    return actions;
  }
  const std::uint64_t after = news.whole() ? 0 : news.after_revision();
  const bool usable = news.whole() || knownRevision > 0;
  if (news.revision() > knownRevision && (after > knownRevision || !usable)) {
    if (now - askedAt_ > kAskPeriod) {
      askedAt_ = now;
      actions.ask = sender;
    }
  } else if (news.revision() >= knownRevision) {
    actions.accepted = true;
    freshAt_ = std::max(freshAt_, now - Duration(static_cast<std::int64_t>(news.age_us())));
  }
  if (!news.whole()) {
    forward(news, now, actions);
  }
  return actions;
}

void SourceRelay::forward(const SourceNews& news, Moment now, RelayActions& actions) {
  const auto reader = Endpoint::parse(news.reader());
  const Moment freshAt = now - Duration(static_cast<std::int64_t>(news.age_us()));
  const bool newRevision = news.revision() > forwardedRevision_;
  const bool sameRevision = news.revision() == forwardedRevision_;
  const bool fresherNews = sameRevision && freshAt > forwardedFreshAt_ + kFreshnessStep;
  const bool earlierReader = sameRevision && reader && members_.before(*reader, forwardedReader_);
  if (!reader || !(newRevision || fresherNews || earlierReader)) {
    return;
  }
  forwardedRevision_ = news.revision();
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

std::vector<OutgoingNews> SourceRelay::answerWaiting(std::uint64_t knownRevision, Moment now) {
  std::vector<OutgoingNews> answers;
  for (const Endpoint& asker : waiting_) {
    if (auto answer = missedBy(asker, 0, knownRevision, now)) {
      answers.push_back(std::move(*answer));
    }
  }
  waiting_.clear();
  return answers;
}

std::optional<OutgoingNews> SourceRelay::missedBy(const Endpoint& to, std::uint64_t askersRevision,
                                                  std::uint64_t knownRevision, Moment now) {
  OutgoingNews outgoing{to, {}};
  outgoing.news.set_revision(knownRevision);
  outgoing.news.set_age_us(ageAt(now));
  if (askersRevision > 0 && askersRevision >= goneSince_) {
    outgoing.news.set_after_revision(askersRevision);
    addChangesSince(askersRevision, outgoing.news);
    return outgoing;
  }
  if (!takeWholeTurn(now)) {
    return std::nullopt;
  }
  outgoing.news.set_whole(true);
  for (const auto& [key, record] : records_) {
    addRecord(record, outgoing.news);
  }
  return outgoing;
}

void SourceRelay::addChangesSince(std::uint64_t revision, SourceNews& news) const {
  for (const auto& [key, record] : records_) {
    if (record.revision > revision) {
      addRecord(record, news);
    }
  }
  for (auto gone = gone_.upper_bound(revision); gone != gone_.end(); ++gone) {
    if (records_.count(gone->second) == 0) {
      addRecord(SourceRecord{gone->second, "", gone->first, true}, news);
    }
  }
}

}  // namespace oakpier::serving
