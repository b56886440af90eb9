#include "simulation/simulated_fleet.h"

#include <chrono>

namespace oakpier {

namespace {

constexpr std::uint32_t kFirstIp = 0x0A000000;
constexpr std::uint16_t kPort = 7000;
constexpr Duration kLeaveLimit = std::chrono::seconds(5);
constexpr Duration kStragglingDelay = std::chrono::seconds(1);

std::string zoneName(std::size_t zone) { return "zone-" + std::to_string(zone); }

}  // namespace

SimulatedFleet::SimulatedFleet(const SimulationOptions& options)
    : options_(options), random_(options.seed), now_(std::chrono::hours(1)) {
  for (std::size_t daemon = 0; daemon < options.daemons; ++daemon) {
    Node node;
    node.address = Endpoint(kFirstIp + static_cast<std::uint32_t>(daemon) + 1, kPort);
    node.zone = daemon % options.zones;
    nodes_.push_back(std::move(node));
    platform_.daemons.push_back(nodes_.back().address);
  }
  platform_.configuration = smallConfiguration(2);
  for (std::size_t daemon = 0; daemon < options.daemons; ++daemon) {
    if (options.startInterval.count() > 0) {
      runFor(options.startInterval);
    }
    start(daemon);
  }
}

void SimulatedFleet::runFor(Duration time) {
  const Moment end = now_ + time;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    handle(event);
  }
  now_ = end;
}

bool SimulatedFleet::runUntil(const std::function<bool()>& condition, Duration limit) {
  const Moment end = now_ + limit;
  while (!condition()) {
    if (now_ >= end) {
      return false;
    }
    runFor(options_.tick);
  }
  return true;
}

void SimulatedFleet::kill(std::size_t daemon) {
  nodes_[daemon].plane.reset();
  nodes_[daemon].paused = false;
  nodes_[daemon].held.clear();
  nodes_[daemon].leaveBy = kNever;
  ++nodes_[daemon].tickChain;
}

void SimulatedFleet::leave(std::size_t daemon, bool restart) {
  Node& node = nodes_[daemon];
  node.plane->prepareLeave();
  node.leaveBy = now_ + kLeaveLimit;
  node.restartAfterLeave = restart;
}

void SimulatedFleet::leaveWhenPossible(std::size_t daemon) {
  Node& node = nodes_[daemon];
  if (node.leaveBy == kNever || (!node.plane->mayLeave() && now_ < node.leaveBy)) {
    return;
  }
  step(daemon, [this](ControlPlane& plane) { return plane.leave(now_); });
  kill(daemon);
  if (node.restartAfterLeave) {
    start(daemon);
  }
}

void SimulatedFleet::start(std::size_t daemon) {
  Node& node = nodes_[daemon];
  kill(daemon);
  node.incarnation = nextIncarnation_++;
  const SelfMember self{{node.address.text(), node.incarnation}, zoneName(node.zone)};
  node.plane = std::make_unique<ControlPlane>(self, options_.control, random_());
  node.plane->setPlatformReport(platform_);
  Event tick;
  tick.at = now_ + Duration(std::uniform_int_distribution<std::int64_t>(0, options_.tick.count())(random_));
  tick.target = daemon;
  tick.tickChain = node.tickChain;
  schedule(std::move(tick));
}

void SimulatedFleet::resume(std::size_t daemon) {
  Node& node = nodes_[daemon];
  node.paused = false;
  std::vector<std::shared_ptr<const PeerEnvelope>> held;
  held.swap(node.held);
  for (const auto& envelope : held) {
    if (node.plane != nullptr) {
      step(daemon, [&](ControlPlane& plane) { return plane.onMessage(*envelope, now_); });
    }
  }
}

void SimulatedFleet::setPlatform(const PlatformReport& report) {
  platform_ = report;
  for (auto& node : nodes_) {
    if (node.plane != nullptr) {
      node.plane->setPlatformReport(report);
    }
  }
}

std::uint64_t SimulatedFleet::submit(std::size_t daemon, const ConfigurationChange& change,
                                     std::uint64_t baseRevision) {
  const std::uint64_t token = nextToken_++;
  step(daemon, [&](ControlPlane& plane) { return plane.submit({token, change, baseRevision}, now_); });
  return token;
}

void SimulatedFleet::handle(const Event& event) {
  Node& node = nodes_[event.target];
  if (node.plane == nullptr) {
    return;
  }
  if (event.envelope == nullptr) {
    if (event.tickChain != node.tickChain) {
      return;
    }
    Event next = event;
    next.at = now_ + options_.tick;
    schedule(std::move(next));
    if (!node.paused) {
      step(event.target, [this](ControlPlane& plane) { return plane.onTimer(now_); });
      leaveWhenPossible(event.target);
    }
    return;
  }
  if (node.paused) {
    node.held.push_back(event.envelope);
    return;
  }
  if (event.envelope->has_reserve_reply()) {
    if (onVerdict) {
      onVerdict(event.target, *Endpoint::parse(event.envelope->sender()), event.envelope->reserve_reply());
    }
    return;
  }
  step(event.target, [&](ControlPlane& plane) { return plane.onMessage(*event.envelope, now_); });
}

void SimulatedFleet::sendFrom(std::size_t daemon, const Endpoint& to, PeerEnvelope envelope) {
  envelope.set_sender(nodes_[daemon].address.text());
  envelope.set_incarnation(nodes_[daemon].incarnation);
  envelope.set_cluster(nodes_[daemon].plane->store().cluster());
  deliver(daemon, OutgoingEnvelope{to, std::move(envelope)});
}

void SimulatedFleet::step(std::size_t daemon, const std::function<ControlActions(ControlPlane&)>& action) {
  const auto began = std::chrono::steady_clock::now();
  ControlActions actions = action(*nodes_[daemon].plane);
  processorTime_ += std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - began);
  ++steps_;
  for (auto& outgoing : actions.messages) {
    deliver(daemon, std::move(outgoing));
  }
  if (onResult) {
    for (const auto& result : actions.results) {
      onResult(daemon, result);
    }
  }
  if (onStep) {
    onStep(daemon);
  }
}

void SimulatedFleet::deliver(std::size_t sender, OutgoingEnvelope outgoing) {
  Node& from = nodes_[sender];
  ++from.traffic.messages;
  from.traffic.bytes += outgoing.envelope.ByteSizeLong();
  const std::size_t target = nodeAt(outgoing.to);
  if (target >= nodes_.size() || nodes_[target].side != from.side || chance(options_.loss)) {
    return;
  }
  const auto envelope = std::make_shared<const PeerEnvelope>(std::move(outgoing.envelope));
  const int copies = chance(options_.duplicated) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const Duration longest = chance(options_.straggling) ? kStragglingDelay : options_.longestDelay;
    const std::int64_t delay =
        std::uniform_int_distribution<std::int64_t>(options_.shortestDelay.count(), longest.count())(random_);
    Event event;
    event.at = now_ + Duration(delay);
    event.target = target;
    event.envelope = envelope;
    schedule(std::move(event));
  }
}

void SimulatedFleet::schedule(Event event) {
  event.order = nextOrder_++;
  events_.push(std::move(event));
}

std::size_t SimulatedFleet::nodeAt(const Endpoint& address) const {
  const std::uint64_t offset = (address.packed() >> 16U) - kFirstIp - 1;
  return static_cast<std::size_t>(offset);
}

Configuration smallConfiguration(std::size_t leaves) {
  Configuration configuration;
  PriorityClass& only = *configuration.add_classes();
  only.set_name("only");
  only.set_max_in_flight(100);
  Service& service = *configuration.add_services();
  service.set_name("service");
  service.set_default_deadline_ms(100);
  service.set_max_deadline_ms(1000);
  service.set_max_rows(10);
  service.mutable_retry()->set_max_attempts(3);
  Partition& partition = *service.add_partitions();
  partition.set_first_snapshot(1);
  for (std::size_t number = 0; number < leaves; ++number) {
    Leaf& leaf = *configuration.add_leaves();
    leaf.set_name("leaf-" + std::to_string(number));
    leaf.set_address(Endpoint(0x0B000000 + static_cast<std::uint32_t>(number) + 1, kPort).text());
    leaf.set_zone(zoneName(number % 3));
    leaf.set_slots(2);
    leaf.set_max_connections(70);
    Shard& shard = *partition.add_shards();
    shard.set_name("shard-" + std::to_string(number));
    shard.add_replicas(leaf.name());
  }
  return configuration;
}

ConfigurationChange markedChange(std::uint32_t mark) {
  ConfigurationChange change;
  PriorityClass& marked = *change.add_put_classes();
  marked.set_name("marked");
  marked.set_priority(1);
  marked.set_max_in_flight(mark);
  return change;
}

}  // namespace oakpier
