#include "transport/leaf_connections.h"

#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include <algorithm>
#include <istream>

#include "protocol/rpc_codec.h"
#include "state/erase.h"
#include "transport/steady_clock.h"

namespace oakpier {

namespace {

constexpr unsigned kHttpOk = 200;
constexpr const char* kExecuteUrl = "/oakpier.LeafBackend/Execute";
constexpr const char* kStatusUrl = "/oakpier.LeafBackend/Status";
/// Limits concurrent connection attempts of one owner thread, since accept queues of leafs are short.
constexpr std::size_t kMaxOpeningConnections = 16;
constexpr Duration kIdleTimeout = std::chrono::seconds(30);

LeafRequest leafRequestOf(const SendToLeaf& send) {
  const WorkBatch& batch = *send.task.batch;
  LeafRequest request;
  request.set_request_id(batch.request_id());
  request.set_service(batch.service());
  request.set_shard(send.task.workItem().shard());
  request.set_snapshot(batch.snapshot());
  request.set_query(batch.query());
  request.set_remaining_ms(send.remainingMs);
  request.set_not_repeatable(batch.not_repeatable());
  request.set_max_rows(batch.max_rows());
  request.set_priority(batch.priority());
  return request;
}

}  // namespace

/// One HTTP connection to a leaf, with one exchange at a time.
class LeafConnection : public cxxtools::Connectable {
 public:
  LeafConnection(LeafConnections& owner, const Endpoint& address)
      : leaf(address), owner_(owner), client_(owner.selector_, address.ip(), address.port()) {
    cxxtools::connect(client_.requestSent, *this, &LeafConnection::onSent);
    cxxtools::connect(client_.bodyAvailable, *this, &LeafConnection::onBody);
    cxxtools::connect(client_.replyFinished, *this, &LeafConnection::onFinished);
  }

  void begin(const SendToLeaf& send) {
    exchange = send.exchange;
    statusOnly = send.statusOnly;
    body_.clear();
    request_.clear();
    request_.url(statusOnly ? kStatusUrl : kExecuteUrl);
    request_.method("POST");
    request_.setHeader("Content-Type", kBinaryContentType);
    request_.body() << (statusOnly ? std::string() : leafRequestOf(send).SerializeAsString());
    client_.beginExecute(request_);
  }

  void cancel() {
    client_.cancel();
    client_.close();
  }

  const Endpoint leaf;
  ExchangeId exchange = 0;
  bool statusOnly = false;
  bool opening = true;
  bool ended = false;
  bool singleUse = false;
  Moment idleSince{};

 private:
  void onSent(cxxtools::http::Client& /*client*/) { markOpened(); }

  std::size_t onBody(cxxtools::http::Client& client) {
    char buffer[8192];
    std::size_t total = 0;
    while (client.in().rdbuf()->in_avail() > 0) {
      const auto count = client.in().rdbuf()->sgetn(
          buffer, std::min<std::streamsize>(client.in().rdbuf()->in_avail(), sizeof(buffer)));
      body_.append(buffer, static_cast<std::size_t>(count));
      total += static_cast<std::size_t>(count);
    }
    return total;
  }

  void onFinished(cxxtools::http::Client& client) {
    const bool sent = !opening;
    try {
      client.endExecute();
    } catch (const std::exception&) {
      markOpened();
      fail(sent ? ExchangeFailure::kBroken : ExchangeFailure::kNotConnected);
      return;
    }
    markOpened();
    if (client.header().httpReturnCode() != kHttpOk || !deliver()) {
      fail(ExchangeFailure::kBroken);
    }
  }

  /// False if the body cannot be parsed.
  bool deliver() {
    const ExchangeId id = exchange;
    if (statusOnly) {
      LeafState state;
      if (!state.ParseFromString(body_)) {
        return false;
      }
      owner_.ended(*this, true);
      owner_.handlers_.onStatus(id, state);
      return true;
    }
    LeafAnswer answer;
    if (!answer.ParseFromString(body_)) {
      return false;
    }
    owner_.ended(*this, !singleUse);
    owner_.handlers_.onAnswer(id, answer);
    return true;
  }

  void fail(ExchangeFailure failure) {
    const ExchangeId id = exchange;
    owner_.ended(*this, false);
    owner_.handlers_.onFailure(id, failure);
  }

  void markOpened() {
    if (opening) {
      opening = false;
      --owner_.opening_;
    }
  }

  LeafConnections& owner_;
  cxxtools::http::Client client_;
  cxxtools::http::Request request_;
  std::string body_;
};

LeafConnections::LeafConnections(cxxtools::SelectorBase& selector, Handlers handlers)
    : selector_(selector), handlers_(std::move(handlers)) {}

LeafConnections::~LeafConnections() = default;

void LeafConnections::send(const SendToLeaf& request) {
  if (opening_ >= kMaxOpeningConnections && idle_[request.leaf].empty()) {
    pending_.push_back(request);
  } else {
    begin(request);
  }
}

void LeafConnections::begin(const SendToLeaf& request) {
  const bool single = !request.statusOnly && request.task.batch->not_repeatable();
  LeafConnection* connection = single ? nullptr : idleConnection(request.leaf);
  if (connection == nullptr) {
    connections_.push_back(std::make_unique<LeafConnection>(*this, request.leaf));
    connection = connections_.back().get();
    connection->singleUse = single;
    ++opening_;
  }
  busy_[request.exchange] = connection;
  connection->begin(request);
}

LeafConnection* LeafConnections::idleConnection(const Endpoint& leaf) {
  auto& idle = idle_[leaf];
  if (idle.empty()) {
    return nullptr;
  }
  LeafConnection* connection = idle.back();
  idle.pop_back();
  return connection;
}

void LeafConnections::ended(LeafConnection& connection, bool reusable) {
  busy_.erase(connection.exchange);
  connection.idleSince = steadyNow();
  if (reusable) {
    idle_[connection.leaf].push_back(&connection);
  } else {
    connection.ended = true;
  }
}

void LeafConnections::abort(ExchangeId exchange) {
  const auto found = busy_.find(exchange);
  if (found == busy_.end()) {
    eraseIf(pending_, [exchange](const SendToLeaf& request) { return request.exchange == exchange; });
    return;
  }
  LeafConnection& connection = *found->second;
  busy_.erase(found);
  connection.cancel();
  connection.ended = true;
  if (connection.opening) {
    connection.opening = false;
    --opening_;
  }
}

void LeafConnections::onTimer(Moment now) {
  for (auto& [leaf, idle] : idle_) {
    eraseIf(idle, [now](LeafConnection* connection) {
      connection->ended = connection->ended || now - connection->idleSince > kIdleTimeout;
      return connection->ended;
    });
  }
  connections_.remove_if([](const auto& connection) { return connection->ended; });
  while (!pending_.empty() && opening_ < kMaxOpeningConnections) {
    const SendToLeaf request = std::move(pending_.front());
    pending_.pop_front();
    begin(request);
  }
}

}  // namespace oakpier
