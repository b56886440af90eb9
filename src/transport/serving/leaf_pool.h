#pragma once

/// Connection pool for leafs: a bounded number of persistent connections to each, some of them opened in
/// advance. Requests that find no idle connection are queued by priority.

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
  /// Cancelled requests whose connection was closed before the leaf replied.
  std::uint64_t cancelledInFlight = 0;
  /// Dropped from the queue, as too little time was left until the deadline.
  std::uint64_t expiredUnsent = 0;

  // Closed connections by reason, except those closed by cancellations.

  /// Idle for longer than their idle timeout.
  std::uint64_t expiredIdle = 0;
  /// Idle connections in excess of the maximum, or to a leaf that is not to be kept (see
  /// `LeafPool::RetainMode`).
  std::uint64_t surplus = 0;
  /// Idle, and closed by the leaf, or by this daemon as the leaf sent unsolicited bytes.
  std::uint64_t closedIdleByLeaf = 0;
  /// Not reusable after a reply.
  std::uint64_t closedWithReply = 0;
  /// Lost while a request was in progress.
  std::uint64_t closedInFlight = 0;

  /// Leafs that crashed while processing requests of this daemon.
  std::uint64_t leafCrashes = 0;
};

class LeafPool {
 public:
  struct Listener {
    /// Called right before the first byte of the request is written.
    std::function<void()> onWriteStarted;
    std::function<void(const LeafOutcome&)> onOutcome;
  };
  struct ExchangeRequest {
    ExchangeId exchange = 0;
    std::shared_ptr<const LeafRequestTemplate> request;
    /// Priority; 0 is the highest.
    unsigned rank = 0;
    Moment deadline{};
    /// The request is dropped from the queue if less time than this is left until the deadline.
    Duration minTimeLeft{};
    Listener listener;
  };

  LeafPool(boost::asio::io_context& context, const HeaderNames& names);
  LeafPool(const LeafPool&) = delete;
  LeafPool& operator=(const LeafPool&) = delete;
  ~LeafPool();

  /// Called when a leaf becomes unreachable (a connection attempt failed and none is open), after each
  /// further failed attempt, and when it is reachable again. The pool keeps trying to connect to an
  /// unreachable leaf that is to be kept (see `RetainMode`), even without requests. A leaf that accepts a
  /// connection and resets it has reached its connection limit and counts as reachable.
  using ReachabilityListener = std::function<void(const LeafEntry& leaf, bool reachable)>;
  void setReachabilityListener(ReachabilityListener listener) { onReachability_ = std::move(listener); }

  /// Called when a leaf has crashed: connections closed under requests without a byte of a reply, and a new
  /// connection is refused. `interrupted`: these requests. A timeout, a single closed connection or a failure
  /// to connect in time is no evidence of a crash.
  using LeafCrashListener = std::function<void(
      const LeafEntry& leaf, const std::vector<std::shared_ptr<RequestRecord>>& interrupted)>;
  void setLeafCrashListener(LeafCrashListener listener) { onLeafCrash_ = std::move(listener); }
  /// Called once for each request that a leaf has answered successfully, however many attempts succeed.
  using AnswerListener = std::function<void(const RequestRecord& request)>;
  void setAnswerListener(AnswerListener listener) { onAnswered_ = std::move(listener); }

  /// `maximum`: the number of connections that this daemon may have to the leaf.
  void send(const LeafEntry& leaf, std::size_t maximum, ExchangeRequest request);
  /// Cancels a request. A queued one is dropped immediately; one that was sent is aborted by closing its
  /// connection, unless the reply arrives within a grace period.
  void cancel(ExchangeId exchange);
  /// Opens a connection to a leaf in advance, if there is none.
  void preconnect(const LeafEntry& leaf, std::size_t maximum);
  /// How to proceed with the connections to a leaf and the requests queued for it.
  enum class RetainMode {
    kKeep,
    /// Queued requests are still sent; then the connections close.
    kSendQueued,
    /// Queued requests complete as kNotSent, so that they can go to another leaf; connections close once
    /// idle.
    kFailQueued,
  };
  /// Applies the mode that `modeOf` returns for each incarnation, and removes those from the pool that are
  /// not to be kept and have neither connections nor requests left.
  void retain(const std::function<RetainMode(const LeafIncarnation& leaf)>& modeOf);

  const LeafPoolCounters& counters() const { return counters_; }
  /// Memory of the replies on all connections.
  ReceiveMemory& memory() { return *memory_; }
  const ReceiveMemory& memory() const { return *memory_; }

 private:
  struct Channel;
  using ChannelPointer = std::shared_ptr<Channel>;

  ChannelPointer channelOf(const LeafEntry& leaf, std::size_t maximum);
  void open(const ChannelPointer& channel);
  void dispatch(const ChannelPointer& channel);
  /// Drops queued requests that have less than their minimum time left, or too little for a deadline in whole
  /// milliseconds. Listeners are called asynchronously, since a listener must not be called from within its
  /// own call of `send`.
  void dropExpired(Channel& channel, Moment now);
  /// Completes requests that were not sent. Listeners are called asynchronously.
  void completeUnsent(std::list<ExchangeRequest> requests, LeafOutcome::Kind kind);
  void start(const ChannelPointer& channel, const std::shared_ptr<LeafConnection>& connection,
             ExchangeRequest request);
  void onEvent(const std::weak_ptr<Channel>& weak, LeafConnection& connection, LeafConnection::Event event,
               const std::shared_ptr<const HttpReply>& reply);
  void onClosed(const ChannelPointer& channel, LeafConnection& connection);
  /// A connection closed without a reply to the request on it. A new connection shows whether the leaf has
  /// crashed; the next request needs one anyway.
  void onInterrupted(const ChannelPointer& channel, ExchangeRequest request);
  /// Returns true, at most once per crash check, if a second connection is needed to find out whether the
  /// leaf has crashed, and records that. The system may reset a crashing process's connections before it
  /// closes the listening socket. A connection opened in between is accepted and reset, as by a running leaf
  /// that has reached its connection limit.
  static bool repeatsCrashCheck(Channel& channel, const LeafConnection& closed);
  /// Handles a refused connection: nothing listens at the leaf's address any more.
  void reportCrash(Channel& channel);
  /// Completes the interrupted requests that await the crash check.
  static void completeUnconfirmed(Channel& channel, LeafOutcome::Kind kind);
  /// The last attempt to connect has failed, and no connection is left.
  void onUnreachable(const ChannelPointer& channel);
  /// Completes all queued requests as kNotSent.
  void failQueued(const ChannelPointer& channel);
  void onReady(const ChannelPointer& channel, LeafConnection& connection);
  void onReplied(const ChannelPointer& channel, LeafConnection& connection,
                 const std::shared_ptr<const HttpReply>& reply);
  void abortExchange(const ChannelPointer& channel, ExchangeId exchange);

  boost::asio::io_context& context_;
  const HeaderNames& names_;
  /// Shared with the connections, which pending handlers may keep alive for longer than the pool.
  std::shared_ptr<ReceiveMemory> memory_ = std::make_shared<ReceiveMemory>();
  /// Keyed by incarnation: a connection to an earlier incarnation of a leaf carries no request for a later
  /// one.
  std::unordered_map<LeafIncarnation, ChannelPointer, LeafIncarnationHash> channels_;
  std::unordered_map<ExchangeId, std::weak_ptr<Channel>> exchanges_;
  LeafPoolCounters counters_;
  ReachabilityListener onReachability_;
  LeafCrashListener onLeafCrash_;
  AnswerListener onAnswered_;
};

}  // namespace oakpier::serving
