#pragma once

/// A connection to a leaf. Carries one exchange at a time and never resends a request.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "state/endpoint.h"
#include "state/time.h"
#include "transport/serving/receive_memory.h"
#include "transport/serving/reply_reader.h"

namespace oakpier::serving {

class LeafConnection : public std::enable_shared_from_this<LeafConnection>, private ReceiveMemory::Receiver {
 public:
  /// Result of an exchange or of opening the connection.
  enum class Event {
    /// The connection is open and idle.
    kReady,
    /// A reply has arrived. The connection is idle or closed.
    kReplied,
    /// The connection could not be opened, or it has closed. A request in progress got no reply.
    kClosed,
  };
  /// `reply` is set for kReplied only.
  using Listener = std::function<void(LeafConnection&, Event, std::shared_ptr<const HttpReply> reply)>;
  /// Returns whether a reply answers the request in progress; other replies are discarded.
  using ReplyFilter = std::function<bool(const HttpReply&)>;

  LeafConnection(boost::asio::io_context& context, const Endpoint& address,
                 std::shared_ptr<ReceiveMemory> memory, Listener listener);
  LeafConnection(const LeafConnection&) = delete;
  LeafConnection& operator=(const LeafConnection&) = delete;
  ~LeafConnection() override;

  void open(Duration timeout);
  /// Sends the request `bytes`. Call only when idle.
  void exchange(std::string bytes, bool isHead, ReplyFilter filter);
  /// Closes the connection; the listener is not called again.
  void close();

  /// The connection was established and was not reset immediately afterwards.
  bool wasOpen() const { return wasOpen_; }
  /// The leaf's host completed the TCP handshake, even if it reset the connection immediately afterwards.
  bool wasAccepted() const { return wasAccepted_; }
  /// The connection was refused: no process listens at the leaf's address.
  bool wasRefused() const { return wasRefused_; }
  /// The leaf's host closed or reset the connection before any byte of a reply to the request on it. False
  /// after a timeout.
  bool closedWithoutReply() const { return closedWithoutReply_; }
  bool idle() const { return state_ == State::kIdle; }
  /// `now` is before the time at which the idle connection expires.
  bool usableAt(Moment now) const { return now < idleExpiresAt_; }
  void setIdleTimeout(Duration duration, Moment now) { idleExpiresAt_ = now + duration; }

 private:
  enum class State { kConnecting, kIdle, kBusy, kClosed };
  void awaitEarlyReset();
  void read();
  void onRead(const boost::system::error_code& error, std::size_t count);
  void onReply();
  /// Discards a reply that answers another request, and goes on with what follows it.
  void skipForeignReply(bool reusable);
  void giveUp() override;
  /// Closes the connection; the request in progress gets no reply on it.
  void onConnectionLost(const boost::system::error_code& error);
  void fail();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connectTimer_;
  Endpoint address_;
  std::shared_ptr<ReceiveMemory> memory_;
  Listener listener_;
  State state_ = State::kConnecting;
  ReplyReader reader_;
  ReplyFilter filter_;
  std::string outgoing_;
  /// Number of exchanges on the connection.
  std::uint64_t exchange_ = 0;
  /// Replies to other requests that were received during the current exchange.
  unsigned foreignReplies_ = 0;
  bool writing_ = false;
  bool reading_ = false;
  bool isHead_ = false;
  bool wasOpen_ = false;
  bool wasAccepted_ = false;
  bool wasRefused_ = false;
  bool closedWithoutReply_ = false;
  Moment idleExpiresAt_ = kNever;
};

}  // namespace oakpier::serving
