#pragma once

/// Explains the outcome of a request from the log lines of the gateways.

#include <istream>
#include <ostream>
#include <string>

namespace oakpier {

/// Prints the lines of the request in order, preceded by the last lines that its process logged on its state
/// before that, and followed by the last lines of all processes on leafs that crashed while they ran a
/// request with the same fingerprint. `lines` may have prefixes as `parseLogLine` accepts them. Returns false
/// when no line has the id.
bool explainRequest(const std::string& id, std::istream& lines, std::ostream& out);

}  // namespace oakpier
