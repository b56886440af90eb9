#pragma once

/// Requests to leafs and what their replies mean.

#include <memory>
#include <optional>
#include <string>

#include "coordination/serving/leaf_outcome.h"
#include "coordination/serving/request_record.h"
#include "protocol/serving/header_names.h"
#include "state/serving/http_message.h"
#include "state/time.h"

namespace oakpier::serving {

/// The part of a caller's request that every leaf gets alike, serialized once.
class LeafRequestTemplate {
 public:
  LeafRequestTemplate(const HttpRequest& request, const HeaderNames& names);

  const std::string& requestId() const { return requestId_; }
  /// Empty: none.
  const std::string& tenant() const { return tenant_; }
  /// Never null.
  const std::shared_ptr<RequestRecord>& record() const { return record_; }
  bool isHead() const { return isHead_; }
  /// The bytes of the request to one leaf, which may work on it for `remaining`.
  std::string bytesFor(const std::string& instance, Duration remaining) const;

 private:
  const HeaderNames& names_;
  std::string head_;
  std::string body_;
  std::string requestId_;
  std::string tenant_;
  std::shared_ptr<RequestRecord> record_;
  bool isHead_ = false;
};

/// What a whole reply to the request with that id says; `kNoAnswer` for one that cannot be trusted.
LeafOutcome classifyReply(std::shared_ptr<const HttpReply> reply, const HeaderNames& names);

/// True when the reply carries that request id back.
bool repliesTo(const HttpReply& reply, const std::string& requestId, const HeaderNames& names);

/// How long the leaf keeps an idle connection, if the reply tells.
std::optional<Duration> idleTimeoutOf(const HttpReply& reply);

}  // namespace oakpier::serving
