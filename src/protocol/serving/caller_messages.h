#pragma once

/// Answers to callers.

#include <string>

#include "coordination/serving/query_actions.h"
#include "protocol/serving/header_names.h"
#include "state/serving/http_message.h"

namespace oakpier::serving {

/// The reply that tells a caller the answer to its query.
HttpReply replyFor(const FinalAnswer& answer, const std::string& requestId, const HeaderNames& names);

/// A reply of the gateway's own with a short text body.
HttpReply ownReply(unsigned status, const std::string& text);

/// The request did not run; the caller may come back after that time.
HttpReply refusalReply(Duration retryAfter, const std::string& text);

/// The bytes of a reply. `close`: the connection ends with it. `isHead`: the body is left out.
std::string serialize(const HttpReply& reply, bool close, bool isHead);

}  // namespace oakpier::serving
