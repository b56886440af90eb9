#include "programs/gateway/peer_link.h"

#include <catch2/catch.hpp>
#include <optional>

#include "serving/support/loopback.h"
#include "support/free_endpoint.h"

namespace oakpier::serving {

namespace {

PeerLink::Handlers quietHandlers() {
  PeerLink::Handlers handlers;
  handlers.onNews = [](const Endpoint&, const SourceNews&) {};
  handlers.onNewsRequest = [](const Endpoint&, const SourceNewsRequest&) {};
  handlers.onProofRequest = [](const Endpoint&, const ConfigurationProofRequest&) {};
  handlers.onProofReply = [](const Endpoint&, const ConfigurationProofReply&) {};
  handlers.onMembers = [](const DaemonGroup&) {};
  handlers.onPause = [] {};
  handlers.onShardFrame = [](const Endpoint&, const PeerEnvelope&) {};
  handlers.onShardFrameUndeliverable = [](const PeerEnvelope&) {};
  return handlers;
}

}  // namespace

TEST_CASE("proof requests and replies reach the control thread of the peer", "[serving]") {
  boost::asio::io_context context;
  const Endpoint asker = freeEndpoint();
  const Endpoint asked = freeEndpoint();
  std::optional<PeerLink> askedLink;
  std::optional<ConfigurationProofReply> received;
  PeerLink::Handlers answering = quietHandlers();
  answering.onProofRequest = [&](const Endpoint& sender, const ConfigurationProofRequest& request) {
    ConfigurationProofReply reply;
    reply.set_number(request.number());
    reply.set_version(7);
    reply.set_age_us(250);
    askedLink->sendProof(sender, reply);
  };
  PeerLink::Handlers asking = quietHandlers();
  asking.onProofReply = [&](const Endpoint& sender, const ConfigurationProofReply& reply) {
    REQUIRE(sender == asked);
    received = reply;
  };
  PeerLink askerLink(context, PeerLinkSettings{asker, "a", {asked}}, asking);
  askedLink.emplace(context, PeerLinkSettings{asked, "a", {asker}}, answering);
  REQUIRE(askerLink.start().empty());
  REQUIRE(askedLink->start().empty());
  ConfigurationProofRequest request;
  request.set_number(~std::uint64_t{0});
  // Frames to a peer that is not connected yet may be undeliverable, so the request is repeated.
  runUntil(context, [&] {
    askerLink.askForProof(asked, request);
    return received.has_value();
  });
  REQUIRE(received->number() == ~std::uint64_t{0});
  REQUIRE(received->version() == 7);
  REQUIRE(received->age_us() == 250);
  askerLink.stop();
  askedLink->stop();
}

}  // namespace oakpier::serving
