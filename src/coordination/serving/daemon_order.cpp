#include "coordination/serving/daemon_order.h"

#include <algorithm>

namespace oakpier::serving {

namespace {

/// Sort key, ascending: the weight subtracted from its upper bound, then the address.
std::pair<unsigned, Endpoint> keyOf(const ServingDaemon& daemon) {
  return {kMaxCapacity - placementWeight(daemon.capacity), daemon.address};
}

bool comesBefore(const ServingDaemon& left, const ServingDaemon& right) { return keyOf(left) < keyOf(right); }

}  // namespace

DaemonOrder::DaemonOrder(const std::vector<Endpoint>& addresses)
    : DaemonOrder(std::vector<ServingDaemon>(addresses.begin(), addresses.end())) {}

DaemonOrder::DaemonOrder(std::vector<ServingDaemon> daemons) : daemons_(std::move(daemons)) {
  std::sort(daemons_.begin(), daemons_.end(), comesBefore);
}

DaemonOrder::Key DaemonOrder::keyOf(const Endpoint& address) const {
  const auto known = std::find_if(daemons_.begin(), daemons_.end(),
                                  [&](const ServingDaemon& daemon) { return daemon.address == address; });
  return serving::keyOf(known != daemons_.end() ? *known : ServingDaemon(address));
}

std::size_t DaemonOrder::rankOf(const Endpoint& address) const {
  const Key wanted = keyOf(address);
  const auto position = std::lower_bound(
      daemons_.begin(), daemons_.end(), wanted,
      [](const ServingDaemon& daemon, const Key& key) { return serving::keyOf(daemon) < key; });
  return static_cast<std::size_t>(position - daemons_.begin());
}

bool DaemonOrder::before(const Endpoint& left, const Endpoint& right) const {
  return keyOf(left) < keyOf(right);
}

void DaemonOrder::add(const Endpoint& address) {
  const auto position = daemons_.begin() + static_cast<std::ptrdiff_t>(rankOf(address));
  if (position == daemons_.end() || position->address != address) {
    daemons_.insert(position, ServingDaemon(address));
  }
}

}  // namespace oakpier::serving
