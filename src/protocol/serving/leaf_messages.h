#pragma once

/// Serializes requests to leafs and interprets their replies.

#include <memory>
#include <optional>
#include <string>

#include "coordination/serving/leaf_outcome.h"
#include "coordination/serving/request_record.h"
#include "protocol/serving/header_names.h"
#include "state/serving/http_message.h"
#include "state/time.h"

namespace oakpier::serving {

/// A caller's request, serialized once except for the headers that differ between attempts.
/// The `HeaderNames` must outlive it.
class LeafRequestTemplate {
 public:
  LeafRequestTemplate(const HttpRequest& request, const HeaderNames& names);

  const std::string& requestId() const { return requestId_; }
  /// Empty: none.
  const std::string& tenant() const { return tenant_; }
  /// Shared by all attempts of the request; never null.
  const std::shared_ptr<RequestRecord>& record() const { return record_; }
  bool isHead() const { return isHead_; }
  /// The serialized request to the leaf with the id `instance`, with `remaining` as its deadline.
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

/// Interprets a complete reply. An unsigned or encoded one counts as `kNoAnswer`, unless it is `kNotExecuted`
/// or `kWrongInstance`, which need no signature.
LeafOutcome classifyReply(std::shared_ptr<const HttpReply> reply, const HeaderNames& names);

/// True if the reply echoes `requestId`.
bool repliesTo(const HttpReply& reply, const std::string& requestId, const HeaderNames& names);

/// The timeout of the Keep-Alive header: how long the leaf keeps an idle connection open.
std::optional<Duration> idleTimeoutOf(const HttpReply& reply);

}  // namespace oakpier::serving
