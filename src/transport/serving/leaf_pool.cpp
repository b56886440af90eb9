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

/// An opening packet that is lost is sent again after a second; a new attempt is quicker. Some hundred times
/// the way between zones, and as long as requests are waited for without an acknowledgement.
constexpr Duration kConnectTimeout = kTcpUserTimeout;
/// A leaf that cannot be reached is tried anew after this, as often as a connection may take to open.
constexpr Duration kReconnectPause = kConnectTimeout;
/// An abandoned exchange may still end by itself for this long, so that the connection can be kept.
constexpr Duration kAbandonGrace = std::chrono::milliseconds(320);
/// Deadlines travel in whole milliseconds; a shorter one would tell a leaf to stop before it begins.
constexpr Duration kShortestDeadline = std::chrono::milliseconds(2);
/// A refused or accepted connection comes within some milliseconds, also from another zone. A query waits no
/// longer for what became of the leaf; the hedge of a request with a target latency of 50 ms is sent then,
/// too.
constexpr Duration kConfirmPatience = std::chrono::milliseconds(20);
constexpr Duration kDefaultIdle = std::chrono::seconds(20);
/// An idle connection is not used in the last part of the time that the leaf keeps it.
constexpr Duration kIdleReserve = std::chrono::milliseconds(900);

LeafOutcome outcomeOf(LeafOutcome::Kind kind) {
  LeafOutcome outcome;
  outcome.kind = kind;
  return outcome;
}

}  // namespace

/// The connections to one leaf and the requests that wait for one.
struct LeafPool::Channel {
  struct Running {
    std::shared_ptr<LeafConnection> connection;
    Order order;
  };

  explicit Channel(LeafEntry entry) : leaf(std::move(entry)) {}

  LeafEntry leaf;
  std::size_t maximum = 1;
  bool retired = false;
  /// The last connections could not be opened.
  bool unreachable = false;
  std::vector<std::shared_ptr<LeafConnection>> connections;
  std::size_t connecting = 0;
  std::vector<Running> running;
  std::list<Order> waiting;
  /// Of requests that were broken off, until it is known whether the leaf's process has ended.
  std::vector<std::shared_ptr<RequestRecord>> brokenOff;
  /// Those of them whose queries still wait to be told.
  std::list<Order> unconfirmed;
  /// A connection that was to tell was accepted and reset at once, and a second one was opened.
  bool askedTwice = false;

  std::shared_ptr<LeafConnection> idleConnection(Moment now) const {
    const auto found = std::find_if(connections.begin(), connections.end(),
                                    [&](const std::shared_ptr<LeafConnection>& candidate) {
                                      return candidate->idle() && candidate->usableUntil(now);
                                    });
    return found == connections.end() ? nullptr : *found;
  }
};

LeafPool::LeafPool(boost::asio::io_context& context, const HeaderNames& names)
    : context_(context), names_(names) {}

LeafPool::~LeafPool() {
  for (auto& [life, channel] : channels_) {
    for (auto& connection : channel->connections) {
      connection->close();
    }
  }
}

LeafPool::ChannelPointer LeafPool::channelOf(const LeafEntry& leaf, std::size_t maximum) {
  ChannelPointer& channel = channels_[leaf.life()];
  if (!channel) {
    channel = std::make_shared<Channel>(leaf);
  }
  channel->maximum = std::max<std::size_t>(1, maximum);
  return channel;
}

void LeafPool::send(const LeafEntry& leaf, std::size_t maximum, Order order) {
  const ChannelPointer channel = channelOf(leaf, maximum);
  exchanges_[order.exchange] = channel;
  const auto position = std::find_if(channel->waiting.begin(), channel->waiting.end(),
                                     [&](const Order& other) { return other.rank > order.rank; });
  channel->waiting.insert(position, std::move(order));
  dispatch(channel);
}

void LeafPool::warm(const LeafEntry& leaf, std::size_t maximum) {
  const ChannelPointer channel = channelOf(leaf, maximum);
  if (channel->connections.empty()) {
    open(channel);
  }
}

void LeafPool::open(const ChannelPointer& channel) {
  const std::weak_ptr<Channel> weak = channel;
  auto connection = std::make_shared<LeafConnection>(
      context_, channel->leaf.address,
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
  while (!channel->waiting.empty()) {
    const std::shared_ptr<LeafConnection> free = channel->idleConnection(now);
    if (!free) {
      break;
    }
    Order order = std::move(channel->waiting.front());
    channel->waiting.pop_front();
    start(channel, free, std::move(order));
  }
  auto& connections = channel->connections;
  std::size_t surplus = connections.size() > channel->maximum ? connections.size() - channel->maximum : 0;
  const auto closeUnwanted = [&](const std::shared_ptr<LeafConnection>& connection) {
    const bool expired = !connection->usableUntil(now);
    if (!connection->idle() || !(channel->retired || expired || surplus > 0)) {
      return false;
    }
    surplus -= surplus > 0 ? 1 : 0;
    ++(expired ? counters_.expiredIdle : counters_.surplus);
    connection->close();
    return true;
  };
  connections.erase(std::remove_if(connections.begin(), connections.end(), closeUnwanted), connections.end());
  while (channel->connecting < channel->waiting.size() && connections.size() < channel->maximum) {
    open(channel);
  }
}

void LeafPool::dropExpired(Channel& channel, Moment now) {
  std::list<Order> dropped;
  for (auto order = channel.waiting.begin(); order != channel.waiting.end();) {
    const auto next = std::next(order);
    if (order->deadline - now < std::max(order->leastTime, kShortestDeadline)) {
      dropped.splice(dropped.end(), channel.waiting, order);
    }
    order = next;
  }
  counters_.expiredUnsent += dropped.size();
  endUnsent(std::move(dropped), LeafOutcome::Kind::kExpired);
}

void LeafPool::endUnsent(std::list<Order> orders, LeafOutcome::Kind kind) {
  if (orders.empty()) {
    return;
  }
  for (const Order& order : orders) {
    exchanges_.erase(order.exchange);
  }
  const auto ended = std::make_shared<const std::list<Order>>(std::move(orders));
  boost::asio::post(context_, [ended, kind] {
    for (const Order& order : *ended) {
      order.listener.onOutcome(outcomeOf(kind));
    }
  });
}

void LeafPool::start(const ChannelPointer& channel, const std::shared_ptr<LeafConnection>& connection,
                     Order order) {
  const auto remaining = std::chrono::duration_cast<Duration>(order.deadline - steadyNow());
  const std::string bytes = order.request->bytesFor(channel->leaf.id, remaining);
  ++counters_.exchanges;
  if (order.listener.onWritten) {
    order.listener.onWritten();
  }
  const auto request = order.request;
  channel->running.push_back(Channel::Running{connection, std::move(order)});
  connection->exchange(bytes, request->isHead(), [this, request](const HttpReply& reply) {
    return repliesTo(reply, request->requestId(), names_);
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
  auto& running = channel->running;
  const auto found = std::find_if(running.begin(), running.end(), [&](const Channel::Running& candidate) {
    return candidate.connection.get() == &connection;
  });
  if (found == running.end()) {
    return;
  }
  Order order = std::move(found->order);
  const std::shared_ptr<LeafConnection> kept = found->connection;
  running.erase(found);
  exchanges_.erase(order.exchange);
  if (kept->idle()) {
    const auto told = idleTimeoutOf(*reply);
    kept->keepIdleFor(told ? std::max(*told - kIdleReserve, Duration(0)) : kDefaultIdle, steadyNow());
  } else {
    ++counters_.closedWithReply;
    auto& connections = channel->connections;
    connections.erase(std::remove(connections.begin(), connections.end(), kept), connections.end());
  }
  const LeafOutcome outcome = classifyReply(reply, names_);
  RequestRecord& record = *order.request->record();
  if (outcome.kind == LeafOutcome::Kind::kAnswered && !std::exchange(record.answered, true) && onAnswered_) {
    onAnswered_(record);
  }
  order.listener.onOutcome(outcome);
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
  auto& running = channel->running;
  const auto found = std::find_if(running.begin(), running.end(), [&](const Channel::Running& candidate) {
    return candidate.connection == kept;
  });
  if (found != running.end()) {
    Order order = std::move(found->order);
    running.erase(found);
    exchanges_.erase(order.exchange);
    ++counters_.brokenUnderRequest;
    if (kept->endedWithoutAnswer()) {
      onBroken(channel, std::move(order));
    } else {
      order.listener.onOutcome(outcomeOf(LeafOutcome::Kind::kNoAnswer));
    }
    return;
  }
  if (kept->wasOpen()) {
    ++counters_.closedIdleByLeaf;
  } else {
    --channel->connecting;
    ++counters_.connectionsFailed;
    if (kept->wasRefused()) {
      reportEnd(*channel);
    } else if (asksAgain(*channel, *kept)) {
      if (connections.empty()) {
        refuseWaiting(channel);
      }
      open(channel);
      return;
    } else {
      channel->brokenOff.clear();
      endBrokenOff(*channel, LeafOutcome::Kind::kNoAnswer);
    }
    // Nothing waits for a leaf that cannot be reached, unless another connection serves it.
    if (connections.empty()) {
      if (!kept->wasAccepted()) {
        onUnreachable(channel);
      }
      refuseWaiting(channel);
    }
  }
}

bool LeafPool::asksAgain(Channel& channel, const LeafConnection& closed) {
  if (channel.brokenOff.empty() || !closed.wasAccepted()) {
    return false;
  }
  return !std::exchange(channel.askedTwice, true);
}

void LeafPool::onBroken(const ChannelPointer& channel, Order order) {
  channel->askedTwice = channel->askedTwice && !channel->brokenOff.empty();
  channel->brokenOff.push_back(order.request->record());
  channel->unconfirmed.push_back(std::move(order));
  if (channel->connecting == 0) {
    open(channel);
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(context_, kConfirmPatience);
  const std::weak_ptr<Channel> weak = channel;
  timer->async_wait([timer, weak](const boost::system::error_code& error) {
    const ChannelPointer target = weak.lock();
    if (!error && target) {
      endBrokenOff(*target, LeafOutcome::Kind::kNoAnswer);
    }
  });
}

void LeafPool::endBrokenOff(Channel& channel, LeafOutcome::Kind kind) {
  const std::list<Order> ended = std::exchange(channel.unconfirmed, {});
  for (const Order& order : ended) {
    order.listener.onOutcome(outcomeOf(kind));
  }
}

void LeafPool::reportEnd(Channel& channel) {
  const std::vector<std::shared_ptr<RequestRecord>> under = std::exchange(channel.brokenOff, {});
  if (under.empty()) {
    return;
  }
  ++counters_.leafsEnded;
  if (onLeafEnd_) {
    onLeafEnd_(channel.leaf, under);
  }
  endBrokenOff(channel, LeafOutcome::Kind::kLeafEnded);
}

void LeafPool::onReady(const ChannelPointer& channel, LeafConnection& connection) {
  --channel->connecting;
  channel->brokenOff.clear();
  endBrokenOff(*channel, LeafOutcome::Kind::kNoAnswer);
  connection.keepIdleFor(kDefaultIdle, steadyNow());
  if (std::exchange(channel->unreachable, false) && onReachability_) {
    onReachability_(channel->leaf, true);
  }
}

void LeafPool::onUnreachable(const ChannelPointer& channel) {
  channel->unreachable = true;
  if (onReachability_) {
    onReachability_(channel->leaf, false);
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(context_, kReconnectPause);
  const std::weak_ptr<Channel> weak = channel;
  timer->async_wait([this, timer, weak](const boost::system::error_code& error) {
    const ChannelPointer target = weak.lock();
    if (!error && target && !target->retired && target->connections.empty()) {
      open(target);
    }
  });
}

void LeafPool::refuseWaiting(const ChannelPointer& channel) {
  const std::list<Order> refused = std::exchange(channel->waiting, {});
  for (const Order& order : refused) {
    exchanges_.erase(order.exchange);
  }
  for (const Order& order : refused) {
    order.listener.onOutcome(outcomeOf(LeafOutcome::Kind::kNotSent));
  }
}

void LeafPool::abandon(ExchangeId exchange) {
  const auto entry = exchanges_.find(exchange);
  if (entry == exchanges_.end()) {
    return;
  }
  const ChannelPointer channel = entry->second.lock();
  if (!channel) {
    exchanges_.erase(entry);
    return;
  }
  const auto waiting = std::find_if(channel->waiting.begin(), channel->waiting.end(),
                                    [&](const Order& order) { return order.exchange == exchange; });
  if (waiting != channel->waiting.end()) {
    Order order = std::move(*waiting);
    channel->waiting.erase(waiting);
    exchanges_.erase(exchange);
    order.listener.onOutcome(outcomeOf(LeafOutcome::Kind::kWithdrawn));
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(context_, kAbandonGrace);
  const std::weak_ptr<Channel> weak = channel;
  timer->async_wait([this, timer, weak, exchange](const boost::system::error_code& error) {
    const ChannelPointer target = weak.lock();
    if (!error && target) {
      cutOff(target, exchange);
    }
  });
}

void LeafPool::cutOff(const ChannelPointer& channel, ExchangeId exchange) {
  auto& running = channel->running;
  const auto found = std::find_if(running.begin(), running.end(), [&](const Channel::Running& candidate) {
    return candidate.order.exchange == exchange;
  });
  if (found == running.end()) {
    return;
  }
  const std::shared_ptr<LeafConnection> connection = found->connection;
  Order order = std::move(found->order);
  running.erase(found);
  exchanges_.erase(exchange);
  ++counters_.abandonedAtWork;
  connection->close();
  auto& connections = channel->connections;
  connections.erase(std::remove(connections.begin(), connections.end(), connection), connections.end());
  order.listener.onOutcome(outcomeOf(LeafOutcome::Kind::kWithdrawn));
  dispatch(channel);
}

void LeafPool::retain(const std::function<LeafUse(const LeafLife& leaf)>& useOf) {
  std::vector<LeafLife> finished;
  for (auto& [life, channel] : channels_) {
    const LeafUse use = useOf(life);
    channel->retired = use != LeafUse::kKeep;
    if (!channel->retired) {
      continue;
    }
    if (use == LeafUse::kStop) {
      endUnsent(std::exchange(channel->waiting, {}), LeafOutcome::Kind::kNotSent);
    }
    dispatch(channel);
    if (channel->connections.empty() && channel->running.empty() && channel->waiting.empty() &&
        channel->unconfirmed.empty()) {
      finished.push_back(life);
    }
  }
  for (const LeafLife& life : finished) {
    channels_.erase(life);
  }
}

}  // namespace oakpier::serving
