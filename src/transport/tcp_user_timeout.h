#pragma once

/// Detection of connections that are lost without a reset.

#include <chrono>

namespace oakpier {

/// TCP_USER_TIMEOUT for connections to peers and leafs: sent data unacknowledged for this long closes the
/// connection, and the next request opens a new one. The kernel acknowledges for a slow or paused process, so
/// that one keeps its connections. Adds no traffic and no wake-ups. Twice the minimum retransmission timeout
/// of Linux (200 ms), so that the loss of a single segment does not close a connection.
inline constexpr std::chrono::milliseconds kTcpUserTimeout{400};

}  // namespace oakpier
