#pragma once

/// Prepares a process for an environment that is not under its control: standard streams that are closed,
/// signals whose default action would end it, and a low limit on descriptors.

#include <cstddef>

namespace oakpier {

/// Opens /dev/null for each standard stream that is closed. Otherwise a socket would get its number, and the
/// log would be written into a connection.
void openStandardStreams();

/// Ignores signals that would end the process by default and carry no order to do so: a closed pipe and a
/// file that may not grow, which failed writes report as well, and user signals and alarms, which no part of
/// the programs uses.
void ignoreSignalsWithoutOrder();

/// Raises the limit on open descriptors as far as the system permits, and returns the limit in effect.
std::size_t raiseDescriptorLimit();

/// The steps above. Call first in `main`. Returns the limit on open descriptors.
std::size_t prepareProcess();

}  // namespace oakpier
