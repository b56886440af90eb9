#include "programs/daemon/owner_worker.h"

#include <cxxtools/event.h>

#include "programs/daemon/mailbox.h"
#include "state/hashing.h"

namespace oakpier {

namespace {

constexpr double kTickMs = 5;
constexpr unsigned kEventsPerLoop = 64;

}  // namespace

/// A task for the worker's thread.
class OwnerWorker::Task : public cxxtools::BasicEvent<OwnerWorker::Task> {
 public:
  explicit Task(std::function<void()> step) : step_(std::move(step)) {}
  void run() const { step_(); }

 private:
  std::function<void()> step_;
};

OwnerWorker::OwnerWorker(const Published<RoutingView>& view, bool admission, ReplySender reply)
    : view_(view),
      reply_(std::move(reply)),
      dispatcher_(admission),
      timer_(&loop_),
      connections_(loop_,
                   LeafConnections::Handlers{[this](ExchangeId exchange, const LeafAnswer& answer) {
                                               apply(dispatcher_.onAnswer(exchange, answer, steadyNow()));
                                             },
                                             [this](ExchangeId exchange, const LeafState& state) {
                                               apply(dispatcher_.onStatus(exchange, state, steadyNow()));
                                             },
                                             [this](ExchangeId exchange, ExchangeFailure failure) {
                                               apply(dispatcher_.onFailure(exchange, failure, steadyNow()));
                                             }}) {
  loop_.eventsPerLoop(kEventsPerLoop);
  cxxtools::connect(loop_.event, *this, &OwnerWorker::onEvent);
  cxxtools::connect(timer_.timeout, *this, &OwnerWorker::onTick);
  timer_.start(cxxtools::Milliseconds(kTickMs));
}

OwnerWorker::~OwnerWorker() { stop(); }

void OwnerWorker::start() {
  thread_ = std::thread([this] { loop_.run(); });
}

void OwnerWorker::stop() {
  if (thread_.joinable()) {
    loop_.exit();
    thread_.join();
  }
}

void OwnerWorker::postWork(const Endpoint& entry, std::shared_ptr<const WorkBatch> batch) {
  post([this, entry, batch = std::move(batch), received = steadyNow()] {
    // Queueing time counts against the deadline, including time in which the process was paused.
    const Moment deadline = received + fromMilliseconds(batch->remaining_ms());
    apply(dispatcher_.onWork(entry, batch, deadline, *view_.read(), steadyNow()));
  });
}

void OwnerWorker::postCancel(const CancelWork& cancel) {
  post([this, cancel] { apply(dispatcher_.onCancel(cancel, steadyNow())); });
}

void OwnerWorker::post(std::function<void()> task) {
  ++posted_;
  loop_.commitEvent(Task(std::move(task)));
}

void OwnerWorker::onEvent(const cxxtools::Event& event) {
  if (const auto* task = dynamic_cast<const Task*>(&event)) {
    task->run();
    --posted_;
  }
}

void OwnerWorker::onTick() {
  const Moment now = steadyNow();
  apply(dispatcher_.onTimer(now));
  connections_.onTimer(now);
  const std::lock_guard<std::mutex> guard(mutex_);
  publishedCounters_ = dispatcher_.counters();
  publishedBusy_ = dispatcher_.busy();
  publishedConnections_ = connections_.openCount();
}

void OwnerWorker::apply(DispatchActions actions) {
  for (const auto& abort : actions.aborts) {
    connections_.abort(abort.exchange);
  }
  for (auto& reply : actions.replies) {
    reply_(std::move(reply));
  }
  for (const auto& send : actions.sends) {
    connections_.send(send);
  }
}

DispatchCounters OwnerWorker::counters() const {
  const std::lock_guard<std::mutex> guard(mutex_);
  return publishedCounters_;
}

std::size_t OwnerWorker::busy() const {
  const std::lock_guard<std::mutex> guard(mutex_);
  return publishedBusy_ + posted_;
}

std::size_t OwnerWorker::openConnections() const {
  const std::lock_guard<std::mutex> guard(mutex_);
  return publishedConnections_;
}

OwnerWorkers::OwnerWorkers(std::uint32_t threads, const Published<RoutingView>& view, bool admission,
                           const ReplySender& reply) {
  for (std::uint32_t thread = 0; thread < threads; ++thread) {
    workers_.push_back(std::make_unique<OwnerWorker>(view, admission, reply));
  }
}

void OwnerWorkers::start() {
  for (auto& worker : workers_) {
    worker->start();
  }
}

void OwnerWorkers::stop() {
  for (auto& worker : workers_) {
    worker->stop();
  }
}

void OwnerWorkers::onWork(const Endpoint& entry, WorkBatch batch) {
  if (workers_.size() == 1) {
    workers_.front()->postWork(entry, std::make_shared<const WorkBatch>(std::move(batch)));
    return;
  }
  std::vector<WorkBatch> parts(workers_.size());
  google::protobuf::RepeatedPtrField<WorkItem> items;
  items.Swap(batch.mutable_items());
  for (auto& item : items) {
    WorkBatch& part = parts[hashText(item.leaf()) % workers_.size()];
    if (part.items().empty()) {
      part = batch;
    }
    *part.add_items() = std::move(item);
  }
  for (std::size_t worker = 0; worker < workers_.size(); ++worker) {
    if (!parts[worker].items().empty()) {
      workers_[worker]->postWork(entry, std::make_shared<const WorkBatch>(std::move(parts[worker])));
    }
  }
}

void OwnerWorkers::onCancel(const CancelWork& cancel) {
  for (auto& worker : workers_) {
    worker->postCancel(cancel);
  }
}

std::size_t OwnerWorkers::busy() const {
  std::size_t busy = 0;
  for (const auto& worker : workers_) {
    busy += worker->busy();
  }
  return busy;
}

std::size_t OwnerWorkers::openConnections() const {
  std::size_t open = 0;
  for (const auto& worker : workers_) {
    open += worker->openConnections();
  }
  return open;
}

DispatchCounters OwnerWorkers::counters() const {
  DispatchCounters sum;
  for (const auto& worker : workers_) {
    const DispatchCounters one = worker->counters();
    sum.sent += one.sent;
    sum.statusChecks += one.statusChecks;
    sum.refusedQueueFull += one.refusedQueueFull;
    sum.refusedDraining += one.refusedDraining;
    sum.refusedExpired += one.refusedExpired;
    sum.evicted += one.evicted;
    sum.timedOut += one.timedOut;
    sum.cancelled += one.cancelled;
    sum.mismatchedAnswers += one.mismatchedAnswers;
  }
  return sum;
}

}  // namespace oakpier
