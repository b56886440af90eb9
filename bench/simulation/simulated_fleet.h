#pragma once

/// The real control planes of many daemons in one process, under a simulated clock and network with a seed,
/// for property tests.

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "coordination/control_plane.h"

namespace oakpier {

struct SimulationOptions {
  std::size_t daemons = 5;
  std::size_t zones = 3;
  std::uint64_t seed = 1;
  ControlSettings control;
  Duration tick = std::chrono::milliseconds(50);
  Duration shortestDelay = std::chrono::microseconds(500);
  Duration longestDelay = std::chrono::microseconds(2000);
  /// Shares of messages, 0 to 1.
  double loss = 0;
  double duplicated = 0;
  /// Delayed by up to a second, and so reordered.
  double straggling = 0;
  /// Time between the starts of two daemons.
  Duration startInterval{0};
};

/// Traffic that one daemon sent.
struct SimulatedTraffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

class SimulatedFleet {
 public:
  explicit SimulatedFleet(const SimulationOptions& options);

  Moment now() const { return now_; }
  void runFor(Duration time);
  /// Steps until `condition` holds; false after `limit`.
  bool runUntil(const std::function<bool()>& condition, Duration limit);

  std::size_t size() const { return nodes_.size(); }
  bool running(std::size_t daemon) const { return nodes_[daemon].plane != nullptr; }
  bool paused(std::size_t daemon) const { return nodes_[daemon].paused; }
  /// Only of a running daemon.
  const ControlPlane& plane(std::size_t daemon) const { return *nodes_[daemon].plane; }
  Endpoint address(std::size_t daemon) const { return nodes_[daemon].address; }
  std::size_t zoneOf(std::size_t daemon) const { return nodes_[daemon].zone; }
  std::uint64_t incarnation(std::size_t daemon) const { return nodes_[daemon].incarnation; }

  /// Ends the process without notice.
  void kill(std::size_t daemon);
  /// A planned stop. It takes until the daemon has handed on what it holds; `restart`: a new process follows.
  void leave(std::size_t daemon, bool restart);
  /// A new process, with empty memory, at the same address.
  void start(std::size_t daemon);
  void pause(std::size_t daemon) { nodes_[daemon].paused = true; }
  void resume(std::size_t daemon);
  /// Daemons of different sides do not reach each other. Everybody starts on side 0.
  void setSide(std::size_t daemon, int side) { nodes_[daemon].side = side; }
  void setLoss(double loss) { options_.loss = loss; }

  void setPlatform(const PlatformReport& report);
  std::uint64_t submit(std::size_t daemon, const ConfigurationChange& change, std::uint64_t baseRevision);

  /// Sends a message as if `daemon`'s entry role did.
  void sendFrom(std::size_t daemon, const Endpoint& to, PeerEnvelope envelope);
  /// Called with a verdict that reaches the entry role of a daemon.
  std::function<void(std::size_t daemon, const Endpoint& guardian, const ReserveReply&)> onVerdict;

  /// Called whenever a daemon reports the end of a change.
  std::function<void(std::size_t daemon, const ChangeResult&)> onResult;
  /// Called after every step of a daemon.
  std::function<void(std::size_t daemon)> onStep;

  const SimulatedTraffic& traffic(std::size_t daemon) const { return nodes_[daemon].traffic; }
  /// Of all daemons' steps together, measured on the real clock.
  Duration processorTime() const { return processorTime_; }
  std::uint64_t steps() const { return steps_; }

 private:
  struct Node {
    Endpoint address;
    std::size_t zone = 0;
    int side = 0;
    bool paused = false;
    std::uint64_t incarnation = 0;
    std::unique_ptr<ControlPlane> plane;
    SimulatedTraffic traffic;
    /// What arrived during a pause.
    std::vector<std::shared_ptr<const PeerEnvelope>> held;
    /// Set while a planned stop is under way: its last moment.
    Moment leaveBy = kNever;
    bool restartAfterLeave = false;
    /// Ticks of earlier processes are void.
    std::uint64_t tickChain = 0;
  };
  struct Event {
    Moment at{};
    std::uint64_t order = 0;
    std::size_t target = 0;
    /// Null for a tick.
    std::shared_ptr<const PeerEnvelope> envelope;
    Moment sentAt{};
    std::uint64_t tickChain = 0;

    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  void handle(const Event& event);
  void step(std::size_t daemon, const std::function<ControlActions(ControlPlane&)>& action);
  void leaveWhenPossible(std::size_t daemon);
  void deliver(std::size_t sender, OutgoingEnvelope outgoing);
  void schedule(Event event);
  std::size_t nodeAt(const Endpoint& address) const;
  bool chance(double share) { return share > 0 && std::bernoulli_distribution(share)(random_); }

  SimulationOptions options_;
  std::mt19937_64 random_;
  Moment now_;
  std::vector<Node> nodes_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t nextOrder_ = 0;
  std::uint64_t nextIncarnation_ = 1;
  std::uint64_t nextToken_ = 1;
  PlatformReport platform_;
  Duration processorTime_{0};
  std::uint64_t steps_ = 0;
};

/// The configuration that simulations start from: one class, `leaves` leafs, one service over them.
Configuration smallConfiguration(std::size_t leaves);

/// A change that is told apart by `mark`.
ConfigurationChange markedChange(std::uint32_t mark);

}  // namespace oakpier
