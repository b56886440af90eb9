#include "coordination/serving/leaf_assignment.h"

namespace oakpier::serving {

namespace {

/// Number of daemons that may send to a leaf of the service.
std::size_t sendersTo(const std::string& service, const FleetParameters& daemons, const ShardOwners& owners) {
  return owners.usesOwners(service) ? maxConcurrentOwners(daemons.maxZones) : daemons.maxPlanned;
}

void assignService(const std::vector<LeafEntry>& leafs, const ServiceDefinition& service,
                   const FleetParameters& daemons, const Endpoint& self, ShardOwners& owners,
                   LeafAssignment& assignment) {
  if (!owners.usesOwners(service.name)) {
    const ConnectionShare share = connectionShare(leafs.size(), service.maximumConnections, daemons.planned);
    assignment.shares[service.name] = share;
    assignment.leafs[service.name] = chooseSubset(leafs, share.leafs, self);
    return;
  }
  if (!owners.isOwner(service.name)) {
    return;
  }
  const std::size_t connections = connectionsPerOwner(service.maximumConnections, daemons.zones);
  assignment.shares[service.name] = ConnectionShare{leafs.size(), connections};
  assignment.leafs[service.name] = chooseSubset(leafs, leafs.size(), self);
}

}  // namespace

LeafAssignment assignLeafs(const ServingView& view, const FleetParameters& daemons, const Endpoint& self,
                           ShardOwners& owners) {
  LeafAssignment assignment;
  if (!view.configuration) {
    return assignment;
  }
  const auto owned = ownedServices(*view.configuration, daemons.planned);
  owners.setServices(owned);
  for (const std::string& service : owned) {
    if (owners.isFirstOwner(service)) {
      assignment.firstOwnedServices.insert(service);
    }
  }
  for (const ServiceDefinition& service : view.configuration->services) {
    if (service.warmupRate > 0) {
      const std::size_t senders = sendersTo(service.name, daemons, owners);
      assignment.warmups[service.name] = warmupAllowance(service.warmupRate, daemons.warmup, senders);
    }
    const auto leafs = view.leafs->find(service.name);
    if (leafs != view.leafs->end()) {
      assignService(leafs->second, service, daemons, self, owners, assignment);
    }
  }
  return assignment;
}

}  // namespace oakpier::serving
