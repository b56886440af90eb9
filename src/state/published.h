#pragma once

/// Read-copy-update of one immutable value: writers publish under a mutex, readers take no lock.

#include <urcu/urcu-bp.h>

#include <memory>
#include <mutex>

namespace oakpier {

/// Holds the current version of an immutable `Value`. `read` is wait-free and keeps the version it returns
/// alive for as long as the caller holds it, so that a request uses one version throughout.
template <typename Value>
class Published {
 public:
  explicit Published(std::shared_ptr<const Value> initial) : node_(new Node{std::move(initial)}) {}
  Published(const Published&) = delete;
  Published& operator=(const Published&) = delete;
  ~Published() { delete node_; }

  std::shared_ptr<const Value> read() const {
    urcu_bp_read_lock();
    std::shared_ptr<const Value> value = rcu_dereference(node_)->value;
    urcu_bp_read_unlock();
    return value;
  }

  /// Blocks for an RCU grace period, so it must not be called on the request path.
  void publish(std::shared_ptr<const Value> value) {
    const std::lock_guard<std::mutex> guard(writer_);
    Node* fresh = new Node{std::move(value)};
    Node* former = rcu_xchg_pointer(&node_, fresh);
    urcu_bp_synchronize_rcu();
    delete former;
  }

 private:
  struct Node {
    std::shared_ptr<const Value> value;
  };

  std::mutex writer_;
  Node* node_;
};

}  // namespace oakpier
