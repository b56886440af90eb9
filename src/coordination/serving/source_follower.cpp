#include "coordination/serving/source_follower.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace oakpier::serving {

namespace {

/// Limit of the invalid leaf entries reported per answer or message: writers can make any number of them, and
/// each is a log line at every daemon.
constexpr std::size_t kMostProblemsTold = 8;

}  // namespace

SourceFollower::SourceFollower(const Endpoint& self, const FollowerSettings& settings, Interpreter interpret,
                               RandomEngine random)
    : interpret_(std::move(interpret)),
      random_(random()),
      reader_(settings.reader, RandomEngine(random())),
      election_(self, settings.election),
      recovery_(self, settings.recovery),
      knowledge_(settings.knowledge),
      relay_(self),
      prover_(self, settings.prover, RandomEngine(random())),
      writtenAgainWithin_(settings.knowledge.writtenAgainWithin) {}

void SourceFollower::start(const std::vector<Endpoint>& seeds, Moment now) {
  recovery_.start(seeds, now, random_);
  election_.start(!recovery_.readsFirst(), now);
  reader_.holdUntil(recovery_.listAt());
}

void SourceFollower::onStateWanted(Moment now) {
  if (counters_.calls == 0 && reader_.known().revision == 0) {
    reader_.callBy(now);
  }
}

void SourceFollower::setMembers(const DaemonOrder& members) {
  relay_.setMembers(members);
  election_.setMembers(members);
  recovery_.setMembers(addressesOf(members.daemons()));
  prover_.setMembers(addressesOf(members.daemons()));
}

FollowerActions SourceFollower::onTime(Moment now) {
  FollowerActions actions;
  knowledge_.onTime(now);
  if (reader_.known().revision == 0) {
    actions.ask = recovery_.takeAsk(now, random_);
    counters_.newsAsked += actions.ask ? 1 : 0;
  }
  prover_.onTime(now, actions.proofs);
  return actions;
}

std::optional<SourceCall> SourceFollower::takeCall(Moment now) {
  const bool due = reader_.nextCallAt() <= now;
  if (prover_.takeReadWish(now)) {
    reader_.readNow(now);
  }
  auto call = reader_.takeCall(now);
  if (call) {
    ++counters_.calls;
    callSentAt_ = now;
    readsForItself_ = !due;
    if (call->kind == SourceCall::Kind::kList && call->afterKey.empty()) {
      listingSentAt_ = now;
    }
  }
  return call;
}

FollowerCounters SourceFollower::counters() const {
  FollowerCounters counters = counters_;
  counters.epochs = epochs_.counters();
  counters.known = known();
  counters.proofs = prover_.counters();
  return counters;
}

Moment SourceFollower::nextDueAt() const {
  const Moment next = std::min({reader_.nextCallAt(), knowledge_.nextDueAt(), prover_.nextDueAt()});
  return reader_.known().revision == 0 ? std::min(next, recovery_.nextAskAt()) : next;
}

FollowerActions SourceFollower::onAnswer(const SourceCall& call, const SourceAnswer& answer, Moment now) {
  FollowerActions actions;
  const EpochVerdict verdict = judgeEpoch(answer.epoch, actions);
  const auto* failure = std::get_if<SourceFailure>(&answer.content);
  const bool historyGone = failure != nullptr && *failure == SourceFailure::kHistoryGone;
  const bool unusable = verdict == EpochVerdict::kMissing || verdict == EpochVerdict::kMalformed;
  const bool restored = verdict == EpochVerdict::kNewer;
  actions.reconnect = verdict == EpochVerdict::kOlder || unusable;
  if (verdict == EpochVerdict::kOlder) {
    onFailure(SourceFailure::kOlderEpoch, false, now, actions);
  } else if (unusable) {
    onFailure(failure == nullptr ? SourceFailure::kNoUsableEpoch : *failure, false, now, actions);
  } else if (restored && historyGone) {
    onSourceBack(now);
  } else if (failure != nullptr) {
    onFailure(*failure, restored, now, actions);
  } else {
    onPage(call, std::get<SourcePage>(answer.content), answer.epoch.epoch, now, actions);
  }
  return actions;
}

EpochVerdict SourceFollower::judgeEpoch(const ToldEpoch& told, FollowerActions& actions) {
  const bool toldBefore = epochs_.counters().told > 0;
  const EpochVerdict verdict = epochs_.judge(told, known().epoch);
  if (!toldBefore && epochs_.counters().told > 0) {
    actions.notices.emplace_back(EpochsTold{told.epoch});
  }
  // To a daemon that has no state yet, every epoch is newer.
  const bool expected = verdict == EpochVerdict::kNewer && known().revision == 0;
  const EpochNotice notice{verdict, told.epoch, known()};
  const bool noticed = notice.verdict == lastNotice_.verdict && notice.told == lastNotice_.told;
  if (verdict != EpochVerdict::kKnown && !expected && !noticed) {
    actions.notices.emplace_back(notice);
  }
  lastNotice_ = expected ? EpochNotice{} : notice;
  return verdict;
}

void SourceFollower::onFailure(SourceFailure failure, bool restored, Moment now, FollowerActions& actions) {
  ++counters_.failures;
  election_.onFailure();
  // An error answer of a newer epoch means that the changes since the known position are useless.
  const SourceFailure consequence = restored ? SourceFailure::kHistoryGone : failure;
  reader_.onFailure(consequence, election_.longestBackoff(), now);
  // A daemon whose calls fail depends on the forwarding tree, which is interrupted below a daemon whose crash
  // is not detected yet. A request to a peer covers that gap.
  actions.ask = recovery_.drawOther(random_);
  counters_.newsAsked += actions.ask ? 1 : 0;
}

void SourceFollower::onSourceBack(Moment now) {
  election_.onAnswer();
  listing_.clear();
  // The first in order lists for all; the others only if they do not receive the result in time.
  reader_.listAnew(election_.stagger(now, random_), now);
}

void SourceFollower::onPage(const SourceCall& call, const SourcePage& page, std::uint64_t epoch, Moment now,
                            FollowerActions& actions) {
  const bool begins = call.kind == SourceCall::Kind::kList && call.afterKey.empty();
  if (!begins && epoch != call.epoch) {
    // Revisions, and the rest of a listing, are valid within one epoch only.
    if (epoch > known().epoch) {
      onSourceBack(now);
    } else {
      reader_.dropAnswer(now);
      leaveReadingToOthers(relay_.freshAt(), now);
    }
    return;
  }
  election_.onAnswer();
  if (call.kind == SourceCall::Kind::kChanges) {
    onChanges(call, page, now, actions);
  } else {
    onListingPage(call, page, epoch, now, actions);
  }
  if (page.unreadable > 0) {
    counters_.unusableRecords += page.unreadable;
    actions.problems.push_back(std::to_string(page.unreadable) + " records without a key or a revision");
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
    takeOverListing(newestOf(listing_, listingPosition_.epoch), listingPosition_, knownBefore, now, actions);
    relay_.setFreshAt(now);
  } else {
    ++counters_.listingsOutdated;
    actions.notices.emplace_back(OutdatedListing{listingPosition_, knownBefore});
  }
  listing_.clear();
  prover_.onRead(listingSentAt_, now, actions.proofs);
  actions.news = relay_.answerWaiting(known(), now);
  if (restored) {
    const std::vector<OutgoingNews> told = relay_.onRestored(known(), now);
    actions.news.insert(actions.news.end(), told.begin(), told.end());
  }
  if (recovery_.readsFirst()) {
    election_.takeOver();
  }
  leaveReadingToOthers(now, now);
}

void SourceFollower::onChanges(const SourceCall& call, const SourcePage& page, Moment now,
                               FollowerActions& actions) {
  const SourcePosition position{call.epoch, page.revision};
  const bool nothingNew = position <= known();
  // An update may have brought a later position meanwhile; the older page could then restore deleted records.
  if (position >= known()) {
    const std::vector<SourceRecord> newest = newestOf(page.records, call.epoch);
    takeOver(newest, now, actions);
    relay_.setFreshAt(now);
    if (!(readsForItself_ && nothingNew)) {
      actions.news = relay_.onRead(call.afterRevision, position, newest, now).news;
    }
  }
  reader_.onPage(page, call.epoch, now);
  // Also if the page is old: writes acknowledged before the call was made are in it or were in the update.
  prover_.onRead(callSentAt_, now, actions.proofs);
  if (readsForItself_ && nothingNew) {
    // The reader's updates reach all peers; forwarding this result too would only double the traffic.
    leaveReadingToOthers(now, now);
  } else {
    election_.takeOver();
  }
}

void SourceFollower::leaveReadingToOthers(Moment freshAt, Moment now) {
  if (!election_.reads(now)) {
    reader_.leaveToOther(freshAt, election_.stagger(now, random_));
  }
}

std::vector<SourceRecord> SourceFollower::newestOf(const std::vector<SourceRecord>& records,
                                                   std::uint64_t epoch) {
  std::map<std::string, const SourceRecord*> newest;
  for (const SourceRecord& record : records) {
    const SourceRecord*& known = newest[record.key];
    if (known == nullptr || known->revision <= record.revision) {
      known = &record;
    }
  }
  std::vector<SourceRecord> result;
  result.reserve(newest.size());
  for (const auto& [key, record] : newest) {
    result.push_back(*record);
    result.back().epoch = epoch;
  }
  return result;
}

void SourceFollower::beginEpoch(const SourcePosition& position, const SourcePosition& before, Moment now) {
  epochBegan_ = position;
  // This daemon cannot tell when the epoch began: after its own start, it may have begun just now.
  prover_.holdClaims(now + writtenAgainWithin_);
  if (before.revision > 0) {
    epochs_.onRestored(before.epoch, position.epoch);
    knowledge_.onRestored(position, now);
  }
}

void SourceFollower::takeOverListing(const std::vector<SourceRecord>& records, const SourcePosition& position,
                                     const SourcePosition& before, Moment now, FollowerActions& actions) {
  if (position.epoch > before.epoch) {
    beginEpoch(position, before, now);
  }
  ListedNames listed;
  std::set<std::string> keys;
  for (const SourceRecord& record : records) {
    keys.insert(record.key);
    takeOver(record, now, actions, listed);
  }
  // The configuration in effect is kept for peers also if the source has lost it.
  keys.insert(configurationKey_);
  relay_.dropUnlisted(keys, position);
  knowledge_.onListing(listed.leafs, position, now);
  knowledge_.onEvacuationListing(listed.evacuatedZones, position, now);
  if (before.revision > 0 && position.epoch > before.epoch) {
    actions.notices.emplace_back(SourceRestored{before, position, knowledge_.configurationVersion(),
                                                listed.leafs.size(), knowledge_.leafsLeaving(),
                                                knowledge_.leafsDisputed()});
  }
}

void SourceFollower::takeOver(const std::vector<SourceRecord>& records, Moment now,
                              FollowerActions& actions) {
  ListedNames listed;
  for (const SourceRecord& record : records) {
    takeOver(record, now, actions, listed);
  }
}

bool SourceFollower::keepsUp(const SourceStatement& statement) const {
  const auto* configuration = std::get_if<ServingConfiguration>(&statement);
  return configuration == nullptr || configuration->version >= knowledge_.configurationVersion();
}

void SourceFollower::takeOver(const SourceRecord& record, Moment now, FollowerActions& actions,
                              ListedNames& listed) {
  SourceStatement statement = interpret_(record);
  if (keepsUp(statement)) {
    relay_.keep(record);
  }
  const SourcePosition position = record.position();
  if (auto* configuration = std::get_if<ServingConfiguration>(&statement)) {
    takeOverConfiguration(std::move(*configuration), record, actions);
  } else if (const auto* leaf = std::get_if<LeafEntry>(&statement)) {
    knowledge_.onLeaf(*leaf, position);
    counters_.leafsBornAgain = knowledge_.leafsBornAgain();
    listed.leafs.push_back(leaf->id);
  } else if (const auto* removal = std::get_if<LeafRemoval>(&statement)) {
    knowledge_.onLeafRemoved(removal->id, position, now);
  } else if (const auto* evacuation = std::get_if<ZoneEvacuation>(&statement)) {
    knowledge_.onEvacuation(evacuation->zone, true, position);
    listed.evacuatedZones.insert(evacuation->zone);
  } else if (const auto* ended = std::get_if<ZoneEvacuationEnd>(&statement)) {
    knowledge_.onEvacuation(ended->zone, false, position);
  } else if (const auto* unusable = std::get_if<UnusableRecord>(&statement)) {
    ++counters_.unusableRecords;
    actions.problems.push_back(unusable->problem);
    if (unusable->isConfiguration) {
      prover_.onConfigurationRecord(position, false);
    }
  } else if (const auto* unusableLeaf = std::get_if<UnusableLeaf>(&statement)) {
    takeOverUnusable(*unusableLeaf, position, actions);
  }
}

void SourceFollower::takeOverUnusable(const UnusableLeaf& leaf, const SourcePosition& position,
                                      FollowerActions& actions) {
  knowledge_.onLeafUnusable(leaf.id, position);
  ++counters_.unusableRecords;
  if (actions.problems.size() < kMostProblemsTold) {
    actions.problems.push_back(leaf.problem);
  }
}

void SourceFollower::takeOverConfiguration(ServingConfiguration configuration, const SourceRecord& record,
                                           FollowerActions& actions) {
  const std::uint64_t version = configuration.version;
  const auto problems =
      knowledge_.onConfiguration(std::make_shared<const ServingConfiguration>(std::move(configuration)));
  for (const std::string& problem : problems) {
    actions.problems.push_back("configuration " + std::to_string(version) + ": " + problem);
  }
  counters_.configurationsRefused += problems.empty() ? 0 : 1;
  if (knowledge_.configurationVersion() == version) {
    configurationKey_ = record.key;
  }
  const SourcePosition position = record.position();
  prover_.onConfigurationRecord(position, problems.empty());
  prover_.onVersion(knowledge_.configurationVersion(), knowledge_.hasTenants());
  if (position > epochBegan_) {
    prover_.onConfigurationWritten();
  }
}

FollowerActions SourceFollower::onNews(const Endpoint& sender, const SourceNews& news, Moment now) {
  FollowerActions actions;
  RelayActions relayed = relay_.onNews(sender, news, known(), now);
  if (relayed.accepted) {
    ++counters_.newsAccepted;
    takeOverNews(news, now, actions);
    if (const auto reader = Endpoint::parse(news.reader())) {
      election_.onNews(*reader);
    }
    leaveReadingToOthers(relay_.freshAt(), now);
    prover_.onNews(sender, now, actions.proofs);
  }
  actions.news.insert(actions.news.end(), relayed.news.begin(), relayed.news.end());
  actions.ask = relayed.ask;
  counters_.newsAsked += actions.ask ? 1 : 0;
  return actions;
}

void SourceFollower::takeOverNews(const SourceNews& news, Moment now, FollowerActions& actions) {
  const SourcePosition before = known();
  const SourcePosition told{news.epoch(), news.revision()};
  if (told == before) {
    // A confirmation that nothing has changed: all of its records are known.
    return;
  }
  if (news.whole()) {
    takeOverListing(recordsOf(news), told, before, now, actions);
  } else {
    takeOver(recordsOf(news), now, actions);
  }
  reader_.onNews(told);
  if (before.revision == 0 || told.epoch > before.epoch) {
    actions.news = relay_.answerWaiting(known(), now);
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

std::optional<OutgoingNews> SourceFollower::onNewsRequest(const Endpoint& sender,
                                                          const SourceNewsRequest& request, Moment now) {
  const SourcePosition askers{request.known_epoch(), request.known_revision()};
  const bool nothingNewer = askers.epoch > known().epoch;
  if (known().revision == 0 || nothingNewer) {
    relay_.keepWaiting(sender);
    return std::nullopt;
  }
  return relay_.missedBy(sender, askers, known(), now);
}

}  // namespace oakpier::serving
