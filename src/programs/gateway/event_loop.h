#pragma once

/// Runs event loops whose handlers may throw.

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "state/time.h"

namespace oakpier::serving {

/// Counts the handlers of a loop that have thrown, and decides when there are too many of them.
class HandlerFailures {
 public:
  /// Returns whether the loop may go on.
  bool onFailure(Moment now);
  std::uint64_t total() const { return total_; }

 private:
  std::uint64_t total_ = 0;
  /// Times of the latest failures, not more than the limit of a loop that may go on.
  std::deque<Moment> latest_;
};

/// Runs the loop until it is stopped. A handler that throws ends alone: the connection or request that it
/// serves is dropped, an error line is logged, and the loop goes on. Returns false if handlers keep throwing,
/// since the state that they share must then be taken to be broken.
bool runIsolatingFailures(boost::asio::io_context& context, const std::string& name,
                          HandlerFailures& failures);

/// Runs the loop until it is stopped. A handler that throws ends the process with `kExitInternalError`, after
/// an error line: for loops whose handlers are steps of one long-lived state machine, which would stop
/// silently if a step were skipped.
void runOrEndProcess(boost::asio::io_context& context, const std::string& name);

}  // namespace oakpier::serving
