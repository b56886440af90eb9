#pragma once

/// Communication with peers: the membership protocol and frames between daemons. Runs on the control thread.

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/membership.h"
#include "coordination/serving/shard_owners.h"
#include "protocol/serving/source_update_codec.h"
#include "state/serving/source_position.h"
#include "transport/peer_transport.h"

namespace oakpier::serving {

struct PeerMessengerSettings {
  Endpoint self;
  std::string zone;
  std::vector<Endpoint> seeds;
  /// Capacity reported to peers, in hundredths of a core; 0 reports none.
  unsigned capacity = 0;
  /// Number of peers that are connected to at a time.
  std::size_t maxConnectedPeers = PeerTransport::kDefaultMaxPeers;
};

class PeerMessenger {
 public:
  struct Handlers {
    std::function<void(const Endpoint& sender, const SourceNews& update)> onUpdate;
    std::function<void(const Endpoint& sender, const SourceNewsRequest& request)> onUpdateRequest;
    std::function<void(const Endpoint& sender, const ConfigurationProofRequest& request)> onProofRequest;
    std::function<void(const Endpoint& sender, const ConfigurationProofReply& reply)> onProofReply;
    /// `daemons` is sorted by address.
    std::function<void(const DaemonGroup& daemons)> onMembers;
    /// The process or its machine was paused for longer than load can explain.
    std::function<void()> onPause;
    /// Received a frame for the request thread. Called on the transport's thread.
    std::function<void(const Endpoint& sender, PeerEnvelope envelope)> onRequestFrame;
    /// A frame of the request thread was not handed to the network. Called on the transport's thread.
    std::function<void(PeerEnvelope envelope)> onRequestFrameUndeliverable;
    /// Called with all suspected daemons whenever the set changes.
    std::function<void(const std::vector<Endpoint>& suspected)> onSuspected;
  };

  PeerMessenger(boost::asio::io_context& context, const PeerMessengerSettings& settings, Handlers handlers);

  /// Returns an error message if the address cannot be bound, otherwise an empty string.
  std::string start();
  void stop();
  void setSeeds(const std::vector<Endpoint>& seeds) { membership_.setSeeds(seeds); }
  /// `capacity`: in hundredths of a core; 0 reports none.
  void setCapacity(unsigned capacity) { membership_.setCapacity(capacity); }
  void sendUpdate(const Endpoint& to, const SourceNews& update);
  /// Requests all updates after the position `known`.
  void requestUpdate(const Endpoint& from, const SourcePosition& known);
  void requestProof(const Endpoint& from, const ConfigurationProofRequest& request);
  void sendProof(const Endpoint& to, const ConfigurationProofReply& reply);
  /// Thread-safe.
  void sendFrame(const Endpoint& to, PeerEnvelope envelope);
  /// Thread-safe.
  const PeerTransportCounters& counters() const { return transport_.counters(); }
  /// Notifies peers that this daemon leaves the fleet.
  void leave();

 private:
  void receive(PeerEnvelope envelope);
  void onEnvelope(const PeerEnvelope& envelope);
  void apply(const MembershipActions& actions);
  void send(const Endpoint& to, PeerEnvelope envelope);
  void scheduleTick();
  void publishMembers();
  void publishSuspects();
  /// Sends the complete member table. Called before each complete update, because its receiver may have just
  /// started.
  void sendMembers(const Endpoint& to);

  boost::asio::io_context& context_;
  PeerMessengerSettings settings_;
  Handlers handlers_;
  Membership membership_;
  /// Copy of the incarnation of `membership_` for other threads.
  std::atomic<std::uint64_t> incarnation_{0};
  PeerTransport transport_;
  UpdateEncoder updateEncoder_;
  boost::asio::steady_timer tick_;
  Moment lastTickAt_{};
  std::uint64_t publishedVersion_ = 0;
  std::vector<Endpoint> publishedSuspects_;
};

}  // namespace oakpier::serving
