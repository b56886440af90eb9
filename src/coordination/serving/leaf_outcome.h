#pragma once

/// Outcome of one exchange with a leaf.

#include <memory>
#include <optional>
#include <string>

#include "state/serving/http_message.h"
#include "state/time.h"

namespace oakpier::serving {

/// Load that a leaf reports with an answer.
struct ReportedLoad {
  unsigned running = 0;
  unsigned waiting = 0;
  unsigned slots = 0;
  /// Current service time at the leaf in percent of its usual service time.
  unsigned workTimePercent = 100;
};

struct LeafOutcome {
  enum class Kind {
    /// A complete, signed success response to the request.
    kAnswered,
    /// A complete, signed error response of the leaf itself; the request was executed.
    kLeafFailed,
    /// The leaf reports that it did not execute the request.
    kNotExecuted,
    /// Another leaf has the address now and did not execute the request.
    kWrongInstance,
    /// The request was sent at least in part and got no usable response; it may have been executed.
    kNoAnswer,
    /// Like kNoAnswer, and the leaf's process terminated while the request was there.
    kLeafCrashed,
    /// The leaf was unreachable; no byte of the request was written.
    kNotSent,
    /// Dropped before a byte was written, as the time left was shorter than the leaf usually needs. Does not
    /// count as a failure of the leaf.
    kExpired,
    /// Cancelled by the query: dropped before the send, or aborted after it.
    kCancelled,
  };

  Kind kind = Kind::kNoAnswer;
  /// Set for kAnswered and kLeafFailed.
  std::shared_ptr<const HttpReply> reply;
  /// The leaf's signature over the answer.
  std::string signature;
  std::optional<ReportedLoad> load;
  /// Remaining warm-up time, if the leaf reported it.
  std::optional<Duration> warmupLeft;
  /// The answer came from a merge server. It omits records that rank below those of earlier answers of the
  /// same merge, so these must all be used: a merged answer replaces an answer to the same part that was sent
  /// directly, and is never replaced by one.
  bool merged = false;
};

}  // namespace oakpier::serving
