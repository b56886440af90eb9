#pragma once

/// Bounds the memory that messages take while they are received on all connections together, so that no
/// sender, and no number of senders, can exhaust the memory of the process by what they send.
///
/// Invariant: large messages together, unfinished ones and replies still in use, take at most the limit and
/// one read more. When it would be exceeded, the unfinished message that takes the most is given up first: a
/// leaf that sends without end loses its own reply and not those of others.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "state/serving/http_message.h"

namespace oakpier::serving {

class ReceiveMemory {
 public:
  /// A connection that receives messages.
  class Receiver {
   public:
    virtual ~Receiver() = default;
    /// Gives up the unfinished message. Must not call back into `ReceiveMemory` before it returns.
    virtual void giveUp() = 0;
  };

  /// Messages up to this size are not counted: they are bounded by the number of connections.
  static constexpr std::size_t kUncountedBytes = std::size_t{16} * 1024;
  static constexpr std::size_t kDefaultLimit = std::size_t{64} * 1024 * 1024;

  void setLimit(std::size_t bytes) { limit_ = bytes; }
  /// The unfinished message of the receiver takes this many bytes; 0 if it has none. Returns false if it does
  /// not fit and must be given up by the receiver.
  bool hold(Receiver& receiver, std::size_t bytes);
  /// The receiver's reply is finished; it counts until the last user of the returned pointer releases it.
  std::shared_ptr<const HttpReply> keepFinished(Receiver& receiver, HttpReply reply);

  /// Memory of all counted messages.
  std::size_t used() const { return unfinishedBytes_ + *finishedBytes_; }
  std::uint64_t givenUp() const { return givenUp_; }

 private:
  void forget(Receiver& receiver);

  std::size_t limit_ = kDefaultLimit;
  std::unordered_map<Receiver*, std::size_t> unfinished_;
  std::size_t unfinishedBytes_ = 0;
  /// Shared with the replies, which may outlive this object.
  std::shared_ptr<std::size_t> finishedBytes_ = std::make_shared<std::size_t>(0);
  std::uint64_t givenUp_ = 0;
};

}  // namespace oakpier::serving
