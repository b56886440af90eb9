#pragma once

/// The control thread: passes messages and time to the control plane, sends the messages it returns, and
/// publishes the routing view for request threads.

#include <functional>
#include <future>
#include <set>
#include <thread>
#include <unordered_map>

#include "coordination/control_plane.h"
#include "coordination/placement.h"
#include "programs/daemon/mailbox.h"
#include "state/published.h"
#include "state/routing_view.h"

namespace oakpier {

/// Addresses of leafs on machines that the platform is about to remove.
struct PlatformLeaving {
  std::set<std::string> leaves;
};

class ControlLoop {
 public:
  using Sender = std::function<void(const Endpoint& to, PeerEnvelope envelope)>;

  ControlLoop(const SelfMember& self, const ControlSettings& settings, std::uint64_t randomSeed,
              std::vector<Endpoint> peers, Published<RoutingView>& view, Sender sender);
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  void start();
  void stop();

  /// The functions below are thread-safe.
  void postMessage(PeerEnvelope envelope);
  void postPlatform(PlatformReport report, PlatformLeaving leaving);
  std::future<ChangeResult> submit(ConfigurationChange change, std::uint64_t baseRevision);
  /// Stops owning leafs, passes the vote to a successor, and notifies peers that this daemon leaves.
  void leave();
  /// `leave` has completed or timed out.
  bool left() const { return left_; }
  /// Runs `read` on the control thread and waits for it.
  void inspect(const std::function<void(const ControlPlane&)>& read);

 private:
  using Task = std::function<void(Moment)>;

  void run();
  void apply(ControlActions actions);
  void leaveWhenPossible(Moment now);
  void publishWhenChanged();
  void applyConfiguration();
  void publish(bool tableChanged);

  Published<RoutingView>& view_;
  Sender sender_;
  SelfMember self_;
  Endpoint selfAddress_;
  ControlPlane plane_;
  Placement placement_;
  std::shared_ptr<const RoutingTable> table_;
  PlatformLeaving leaving_;
  bool leavingChanged_ = false;
  bool stopOwning_ = false;
  Moment leaveDeadline_ = kNever;
  std::atomic<bool> left_{false};
  std::uint64_t publishedMembership_ = 0;
  bool publishedReady_ = false;
  std::unordered_map<std::uint64_t, std::promise<ChangeResult>> promises_;
  std::uint64_t nextToken_ = 1;
  Mailbox<Task> mailbox_;
  std::thread thread_;
  std::atomic<bool> stopping_{false};
};

}  // namespace oakpier
