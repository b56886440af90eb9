#include "programs/gateway/peer_messenger.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <random>
#include <set>
#include <utility>

#include "protocol/serving/source_update_codec.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(100);
/// A longer time between two ticks indicates a pause of the process or its machine.
constexpr Duration kPauseThreshold = std::chrono::seconds(1);
/// Frames that were in transit for longer are ignored.
constexpr std::uint32_t kTimeToLiveMilliseconds = 1000;

/// Probes compare complete member tables for this long after the start. With hundreds of daemons these
/// comparisons are most of the traffic between daemons, so they are limited to this time.
constexpr Duration kStabilizationTime = std::chrono::seconds(4);
/// After a simultaneous start of all daemons, tables become complete in about six rounds.
constexpr Duration kStabilizationProbePeriod = std::chrono::milliseconds(250);

MembershipSettings membershipSettings() {
  MembershipSettings settings;
  settings.adoptHigherIncarnation = true;
  settings.startupPeriod = kStabilizationTime;
  settings.startupProbePeriod = kStabilizationProbePeriod;
  return settings;
}

bool isForRequestThread(const PeerEnvelope& envelope) {
  return envelope.has_owner_work() || envelope.has_owner_results() || envelope.has_owner_cancel() ||
         envelope.has_silent_daemons() || envelope.has_merge_work() || envelope.has_merge_results() ||
         envelope.has_merge_cancel() || envelope.has_ending_requests() || envelope.has_token_request() ||
         envelope.has_token_reply();
}

void insertSorted(const ServingDaemon& daemon, std::vector<ServingDaemon>& daemons) {
  const auto position = std::lower_bound(
      daemons.begin(), daemons.end(), daemon.address,
      [](const ServingDaemon& other, const Endpoint& address) { return other.address < address; });
  daemons.insert(position, daemon);
}

std::uint64_t newIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

}  // namespace

PeerMessenger::PeerMessenger(boost::asio::io_context& context, const PeerMessengerSettings& settings,
                             Handlers handlers)
    : context_(context),
      settings_(settings),
      handlers_(std::move(handlers)),
      membership_(settings.self, settings.zone, newIncarnation(), membershipSettings(),
                  RandomEngine(std::random_device{}())),
      transport_(settings.self,
                 {[this](PeerEnvelope envelope, bool stale) {
                    if (!stale) {
                      receive(std::move(envelope));
                    }
                  },
                  [this](const Endpoint&, PeerEnvelope envelope) {
                    if (isForRequestThread(envelope)) {
                      handlers_.onRequestFrameUndeliverable(std::move(envelope));
                    }
                  }},
                 settings.maxConnectedPeers),
      tick_(context) {
  membership_.setSeeds(settings.seeds);
  membership_.setCapacity(settings.capacity);
  incarnation_ = membership_.incarnation();
}

void PeerMessenger::receive(PeerEnvelope envelope) {
  if (!isForRequestThread(envelope)) {
    boost::asio::post(context_, [this, envelope = std::move(envelope)] { onEnvelope(envelope); });
    return;
  }
  if (const auto sender = Endpoint::parse(envelope.sender())) {
    handlers_.onRequestFrame(*sender, std::move(envelope));
  }
}

std::string PeerMessenger::start() {
  std::string error = transport_.start();
  if (error.empty()) {
    scheduleTick();
  }
  return error;
}

void PeerMessenger::stop() { transport_.stop(); }

void PeerMessenger::scheduleTick() {
  tick_.expires_after(kTickPeriod);
  tick_.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    const Moment now = steadyNow();
    if (lastTickAt_ != Moment{} && now - lastTickAt_ > kPauseThreshold) {
      membership_.onPause(now);
      handlers_.onPause();
    }
    lastTickAt_ = now;
    apply(membership_.onTimer(now));
    publishMembers();
    publishSuspects();
    scheduleTick();
  });
}

void PeerMessenger::onEnvelope(const PeerEnvelope& envelope) {
  const auto sender = Endpoint::parse(envelope.sender());
  if (!sender) {
    return;
  }
  const Moment now = steadyNow();
  if (envelope.has_probe()) {
    apply(membership_.onProbe(*sender, envelope.probe(), now));
  } else if (envelope.has_probe_reply()) {
    apply(membership_.onReply(*sender, envelope.probe_reply(), now));
  } else if (const auto update = decodeUpdate(envelope)) {
    handlers_.onUpdate(*sender, *update);
  } else if (envelope.has_source_news_request()) {
    handlers_.onUpdateRequest(*sender, envelope.source_news_request());
  } else if (envelope.has_configuration_proof_request()) {
    handlers_.onProofRequest(*sender, envelope.configuration_proof_request());
  } else if (envelope.has_configuration_proof_reply()) {
    handlers_.onProofReply(*sender, envelope.configuration_proof_reply());
  }
}

void PeerMessenger::apply(const MembershipActions& actions) {
  for (const OutgoingProbe& outgoing : actions.probes) {
    PeerEnvelope envelope;
    *envelope.mutable_probe() = outgoing.probe;
    send(outgoing.to, std::move(envelope));
  }
  for (const OutgoingProbeReply& outgoing : actions.replies) {
    PeerEnvelope envelope;
    *envelope.mutable_probe_reply() = outgoing.reply;
    send(outgoing.to, std::move(envelope));
  }
}

void PeerMessenger::send(const Endpoint& to, PeerEnvelope envelope) {
  incarnation_ = membership_.incarnation();
  sendFrame(to, std::move(envelope));
}

void PeerMessenger::sendFrame(const Endpoint& to, PeerEnvelope envelope) {
  envelope.set_sender(settings_.self.text());
  envelope.set_incarnation(incarnation_);
  if (envelope.time_to_live_ms() == 0) {
    envelope.set_time_to_live_ms(kTimeToLiveMilliseconds);
  }
  transport_.send(to, std::move(envelope));
}

void PeerMessenger::sendMembers(const Endpoint& to) {
  PeerEnvelope envelope;
  *envelope.mutable_probe_reply() = membership_.fullTable(to);
  send(to, std::move(envelope));
}

void PeerMessenger::sendUpdate(const Endpoint& to, const SourceNews& update) {
  PeerEnvelope envelope;
  if (update.whole()) {
    sendMembers(to);
  }
  updateEncoder_.encode(update, envelope);
  send(to, std::move(envelope));
}

void PeerMessenger::requestUpdate(const Endpoint& from, const SourcePosition& known) {
  PeerEnvelope envelope;
  SourceNewsRequest* request = envelope.mutable_source_news_request();
  request->set_known_revision(known.revision);
  request->set_known_epoch(known.epoch);
  send(from, std::move(envelope));
}

void PeerMessenger::requestProof(const Endpoint& from, const ConfigurationProofRequest& request) {
  PeerEnvelope envelope;
  *envelope.mutable_configuration_proof_request() = request;
  send(from, std::move(envelope));
}

void PeerMessenger::sendProof(const Endpoint& to, const ConfigurationProofReply& reply) {
  PeerEnvelope envelope;
  *envelope.mutable_configuration_proof_reply() = reply;
  send(to, std::move(envelope));
}

void PeerMessenger::leave() { apply(membership_.leave(steadyNow())); }

void PeerMessenger::publishSuspects() {
  const auto& records = membership_.members().records();
  std::vector<Endpoint> suspects;
  for (const MemberRecord& record : records) {
    if (record.condition == MEMBER_SUSPECT) {
      suspects.push_back(record.address);
    }
  }
  if (suspects != publishedSuspects_) {
    publishedSuspects_ = std::move(suspects);
    handlers_.onSuspected(publishedSuspects_);
  }
}

void PeerMessenger::publishMembers() {
  if (membership_.version() == publishedVersion_) {
    return;
  }
  publishedVersion_ = membership_.version();
  DaemonGroup daemons;
  std::set<ZoneNumber> zones;
  for (const MemberRecord& record : membership_.members().records()) {
    if (record.serving() && !(record.address == settings_.self)) {
      const ServingDaemon daemon(record.address, record.capacity);
      daemons.all.push_back(daemon);
      zones.insert(record.zone);
      const std::string& zone = membership_.members().zoneName(record.zone);
      auto& group = zone == settings_.zone ? daemons.ownZone : daemons.otherZones[zone];
      group.push_back(daemon);
    }
  }
  const ServingDaemon own(settings_.self, membership_.capacity());
  insertSorted(own, daemons.all);
  const bool aloneInZone = daemons.ownZone.empty();
  insertSorted(own, daemons.ownZone);
  daemons.zones = zones.size() + (aloneInZone ? 1 : 0);
  daemons.isolated = membership_.isolated();
  handlers_.onMembers(daemons);
}

}  // namespace oakpier::serving
