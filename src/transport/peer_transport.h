#pragma once

/// Frames between daemons over ZeroMQ: one PULL socket receives, one PUSH socket a peer sends. A frame is one
/// serialized PeerEnvelope; it is sent at most once and never queued in the library for a disconnected peer.
///
/// Invariant: a socket that cannot be had makes a frame undeliverable and nothing else. The number of peers
/// connected to is bounded; the least recently used one makes room for another.

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "oakpier/peer.pb.h"
#include "state/endpoint.h"
#include "state/time.h"

namespace oakpier {

/// Traffic class of a frame, for metrics.
enum class FrameKind { kMembership, kConfiguration, kWork };
inline constexpr std::size_t kFrameKinds = 3;

FrameKind kindOf(const PeerEnvelope& envelope);

struct PeerTransportCounters {
  std::atomic<std::uint64_t> framesSent{0};
  std::atomic<std::uint64_t> framesReceived{0};
  std::atomic<std::uint64_t> bytesSent{0};
  /// By `FrameKind`.
  std::array<std::atomic<std::uint64_t>, kFrameKinds> bytesSentByKind{};
  std::atomic<std::uint64_t> controlFramesSent{0};
  std::atomic<std::uint64_t> controlBytesSent{0};
  std::atomic<std::uint64_t> framesUndeliverable{0};
  /// Connections replaced after a frame from a restarted or previously unreachable peer.
  std::atomic<std::uint64_t> reconnections{0};
  std::atomic<std::uint64_t> framesStale{0};
  std::atomic<std::uint64_t> framesMalformed{0};
  /// Sockets to peers for which the process had no descriptor.
  std::atomic<std::uint64_t> socketsFailed{0};
  /// Sockets closed in favour of another peer, as the maximum was reached.
  std::atomic<std::uint64_t> socketsReplaced{0};
};

class PeerTransport {
 public:
  struct Handlers {
    /// Called on the transport's thread. `stale`: the frame's age exceeds its time to live.
    std::function<void(PeerEnvelope envelope, bool stale)> onEnvelope;
    /// The frame was never passed to ZeroMQ, so the peer cannot receive it. Called on the transport's thread.
    std::function<void(const Endpoint& to, PeerEnvelope envelope)> onUndeliverable;
  };

  static constexpr std::size_t kDefaultMaxPeers = 1000;

  /// `maxPeers`: the number of peers that are connected to at a time, each with up to three descriptors.
  PeerTransport(const Endpoint& listen, Handlers handlers, std::size_t maxPeers = kDefaultMaxPeers);
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;
  ~PeerTransport();

  /// Returns an error message if the address cannot be bound, else an empty string. May be called again after
  /// an error.
  std::string start();
  void stop();

  /// Thread-safe. A frame to this daemon itself is passed to `onEnvelope` on the calling thread.
  void send(const Endpoint& to, PeerEnvelope envelope);

  /// Fault injection: drops frames to and from these peers. Thread-safe.
  void setBlockedPeers(const std::set<Endpoint>& peers);

  const PeerTransportCounters& counters() const { return counters_; }

 private:
  class Loop;

  bool isBlocked(const Endpoint& peer);

  Endpoint listen_;
  Handlers handlers_;
  std::size_t maxPeers_;
  PeerTransportCounters counters_;
  std::unique_ptr<Loop> loop_;
  std::thread thread_;
  std::mutex blockedPeersMutex_;
  std::set<Endpoint> blockedPeers_;
  std::atomic<bool> anyBlocked_{false};
};

}  // namespace oakpier
