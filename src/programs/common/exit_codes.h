#pragma once

/// Exit codes of all programs; docs/OPERATIONS.md lists them.

namespace oakpier {

inline constexpr int kExitOk = 0;
/// The work was refused or failed.
inline constexpr int kExitFailure = 1;
/// Flags, settings or a file given are wrong; nothing was begun.
inline constexpr int kExitUsage = 2;
/// The peer, platform or daemon could not be reached.
inline constexpr int kExitUnreachable = 3;

}  // namespace oakpier
