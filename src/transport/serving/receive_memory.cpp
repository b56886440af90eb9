#include "transport/serving/receive_memory.h"

#include <algorithm>
#include <utility>

namespace oakpier::serving {

bool ReceiveMemory::hold(Receiver& receiver, std::size_t bytes) {
  forget(receiver);
  if (bytes <= kUncountedBytes) {
    return true;
  }
  unfinished_[&receiver] = bytes;
  unfinishedBytes_ += bytes;
  while (used() > limit_ && !unfinished_.empty()) {
    const auto largest =
        std::max_element(unfinished_.begin(), unfinished_.end(),
                         [](const auto& left, const auto& right) { return left.second < right.second; });
    Receiver* const owner = largest->first;
    forget(*owner);
    ++givenUp_;
    if (owner == &receiver) {
      return false;
    }
    owner->giveUp();
  }
  return true;
}

std::shared_ptr<const HttpReply> ReceiveMemory::keepFinished(Receiver& receiver, HttpReply reply) {
  forget(receiver);
  const std::size_t bytes = reply.body.capacity();
  if (bytes <= kUncountedBytes) {
    return std::make_shared<const HttpReply>(std::move(reply));
  }
  *finishedBytes_ += bytes;
  const auto release = [total = finishedBytes_, bytes](const HttpReply* finished) {
    *total -= bytes;
    delete finished;
  };
  return std::shared_ptr<const HttpReply>(new HttpReply(std::move(reply)), release);
}

void ReceiveMemory::forget(Receiver& receiver) {
  const auto held = unfinished_.find(&receiver);
  if (held != unfinished_.end()) {
    unfinishedBytes_ -= held->second;
    unfinished_.erase(held);
  }
}

}  // namespace oakpier::serving
