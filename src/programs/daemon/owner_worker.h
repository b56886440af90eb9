#pragma once

/// One thread of the owner role: an event loop with leaf connections and the dispatcher that schedules
/// requests to the leafs.

#include <cxxtools/connectable.h>
#include <cxxtools/eventloop.h>
#include <cxxtools/timer.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "coordination/leaf_dispatcher.h"
#include "state/published.h"
#include "transport/leaf_connections.h"

namespace oakpier {

/// Sends results back to the entry daemon; called on the worker's thread.
using ReplySender = std::function<void(ReplyToEntry)>;

class OwnerWorker : public cxxtools::Connectable {
 public:
  OwnerWorker(const Published<RoutingView>& view, bool admission, ReplySender reply);
  OwnerWorker(const OwnerWorker&) = delete;
  OwnerWorker& operator=(const OwnerWorker&) = delete;
  ~OwnerWorker() override;

  void start();
  void stop();

  /// Thread-safe.
  void postWork(const Endpoint& entry, std::shared_ptr<const WorkBatch> batch);
  void postCancel(const CancelWork& cancel);

  /// Thread-safe; values of the last tick.
  DispatchCounters counters() const;
  std::size_t busy() const;
  std::size_t openConnections() const;

 private:
  class Task;

  void post(std::function<void()> task);
  void onEvent(const cxxtools::Event& event);
  void onTick();
  void apply(DispatchActions actions);

  const Published<RoutingView>& view_;
  ReplySender reply_;
  LeafDispatcher dispatcher_;
  cxxtools::EventLoop loop_;
  cxxtools::Timer timer_;
  LeafConnections connections_;
  std::thread thread_;
  std::atomic<std::size_t> posted_{0};
  mutable std::mutex mutex_;
  DispatchCounters publishedCounters_;
  std::size_t publishedBusy_ = 0;
  std::size_t publishedConnections_ = 0;
};

/// All owner threads of a daemon. A leaf is always handled by the same thread.
class OwnerWorkers {
 public:
  OwnerWorkers(std::uint32_t threads, const Published<RoutingView>& view, bool admission,
               const ReplySender& reply);

  void start();
  void stop();
  void onWork(const Endpoint& entry, WorkBatch batch);
  void onCancel(const CancelWork& cancel);

  std::size_t busy() const;
  std::size_t openConnections() const;
  DispatchCounters counters() const;

 private:
  std::vector<std::unique_ptr<OwnerWorker>> workers_;
};

}  // namespace oakpier
