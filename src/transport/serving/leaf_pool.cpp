#include "transport/serving/leaf_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iterator>
#include <utility>
#include <vector>

#include "transport/steady_clock.h"
#include "transport/tcp_user_timeout.h"

namespace oakpier::serving {

namespace {

/// A lost SYN is retransmitted only after a second, so a new connection attempt is faster. The value is about
/// a hundred times the latency between zones, and equal to the limit for unacknowledged data.
constexpr Duration kConnectTimeout = kTcpUserTimeout;
/// Delay between connection attempts to an unreachable leaf.
constexpr Duration kReconnectDelay = kConnectTimeout;
/// How long a cancelled exchange may still complete, so that its connection can be reused.
constexpr Duration kCancelGracePeriod = std::chrono::milliseconds(320);
/// Deadlines are sent in whole milliseconds; a shorter one could reach the leaf as 0.
constexpr Duration kMinDeadline = std::chrono::milliseconds(2);
/// How long an interrupted request waits for the crash check. A connection is accepted or refused within a
/// few milliseconds, even across zones. The hedge of a request with a target latency of 50 ms is sent after
/// about the same time.
constexpr Duration kCrashCheckTimeout = std::chrono::milliseconds(20);
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(20);
/// An idle connection is not used during the last part of the leaf's idle timeout, as the leaf may be closing
/// it.
constexpr Duration kIdleTimeoutMargin = std::chrono::milliseconds(900);

LeafOutcome outcomeOf(LeafOutcome::Kind kind) {
  LeafOutcome outcome;
  outcome.kind = kind;
  return outcome;
}

}  // namespace

/// The connections to one incarnation of a leaf and the requests queued for it.
struct LeafPool::Channel {
  struct InFlight {
    std::shared_ptr<LeafConnection> connection;
    ExchangeRequest request;
  };

  explicit Channel(LeafEntry entry) : leaf(std::move(entry)) {}

  LeafEntry leaf;
  std::size_t maximum = 1;
  /// Not to be kept (see `RetainMode`): connections close once idle.
  bool retired = false;
  /// The last attempt to connect failed, and no connection is open.
  bool unreachable = false;
  std::vector<std::shared_ptr<LeafConnection>> connections;
  std::size_t connecting = 0;
  std::vector<InFlight> inFlight;
  std::list<ExchangeRequest> queued;
  /// Requests whose connection closed without a reply, until the crash check completes.
  std::vector<std::shared_ptr<RequestRecord>> interrupted;
  /// Those of them whose listeners have not been called yet.
  std::list<ExchangeRequest> unconfirmed;
  /// The connection opened for the crash check was accepted and reset, and a second one was opened.
  bool crashCheckRepeated = false;

  std::shared_ptr<LeafConnection> idleConnection(Moment now) const {
    const auto found = std::find_if(connections.begin(), connections.end(),
                                    [&](const std::shared_ptr<LeafConnection>& candidate) {
                                      return candidate->idle() && candidate->usableAt(now);
                                    });
    return found == connections.end() ? nullptr : *found;
  }
};

LeafPool::LeafPool(boost::asio::io_context& context, const HeaderNames& names)
    : context_(context), names_(names) {}

LeafPool::~LeafPool() {
  for (auto& [incarnation, channel] : channels_) {
    for (auto& connection : channel->connections) {
      connection->close();
    }
  }
}

LeafPool::ChannelPointer LeafPool::channelOf(const LeafEntry& leaf, std::size_t maximum) {
  ChannelPointer& channel = channels_[leaf.incarnation()];
  if (!channel) {
    channel = std::make_shared<Channel>(leaf);
  }
  channel->maximum = std::max<std::size_t>(1, maximum);
  return channel;
}

void LeafPool::send(const LeafEntry& leaf, std::size_t maximum, ExchangeRequest request) {
  const ChannelPointer channel = channelOf(leaf, maximum);
  exchanges_[request.exchange] = channel;
  const auto position = std::find_if(channel->queued.begin(), channel->queued.end(),
                                     [&](const ExchangeRequest& other) { return other.rank > request.rank; });
  channel->queued.insert(position, std::move(request));
  dispatch(channel);
}

void LeafPool::preconnect(const LeafEntry& leaf, std::size_t maximum) {
  const ChannelPointer channel = channelOf(leaf, maximum);
  if (channel->connections.empty()) {
    open(channel);
  }
}

void LeafPool::open(const ChannelPointer& channel) {
  const std::weak_ptr<Channel> weak = channel;
  auto connection = std::make_shared<LeafConnection>(
      context_, channel->leaf.address, memory_,
      [this, weak](LeafConnection& source, LeafConnection::Event event,
                   const std::shared_ptr<const HttpReply>& reply) { onEvent(weak, source, event, reply); });
  channel->connections.push_back(connection);
  ++channel->connecting;
  ++counters_.connectionsOpened;
  connection->open(kConnectTimeout);
}

void LeafPool::dispatch(const ChannelPointer& channel) {
  const Moment now = steadyNow();
  dropExpired(*channel, now);
  while (!channel->queued.empty()) {
    const std::shared_ptr<LeafConnection> free = channel->idleConnection(now);
    if (!free) {
      break;
    }
    ExchangeRequest request = std::move(channel->queued.front());
    channel->queued.pop_front();
    start(channel, free, std::move(request));
  }
  auto& connections = channel->connections;
  std::size_t surplus = connections.size() > channel->maximum ? connections.size() - channel->maximum : 0;
  const auto closeUnwanted = [&](const std::shared_ptr<LeafConnection>& connection) {
    const bool expired = !connection->usableAt(now);
    if (!connection->idle() || !(channel->retired || expired || surplus > 0)) {
      return false;
    }
    surplus -= surplus > 0 ? 1 : 0;
    ++(expired ? counters_.expiredIdle : counters_.surplus);
    connection->close();
    return true;
  };
  connections.erase(std::remove_if(connections.begin(), connections.end(), closeUnwanted), connections.end());
  while (channel->connecting < channel->queued.size() && connections.size() < channel->maximum) {
    open(channel);
  }
}

void LeafPool::dropExpired(Channel& channel, Moment now) {
  std::list<ExchangeRequest> dropped;
  for (auto request = channel.queued.begin(); request != channel.queued.end();) {
    const auto next = std::next(request);
    if (request->deadline - now < std::max(request->minTimeLeft, kMinDeadline)) {
      dropped.splice(dropped.end(), channel.queued, request);
    }
    request = next;
  }
  counters_.expiredUnsent += dropped.size();
  completeUnsent(std::move(dropped), LeafOutcome::Kind::kExpired);
}

void LeafPool::completeUnsent(std::list<ExchangeRequest> requests, LeafOutcome::Kind kind) {
  if (requests.empty()) {
    return;
  }
  for (const ExchangeRequest& request : requests) {
    exchanges_.erase(request.exchange);
  }
  const auto ended = std::make_shared<const std::list<ExchangeRequest>>(std::move(requests));
  boost::asio::post(context_, [ended, kind] {
    for (const ExchangeRequest& request : *ended) {
      request.listener.onOutcome(outcomeOf(kind));
    }
  });
}

void LeafPool::start(const ChannelPointer& channel, const std::shared_ptr<LeafConnection>& connection,
                     ExchangeRequest request) {
  const auto remaining = std::chrono::duration_cast<Duration>(request.deadline - steadyNow());
  const std::string bytes = request.request->bytesFor(channel->leaf.id, remaining);
  ++counters_.exchanges;
  if (request.listener.onWriteStarted) {
    request.listener.onWriteStarted();
  }
  const auto leafRequest = request.request;
  channel->inFlight.push_back(Channel::InFlight{connection, std::move(request)});
  connection->exchange(bytes, leafRequest->isHead(), [this, leafRequest](const HttpReply& reply) {
    return repliesTo(reply, leafRequest->requestId(), names_);
  });
}

void LeafPool::onEvent(const std::weak_ptr<Channel>& weak, LeafConnection& connection,
                       LeafConnection::Event event, const std::shared_ptr<const HttpReply>& reply) {
  const ChannelPointer channel = weak.lock();
  if (!channel) {
    return;
  }
  switch (event) {
    case LeafConnection::Event::kReady:
      onReady(channel, connection);
      break;
    case LeafConnection::Event::kReplied:
      onReplied(channel, connection, reply);
      break;
    case LeafConnection::Event::kClosed:
      onClosed(channel, connection);
      break;
  }
  dispatch(channel);
}

void LeafPool::onReplied(const ChannelPointer& channel, LeafConnection& connection,
                         const std::shared_ptr<const HttpReply>& reply) {
  auto& inFlight = channel->inFlight;
  const auto found = std::find_if(inFlight.begin(), inFlight.end(), [&](const Channel::InFlight& candidate) {
    return candidate.connection.get() == &connection;
  });
  if (found == inFlight.end()) {
    return;
  }
  ExchangeRequest request = std::move(found->request);
  const std::shared_ptr<LeafConnection> kept = found->connection;
  inFlight.erase(found);
  exchanges_.erase(request.exchange);
  if (kept->idle()) {
    const auto reported = idleTimeoutOf(*reply);
    kept->setIdleTimeout(
        reported ? std::max(*reported - kIdleTimeoutMargin, Duration(0)) : kDefaultIdleTimeout, steadyNow());
  } else {
    ++counters_.closedWithReply;
    auto& connections = channel->connections;
    connections.erase(std::remove(connections.begin(), connections.end(), kept), connections.end());
  }
  const LeafOutcome outcome = classifyReply(reply, names_);
  RequestRecord& record = *request.request->record();
  if (outcome.kind == LeafOutcome::Kind::kAnswered && !std::exchange(record.answered, true) && onAnswered_) {
    onAnswered_(record);
  }
  request.listener.onOutcome(outcome);
}

void LeafPool::onClosed(const ChannelPointer& channel, LeafConnection& connection) {
  auto& connections = channel->connections;
  const auto position =
      std::find_if(connections.begin(), connections.end(),
                   [&](const std::shared_ptr<LeafConnection>& other) { return other.get() == &connection; });
  if (position == connections.end()) {
    return;
  }
  const std::shared_ptr<LeafConnection> kept = *position;
  connections.erase(position);
  auto& inFlight = channel->inFlight;
  const auto found = std::find_if(inFlight.begin(), inFlight.end(), [&](const Channel::InFlight& candidate) {
    return candidate.connection == kept;
  });
  if (found != inFlight.end()) {
    ExchangeRequest request = std::move(found->request);
    inFlight.erase(found);
    exchanges_.erase(request.exchange);
    ++counters_.closedInFlight;
    if (kept->closedWithoutReply()) {
      onInterrupted(channel, std::move(request));
    } else {
      request.listener.onOutcome(outcomeOf(LeafOutcome::Kind::kNoAnswer));
    }
    return;
  }
  if (kept->wasOpen()) {
    ++counters_.closedIdleByLeaf;
  } else {
    --channel->connecting;
    ++counters_.connectionsFailed;
    if (kept->wasRefused()) {
      reportCrash(*channel);
    } else if (repeatsCrashCheck(*channel, *kept)) {
      if (connections.empty()) {
        failQueued(channel);
      }
      open(channel);
      return;
    } else {
      channel->interrupted.clear();
      completeUnconfirmed(*channel, LeafOutcome::Kind::kNoAnswer);
    }
    // Requests stay queued only while there is a connection that can serve them.
    if (connections.empty()) {
      if (!kept->wasAccepted()) {
        onUnreachable(channel);
      }
      failQueued(channel);
    }
  }
}

bool LeafPool::repeatsCrashCheck(Channel& channel, const LeafConnection& closed) {
  if (channel.interrupted.empty() || !closed.wasAccepted()) {
    return false;
  }
  return !std::exchange(channel.crashCheckRepeated, true);
}

void LeafPool::onInterrupted(const ChannelPointer& channel, ExchangeRequest request) {
  channel->crashCheckRepeated = channel->crashCheckRepeated && !channel->interrupted.empty();
  channel->interrupted.push_back(request.request->record());
  channel->unconfirmed.push_back(std::move(request));
  if (channel->connecting == 0) {
    open(channel);
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(context_, kCrashCheckTimeout);
  const std::weak_ptr<Channel> weak = channel;
  timer->async_wait([timer, weak](const boost::system::error_code& error) {
    const ChannelPointer target = weak.lock();
    if (!error && target) {
      completeUnconfirmed(*target, LeafOutcome::Kind::kNoAnswer);
    }
  });
}

void LeafPool::completeUnconfirmed(Channel& channel, LeafOutcome::Kind kind) {
  const std::list<ExchangeRequest> ended = std::exchange(channel.unconfirmed, {});
  for (const ExchangeRequest& request : ended) {
    request.listener.onOutcome(outcomeOf(kind));
  }
}

void LeafPool::reportCrash(Channel& channel) {
  const std::vector<std::shared_ptr<RequestRecord>> interrupted = std::exchange(channel.interrupted, {});
  if (interrupted.empty()) {
    return;
  }
  ++counters_.leafCrashes;
  if (onLeafCrash_) {
    onLeafCrash_(channel.leaf, interrupted);
  }
  completeUnconfirmed(channel, LeafOutcome::Kind::kLeafCrashed);
}

void LeafPool::onReady(const ChannelPointer& channel, LeafConnection& connection) {
  --channel->connecting;
  channel->interrupted.clear();
  completeUnconfirmed(*channel, LeafOutcome::Kind::kNoAnswer);
  connection.setIdleTimeout(kDefaultIdleTimeout, steadyNow());
  if (std::exchange(channel->unreachable, false) && onReachability_) {
    onReachability_(channel->leaf, true);
  }
}

void LeafPool::onUnreachable(const ChannelPointer& channel) {
  channel->unreachable = true;
  if (onReachability_) {
    onReachability_(channel->leaf, false);
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(context_, kReconnectDelay);
  const std::weak_ptr<Channel> weak = channel;
  timer->async_wait([this, timer, weak](const boost::system::error_code& error) {
    const ChannelPointer target = weak.lock();
    if (!error && target && !target->retired && target->connections.empty()) {
      open(target);
    }
  });
}

void LeafPool::failQueued(const ChannelPointer& channel) {
  const std::list<ExchangeRequest> failed = std::exchange(channel->queued, {});
  for (const ExchangeRequest& request : failed) {
    exchanges_.erase(request.exchange);
  }
  for (const ExchangeRequest& request : failed) {
    request.listener.onOutcome(outcomeOf(LeafOutcome::Kind::kNotSent));
  }
}

void LeafPool::cancel(ExchangeId exchange) {
  const auto entry = exchanges_.find(exchange);
  if (entry == exchanges_.end()) {
    return;
  }
  const ChannelPointer channel = entry->second.lock();
  if (!channel) {
    exchanges_.erase(entry);
    return;
  }
  const auto queued =
      std::find_if(channel->queued.begin(), channel->queued.end(),
                   [&](const ExchangeRequest& request) { return request.exchange == exchange; });
  if (queued != channel->queued.end()) {
    ExchangeRequest request = std::move(*queued);
    channel->queued.erase(queued);
    exchanges_.erase(exchange);
    request.listener.onOutcome(outcomeOf(LeafOutcome::Kind::kCancelled));
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(context_, kCancelGracePeriod);
  const std::weak_ptr<Channel> weak = channel;
  timer->async_wait([this, timer, weak, exchange](const boost::system::error_code& error) {
    const ChannelPointer target = weak.lock();
    if (!error && target) {
      abortExchange(target, exchange);
    }
  });
}

void LeafPool::abortExchange(const ChannelPointer& channel, ExchangeId exchange) {
  auto& inFlight = channel->inFlight;
  const auto found = std::find_if(inFlight.begin(), inFlight.end(), [&](const Channel::InFlight& candidate) {
    return candidate.request.exchange == exchange;
  });
  if (found == inFlight.end()) {
    return;
  }
  const std::shared_ptr<LeafConnection> connection = found->connection;
  ExchangeRequest request = std::move(found->request);
  inFlight.erase(found);
  exchanges_.erase(exchange);
  ++counters_.cancelledInFlight;
  connection->close();
  auto& connections = channel->connections;
  connections.erase(std::remove(connections.begin(), connections.end(), connection), connections.end());
  request.listener.onOutcome(outcomeOf(LeafOutcome::Kind::kCancelled));
  dispatch(channel);
}

void LeafPool::retain(const std::function<RetainMode(const LeafIncarnation& leaf)>& modeOf) {
  std::vector<LeafIncarnation> unused;
  for (auto& [incarnation, channel] : channels_) {
    const RetainMode mode = modeOf(incarnation);
    channel->retired = mode != RetainMode::kKeep;
    if (!channel->retired) {
      continue;
    }
    if (mode == RetainMode::kFailQueued) {
      completeUnsent(std::exchange(channel->queued, {}), LeafOutcome::Kind::kNotSent);
    }
    dispatch(channel);
    if (channel->connections.empty() && channel->inFlight.empty() && channel->queued.empty() &&
        channel->unconfirmed.empty()) {
      unused.push_back(incarnation);
    }
  }
  for (const LeafIncarnation& incarnation : unused) {
    channels_.erase(incarnation);
  }
}

}  // namespace oakpier::serving
