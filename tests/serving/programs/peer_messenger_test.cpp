#include "programs/gateway/peer_messenger.h"

#include <catch2/catch.hpp>
#include <optional>

#include "serving/support/loopback.h"
#include "support/free_endpoint.h"

namespace oakpier::serving {

namespace {

PeerMessenger::Handlers quietHandlers() {
  PeerMessenger::Handlers handlers;
  handlers.onUpdate = [](const Endpoint&, const SourceNews&) {};
  handlers.onUpdateRequest = [](const Endpoint&, const SourceNewsRequest&) {};
  handlers.onProofRequest = [](const Endpoint&, const ConfigurationProofRequest&) {};
  handlers.onProofReply = [](const Endpoint&, const ConfigurationProofReply&) {};
  handlers.onMembers = [](const DaemonGroup&) {};
  handlers.onPause = [] {};
  handlers.onRequestFrame = [](const Endpoint&, const PeerEnvelope&) {};
  handlers.onRequestFrameUndeliverable = [](const PeerEnvelope&) {};
  return handlers;
}

}  // namespace

TEST_CASE("proof requests and replies reach the control thread of the peer", "[serving]") {
  boost::asio::io_context context;
  const Endpoint requester = freeEndpoint();
  const Endpoint responder = freeEndpoint();
  std::optional<PeerMessenger> responderMessenger;
  std::optional<ConfigurationProofReply> received;
  PeerMessenger::Handlers responderHandlers = quietHandlers();
  responderHandlers.onProofRequest = [&](const Endpoint& sender, const ConfigurationProofRequest& request) {
    ConfigurationProofReply reply;
    reply.set_number(request.number());
    reply.set_version(7);
    reply.set_age_us(250);
    responderMessenger->sendProof(sender, reply);
  };
  PeerMessenger::Handlers requesterHandlers = quietHandlers();
  requesterHandlers.onProofReply = [&](const Endpoint& sender, const ConfigurationProofReply& reply) {
    REQUIRE(sender == responder);
    received = reply;
  };
  PeerMessenger requesterMessenger(context, PeerMessengerSettings{requester, "a", {responder}},
                                   requesterHandlers);
  responderMessenger.emplace(context, PeerMessengerSettings{responder, "a", {requester}}, responderHandlers);
  REQUIRE(requesterMessenger.start().empty());
  REQUIRE(responderMessenger->start().empty());
  ConfigurationProofRequest request;
  request.set_number(~std::uint64_t{0});
  // Frames to a peer that is not connected yet may be undeliverable, so the request is repeated.
  runUntil(context, [&] {
    requesterMessenger.requestProof(responder, request);
    return received.has_value();
  });
  REQUIRE(received->number() == ~std::uint64_t{0});
  REQUIRE(received->version() == 7);
  REQUIRE(received->age_us() == 250);
  requesterMessenger.stop();
  responderMessenger->stop();
}

}  // namespace oakpier::serving
