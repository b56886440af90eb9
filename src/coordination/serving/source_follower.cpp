#include "coordination/serving/source_follower.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace oakpier::serving {

namespace {

/// Limit of the invalid leaf entries reported per answer or message: writers can make any number of them, and
/// each is a log line at every daemon.
constexpr std::size_t kMaxReportedErrors = 8;

/// A source that does not answer within this time, beyond the time for which it may hold the call open, may
/// be unavailable.
constexpr Duration kExpectedAnswerTime = std::chrono::milliseconds(200);

}  // namespace

SourceFollower::SourceFollower(const Endpoint& self, const FollowerSettings& settings, Interpreter interpret,
                               RandomEngine random)
    : interpret_(std::move(interpret)),
      random_(random()),
      reader_(settings.reader, RandomEngine(random())),
      election_(self, settings.election),
      bootstrap_(self, settings.bootstrap),
      state_(settings.state),
      relay_(self),
      prover_(self, settings.prover, RandomEngine(random())),
      rewriteWindow_(settings.state.rewriteWindow) {}

void SourceFollower::start(const std::vector<Endpoint>& seeds, Moment now) {
  bootstrap_.start(seeds, now, random_);
  election_.start(!bootstrap_.readsFromStart(), now);
  reader_.callNoEarlierThan(bootstrap_.listAt());
}

void SourceFollower::onConfigurationNeeded(Moment now) {
  if (counters_.calls == 0 && reader_.known().revision == 0) {
    reader_.callNoLaterThan(now);
  }
}

void SourceFollower::setMembers(const DaemonOrder& members) {
  relay_.setMembers(members);
  election_.setMembers(members);
  bootstrap_.setMembers(addressesOf(members.daemons()));
  prover_.setMembers(addressesOf(members.daemons()));
}

FollowerActions SourceFollower::onTimer(Moment now) {
  FollowerActions actions;
  state_.onTimer(now);
  if (reader_.known().revision == 0) {
    actions.requestFrom = bootstrap_.takeRequest(now, random_);
    counters_.updatesRequested += actions.requestFrom ? 1 : 0;
  }
  prover_.onTimer(now, actions.proofs);
  return actions;
}

std::optional<SourceCall> SourceFollower::takeCall(Moment now) {
  const bool due = reader_.nextCallAt() <= now;
  if (prover_.takeReadRequest(now)) {
    reader_.expediteCall(now);
  }
  auto call = reader_.takeCall(now);
  if (call) {
    ++counters_.calls;
    callSentAt_ = now;
    answerDueAt_ = now + call->wait + kExpectedAnswerTime;
    readsForOwnProof_ = !due;
    callTakesOver_ = due && known().revision > 0 && !election_.isReader(now);
    if (call->kind == SourceCall::Kind::kList && call->afterKey.empty()) {
      listingSentAt_ = now;
    }
  }
  return call;
}

FollowerCounters SourceFollower::counters() const {
  FollowerCounters counters = counters_;
  counters.epochs = epochClassifier_.counters();
  counters.known = known();
  counters.proofs = prover_.counters();
  return counters;
}

Moment SourceFollower::nextDueAt() const {
  const Moment next = std::min({reader_.nextCallAt(), state_.nextDueAt(), prover_.nextDueAt()});
  return reader_.known().revision == 0 ? std::min(next, bootstrap_.nextRequestAt()) : next;
}

FollowerActions SourceFollower::onAnswer(const SourceCall& call, const SourceAnswer& answer, Moment now) {
  FollowerActions actions;
  const EpochVerdict verdict = classifyEpoch(answer.epoch, actions);
  const auto* failure = std::get_if<SourceFailure>(&answer.content);
  const bool historyUnavailable = failure != nullptr && *failure == SourceFailure::kHistoryUnavailable;
  const bool unusable = verdict == EpochVerdict::kMissing || verdict == EpochVerdict::kMalformed;
  const bool restored = verdict == EpochVerdict::kNewer;
  actions.reconnect = verdict == EpochVerdict::kOlder || unusable;
  if (verdict == EpochVerdict::kOlder) {
    onFailure(SourceFailure::kOlderEpoch, false, now, actions);
  } else if (unusable) {
    onFailure(failure == nullptr ? SourceFailure::kNoUsableEpoch : *failure, false, now, actions);
  } else if (restored && historyUnavailable) {
    onSourceRestored(now);
  } else if (failure != nullptr) {
    onFailure(*failure, restored, now, actions);
  } else {
    onPage(call, std::get<SourcePage>(answer.content), answer.epoch.epoch, now, actions);
  }
  return actions;
}

EpochVerdict SourceFollower::classifyEpoch(const ReportedEpoch& reported, FollowerActions& actions) {
  const bool reportedBefore = epochClassifier_.counters().reported > 0;
  const EpochVerdict verdict = epochClassifier_.classify(reported, known().epoch);
  if (!reportedBefore && epochClassifier_.counters().reported > 0) {
    actions.notices.emplace_back(EpochsSupported{reported.epoch});
  }
  // To a daemon that has no state yet, every epoch is newer.
  const bool expected = verdict == EpochVerdict::kNewer && known().revision == 0;
  const EpochNotice notice{verdict, reported.epoch, known()};
  const bool repeated = notice.verdict == lastNotice_.verdict && notice.reported == lastNotice_.reported;
  if (verdict != EpochVerdict::kKnown && !expected && !repeated) {
    actions.notices.emplace_back(notice);
  }
  lastNotice_ = expected ? EpochNotice{} : notice;
  return verdict;
}

void SourceFollower::onFailure(SourceFailure failure, bool restored, Moment now, FollowerActions& actions) {
  ++counters_.failures;
  election_.onFailure();
  const bool unavailable = failure == SourceFailure::kNoAnswer || failure == SourceFailure::kUnavailable;
  unavailableAt_ = unavailable ? now : unavailableAt_;
  // An error answer of a newer epoch means that the changes since the known position are useless.
  const SourceFailure effectiveFailure = restored ? SourceFailure::kHistoryUnavailable : failure;
  reader_.onFailure(effectiveFailure, election_.backoffCap(), now);
  // A daemon whose calls fail depends on the forwarding tree, which is interrupted below a daemon whose crash
  // is not detected yet. A request to a peer covers that gap.
  actions.requestFrom = bootstrap_.randomPeer(random_);
  counters_.updatesRequested += actions.requestFrom ? 1 : 0;
}

void SourceFollower::onSourceRestored(Moment now) {
  election_.onAnswer();
  listing_.clear();
  // The first-ranked daemon lists for all; the others only if they do not receive the result in time.
  reader_.relist(election_.stagger(now, random_), now);
}

void SourceFollower::onPage(const SourceCall& call, const SourcePage& page, std::uint64_t epoch, Moment now,
                            FollowerActions& actions) {
  const bool isFirstPage = call.kind == SourceCall::Kind::kList && call.afterKey.empty();
  if (!isFirstPage && epoch != call.epoch) {
    // Revisions, and the rest of a listing, are valid within one epoch only.
    if (epoch > known().epoch) {
      onSourceRestored(now);
    } else {
      reader_.discardAnswer(now);
      deferToReader(relay_.confirmedAt(), now);
    }
    return;
  }
  election_.onAnswer();
  if (call.kind == SourceCall::Kind::kChanges) {
    onChanges(call, page, now, actions);
  } else {
    onListingPage(call, page, epoch, now, actions);
  }
  if (page.malformed > 0) {
    counters_.unusableRecords += page.malformed;
    actions.errors.push_back(std::to_string(page.malformed) + " records without a key or a revision");
  }
}

void SourceFollower::onListingPage(const SourceCall& call, const SourcePage& page, std::uint64_t epoch,
                                   Moment now, FollowerActions& actions) {
  if (call.afterKey.empty()) {
    listing_.clear();
    listingPosition_ = SourcePosition{epoch, page.revision};
  }
  listing_.insert(listing_.end(), page.records.begin(), page.records.end());
  const SourcePosition knownBefore = known();
  reader_.onPage(page, epoch, now);
  if (reader_.listingComplete()) {
    onListingComplete(knownBefore, now, actions);
  }
}

void SourceFollower::onListingComplete(const SourcePosition& knownBefore, Moment now,
                                       FollowerActions& actions) {
  const bool restored = knownBefore.revision > 0 && listingPosition_.epoch > knownBefore.epoch;
  if (listingPosition_ >= knownBefore) {
    state_.setChangedAfter(unknownChangesAfter(now));
    applyListing(latestPerKey(listing_, listingPosition_.epoch), listingPosition_, knownBefore, now, actions);
    relay_.setConfirmedAt(now);
  } else {
    ++counters_.staleListings;
    actions.notices.emplace_back(StaleListing{listingPosition_, knownBefore});
  }
  listing_.clear();
  prover_.onRead(listingSentAt_, now, actions.proofs);
  actions.updates = relay_.replyToDeferred(known(), now);
  if (restored) {
    const std::vector<OutgoingUpdate> outgoing = relay_.onRestored(known(), now);
    actions.updates.insert(actions.updates.end(), outgoing.begin(), outgoing.end());
  }
  if (bootstrap_.readsFromStart()) {
    election_.becomeReader(callSentAt_);
  }
  deferToReader(now, now);
}

void SourceFollower::onChanges(const SourceCall& call, const SourcePage& page, Moment now,
                               FollowerActions& actions) {
  const SourcePosition position{call.epoch, page.revision};
  const bool nothingNew = position <= known();
  // An update may have brought a later position meanwhile; the older page could then restore deleted records.
  if (position >= known()) {
    const std::vector<SourceRecord> latest = latestPerKey(page.records, call.epoch);
    state_.setChangedAfter(unknownChangesAfter(now));
    applyRecords(latest, now, actions);
    relay_.setConfirmedAt(now);
    if (!(readsForOwnProof_ && nothingNew)) {
      actions.updates = relay_.onRead(call.afterRevision, position, latest, now).updates;
    }
  }
  reader_.onPage(page, call.epoch, now);
  // Also if the page is old: writes acknowledged before the call was made are in it or were in the update.
  prover_.onRead(callSentAt_, now, actions.proofs);
  if (readsForOwnProof_ && nothingNew) {
    // The reader's updates reach all peers; forwarding this result too would only double the traffic.
    deferToReader(now, now);
  } else {
    election_.becomeReader(callSentAt_);
    deferToReader(now, now);
  }
}

Moment SourceFollower::unknownChangesAfter(Moment now) const {
  const bool overdue = reader_.callInProgress() && answerDueAt_ < now;
  return overdue || unavailableAt_ > relay_.confirmedAt() ? kNever : relay_.confirmedAt();
}

void SourceFollower::deferToReader(Moment confirmedAt, Moment now) {
  if (!election_.isReader(now)) {
    reader_.awaitUpdate(confirmedAt, election_.stagger(now, random_));
  }
}

void SourceFollower::beginEpoch(const SourcePosition& position, const SourcePosition& before, Moment now) {
  epochStart_ = position;
  // This daemon cannot tell when the epoch began: after its own start, it may have begun just now.
  prover_.ignoreReadsUntil(now + rewriteWindow_);
  if (before.revision > 0) {
    epochClassifier_.onRestored(before.epoch, position.epoch);
    state_.onRestored(position, now);
  }
}

void SourceFollower::applyListing(const std::vector<SourceRecord>& records, const SourcePosition& position,
                                  const SourcePosition& before, Moment now, FollowerActions& actions) {
  if (position.epoch > before.epoch) {
    beginEpoch(position, before, now);
  }
  ListedNames listed;
  std::set<std::string> keys;
  for (const SourceRecord& record : records) {
    keys.insert(record.key);
    applyRecord(record, now, actions, listed);
  }
  // The configuration in effect is kept for peers also if the source has lost it.
  keys.insert(configurationKey_);
  relay_.removeUnlisted(keys, position);
  state_.onListing(listed.leafs, position, now);
  state_.onEvacuationListing(listed.evacuatedZones, position, now);
  if (before.revision > 0 && position.epoch > before.epoch) {
    actions.notices.emplace_back(SourceRestored{before, position, state_.configurationVersion(),
                                                listed.leafs.size(), state_.leafsPendingRemoval(),
                                                state_.leafsConflicting()});
  }
}

void SourceFollower::applyRecords(const std::vector<SourceRecord>& records, Moment now,
                                  FollowerActions& actions) {
  ListedNames listed;
  for (const SourceRecord& record : records) {
    applyRecord(record, now, actions, listed);
  }
}

bool SourceFollower::isNotSuperseded(const SourceStatement& statement) const {
  const auto* configuration = std::get_if<ServingConfiguration>(&statement);
  return configuration == nullptr || configuration->version >= state_.configurationVersion();
}

void SourceFollower::applyRecord(const SourceRecord& record, Moment now, FollowerActions& actions,
                                 ListedNames& listed) {
  SourceStatement statement = interpret_(record);
  if (isNotSuperseded(statement)) {
    relay_.store(record);
  }
  const SourcePosition position = record.position();
  if (auto* configuration = std::get_if<ServingConfiguration>(&statement)) {
    applyConfiguration(std::move(*configuration), record, actions);
  } else if (const auto* leaf = std::get_if<LeafEntry>(&statement)) {
    state_.onLeaf(*leaf, position);
    counters_.leafsRestarted = state_.leafsRestarted();
    listed.leafs.push_back(leaf->id);
  } else if (const auto* removal = std::get_if<LeafRemoval>(&statement)) {
    state_.onLeafRemoved(removal->id, position, now);
  } else if (const auto* evacuation = std::get_if<ZoneEvacuation>(&statement)) {
    state_.onEvacuation(evacuation->zone, true, position);
    listed.evacuatedZones.insert(evacuation->zone);
  } else if (const auto* ended = std::get_if<ZoneEvacuationEnd>(&statement)) {
    state_.onEvacuation(ended->zone, false, position);
  } else if (const auto* unusable = std::get_if<UnusableRecord>(&statement)) {
    ++counters_.unusableRecords;
    actions.errors.push_back(unusable->error);
    if (unusable->isConfiguration) {
      prover_.onConfigurationRecord(position, false);
    }
  } else if (const auto* unusableLeaf = std::get_if<UnusableLeaf>(&statement)) {
    applyUnusableLeaf(*unusableLeaf, position, actions);
  }
}

void SourceFollower::applyUnusableLeaf(const UnusableLeaf& leaf, const SourcePosition& position,
                                       FollowerActions& actions) {
  state_.onLeafUnusable(leaf.id, position);
  ++counters_.unusableRecords;
  if (actions.errors.size() < kMaxReportedErrors) {
    actions.errors.push_back(leaf.error);
  }
}

void SourceFollower::applyConfiguration(ServingConfiguration configuration, const SourceRecord& record,
                                        FollowerActions& actions) {
  const std::uint64_t version = configuration.version;
  const auto errors =
      state_.onConfiguration(std::make_shared<const ServingConfiguration>(std::move(configuration)));
  for (const std::string& error : errors) {
    actions.errors.push_back("configuration " + std::to_string(version) + ": " + error);
  }
  counters_.configurationsRefused += errors.empty() ? 0 : 1;
  if (state_.configurationVersion() == version) {
    configurationKey_ = record.key;
  }
  const SourcePosition position = record.position();
  prover_.onConfigurationRecord(position, errors.empty());
  prover_.onVersion(state_.configurationVersion(), state_.hasTenants());
  if (position > epochStart_) {
    prover_.onConfigurationWritten();
  }
}

FollowerActions SourceFollower::onUpdate(const Endpoint& sender, const SourceNews& update, Moment now) {
  FollowerActions actions;
  state_.setChangedAfter(unknownChangesAfter(now));
  RelayActions relayed = relay_.onUpdate(sender, update, known(), now);
  if (relayed.accepted) {
    ++counters_.updatesAccepted;
    applyUpdate(update, now, actions);
    if (const auto reader = Endpoint::parse(update.reader())) {
      election_.onUpdate(*reader, now);
    }
    deferToReader(relay_.confirmedAt(), now);
    prover_.onUpdate(sender, now, actions.proofs);
  }
  actions.updates.insert(actions.updates.end(), relayed.updates.begin(), relayed.updates.end());
  actions.requestFrom = relayed.requestFrom;
  counters_.updatesRequested += actions.requestFrom ? 1 : 0;
  return actions;
}

void SourceFollower::applyUpdate(const SourceNews& update, Moment now, FollowerActions& actions) {
  const SourcePosition before = known();
  const SourcePosition position{update.epoch(), update.revision()};
  if (position == before) {
    // A confirmation that nothing has changed: all of its records are known.
    return;
  }
  if (update.whole()) {
    applyListing(recordsOf(update), position, before, now, actions);
  } else {
    applyRecords(recordsOf(update), now, actions);
  }
  reader_.onUpdate(position);
  if (before.revision == 0 || position.epoch > before.epoch) {
    actions.updates = relay_.replyToDeferred(known(), now);
  }
}

FollowerActions SourceFollower::onProofRequest(const Endpoint& sender,
                                               const ConfigurationProofRequest& request, Moment now) {
  FollowerActions actions;
  prover_.onRequest(sender, request, now, actions.proofs);
  return actions;
}

FollowerActions SourceFollower::onProofReply(const Endpoint& sender, const ConfigurationProofReply& reply,
                                             Moment now) {
  FollowerActions actions;
  prover_.onReply(sender, reply, now, actions.proofs);
  return actions;
}

std::optional<OutgoingUpdate> SourceFollower::onUpdateRequest(const Endpoint& sender,
                                                              const SourceNewsRequest& request, Moment now) {
  const SourcePosition requesterPosition{request.known_epoch(), request.known_revision()};
  const bool requesterIsNewer = requesterPosition.epoch > known().epoch;
  if (known().revision == 0 || requesterIsNewer) {
    relay_.deferRequest(sender);
    return std::nullopt;
  }
  return relay_.catchUpFor(sender, requesterPosition, known(), now);
}

}  // namespace oakpier::serving
