#pragma once

/// The control thread's side of the gateway: keeps the configuration and the leaf directory up to date from
/// the configuration source and from other daemons, and publishes each new view.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/serving/source_follower.h"
#include "programs/gateway/peer_link.h"
#include "protocol/serving/source_dialect.h"
#include "state/published.h"
#include "transport/serving/source_client.h"

namespace oakpier::serving {

class SourceLoop {
 public:
  struct Handlers {
    /// A view was published.
    std::function<void()> onView;
    /// A younger proof was published.
    std::function<void()> onProof;
    std::function<void(const DaemonGroup& daemons)> onDaemons;
    /// As in `PeerLink::Handlers`.
    std::function<void(const Endpoint& sender, PeerEnvelope envelope)> onShardFrame;
    std::function<void(PeerEnvelope envelope)> onShardFrameUndeliverable;
    std::function<void(const std::vector<Endpoint>& suspected)> onSuspected;
  };

  SourceLoop(boost::asio::io_context& context, const Endpoint& source, const SourceDialect& dialect,
             const PeerLinkSettings& peers, const FollowerSettings& follower,
             Published<ServingView>& published, Published<ConfigurationProof>& publishedProof,
             Handlers handlers);

  /// Returns a text when an address cannot be bound, else an empty one.
  std::string start();
  void stop() { peers_.stop(); }
  void leave() { peers_.leave(); }
  /// A caller had to be refused for want of a configuration.
  void onStateWanted();
  /// `capacity`: of this daemon, in hundredths of a core.
  void reload(const Endpoint& source, const std::vector<Endpoint>& seeds, unsigned capacity,
              const ProverSettings& prover);
  /// Thread-safe.
  void sendShardFrame(const Endpoint& to, PeerEnvelope envelope) {
    peers_.sendShardFrame(to, std::move(envelope));
  }
  bool complete() const { return follower_.complete(); }
  /// May be read on any thread.
  const PeerTransportCounters& peerCounters() const { return peers_.counters(); }
  FollowerCounters counters() const { return follower_.counters(); }

 private:
  void schedule();
  void step();
  void onAnswer(const SourceCall& call, const SourceAnswer& answer);
  void onUpdate(const Endpoint& sender, const SourceNews& news);
  void onUpdateRequest(const Endpoint& sender, const SourceNewsRequest& request);
  void onMembers(const DaemonGroup& daemons);
  /// The process or its machine stood still: what was due meanwhile is done now, not when the timer comes.
  void onPause();
  void carryOut(const FollowerActions& actions);
  void askAndSend(const FollowerActions& actions);
  void publish();
  void publishProof();

  const SourceDialect& dialect_;
  Published<ServingView>& published_;
  Published<ConfigurationProof>& publishedProof_;
  Handlers handlers_;
  SourceClient client_;
  SourceFollower follower_;
  std::vector<Endpoint> seeds_;
  PeerLink peers_;
  boost::asio::steady_timer timer_;
  Moment provenAt_{};
  bool proofHeld_ = false;
};

}  // namespace oakpier::serving
