#include "programs/gateway/source_loop.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>

#include "programs/common/logging.h"
#include "transport/steady_clock.h"

namespace oakpier {

namespace {

constexpr Duration kCallTimeout = std::chrono::milliseconds(2000);

}  // namespace

SourceLoop::SourceLoop(boost::asio::io_context& context, const Endpoint& source, const SourceDialect& dialect,
                       Published<ServingView>& published, std::function<void()> onView)
    : dialect_(dialect),
      published_(published),
      onView_(std::move(onView)),
      client_(context, source),
      reader_(SourceReaderSettings{}, RandomEngine(std::random_device{}())),
      knowledge_(KnowledgeSettings{}),
      timer_(context) {}

void SourceLoop::start() { step(); }

void SourceLoop::schedule() {
  const Moment next = std::min(reader_.nextCallAt(), knowledge_.nextRemovalAt());
  if (next == kNever) {
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
  publish();
  if (const auto call = reader_.takeCall(now)) {
    ++counters_.calls;
    client_.call(dialect_.requestFor(*call), kCallTimeout,
                 [this, call = *call](std::optional<HttpReply> reply) { onReply(call, reply); });
  }
  schedule();
}

void SourceLoop::onReply(const SourceCall& call, const std::optional<HttpReply>& reply) {
  const SourceAnswer answer = reply ? dialect_.decode(call, *reply) : SourceFailure::kNoAnswer;
  if (const auto* failure = std::get_if<SourceFailure>(&answer)) {
    ++counters_.failures;
    if (reader_.failuresInRow() == 0) {
      log(LogLevel::kWarning, "configuration source lost", {{"failure", static_cast<int>(*failure)}, {"status", reply ? reply->status : 0}});
    }
    reader_.onFailure(*failure, steadyNow());
  } else {
    if (reader_.failuresInRow() > 0) {
      log(LogLevel::kInfo, "configuration source regained", {});
    }
    onPage(call, std::get<SourcePage>(answer));
  }
  publish();
  schedule();
}

void SourceLoop::onPage(const SourceCall& call, const SourcePage& page) {
  const Moment now = steadyNow();
  if (call.kind == SourceCall::Kind::kList && call.afterKey.empty()) {
    listedLeafs_.clear();
  }
  // Only the newest state of each record matters.
  std::map<std::string, const SourceRecord*> newest;
  for (const SourceRecord& record : page.records) {
    const SourceRecord*& known = newest[record.key];
    if (known == nullptr || known->revision <= record.revision) {
      known = &record;
    }
  }
  for (const auto& [key, record] : newest) {
    takeOver(*record);
  }
  reader_.onPage(page, now);
  if (call.kind == SourceCall::Kind::kList && reader_.listingComplete()) {
    knowledge_.onListing(listedLeafs_, reader_.knownRevision(), now);
  }
}

void SourceLoop::takeOver(const SourceRecord& record) {
  const Moment now = steadyNow();
  SourceStatement statement = dialect_.interpret(record);
  if (auto* configuration = std::get_if<ServingConfiguration>(&statement)) {
    const std::uint64_t version = configuration->version;
    const auto shared = std::make_shared<const ServingConfiguration>(std::move(*configuration));
    for (const std::string& problem : knowledge_.onConfiguration(shared)) {
      log(LogLevel::kError, "configuration refused", {{"version", version}, {"problem", problem}});
    }
  } else if (const auto* leaf = std::get_if<LeafEntry>(&statement)) {
    if (!reader_.listingComplete()) {
      listedLeafs_.push_back(leaf->id);
    }
    knowledge_.onLeaf(*leaf, record.revision, now);
  } else if (const auto* removal = std::get_if<LeafRemoval>(&statement)) {
    knowledge_.onLeafRemoved(removal->id, record.revision, now);
  } else if (const auto* unusable = std::get_if<UnusableRecord>(&statement)) {
    log(LogLevel::kError, "record refused", {{"problem", unusable->problem}});
  }
}

void SourceLoop::publish() {
  if (auto view = knowledge_.takeChangedView()) {
    log(LogLevel::kInfo, "view published",
        {{"configuration_version", knowledge_.configurationVersion()}, {"leafs", knowledge_.leafCount()}});
    published_.publish(std::move(view));
    onView_();
  }
}

}  // namespace oakpier
