#include "programs/gateway/request_gateway.h"

#include <algorithm>
#include <utility>

#include "programs/gateway/active_query.h"
#include "transport/steady_clock.h"

namespace oakpier::serving {

namespace {

/// If more leafs than this are assigned, none is connected to in advance until membership is stable, because
/// it is not known how many daemons share them.
constexpr std::size_t kMaxEarlyConnections = 150;

}  // namespace

RequestGateway::RequestGateway(boost::asio::io_context& context, const HeaderNames& names,
                               Published<ServingView>& published, const Published<ConfigurationProof>& proof,
                               const Endpoint& self, QueryContext queryContext, RetryBudgets& ownerBudgets,
                               const FrameSender& sendFrame)
    : context_(context),
      names_(names),
      published_(published),
      proof_(proof),
      queryContext_(std::move(queryContext)),
      leafs_(queryContext_.leafs),
      pool_(context, names),
      view_(published.read()),
      self_(self),
      sender_(pool_),
      owners_(self),
      ownerClient_(queryContext_, owners_, sendFrame),
      ownerService_(context, names, pool_, sender_,
                    QueryContext{queryContext_.leafs,
                                 ownerBudgets,
                                 queryContext_.random,
                                 queryContext_.policy,
                                 queryContext_.ownZone,
                                 queryContext_.exchanges,
                                 nullptr,
                                 {},
                                 nullptr,
                                 {},
                                 {},
                                 &quarantine_},
                    sendFrame),
      mergeClient_(context, queryContext_, mergeServers_, sendFrame),
      mergeService_(context, names, pool_, sender_, queryContext_, sendFrame),
      quarantineGossip_(context, quarantine_, queryContext_.random, self, sendFrame),
      quota_(context, queryContext_.random, self, sendFrame) {
  queryContext_.quarantine = &quarantine_;
  pool_.setReachabilityListener(
      [this](const LeafEntry& leaf, bool reachable) { leafs_.onReachability(leaf, reachable, steadyNow()); });
  pool_.setLeafCrashListener(
      [this](const LeafEntry& leaf, const std::vector<std::shared_ptr<RequestRecord>>& inProgress) {
        onLeafCrash(leaf, inProgress);
      });
  pool_.setAnswerListener([this](const RequestRecord& request) {
    if (!quarantine_.empty()) {
      quarantine_.onAnswered(request.fingerprint, steadyNow());
      quarantineGossip_.onChanged();
    }
  });
  queryContext_.owners = &owners_;
  queryContext_.mergeServers = &mergeServers_;
}

void RequestGateway::onLeafCrash(const LeafEntry& leaf,
                                 const std::vector<std::shared_ptr<RequestRecord>>& inProgress) {
  const Moment now = steadyNow();
  log_.onLeafCrash(leaf, inProgress, now);
  for (const auto& request : inProgress) {
    if (!request->answered) {
      quarantine_.onLeafCrashed(request->fingerprint, stableHash(leaf.incarnation()), now);
    }
  }
  quarantineGossip_.onChanged();
}

std::size_t RequestGateway::quarantinedRequests() const { return quarantine_.quarantinedCount(steadyNow()); }

void RequestGateway::setDaemons(const DaemonGroup& daemons, std::size_t planned, bool membershipStable) {
  quarantineGossip_.setDaemons(addressesOf(daemons.all));
  if (daemons.isolated) {
    // Otherwise each daemon that starts while it can reach no other one would grant a tenant's whole limit.
    quota_.setDaemons(daemons.all, std::max(planned, kDefaultDaemons), false);
  } else {
    quota_.setDaemons(daemons.all, planned, membershipStable);
  }
  owners_.setDaemons(daemons.ownZone);
  mergeServers_.setDaemons(daemons.otherZones);
  daemons_.planned = planned;
  daemons_.zones = daemons.zones;
  if (membershipStable) {
    const bool first = !membershipStable_;
    daemons_.maxPlanned = first ? planned : std::max(daemons_.maxPlanned, planned);
    daemons_.maxZones = first ? daemons.zones : std::max(daemons_.maxZones, daemons.zones);
  }
  membershipStable_ = membershipStable;
  onView();
  if (owners_.hasOwnedServices()) {
    ownerClient_.probeNewPeers(addressesOf(daemons.ownZone));
  }
}

void RequestGateway::onFrame(const Endpoint& sender, const PeerEnvelope& envelope) {
  if (envelope.has_owner_work()) {
    acceptDelegatedShards(envelope.owner_work());
    ownerService_.onWork(sender, envelope.owner_work());
  } else if (envelope.has_owner_results()) {
    ownerClient_.onResults(sender, envelope.owner_results());
  } else if (envelope.has_owner_cancel()) {
    ownerService_.onCancel(sender, envelope.owner_cancel());
  } else if (envelope.has_silent_daemons()) {
    ownerClient_.onUnresponsivePeers(envelope.silent_daemons());
  } else if (envelope.has_merge_work()) {
    mergeService_.onWork(sender, envelope.merge_work());
  } else if (envelope.has_merge_results()) {
    mergeClient_.onResults(sender, envelope.merge_results());
  } else if (envelope.has_merge_cancel()) {
    mergeService_.onCancel(sender, envelope.merge_cancel());
  } else if (envelope.has_ending_requests()) {
    quarantineGossip_.onFrame(envelope.ending_requests());
  } else if (envelope.has_token_request()) {
    quota_.onRequest(sender, envelope.token_request());
  } else if (envelope.has_token_reply()) {
    quota_.onReply(sender, envelope.token_reply());
  }
}

void RequestGateway::acceptDelegatedShards(const OwnerWork& work) {
  const Moment now = steadyNow();
  for (const OwnerPart& part : work.parts()) {
    if (!owners_.serveTemporarily(part.service(), now)) {
      continue;
    }
    const auto leafs = view_->leafs->find(part.service());
    if (leafs != view_->leafs->end()) {
      leafs_.add(part.service(), leafs->second, now);
    }
  }
}

void RequestGateway::onUndeliverable(const PeerEnvelope& envelope) {
  if (envelope.has_owner_work()) {
    ownerClient_.onUndeliverable(envelope.owner_work());
  } else if (envelope.has_merge_work()) {
    mergeClient_.onUndeliverable(envelope.merge_work());
  } else if (envelope.has_token_request()) {
    quota_.onUndeliverable(envelope.token_request());
  }
}

void RequestGateway::onView() {
  view_ = published_.read();
  quota_.setTenants(view_->tenants);
  owners_.expireTemporaryShards(steadyNow());
  const LeafAssignment assignment = assignLeafs(*view_, daemons_, self_, owners_);
  ownerService_.setOwnedShards(assignment.firstOwnedServices);
  ownerService_.setWarmups(assignment.warmups);
  queryContext_.warmups = assignment.warmups;
  sender_.setConnectionShares(assignment.shares);
  leafs_.reconcile(assignment.leafs, steadyNow());
  preconnect(assignment);
  retainConnections(assignment);
}

void RequestGateway::retainConnections(const LeafAssignment& assignment) {
  LeafIncarnations used;
  for (const auto& [service, entries] : assignment.leafs) {
    for (const LeafEntry& leaf : entries) {
      used.insert(leaf.incarnation());
    }
  }
  LeafIncarnations takingWork;
  for (const auto& [service, entries] : *view_->leafs) {
    for (const LeafEntry& leaf : entries) {
      if (leaf.acceptsRequests()) {
        takingWork.insert(leaf.incarnation());
      }
    }
  }
  pool_.retain([&](const LeafIncarnation& leaf) {
    if (used.count(leaf) != 0) {
      return LeafPool::RetainMode::kKeep;
    }
    return takingWork.count(leaf) != 0 ? LeafPool::RetainMode::kSendQueued
                                       : LeafPool::RetainMode::kFailQueued;
  });
}

void RequestGateway::preconnect(const LeafAssignment& assignment) {
  std::size_t count = 0;
  for (const auto& [service, entries] : assignment.leafs) {
    count += entries.size();
  }
  if (!membershipStable_ && count > kMaxEarlyConnections) {
    return;
  }
  for (const auto& [service, entries] : assignment.leafs) {
    if (owners_.usesOwners(service) && assignment.firstOwnedServices.count(service) == 0) {
      continue;
    }
    for (const LeafEntry& leaf : entries) {
      pool_.preconnect(leaf, sender_.connectionLimit(service));
    }
  }
}

}  // namespace oakpier::serving
