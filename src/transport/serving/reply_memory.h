#pragma once

/// Bounds the memory that the replies of leafs take on all connections together, so that no leaf, and no
/// number of leafs, can exhaust the memory of the process by what they send.
///
/// Invariant: large replies together, unfinished ones and those still in use, take at most the limit and one
/// read more. When it would be exceeded, the unfinished reply that takes the most is given up first: a leaf
/// that sends without end loses its own reply and not those of others.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "state/serving/http_message.h"

namespace oakpier::serving {

class ReplyMemory {
 public:
  /// A connection that receives replies.
  class Receiver {
   public:
    virtual ~Receiver() = default;
    /// Gives up the unfinished reply. Must not call back into `ReplyMemory` before it returns.
    virtual void giveUpReply() = 0;
  };

  /// Replies up to this size are not counted: they are bounded by the number of connections.
  static constexpr std::size_t kUncountedBytes = std::size_t{16} * 1024;
  static constexpr std::size_t kDefaultLimit = std::size_t{64} * 1024 * 1024;

  void setLimit(std::size_t bytes) { limit_ = bytes; }
  /// The unfinished reply of the receiver takes this many bytes; 0 if it has none. Returns false if it does
  /// not fit and must be given up by the receiver.
  bool hold(Receiver& receiver, std::size_t bytes);
  /// The receiver's reply is finished; it counts until the last user of the returned pointer releases it.
  std::shared_ptr<const HttpReply> keepFinished(Receiver& receiver, HttpReply reply);

  /// Memory of all counted replies.
  std::size_t used() const { return unfinishedBytes_ + *finishedBytes_; }
  std::uint64_t repliesGivenUp() const { return repliesGivenUp_; }

 private:
  void forget(Receiver& receiver);

  std::size_t limit_ = kDefaultLimit;
  std::unordered_map<Receiver*, std::size_t> unfinished_;
  std::size_t unfinishedBytes_ = 0;
  /// Shared with the replies, which may outlive this object.
  std::shared_ptr<std::size_t> finishedBytes_ = std::make_shared<std::size_t>(0);
  std::uint64_t repliesGivenUp_ = 0;
};

}  // namespace oakpier::serving
