#pragma once

/// Blocks signals while a program starts: until their handlers are installed, the default action of a
/// signal, such as the SIGHUP that reloads the settings, would terminate the process.

#include <pthread.h>

#include <csignal>

namespace oakpier {

/// The signals that the programs handle.
inline sigset_t handledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

/// Blocks the handled signals in the calling thread; threads that it starts later inherit the mask.
inline void blockSignals() {
  const sigset_t signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// Unblocks them in the calling thread, which receives pending and later signals.
inline void unblockSignals() {
  const sigset_t signals = handledSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace oakpier
