#pragma once

/// The gateway's link to the other daemons: membership by probing, and frames between them. Runs on the
/// control thread.

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

struct PeerLinkSettings {
  Endpoint self;
  std::string zone;
  std::vector<Endpoint> seeds;
  /// What the other daemons are told of this one, in hundredths of a core; 0: nothing.
  unsigned capacity = 0;
};

class PeerLink {
 public:
  struct Handlers {
    std::function<void(const Endpoint& sender, const SourceNews& news)> onNews;
    std::function<void(const Endpoint& sender, const SourceNewsRequest& request)> onNewsRequest;
    std::function<void(const Endpoint& sender, const ConfigurationProofRequest& request)> onProofRequest;
    std::function<void(const Endpoint& sender, const ConfigurationProofReply& reply)> onProofReply;
    /// The addresses of `daemons` are in rising order.
    std::function<void(const DaemonGroup& daemons)> onMembers;
    /// The process or its machine stood still for longer than any load explains.
    std::function<void()> onPause;
    /// A frame about shards. Called on the transport's thread.
    std::function<void(const Endpoint& sender, PeerEnvelope envelope)> onShardFrame;
    /// A frame about shards was not handed to the network. Called on the transport's thread.
    std::function<void(PeerEnvelope envelope)> onShardFrameUndeliverable;
    /// All serving daemons that are suspected to have ended, whenever these change.
    std::function<void(const std::vector<Endpoint>& suspected)> onSuspected;
  };

  PeerLink(boost::asio::io_context& context, const PeerLinkSettings& settings, Handlers handlers);

  /// Returns a text when the address cannot be bound, else an empty one.
  std::string start();
  void stop();
  void setSeeds(const std::vector<Endpoint>& seeds) { membership_.setSeeds(seeds); }
  /// In hundredths of a core.
  void setCapacity(unsigned capacity) { membership_.setCapacity(capacity); }
  void sendNews(const Endpoint& to, const SourceNews& update);
  /// Asks for everything after what is known here.
  void askForNews(const Endpoint& from, const SourcePosition& known);
  void askForProof(const Endpoint& from, const ConfigurationProofRequest& request);
  void sendProof(const Endpoint& to, const ConfigurationProofReply& reply);
  /// Thread-safe.
  void sendShardFrame(const Endpoint& to, PeerEnvelope envelope);
  /// May be read on any thread.
  const PeerTransportCounters& counters() const { return transport_.counters(); }
  /// Tells others that this daemon leaves.
  void leave();

 private:
  void receive(PeerEnvelope envelope);
  void onEnvelope(const PeerEnvelope& envelope);
  void carryOut(const MembershipActions& actions);
  void send(const Endpoint& to, PeerEnvelope envelope);
  void scheduleTick();
  void publishMembers();
  void publishSuspects();
  /// Tells a daemon that has just started whom this one knows.
  void introduceMembers(const Endpoint& to);

  boost::asio::io_context& context_;
  PeerLinkSettings settings_;
  Handlers handlers_;
  Membership membership_;
  /// The incarnation of `membership_`, for other threads.
  std::atomic<std::uint64_t> incarnation_{0};
  PeerTransport transport_;
  UpdateEncoder updateEncoder_;
  boost::asio::steady_timer tick_;
  Moment lastTickAt_{};
  std::uint64_t publishedVersion_ = 0;
  std::vector<Endpoint> publishedSuspects_;
};

}  // namespace oakpier::serving
