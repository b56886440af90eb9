#pragma once

/// Frames between daemons over ZeroMQ: one PULL socket receives, one PUSH socket a peer sends. A frame is one
/// serialized PeerEnvelope; it is sent at most once and never queued in the library for a peer that is away.

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

/// What a frame is about.
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
  /// Connections made anew, as a peer that could not be reached was heard.
  std::atomic<std::uint64_t> reconnections{0};
  std::atomic<std::uint64_t> framesStale{0};
  std::atomic<std::uint64_t> framesMalformed{0};
};

class PeerTransport {
 public:
  struct Handlers {
    /// Called on the transport's thread. `stale`: the frame was on the way for longer than its time to live.
    std::function<void(PeerEnvelope envelope, bool stale)> onEnvelope;
    /// The frame was never handed to the network. Called on the transport's thread.
    std::function<void(const Endpoint& to, PeerEnvelope envelope)> onUndeliverable;
  };

  PeerTransport(const Endpoint& listen, Handlers handlers);
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;
  ~PeerTransport();

  /// Returns a text when the address cannot be bound, else an empty one.
  std::string start();
  void stop();

  /// Thread-safe. A frame to this daemon itself goes to the handler directly.
  void send(const Endpoint& to, PeerEnvelope envelope);

  /// For proofs: frames to and from these peers vanish. Thread-safe.
  void setCuts(const std::set<Endpoint>& peers);

  const PeerTransportCounters& counters() const { return counters_; }

 private:
  class Loop;

  bool isCut(const Endpoint& peer);

  Endpoint listen_;
  Handlers handlers_;
  PeerTransportCounters counters_;
  std::unique_ptr<Loop> loop_;
  std::thread thread_;
  std::mutex cutsMutex_;
  std::set<Endpoint> cuts_;
  std::atomic<bool> anyCuts_{false};
};

}  // namespace oakpier
