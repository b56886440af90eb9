#include "programs/daemon/control_loop.h"

#include "programs/common/logging.h"
#include "state/hashing.h"

namespace oakpier {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
/// How long a leaving voter waits at most for its successor to become a voter.
constexpr Duration kVoteTransferTimeout = std::chrono::seconds(5);

}  // namespace

ControlLoop::ControlLoop(const SelfMember& self, const ControlSettings& settings, std::uint64_t randomSeed,
                         std::vector<Endpoint> peers, Published<RoutingView>& view, Sender sender)
    : view_(view),
      sender_(std::move(sender)),
      self_(self),
      selfAddress_(Endpoint::parse(self.process.address).value_or(Endpoint())),
      plane_(self, settings, randomSeed),
      table_(view.read()->table) {
  plane_.setStaticSeeds(std::move(peers));
}

ControlLoop::~ControlLoop() { stop(); }

void ControlLoop::start() {
  thread_ = std::thread([this] { run(); });
}

void ControlLoop::stop() {
  stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ControlLoop::run() {
  Moment nextTick = steadyNow();
  while (!stopping_) {
    for (const auto& task : mailbox_.takeUntil(nextTick)) {
      task(steadyNow());
    }
    const Moment now = steadyNow();
    if (now >= nextTick) {
      nextTick = now + kTick;
      apply(plane_.onTimer(now));
      leaveWhenPossible(now);
    }
    publishWhenChanged();
  }
}

void ControlLoop::leaveWhenPossible(Moment now) {
  const bool due = leaveDeadline_ != kNever && !left_ && (plane_.mayLeave() || now >= leaveDeadline_);
  if (due) {
    apply(plane_.leave(now));
    left_ = true;
  }
}

void ControlLoop::postMessage(PeerEnvelope envelope) {
  mailbox_.push(
      [this, envelope = std::move(envelope)](Moment now) { apply(plane_.onMessage(envelope, now)); });
}

void ControlLoop::postPlatform(PlatformReport report, PlatformLeaving leaving) {
  mailbox_.push([this, report = std::move(report), leaving = std::move(leaving)](Moment /*now*/) {
    plane_.setPlatformReport(report);
    leavingChanged_ = leavingChanged_ || leaving.leaves != leaving_.leaves;
    leaving_ = leaving;
  });
}

std::future<ChangeResult> ControlLoop::submit(ConfigurationChange change, std::uint64_t baseRevision) {
  auto promise = std::make_shared<std::promise<ChangeResult>>();
  std::future<ChangeResult> result = promise->get_future();
  mailbox_.push([this, promise, change = std::move(change), baseRevision](Moment now) {
    const std::uint64_t token = nextToken_++;
    promises_[token] = std::move(*promise);
    apply(plane_.submit(ChangeRequest{token, change, baseRevision}, now));
  });
  return result;
}

void ControlLoop::leave() {
  mailbox_.push([this](Moment now) {
    stopOwning_ = true;
    leavingChanged_ = true;
    plane_.prepareLeave();
    leaveDeadline_ = now + kVoteTransferTimeout;
  });
}

void ControlLoop::inspect(const std::function<void(const ControlPlane&)>& read) {
  std::promise<void> done;
  mailbox_.push([this, &read, &done](Moment /*now*/) {
    read(plane_);
    done.set_value();
  });
  done.get_future().wait();
}

void ControlLoop::apply(ControlActions actions) {
  for (auto& outgoing : actions.messages) {
    sender_(outgoing.to, std::move(outgoing.envelope));
  }
  for (const auto& result : actions.results) {
    const auto pending = promises_.find(result.token);
    if (pending != promises_.end()) {
      pending->second.set_value(result);
      promises_.erase(pending);
    }
  }
}

void ControlLoop::publishWhenChanged() {
  const bool tableChanged = plane_.store().revision() != table_->revision();
  const bool membersChanged = plane_.membership().version() != publishedMembership_;
  if (tableChanged || membersChanged || leavingChanged_ || plane_.ready() != publishedReady_) {
    publish(tableChanged);
  }
}

/// Applies the individual changes while the store retains them, else rebuilds the complete table.
void ControlLoop::applyConfiguration() {
  const ChangesReply reply = plane_.store().changesSince(table_->revision());
  if (reply.has_whole()) {
    table_ = std::make_shared<const RoutingTable>(reply.whole(), table_.get());
    placement_ = Placement();
    placement_.updateLeafs(*table_);
    return;
  }
  for (const auto& change : reply.changes()) {
    table_ = std::make_shared<const RoutingTable>(*table_, change);
    placement_.updateLeafs(*table_);
  }
}

void ControlLoop::publish(bool tableChanged) {
  if (tableChanged) {
    applyConfiguration();
    log(LogLevel::kInfo, "configuration in effect", {{"revision", table_->revision()}});
  }
  std::vector<Candidate> members;
  const MemberTable& known = plane_.membership().members();
  for (const auto& record : known.records()) {
    if (record.serving()) {
      members.push_back({record.address, hashText(known.zoneName(record.zone))});
    }
  }
  if (!stopOwning_) {
    members.push_back({selfAddress_, hashText(self_.zone)});
  }
  const std::size_t memberCount = members.size();
  auto fresh = std::make_shared<RoutingView>();
  for (const auto& member : members) {
    fresh->daemons.push_back(member.address);
  }
  placement_.setMembers(std::move(members));
  fresh->table = table_;
  fresh->owners = placement_.owners();
  fresh->leaving.resize(table_->indexCount());
  for (std::size_t leaf = 0; leaf < fresh->leaving.size(); ++leaf) {
    fresh->leaving[leaf] =
        !leaving_.leaves.empty() &&
        leaving_.leaves.count(table_->leaf(static_cast<LeafIndex>(leaf)).address.text()) != 0;
  }
  fresh->ready = plane_.ready();
  log(LogLevel::kDebug, "routing view published",
      {{"revision", table_->revision()},
       {"members", memberCount},
       {"moved", placement_.moved()},
       {"ready", fresh->ready}});
  publishedMembership_ = plane_.membership().version();
  publishedReady_ = fresh->ready;
  leavingChanged_ = false;
  view_.publish(std::move(fresh));
}

}  // namespace oakpier
