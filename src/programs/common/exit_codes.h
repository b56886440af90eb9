#pragma once

/// Exit codes of all programs; docs/OPERATIONS.md lists them.

namespace oakpier {

inline constexpr int kExitOk = 0;
/// The operation failed, or a daemon refused it.
inline constexpr int kExitFailure = 1;
/// Invalid flags, settings or input file; nothing was done.
inline constexpr int kExitUsage = 2;
/// The peer, platform or daemon could not be reached.
inline constexpr int kExitUnreachable = 3;

/// The program found its own state broken; its log says why.
inline constexpr int kExitInternalError = 70;

}  // namespace oakpier
