#include "programs/gateway/source_loop.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>

#include "programs/common/logging.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

/// Beyond the time that the source itself waits.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);
/// A daemon that usually does not read waits this long for overdue news, and longer for each place.
constexpr Duration kNewsGrace = std::chrono::milliseconds(100);
constexpr Duration kStaggerStep = std::chrono::milliseconds(120);
constexpr std::size_t kMostStaggerSteps = 4;

}  // namespace

SourceLoop::SourceLoop(boost::asio::io_context& context, const Endpoint& source, const SourceDialect& dialect,
                       const PeerLinkSettings& peers, Published<ServingView>& published, Handlers handlers)
    : dialect_(dialect),
      published_(published),
      handlers_(std::move(handlers)),
      client_(context, source),
      reader_(SourceReaderSettings{}, RandomEngine(std::random_device{}())),
      knowledge_(KnowledgeSettings{}),
      relay_(peers.self),
      peers_(context, peers,
             {[this](const Endpoint& sender, const SourceNews& news) { onNews(sender, news); },
              [this](const Endpoint& sender) { onNewsRequest(sender); },
              [this](const std::vector<Endpoint>& members) { onMembers(members); }}),
      timer_(context) {}

std::string SourceLoop::start() {
  step();
  return peers_.start();
}

void SourceLoop::reload(const Endpoint& source, const std::vector<Endpoint>& seeds) {
  client_.setAddress(source);
  peers_.setSeeds(seeds);
}

void SourceLoop::schedule() {
  const Moment next = std::min(reader_.nextCallAt(), knowledge_.nextRemovalAt());
  if (next == kNever) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(next);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      step();
    }
  });
}

void SourceLoop::step() {
  const Moment now = steadyNow();
  knowledge_.onTime(now);
  if (const auto call = reader_.takeCall(now)) {
    ++counters_.calls;
    client_.call(dialect_.requestFor(*call), call->wait + kCallTimeout,
                 [this, call = *call](std::optional<HttpReply> reply) { onReply(call, reply); });
  }
  publish();
  schedule();
}

void SourceLoop::onReply(const SourceCall& call, const std::optional<HttpReply>& reply) {
  const SourceAnswer answer = reply ? dialect_.decode(call, *reply) : SourceFailure::kNoAnswer;
  if (const auto* failure = std::get_if<SourceFailure>(&answer)) {
    onFailure(*failure);
  } else {
    onPage(call, std::get<SourcePage>(answer));
  }
  publish();
  schedule();
}

void SourceLoop::onFailure(SourceFailure failure) {
  ++counters_.failures;
  if (reader_.failuresInRow() == 0) {
    log(LogLevel::kWarning, "configuration source lost", {{"failure", static_cast<int>(failure)}});
  }
  reader_.onFailure(failure, steadyNow());
}

void SourceLoop::onPage(const SourceCall& call, const SourcePage& page) {
  const Moment now = steadyNow();
  if (reader_.failuresInRow() > 0) {
    log(LogLevel::kInfo, "configuration source regained", {{"revision", page.revision}});
  }
  const bool listing = call.kind == SourceCall::Kind::kList;
  if (listing && call.afterKey.empty()) {
    listedLeafs_.clear();
  }
  const std::vector<SourceRecord> changed = takeOver(page.records);
  reader_.onPage(page, now);
  relay_.setFreshAt(now);
  if (!listing) {
    carryOut(relay_.onRead(call.afterRevision, page.revision, changed, now));
  } else if (reader_.listingComplete()) {
    knowledge_.onListing(listedLeafs_, reader_.knownRevision(), now);
    listedLeafs_.clear();
  }
}

std::vector<SourceRecord> SourceLoop::takeOver(const std::vector<SourceRecord>& records) {
  // Only the newest state of each record matters.
  std::map<std::string, const SourceRecord*> newest;
  for (const SourceRecord& record : records) {
    const SourceRecord*& known = newest[record.key];
    if (known == nullptr || known->revision <= record.revision) {
      known = &record;
    }
  }
  std::vector<SourceRecord> changed;
  for (const auto& [key, record] : newest) {
    if (takeOver(*record)) {
      relay_.keep(*record);
      changed.push_back(*record);
    }
  }
  return changed;
}

bool SourceLoop::takeOver(const SourceRecord& record) {
  SourceStatement statement = dialect_.interpret(record);
  if (auto* configuration = std::get_if<ServingConfiguration>(&statement)) {
    return takeOverConfiguration(std::move(*configuration));
  }
  if (const auto* leaf = std::get_if<LeafEntry>(&statement)) {
    listedLeafs_.push_back(leaf->id);
    return knowledge_.onLeaf(*leaf, record.revision);
  }
  if (const auto* removal = std::get_if<LeafRemoval>(&statement)) {
    return knowledge_.onLeafRemoved(removal->id, record.revision, steadyNow());
  }
  if (const auto* unusable = std::get_if<UnusableRecord>(&statement)) {
    log(LogLevel::kError, "record refused", {{"problem", unusable->problem}});
  }
  return false;
}

bool SourceLoop::takeOverConfiguration(ServingConfiguration configuration) {
  const std::uint64_t version = configuration.version;
  if (version <= knowledge_.configurationVersion()) {
    return false;
  }
  const auto problems =
      knowledge_.onConfiguration(std::make_shared<const ServingConfiguration>(std::move(configuration)));
  for (const std::string& problem : problems) {
    log(LogLevel::kError, "configuration refused", {{"version", version}, {"problem", problem}});
  }
  return problems.empty();
}

void SourceLoop::onNews(const Endpoint& sender, const SourceNews& news) {
  const Moment now = steadyNow();
  const RelayActions actions = relay_.onNews(sender, news, reader_.knownRevision(), now);
  if (actions.accepted) {
    ++counters_.newsAccepted;
    listedLeafs_.clear();
    takeOver(recordsOf(news));
    if (news.whole()) {
      knowledge_.onListing(listedLeafs_, news.revision(), now);
    }
    listedLeafs_.clear();
    reader_.onNews(news.revision(), relay_.freshAt(), stagger());
  }
  carryOut(actions);
  publish();
  schedule();
}

void SourceLoop::onNewsRequest(const Endpoint& sender) {
  if (reader_.knownRevision() > 0) {
    const OutgoingNews outgoing = relay_.everything(sender, reader_.knownRevision(), steadyNow());
    peers_.sendNews(outgoing.to, outgoing.news);
  }
}

void SourceLoop::onMembers(const std::vector<Endpoint>& members) {
  relay_.setMembers(members);
  log(LogLevel::kInfo, "members changed", {{"serving", members.size()}, {"place", relay_.place()}});
  handlers_.onDaemonCount(members.size());
}

void SourceLoop::carryOut(const RelayActions& actions) {
  for (const OutgoingNews& outgoing : actions.news) {
    peers_.sendNews(outgoing.to, outgoing.news);
  }
  if (actions.ask) {
    ++counters_.newsAsked;
    peers_.askForNews(*actions.ask);
  }
}

Duration SourceLoop::stagger() const {
  const std::size_t place = relay_.place();
  if (place == 0) {
    return {};
  }
  return kNewsGrace + kStaggerStep * static_cast<int>(std::min(place, kMostStaggerSteps));
}

void SourceLoop::publish() {
  if (auto view = knowledge_.takeChangedView()) {
    log(LogLevel::kInfo, "view published",
        {{"configuration_version", knowledge_.configurationVersion()},
         {"leafs", knowledge_.leafCount()},
         {"source_revision", reader_.knownRevision()}});
    published_.publish(std::move(view));
    handlers_.onView();
  }
}

}  // namespace oakpier::serving
