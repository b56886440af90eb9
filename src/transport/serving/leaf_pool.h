#pragma once

/// Connections to leafs: a bounded number for each, kept open between exchanges, opened ahead where that
/// pays. Requests that find no free connection wait in order of their rank.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/serving/leaf_outcome.h"
#include "coordination/serving/query_actions.h"
#include "protocol/serving/leaf_messages.h"
#include "transport/serving/leaf_connection.h"

namespace oakpier::serving {

struct LeafPoolCounters {
  std::uint64_t exchanges = 0;
  std::uint64_t connectionsOpened = 0;
  std::uint64_t connectionsFailed = 0;
  std::uint64_t abandonedAtWork = 0;
  /// Dropped unsent, as too little of their time was left.
  std::uint64_t expiredUnsent = 0;
  /// Why connections ended, beside those of abandoned requests.
  std::uint64_t expiredIdle = 0;
  std::uint64_t surplus = 0;
  std::uint64_t closedIdleByLeaf = 0;
  std::uint64_t closedWithReply = 0;
  std::uint64_t brokenUnderRequest = 0;
  /// Leafs whose process ended under requests of this daemon.
  std::uint64_t leafsEnded = 0;
};

class LeafPool {
 public:
  struct Listener {
    /// The first byte of the request is about to be written.
    std::function<void()> onWriteStarted;
    std::function<void(const LeafOutcome&)> onOutcome;
  };
  struct Order {
    ExchangeId exchange = 0;
    std::shared_ptr<const LeafRequestTemplate> request;
    unsigned rank = 0;
    Moment deadline{};
    /// The request is dropped unsent when less than this is left until the deadline.
    Duration minTimeLeft{};
    Listener listener;
  };

  LeafPool(boost::asio::io_context& context, const HeaderNames& names);
  LeafPool(const LeafPool&) = delete;
  LeafPool& operator=(const LeafPool&) = delete;
  ~LeafPool();

  /// Told when no connection to a leaf could be opened and none is open, and when one is open again. A leaf
  /// that cannot be reached is tried anew without a request, so that its return is noticed. One that accepts
  /// a connection and resets it has too many, and can be reached.
  using ReachabilityListener = std::function<void(const LeafEntry& leaf, bool reachable)>;
  void setReachabilityListener(ReachabilityListener listener) { onReachability_ = std::move(listener); }

  /// Told when a leaf's process has ended: requests were broken off there without a byte of an answer, no
  /// connection is left, and a new one is refused. `under`: those requests. Silence, a single connection that
  /// breaks and a connection that cannot be opened in time say nothing of the process.
  using LeafEndListener =
      std::function<void(const LeafEntry& leaf, const std::vector<std::shared_ptr<RequestRecord>>& under)>;
  void setLeafEndListener(LeafEndListener listener) { onLeafEnd_ = std::move(listener); }
  /// Told once of each request that a leaf has answered.
  using AnswerListener = std::function<void(const RequestRecord& request)>;
  void setAnswerListener(AnswerListener listener) { onAnswered_ = std::move(listener); }

  /// `maximum`: connections that this daemon may hold to the leaf.
  void send(const LeafEntry& leaf, std::size_t maximum, Order order);
  /// The outcome no longer matters: a waiting request is dropped, one at work is cut off after a while.
  void abandon(ExchangeId exchange);
  /// Opens the first connection to a leaf ahead of its first request.
  void warm(const LeafEntry& leaf, std::size_t maximum);
  /// What becomes of the connections to a leaf and of the requests that wait for one.
  enum class LeafUse {
    kKeep,
    /// Requests that wait are still sent; then the connections close.
    kFinish,
    /// Requests that wait end unsent, so that they can go to another leaf; the connections close once idle.
    kStop,
  };
  void retain(const std::function<LeafUse(const LeafIncarnation& leaf)>& useOf);

  const LeafPoolCounters& counters() const { return counters_; }

 private:
  struct Channel;
  using ChannelPointer = std::shared_ptr<Channel>;

  ChannelPointer channelOf(const LeafEntry& leaf, std::size_t maximum);
  void open(const ChannelPointer& channel);
  void dispatch(const ChannelPointer& channel);
  /// Drops waiting requests whose time can no longer hold the leaf's work. Their listeners are told later, as
  /// one that sends may not be called in turn.
  void dropExpired(Channel& channel, Moment now);
  /// Ends requests that were not sent. Their listeners are told later.
  void endUnsent(std::list<Order> orders, LeafOutcome::Kind kind);
  void start(const ChannelPointer& channel, const std::shared_ptr<LeafConnection>& connection, Order order);
  void onEvent(const std::weak_ptr<Channel>& weak, LeafConnection& connection, LeafConnection::Event event,
               const std::shared_ptr<const HttpReply>& reply);
  void onClosed(const ChannelPointer& channel, LeafConnection& connection);
  /// A request ended with its connection. A new one tells whether the leaf's process has ended, too; the next
  /// request there needs it anyway.
  void onBroken(const ChannelPointer& channel, Order order);
  /// True when a second connection is to tell what became of the leaf. A process that ends may reset its
  /// connections before it stops listening; one that is opened in between is accepted and reset, as by a leaf
  /// that lives and has too many connections.
  static bool asksAgain(Channel& channel, const LeafConnection& closed);
  /// A new connection is refused: no process listens at the leaf's address any more.
  void reportEnd(Channel& channel);
  /// Ends the requests that were broken off and wait for what became of the leaf.
  static void endBrokenOff(Channel& channel, LeafOutcome::Kind kind);
  /// No connection to the leaf could be opened, and none is being opened any more.
  void onUnreachable(const ChannelPointer& channel);
  /// Ends what waits for a connection as not sent.
  void refuseWaiting(const ChannelPointer& channel);
  void onReady(const ChannelPointer& channel, LeafConnection& connection);
  void onReplied(const ChannelPointer& channel, LeafConnection& connection,
                 const std::shared_ptr<const HttpReply>& reply);
  void cutOff(const ChannelPointer& channel, ExchangeId exchange);

  boost::asio::io_context& context_;
  const HeaderNames& names_;
  /// By life: a connection that was opened to an earlier life of a leaf carries nothing for a later one.
  std::unordered_map<LeafIncarnation, ChannelPointer, LeafIncarnationHash> channels_;
  std::unordered_map<ExchangeId, std::weak_ptr<Channel>> exchanges_;
  LeafPoolCounters counters_;
  ReachabilityListener onReachability_;
  LeafEndListener onLeafEnd_;
  AnswerListener onAnswered_;
};

}  // namespace oakpier::serving
