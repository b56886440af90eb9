#include "coordination/serving/source_follower.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace oakpier::serving {

namespace {

/// Entries of leafs that one answer or message may report as unusable: any writer can make any number of
/// them, and each is a line in the log of every daemon.
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
      prover_(self, settings.prover, RandomEngine(random())) {}

void SourceFollower::start(const std::vector<Endpoint>& seeds, Moment now) {
  recovery_.start(seeds, now, random_);
  election_.start(!recovery_.readsFirst(), now);
  reader_.holdUntil(recovery_.listAt());
}

void SourceFollower::onStateWanted(Moment now) {
  if (counters_.calls == 0 && reader_.knownRevision() == 0) {
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
  if (reader_.knownRevision() == 0) {
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
  const Moment next = std::min({reader_.nextCallAt(), knowledge_.nextRemovalAt(), prover_.nextDueAt()});
  return reader_.knownRevision() == 0 ? std::min(next, recovery_.nextAskAt()) : next;
}

FollowerActions SourceFollower::onAnswer(const SourceCall& call, const SourceAnswer& answer, Moment now) {
  FollowerActions actions;
  noteEpoch(answer.epoch, actions);
  if (const auto* failure = std::get_if<SourceFailure>(&answer.content)) {
    ++counters_.failures;
    election_.onFailure();
    reader_.onFailure(*failure, election_.longestBackoff(), now);
  } else {
    election_.onAnswer();
    const auto& page = std::get<SourcePage>(answer.content);
    onPage(call, page, now, actions);
    if (page.unreadable > 0) {
      counters_.unusableRecords += page.unreadable;
      actions.problems.push_back(std::to_string(page.unreadable) + " records without a key or a revision");
    }
  }
  return actions;
}

void SourceFollower::noteEpoch(const ToldEpoch& told, FollowerActions& actions) {
  const bool toldBefore = epochs_.counters().told > 0;
  const EpochVerdict verdict = epochs_.judge(told);
  if (!toldBefore && epochs_.counters().told > 0) {
    actions.notices.emplace_back(EpochsTold{told.epoch});
  }
  if (verdict != EpochVerdict::kKnown && (verdict != lastVerdict_ || verdict == EpochVerdict::kNewer)) {
    actions.notices.emplace_back(EpochNotice{verdict, told.epoch, epochs_.known(), reader_.knownRevision()});
  }
  lastVerdict_ = verdict;
  if (verdict == EpochVerdict::kNewer) {
    epochs_.adopt(told.epoch);
  }
}

void SourceFollower::onPage(const SourceCall& call, const SourcePage& page, Moment now,
                            FollowerActions& actions) {
  if (call.kind == SourceCall::Kind::kChanges) {
    onChanges(call, page, now, actions);
    return;
  }
  if (call.afterKey.empty()) {
    listing_.clear();
    listingRevision_ = page.revision;
  }
  listing_.insert(listing_.end(), page.records.begin(), page.records.end());
  const std::uint64_t knownBefore = reader_.knownRevision();
  reader_.onPage(page, now);
  if (!reader_.listingComplete()) {
    return;
  }
  if (listingRevision_ >= knownBefore) {
    takeOverListing(newestOf(listing_), listingRevision_, now, actions);
    relay_.setFreshAt(now);
  } else {
    ++counters_.listingsOutdated;
    actions.notices.emplace_back(OutdatedListing{listingRevision_, knownBefore});
  }
  listing_.clear();
  prover_.onRead(listingSentAt_, now, actions.proofs);
  actions.news = relay_.answerWaiting(reader_.knownRevision(), now);
  if (recovery_.readsFirst()) {
    election_.takeOver();
  }
  leaveReadingToOthers(now, now);
}

void SourceFollower::onChanges(const SourceCall& call, const SourcePage& page, Moment now,
                               FollowerActions& actions) {
  const bool nothingNew = page.revision <= reader_.knownRevision();
  // News may have told more meanwhile; then the page is old and could bring back what is gone.
  if (page.revision >= reader_.knownRevision()) {
    const std::vector<SourceRecord> newest = newestOf(page.records);
    takeOver(newest, now, actions);
    relay_.setFreshAt(now);
    if (!(readsForItself_ && nothingNew)) {
      actions.news = relay_.onRead(call.afterRevision, page.revision, newest, now).news;
    }
  }
  reader_.onPage(page, now);
  // Also if the page is old: what was acknowledged before the call was sent is in it, or was told by news.
  prover_.onRead(callSentAt_, now, actions.proofs);
  if (readsForItself_ && nothingNew) {
    // Others hear the reader; a second one would only double the frames of the tree.
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

std::vector<SourceRecord> SourceFollower::newestOf(const std::vector<SourceRecord>& records) {
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
  }
  return result;
}

void SourceFollower::takeOverListing(const std::vector<SourceRecord>& records, std::uint64_t revision,
                                     Moment now, FollowerActions& actions) {
  ListedNames listed;
  std::set<std::string> keys;
  for (const SourceRecord& record : records) {
    keys.insert(record.key);
    takeOver(record, now, actions, listed);
    relay_.keep(record);
  }
  relay_.dropUnlisted(keys, revision);
  knowledge_.onListing(listed.leafs, revision, now);
  knowledge_.onEvacuationListing(listed.evacuatedZones, revision);
}

void SourceFollower::takeOver(const std::vector<SourceRecord>& records, Moment now,
                              FollowerActions& actions) {
  ListedNames listed;
  for (const SourceRecord& record : records) {
    takeOver(record, now, actions, listed);
    relay_.keep(record);
  }
}

void SourceFollower::takeOver(const SourceRecord& record, Moment now, FollowerActions& actions,
                              ListedNames& listed) {
  SourceStatement statement = interpret_(record);
  if (auto* configuration = std::get_if<ServingConfiguration>(&statement)) {
    takeOverConfiguration(std::move(*configuration), record.revision, actions);
  } else if (const auto* leaf = std::get_if<LeafEntry>(&statement)) {
    knowledge_.onLeaf(*leaf, record.revision);
    counters_.leafsBornAgain = knowledge_.leafsBornAgain();
    listed.leafs.push_back(leaf->id);
  } else if (const auto* removal = std::get_if<LeafRemoval>(&statement)) {
    knowledge_.onLeafRemoved(removal->id, record.revision, now);
  } else if (const auto* evacuation = std::get_if<ZoneEvacuation>(&statement)) {
    knowledge_.onEvacuation(evacuation->zone, true, record.revision);
    listed.evacuatedZones.insert(evacuation->zone);
  } else if (const auto* ended = std::get_if<ZoneEvacuationEnd>(&statement)) {
    knowledge_.onEvacuation(ended->zone, false, record.revision);
  } else if (const auto* unusable = std::get_if<UnusableRecord>(&statement)) {
    ++counters_.unusableRecords;
    actions.problems.push_back(unusable->problem);
    if (unusable->isConfiguration) {
      prover_.onConfigurationRecord(record.revision, false);
    }
  } else if (const auto* unusableLeaf = std::get_if<UnusableLeaf>(&statement)) {
    takeOverUnusable(*unusableLeaf, record.revision, actions);
  }
}

void SourceFollower::takeOverUnusable(const UnusableLeaf& leaf, std::uint64_t revision,
                                      FollowerActions& actions) {
  knowledge_.onLeafUnusable(leaf.id, revision);
  ++counters_.unusableRecords;
  if (actions.problems.size() < kMostProblemsTold) {
    actions.problems.push_back(leaf.problem);
  }
}

void SourceFollower::takeOverConfiguration(ServingConfiguration configuration, std::uint64_t revision,
                                           FollowerActions& actions) {
  const std::uint64_t version = configuration.version;
  const auto problems =
      knowledge_.onConfiguration(std::make_shared<const ServingConfiguration>(std::move(configuration)));
  for (const std::string& problem : problems) {
    actions.problems.push_back("configuration " + std::to_string(version) + ": " + problem);
  }
  counters_.configurationsRefused += problems.empty() ? 0 : 1;
  prover_.onConfigurationRecord(revision, problems.empty());
  prover_.onVersion(knowledge_.configurationVersion(), knowledge_.hasTenants());
}

FollowerActions SourceFollower::onNews(const Endpoint& sender, const SourceNews& news, Moment now) {
  FollowerActions actions;
  RelayActions relayed = relay_.onNews(sender, news, reader_.knownRevision(), now);
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
  const bool newlyKnown = reader_.knownRevision() == 0;
  if (news.revision() == reader_.knownRevision()) {
    // All of its records are known already; it only shows that nothing has changed since.
    return;
  }
  if (news.whole()) {
    takeOverListing(recordsOf(news), news.revision(), now, actions);
  } else {
    takeOver(recordsOf(news), now, actions);
  }
  reader_.onNews(news.revision());
  if (newlyKnown) {
    actions.news = relay_.answerWaiting(reader_.knownRevision(), now);
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
  if (reader_.knownRevision() == 0) {
    relay_.keepWaiting(sender);
    return std::nullopt;
  }
  return relay_.missedBy(sender, request.known_revision(), reader_.knownRevision(), now);
}

}  // namespace oakpier::serving
