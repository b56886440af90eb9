#pragma once

/// Control thread of the gateway: synchronizes the configuration and the leaf directory with the
/// configuration source and peers, and publishes each new view.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/serving/source_follower.h"
#include "programs/gateway/peer_messenger.h"
#include "protocol/serving/source_dialect.h"
#include "state/published.h"
#include "transport/serving/source_client.h"

namespace oakpier::serving {

class SourceSynchronizer {
 public:
  struct Handlers {
    /// Called after a view was published.
    std::function<void()> onView;
    /// Called after a newer freshness proof was published.
    std::function<void()> onProof;
    std::function<void(const DaemonGroup& daemons)> onDaemons;
    /// The following are documented in `PeerMessenger::Handlers`.
    std::function<void(const Endpoint& sender, PeerEnvelope envelope)> onRequestFrame;
    std::function<void(PeerEnvelope envelope)> onRequestFrameUndeliverable;
    std::function<void(const std::vector<Endpoint>& suspected)> onSuspected;
  };

  SourceSynchronizer(boost::asio::io_context& context, const Endpoint& source, const SourceDialect& dialect,
                     const PeerMessengerSettings& peers, const FollowerSettings& follower,
                     Published<ServingView>& published, Published<ConfigurationProof>& publishedProof,
                     Handlers handlers);

  /// Returns an error message if the peer address cannot be bound, otherwise an empty string.
  std::string start();
  void stop() { peers_.stop(); }
  void leave() { peers_.leave(); }
  /// Call when a caller was refused because no configuration is known; fetches it as soon as possible.
  void onConfigurationNeeded();
  /// `capacity`: capacity of this daemon, in hundredths of a core; 0 reports none.
  void reload(const Endpoint& source, const std::vector<Endpoint>& seeds, unsigned capacity,
              const ProverSettings& prover);
  /// Thread-safe.
  void sendFrame(const Endpoint& to, PeerEnvelope envelope) { peers_.sendFrame(to, std::move(envelope)); }
  bool complete() const { return follower_.complete(); }
  /// Thread-safe.
  const PeerTransportCounters& peerCounters() const { return peers_.counters(); }
  FollowerCounters counters() const { return follower_.counters(); }

 private:
  void schedule();
  void step();
  void onAnswer(const SourceCall& call, const SourceAnswer& answer);
  /// Logs that this daemon reads in place of the reader; once until the source is next confirmed.
  void logTakeover(Moment now);
  void logNoAnswer(Moment now) const;
  void onUpdate(const Endpoint& sender, const SourceNews& update);
  void onUpdateRequest(const Endpoint& sender, const SourceNewsRequest& request);
  void onMembers(const DaemonGroup& daemons);
  /// Call after a pause of the process or its machine; runs overdue work now instead of waiting for the
  /// timer.
  void onPause();
  void apply(const FollowerActions& actions);
  void sendMessages(const FollowerActions& actions);
  void publish();
  void publishProof();

  const SourceDialect& dialect_;
  Published<ServingView>& published_;
  Published<ConfigurationProof>& publishedProof_;
  Handlers handlers_;
  SourceClient client_;
  SourceFollower follower_;
  std::vector<Endpoint> seeds_;
  PeerMessenger peers_;
  boost::asio::steady_timer timer_;
  Moment callSentAt_{};
  /// `SourceFollower::confirmedAt` at the last takeover that was logged.
  Moment loggedTakeoverOf_ = Moment::min();
  Moment provenAt_{};
  bool proofFresh_ = false;
};

}  // namespace oakpier::serving
