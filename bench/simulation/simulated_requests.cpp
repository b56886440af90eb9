#include "simulation/simulated_requests.h"

#include "simulation/simulated_fleet.h"

namespace oakpier {

namespace {

constexpr std::uint32_t kEntryIp = 1;
constexpr std::uint32_t kFirstOwnerIp = 100;
constexpr std::uint32_t kLeafIp = 1000;
constexpr std::uint16_t kPort = 7000;
constexpr Duration kTick = std::chrono::milliseconds(5);
constexpr std::uint32_t kDeadlineMs = 100;
constexpr Duration kQueryInterval = std::chrono::milliseconds(15);
constexpr std::uint32_t kRowsPerShard = 2;
/// Each snapshot from this one on belongs to a partition with one more shard.
constexpr std::uint64_t kRepartitionedFrom = 5;

std::string leafName(std::size_t shard, std::size_t replica) {
  return "leaf-" + std::to_string(shard) + "-" + std::to_string(replica);
}

struct ModelLeaf {
  std::uint64_t oldest = 3;
  std::uint64_t newest = 3;
  std::string lastRequestId;
};

class Simulation {
 public:
  explicit Simulation(const RequestSimulationOptions& options)
      : options_(options),
        random_(options.seed),
        queryRandom_(options.seed + 1),
        now_(std::chrono::hours(1)) {
    buildView();
    for (std::size_t owner = 0; owner < options.owners; ++owner) {
      owners_.push_back(std::make_unique<LeafDispatcher>(true));
      ownerPausedUntil_.emplace_back();
      ownerIncarnation_.push_back(0);
    }
  }

  History run() {
    for (std::size_t number = 0; number < options_.queries; ++number) {
      at(kQueryInterval * static_cast<std::int64_t>(number), [this, number] { startQuery(number); });
    }
    scheduleFaults();
    tick();
    const Moment end =
        now_ + kQueryInterval * static_cast<std::int64_t>(options_.queries) + std::chrono::seconds(1);
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    return std::move(history_);
  }

 private:
  struct Event {
    Moment at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  void at(Duration delay, std::function<void()> action) {
    events_.push(Event{now_ + delay, nextOrder_++, std::move(action)});
  }

  Duration shortDelay() { return Duration(std::uniform_int_distribution<std::int64_t>(200, 3000)(random_)); }
  bool chance(double share) { return share > 0 && std::bernoulli_distribution(share)(random_); }
  std::size_t draw(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
  }
  Endpoint ownerAddress(std::size_t owner) const {
    return Endpoint(kFirstOwnerIp + static_cast<std::uint32_t>(owner), kPort);
  }

  void buildView() {
    Configuration configuration = smallConfiguration(0);
    Service& service = *configuration.mutable_services(0);
    service.clear_partitions();
    service.mutable_hedge()->set_enabled(true);
    service.mutable_hedge()->set_budget_percent(20);
    service.mutable_hedge()->set_delay_quantile(0.9);
    service.mutable_retry()->set_budget_percent(50);
    service.mutable_wait()->set_minimum_coverage(0.5);
    for (const std::uint64_t first : {std::uint64_t{1}, kRepartitionedFrom}) {
      Partition& partition = *service.add_partitions();
      partition.set_first_snapshot(first);
      const std::size_t shards = options_.shards + (first == kRepartitionedFrom ? 1 : 0);
      for (std::size_t number = 0; number < shards; ++number) {
        Shard& shard = *partition.add_shards();
        shard.set_name("p" + std::to_string(first) + "-s" + std::to_string(number));
        for (std::size_t replica = 0; replica < options_.replicas; ++replica) {
          shard.add_replicas(leafName(number % options_.shards, replica));
        }
      }
    }
    std::uint32_t ip = kLeafIp;
    for (std::size_t shard = 0; shard < options_.shards; ++shard) {
      for (std::size_t replica = 0; replica < options_.replicas; ++replica) {
        Leaf& leaf = *configuration.add_leaves();
        leaf.set_name(leafName(shard, replica));
        leaf.set_address(Endpoint(ip++, kPort).text());
        leaf.set_zone("zone");
        leaf.set_slots(3);
        leaf.set_max_connections(70);
        leafAt_[leaf.address()] = leaf.name();
      }
    }
    configuration.set_revision(1);
    *history_.add_entries()->mutable_configuration() = configuration;
    auto view = std::make_shared<RoutingView>();
    view->table = std::make_shared<const RoutingTable>(configuration, nullptr);
    view->leaving.resize(view->table->indexCount());
    for (std::size_t leaf = 0; leaf < view->table->indexCount(); ++leaf) {
      view->owners.push_back(
          {ownerAddress(leaf % options_.owners), ownerAddress((leaf + 1) % options_.owners)});
    }
    view->ready = true;
    view_ = view;
  }

  void scheduleFaults() {
    const Duration length = kQueryInterval * static_cast<std::int64_t>(options_.queries);
    for (int step = 1; step <= 4; ++step) {
      const Duration when = length * step / 5;
      if (options_.ownerFaults) {
        at(when, [this] { crashOwner(draw(owners_.size())); });
        at(when + std::chrono::milliseconds(20),
           [this] { ownerPausedUntil_[draw(owners_.size())] = now_ + std::chrono::milliseconds(60); });
      }
      if (options_.snapshotChanges) {
        at(when, [this] { moveSnapshots(); });
      }
    }
  }

  /// Leafs take up the next snapshot at different times, and give up the one before the last.
  void moveSnapshots() {
    for (const auto& [address, name] : leafAt_) {
      at(shortDelay() * 10, [this, leaf = name] {
        ++leaves_[leaf].newest;
        leaves_[leaf].oldest = leaves_[leaf].newest - draw(2);
      });
    }
  }

  void crashOwner(std::size_t owner) {
    owners_[owner] = std::make_unique<LeafDispatcher>(true);
    ++ownerIncarnation_[owner];
  }

  void tick() {
    for (std::size_t owner = 0; owner < owners_.size(); ++owner) {
      onOwner(owner, [this](LeafDispatcher& dispatcher) { return dispatcher.onTimer(now_); });
    }
    for (auto& [id, query] : queries_) {
      if (!query->finished()) {
        carryOut(id, query->onTimer(now_));
      }
    }
    noteFinished();
    at(kTick, [this] { tick(); });
  }

  void startQuery(std::size_t number) {
    QueryContext context;
    context.view = view_;
    context.service = view_->table->findService("service");
    context.request.set_request_id("r" + std::to_string(number));
    context.request.set_service("service");
    context.request.set_max_rows(1000);
    context.request.set_not_repeatable(chance(options_.notRepeatable));
    context.workId = context.request.request_id();
    context.arrivedAt = now_;
    context.deadline = now_ + fromMilliseconds(kDeadlineMs);
    context.runtime = &runtime_;
    context.ownerHealth = &health_;
    context.random = &queryRandom_;
    const std::string id = context.workId;
    requests_[id] = context.request;
    queries_[id] = std::make_unique<EntryQuery>(std::move(context));
    carryOut(id, queries_[id]->start(now_));
  }

  void noteFinished() {
    for (auto query = queries_.begin(); query != queries_.end();) {
      if (!query->second->finished()) {
        ++query;
        continue;
      }
      QueryRecord& record = *history_.add_entries()->mutable_query();
      *record.mutable_request() = requests_[query->first];
      record.set_delivery(DELIVERY_ANSWERED);
      *record.mutable_answer() = query->second->answer();
      query = queries_.erase(query);
    }
  }

  void carryOut(const std::string& id, QueryActions actions) {
    for (auto& outgoing : actions.work) {
      sendToOwner(id, outgoing.owner, std::make_shared<const WorkBatch>(std::move(outgoing.batch)));
    }
    for (auto& outgoing : actions.cancels) {
      const std::size_t owner = ownerNumber(outgoing.owner);
      at(shortDelay(), [this, owner, cancel = outgoing.cancel] {
        onOwner(owner,
                [this, cancel](LeafDispatcher& dispatcher) { return dispatcher.onCancel(cancel, now_); });
      });
    }
  }

  std::size_t ownerNumber(const Endpoint& address) const { return (address.packed() >> 16U) - kFirstOwnerIp; }

  void sendToOwner(const std::string& /*id*/, const Endpoint& address,
                   std::shared_ptr<const WorkBatch> batch) {
    if (chance(options_.frameLoss)) {
      return;
    }
    at(shortDelay(), [this, owner = ownerNumber(address), batch = std::move(batch)] {
      const Moment deadline = now_ + fromMilliseconds(batch->remaining_ms());
      onOwner(owner, [this, batch, deadline](LeafDispatcher& dispatcher) {
        return dispatcher.onWork(Endpoint(kEntryIp, kPort), batch, deadline, *view_, now_);
      });
    });
  }

  /// Runs `action` now or when the owner wakes from its pause.
  void onOwner(std::size_t owner, std::function<DispatchActions(LeafDispatcher&)> action) {
    if (now_ < ownerPausedUntil_[owner]) {
      at(ownerPausedUntil_[owner] - now_,
         [this, owner, action = std::move(action)] { onOwner(owner, action); });
      return;
    }
    DispatchActions actions = action(*owners_[owner]);
    for (auto& reply : actions.replies) {
      if (!chance(options_.frameLoss)) {
        at(shortDelay(), [this, owner, results = reply.results] { toQuery(owner, results); });
      }
    }
    for (auto& send : actions.sends) {
      exchange(owner, send);
    }
  }

  void toQuery(std::size_t owner, const ResultBatch& results) {
    const auto query = queries_.find(results.work_id());
    if (query != queries_.end() && !query->second->finished()) {
      carryOut(query->first, query->second->onResults(ownerAddress(owner), results, now_));
    }
  }

  /// One HTTP exchange. Answers to exchanges of a crashed owner go nowhere.
  void exchange(std::size_t owner, const SendToLeaf& send) {
    const std::uint64_t incarnation = ownerIncarnation_[owner];
    const auto finish = [this, owner, incarnation](Duration delay,
                                                   std::function<DispatchActions(LeafDispatcher&)> end) {
      at(delay, [this, owner, incarnation, end = std::move(end)] {
        if (ownerIncarnation_[owner] == incarnation) {
          onOwner(owner, end);
        }
      });
    };
    const ExchangeId id = send.exchange;
    if (chance(options_.exchangeRefused)) {
      finish(shortDelay(), [this, id](LeafDispatcher& dispatcher) {
        return dispatcher.onFailure(id, ExchangeFailure::kNotConnected, now_);
      });
      return;
    }
    ModelLeaf& leaf = leaves_[leafAt_[send.leaf.text()]];
    if (send.statusOnly) {
      finish(shortDelay(), [this, id, state = stateOf(leaf)](LeafDispatcher& dispatcher) {
        return dispatcher.onStatus(id, state, now_);
      });
      return;
    }
    const bool slow = chance(options_.slowExecutions);
    const Duration delay = slow ? shortDelay() * 40 : shortDelay();
    const LeafAnswer answer = execute(leaf, leafAt_[send.leaf.text()], send.task);
    if (chance(options_.exchangeBroken)) {
      finish(delay, [this, id](LeafDispatcher& dispatcher) {
        return dispatcher.onFailure(id, ExchangeFailure::kBroken, now_);
      });
      return;
    }
    finish(delay,
           [this, id, answer](LeafDispatcher& dispatcher) { return dispatcher.onAnswer(id, answer, now_); });
  }

  LeafState stateOf(const ModelLeaf& leaf) const {
    LeafState state;
    state.set_slots(3);
    state.set_oldest_snapshot(leaf.oldest);
    state.set_newest_snapshot(leaf.newest);
    return state;
  }

  LeafAnswer execute(ModelLeaf& leaf, const std::string& name, const LeafTask& task) {
    const std::uint64_t snapshot = task.batch->snapshot();
    LeafAnswer answer;
    answer.set_request_id(task.batch->request_id());
    answer.set_shard(task.workItem().shard());
    answer.set_snapshot(snapshot);
    *answer.mutable_state() = stateOf(leaf);
    if (snapshot < leaf.oldest || snapshot > leaf.newest) {
      answer.set_status(LEAF_SNAPSHOT_NOT_HELD);
      return answer;
    }
    if (chance(options_.shedding)) {
      answer.set_status(LEAF_SHED);
      return answer;
    }
    answer.set_status(LEAF_OK);
    ExecutionRecord& record = *history_.add_entries()->mutable_execution();
    record.set_leaf(name);
    record.mutable_execution()->set_request_id(task.batch->request_id());
    record.mutable_execution()->set_shard(task.workItem().shard());
    record.mutable_execution()->set_snapshot(snapshot);
    record.mutable_execution()->set_not_repeatable(task.batch->not_repeatable());
    std::string writer = task.batch->request_id();
    if (chance(options_.crossedAnswers) && !leaf.lastRequestId.empty()) {
      // The answer to the request before, in full.
      writer = leaf.lastRequestId;
      answer.set_request_id(options_.trustAnswers ? task.batch->request_id() : writer);
    }
    leaf.lastRequestId = task.batch->request_id();
    for (std::uint32_t number = 0; number < kRowsPerShard; ++number) {
      Row& row = *answer.add_rows();
      row.set_key(answer.shard() + "/" + std::to_string(number));
      row.set_value(writer + " " + std::to_string(snapshot));
    }
    return answer;
  }

  RequestSimulationOptions options_;
  std::mt19937_64 random_;
  RandomEngine queryRandom_;
  Moment now_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t nextOrder_ = 0;
  std::shared_ptr<const RoutingView> view_;
  std::map<std::string, std::string> leafAt_;
  std::map<std::string, ModelLeaf> leaves_;
  std::vector<std::unique_ptr<LeafDispatcher>> owners_;
  std::vector<Moment> ownerPausedUntil_;
  std::vector<std::uint64_t> ownerIncarnation_;
  ServiceRuntime runtime_{0.9};
  OwnerHealth health_;
  std::map<std::string, QueryRequest> requests_;
  std::map<std::string, std::unique_ptr<EntryQuery>> queries_;
  History history_;
};

}  // namespace

History simulateRequests(const RequestSimulationOptions& options) { return Simulation(options).run(); }

}  // namespace oakpier
