#include "coordination/serving/source_relay.h"

#include <algorithm>

#include "coordination/serving/forwarding_tree.h"

namespace oakpier::serving {

namespace {

/// Minimum time between requests for missing records.
constexpr Duration kUpdateRequestInterval = std::chrono::milliseconds(300);
/// An update at the position that was forwarded last, of a reader that does not rank before the last one's,
/// is forwarded only if it was read later by more than this, because there may be several readers.
constexpr Duration kMinConfirmationGap = std::chrono::milliseconds(100);
/// Rate limit of complete states, which have some ten kilobytes each, compressed once: a start of many
/// daemons must saturate neither a small link nor a tenth of a CPU. Daemons that received one reply to
/// others.
constexpr std::size_t kMaxCompleteStates = 16;
constexpr Duration kCompleteStateWindow = std::chrono::milliseconds(200);
/// Number of deletions kept for replies to peers.
constexpr std::size_t kMaxDeletions = 4096;

void addRecord(const SourceRecord& record, SourceNews& update) {
  SourceRecordNews* added = update.add_records();
  added->set_key(record.key);
  added->set_value(record.value);
  added->set_revision(record.revision);
  added->set_gone(record.deleted);
  if (record.epoch != update.epoch()) {
    added->set_epoch(record.epoch);
  }
}

SourcePosition positionOf(const SourceNews& update) {
  return SourcePosition{update.epoch(), update.revision()};
}

/// An update without records.
SourceNews updateAt(const SourcePosition& position) {
  SourceNews update;
  update.set_epoch(position.epoch);
  update.set_revision(position.revision);
  return update;
}

}  // namespace

std::vector<SourceRecord> recordsOf(const SourceNews& update) {
  std::vector<SourceRecord> records;
  for (const SourceRecordNews& item : update.records()) {
    const std::uint64_t epoch = item.has_epoch() ? item.epoch() : update.epoch();
    records.push_back(SourceRecord{item.key(), item.value(), item.revision(), item.gone(), epoch});
  }
  return records;
}

std::uint64_t SourceRelay::ageAt(Moment now) const {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, (now - confirmedAt_).count()));
}

void SourceRelay::store(const SourceRecord& record) {
  if (record.deleted) {
    records_.erase(record.key);
    deletions_[record.position()] = record.key;
    if (deletions_.size() > kMaxDeletions) {
      deletionsKeptAfter_ = deletions_.begin()->first;
      deletions_.erase(deletions_.begin());
    }
    return;
  }
  SourceRecord& kept = records_[record.key];
  if (kept.position() <= record.position()) {
    kept = record;
  }
}

void SourceRelay::removeUnlisted(const std::set<std::string>& keys, const SourcePosition& position) {
  // A listing does not tell which records were deleted, nor when.
  deletions_.clear();
  deletionsKeptAfter_ = std::max(deletionsKeptAfter_, position);
  for (auto record = records_.begin(); record != records_.end();) {
    const bool removed = keys.count(record->first) == 0 && record->second.position() <= position;
    record = removed ? records_.erase(record) : std::next(record);
  }
}

RelayActions SourceRelay::onRead(std::uint64_t afterRevision, const SourcePosition& position,
                                 const std::vector<SourceRecord>& records, Moment now) {
  RelayActions actions;
  forwarded_ = std::max(forwarded_, position);
  forwardedConfirmedAt_ = std::max(forwardedConfirmedAt_, confirmedAt_);
  forwardedReader_ = self_;
  SourceNews update = updateAt(position);
  update.set_after_revision(afterRevision);
  update.set_age_us(ageAt(now));
  update.set_reader(self_.text());
  for (const SourceRecord& record : records) {
    addRecord(record, update);
  }
  for (const Endpoint& child : forwardingChildren(members_, self_, self_)) {
    actions.updates.push_back(OutgoingUpdate{child, update});
  }
  return actions;
}

std::vector<OutgoingUpdate> SourceRelay::onRestored(const SourcePosition& known, Moment now) {
  forwarded_ = std::max(forwarded_, known);
  forwardedConfirmedAt_ = std::max(forwardedConfirmedAt_, confirmedAt_);
  forwardedReader_ = self_;
  SourceNews update = updateAt(known);
  update.set_whole(true);
  update.set_age_us(ageAt(now));
  update.set_reader(self_.text());
  addAllRecords(update);
  std::vector<OutgoingUpdate> updates;
  for (const Endpoint& child : forwardingChildren(members_, self_, self_)) {
    updates.push_back(OutgoingUpdate{child, update});
  }
  return updates;
}

RelayActions SourceRelay::onUpdate(const Endpoint& sender, const SourceNews& update,
                                   const SourcePosition& known, Moment now) {
  RelayActions actions;
  const SourcePosition position = positionOf(update);
  // An update of an older epoch contains what the source has lost, or what has been rewritten since.
  if (position.revision == 0 || position.epoch < known.epoch) {
    return actions;
  }
  const bool continues =
      known.revision > 0 && position.epoch == known.epoch && update.after_revision() <= known.revision;
  if (position > known && !update.whole() && !continues) {
    if (now - requestedAt_ > kUpdateRequestInterval) {
      requestedAt_ = now;
      actions.requestFrom = sender;
    }
  } else if (position >= known) {
    actions.accepted = true;
    confirmedAt_ = std::max(confirmedAt_, now - Duration(static_cast<std::int64_t>(update.age_us())));
  }
  forward(update, now, actions);
  return actions;
}

void SourceRelay::forward(const SourceNews& update, Moment now, RelayActions& actions) {
  const auto reader = Endpoint::parse(update.reader());
  const Moment confirmedAt = now - Duration(static_cast<std::int64_t>(update.age_us()));
  const SourcePosition position = positionOf(update);
  const bool newPosition = position > forwarded_;
  const bool samePosition = position == forwarded_;
  const bool confirmedLater = samePosition && confirmedAt > forwardedConfirmedAt_ + kMinConfirmationGap;
  const bool higherRankedReader = samePosition && reader && members_.before(*reader, forwardedReader_);
  if (!reader || !(newPosition || confirmedLater || higherRankedReader)) {
    return;
  }
  forwarded_ = position;
  forwardedConfirmedAt_ = std::max(forwardedConfirmedAt_, confirmedAt);
  forwardedReader_ = *reader;
  for (const Endpoint& child : forwardingChildren(members_, *reader, self_)) {
    actions.updates.push_back(OutgoingUpdate{child, update});
  }
}

bool SourceRelay::acquireCompleteStateSlot(Moment now) {
  if (now - completeStateWindowStart_ >= kCompleteStateWindow) {
    completeStateWindowStart_ = now;
    completeStatesSent_ = 0;
  }
  return ++completeStatesSent_ <= kMaxCompleteStates;
}

void SourceRelay::deferRequest(const Endpoint& requester) {
  if (deferredRequests_.size() < kMaxCompleteStates) {
    deferredRequests_.insert(requester);
  }
}

std::vector<OutgoingUpdate> SourceRelay::replyToDeferred(const SourcePosition& known, Moment now) {
  std::vector<OutgoingUpdate> replies;
  for (const Endpoint& requester : deferredRequests_) {
    if (auto reply = catchUpFor(requester, SourcePosition{}, known, now)) {
      replies.push_back(std::move(*reply));
    }
  }
  deferredRequests_.clear();
  return replies;
}

std::optional<OutgoingUpdate> SourceRelay::catchUpFor(const Endpoint& to,
                                                      const SourcePosition& requesterPosition,
                                                      const SourcePosition& known, Moment now) {
  OutgoingUpdate outgoing{to, updateAt(known)};
  outgoing.update.set_age_us(ageAt(now));
  const bool changesKept = requesterPosition.epoch == known.epoch && requesterPosition >= deletionsKeptAfter_;
  if (requesterPosition.revision > 0 && changesKept) {
    outgoing.update.set_after_revision(requesterPosition.revision);
    addChangesSince(requesterPosition, outgoing.update);
    return outgoing;
  }
  if (!acquireCompleteStateSlot(now)) {
    return std::nullopt;
  }
  outgoing.update.set_whole(true);
  addAllRecords(outgoing.update);
  return outgoing;
}

void SourceRelay::addAllRecords(SourceNews& update) const {
  for (const auto& [key, record] : records_) {
    addRecord(record, update);
  }
}

void SourceRelay::addChangesSince(const SourcePosition& position, SourceNews& update) const {
  for (const auto& [key, record] : records_) {
    // Records that the source has lost go to every peer: one that has listed the restored source lacks them.
    const bool lostBySource = record.epoch < position.epoch;
    if (record.position() > position || lostBySource) {
      addRecord(record, update);
    }
  }
  for (auto deletion = deletions_.upper_bound(position); deletion != deletions_.end(); ++deletion) {
    if (records_.count(deletion->second) == 0) {
      addRecord(SourceRecord{deletion->second, "", deletion->first.revision, true, deletion->first.epoch},
                update);
    }
  }
}

}  // namespace oakpier::serving
