#include "transport/peer_transport.h"

#include <poll.h>
#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <deque>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <zmq.hpp>

#include "coordination/frame_age.h"
#include "transport/steady_clock.h"
#include "transport/tcp_user_timeout.h"

namespace oakpier {

namespace {

constexpr int kIoThreads = 1;
/// Frames that ZeroMQ buffers for one peer; beyond that, sends fail immediately.
constexpr int kHighWaterMark = 1000;
constexpr std::int64_t kMaxFrameBytes = std::int64_t{64} << 20U;
constexpr int kReconnectMs = 50;
/// Maximum time to reach a restarted daemon; limits attempts to a dead one to about three per second.
constexpr int kReconnectMaxMs = 400;
/// How long a frame waits for its peer's connection before it is undeliverable.
constexpr Duration kConnectGrace = std::chrono::milliseconds(30);
constexpr std::size_t kMaxPendingFrames = 256;
constexpr Duration kIdleSocketTime = std::chrono::seconds(60);
constexpr std::chrono::milliseconds kPollTime(100);
constexpr std::chrono::milliseconds kPollTimeWhilePending(2);
constexpr int kMaxFramesPerIteration = 256;
/// The library ends the process if it finds no descriptor for its own threads.
constexpr int kDescriptorsToStart = 16;
/// Sockets of the library besides those to peers.
constexpr int kOtherSockets = 8;

/// Whether this many more descriptors can be opened at present.
bool canOpenDescriptors(int count) {
  std::vector<int> opened;
  while (static_cast<int>(opened.size()) < count) {
    const int descriptor = eventfd(0, EFD_CLOEXEC);
    if (descriptor < 0) {
      break;
    }
    opened.push_back(descriptor);
  }
  for (const int descriptor : opened) {
    close(descriptor);
  }
  return static_cast<int>(opened.size()) == count;
}

/// Signals are handled by the thread of the program's event loop, and interrupt no call of the library here.
void blockAllSignals() {
  sigset_t signals;
  sigfillset(&signals);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

}  // namespace

FrameKind kindOf(const PeerEnvelope& envelope) {
  switch (envelope.body_case()) {
    case PeerEnvelope::kProbe:
    case PeerEnvelope::kProbeReply:
      return FrameKind::kMembership;
    case PeerEnvelope::kWork:
    case PeerEnvelope::kResults:
    case PeerEnvelope::kCancel:
    case PeerEnvelope::kOwnerWork:
    case PeerEnvelope::kOwnerResults:
    case PeerEnvelope::kOwnerCancel:
    case PeerEnvelope::kSilentDaemons:
    case PeerEnvelope::kMergeWork:
    case PeerEnvelope::kMergeResults:
    case PeerEnvelope::kMergeCancel:
    case PeerEnvelope::kTokenRequest:
    case PeerEnvelope::kTokenReply:
      return FrameKind::kWork;
    default:
      return FrameKind::kConfiguration;
  }
}

class PeerTransport::Loop {
 public:
  explicit Loop(PeerTransport& owner)
      : owner_(owner),
        context_(kIoThreads),
        receiver_(contextWithSockets(owner.maxPeers_), zmq::socket_type::pull),
        wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (wake_ < 0) {
      throw std::runtime_error("no descriptor is free");
    }
    receiver_.set(zmq::sockopt::linger, 0);
    receiver_.set(zmq::sockopt::rcvhwm, kHighWaterMark * kIoThreads);
    receiver_.set(zmq::sockopt::maxmsgsize, kMaxFrameBytes);
    receiver_.bind("tcp://" + owner_.listen_.text());
    receiverDescriptor_ = receiver_.get(zmq::sockopt::fd);
    // ZeroMQ's descriptor is edge-triggered: events before the first poll would be missed.
    receiveAgain_ = true;
  }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  ~Loop() { close(wake_); }

  void run() {
    blockAllSignals();
    while (!stopping_) {
      const Readable readable = awaitReadable();
      if (readable.wake) {
        clearWake();
        sendFrames();
      }
      if (readable.receiver) {
        receiveFrames();
      }
      const Moment now = steadyNow();
      sendPending(now);
      closeIdle(now);
    }
  }

  void requestStop() {
    stopping_ = true;
    wake();
  }

  void enqueue(const Endpoint& to, const PeerEnvelope& envelope) {
    Frame frame{to, envelope.SerializeAsString(), kindOf(envelope), {}};
    bool first = false;
    {
      const std::lock_guard<std::mutex> guard(mutex_);
      first = outgoing_.empty();
      outgoing_.push_back(std::move(frame));
    }
    if (first) {
      wake();
    }
  }

 private:
  struct Frame {
    Endpoint to;
    std::string bytes;
    FrameKind kind = FrameKind::kMembership;
    Moment expiresAt{};
  };
  struct Peer {
    zmq::socket_t socket;
    std::deque<Frame> pending;
    Moment usedAt{};
    /// The last frame was undeliverable.
    bool failing = false;
  };

  /// The context, prepared for sockets to this many peers, and as many that are being closed.
  zmq::context_t& contextWithSockets(std::size_t peers) {
    context_.set(zmq::ctxopt::max_sockets, static_cast<int>(2 * peers) + kOtherSockets);
    return context_;
  }

  using PeerMap = std::unordered_map<Endpoint, Peer>;

  struct Readable {
    bool receiver = false;
    bool wake = false;
  };

  /// Polls the descriptors directly, since `zmq::poll` queries each socket's events several times per call.
  /// The receiver's descriptor is edge-triggered, so the receiver must be drained each time.
  Readable awaitReadable() {
    std::array<pollfd, 2> items{{{receiverDescriptor_, POLLIN, 0}, {wake_, POLLIN, 0}}};
    const auto timeout = pendingFrames_ == 0 ? kPollTime : kPollTimeWhilePending;
    poll(items.data(), items.size(), static_cast<int>(timeout.count()));
    return {(items[0].revents & POLLIN) != 0 || std::exchange(receiveAgain_, false),
            (items[1].revents & POLLIN) != 0};
  }

  void wake() const {
    const std::uint64_t one = 1;
    // If the counter is full, a wake-up is already pending.
    [[maybe_unused]] const auto written = write(wake_, &one, sizeof(one));
  }

  void clearWake() const {
    std::uint64_t count = 0;
    [[maybe_unused]] const auto got = read(wake_, &count, sizeof(count));
  }

  void receiveFrames() {
    for (int count = 0; count < kMaxFramesPerIteration; ++count) {
      zmq::message_t message;
      if (!receive(message)) {
        return;
      }
      PeerEnvelope envelope;
      const auto sender = envelope.ParseFromArray(message.data(), static_cast<int>(message.size()))
                              ? Endpoint::parse(envelope.sender())
                              : std::nullopt;
      if (!sender) {
        ++owner_.counters_.framesMalformed;
        continue;
      }
      if (owner_.isBlocked(*sender)) {
        continue;
      }
      ++owner_.counters_.framesReceived;
      reconnectTo(*sender, envelope.incarnation());
      const Duration age = age_.ageOf(*sender, envelope.incarnation(), envelope.sent_at_us(), steadyNow());
      const bool stale = age > fromMilliseconds(envelope.time_to_live_ms());
      owner_.counters_.framesStale += stale ? 1 : 0;
      owner_.handlers_.onEnvelope(std::move(envelope), stale);
    }
    receiveAgain_ = true;
    wake();
  }

  /// Returns false if no frame is there.
  bool receive(zmq::message_t& message) {
    try {
      return receiver_.recv(message, zmq::recv_flags::dontwait).has_value();
    } catch (const zmq::error_t&) {
      // Interrupted; the next poll finds what is there.
      return false;
    }
  }

  void sendFrames() {
    std::vector<Frame> frames;
    {
      const std::lock_guard<std::mutex> guard(mutex_);
      frames.swap(outgoing_);
    }
    const Moment now = steadyNow();
    for (auto& frame : frames) {
      Peer* const peer = peerOf(frame.to);
      if (peer == nullptr) {
        fail(frame);
        continue;
      }
      send(*peer, std::move(frame), now);
    }
  }

  void send(Peer& peer, Frame frame, Moment now) {
    peer.usedAt = now;
    if (peer.pending.empty() && trySend(peer, frame)) {
      peer.failing = false;
      return;
    }
    if (peer.pending.size() >= kMaxPendingFrames) {
      peer.failing = true;
      fail(frame);
      return;
    }
    frame.expiresAt = now + kConnectGrace;
    peer.pending.push_back(std::move(frame));
    ++pendingFrames_;
  }

  /// Called for each received frame. If the sender has restarted or the last frame to it was undeliverable,
  /// drops the connection to it and reports pending frames as undeliverable. The next frame then connects
  /// immediately instead of after the reconnect interval.
  void reconnectTo(const Endpoint& sender, std::uint64_t incarnation) {
    const auto [known, isFirst] = incarnations_.try_emplace(sender, incarnation);
    const bool isNewProcess = !isFirst && known->second != incarnation;
    known->second = incarnation;
    const auto peer = peers_.find(sender);
    if (peer == peers_.end() || !(isNewProcess || peer->second.failing)) {
      return;
    }
    ++owner_.counters_.reconnections;
    closePeer(peer);
  }

  /// Closes the connection; pending frames are undeliverable.
  void closePeer(PeerMap::iterator peer) {
    pendingFrames_ -= peer->second.pending.size();
    const std::deque<Frame> pending = std::move(peer->second.pending);
    peers_.erase(peer);
    for (const Frame& frame : pending) {
      fail(frame);
    }
  }

  /// Returns nothing if the process has no descriptor for a socket to the peer.
  Peer* peerOf(const Endpoint& to) {
    const auto found = peers_.find(to);
    if (found != peers_.end()) {
      return &found->second;
    }
    if (peers_.size() >= owner_.maxPeers_) {
      closeLeastRecentlyUsed();
    }
    try {
      return &connect(to);
    } catch (const zmq::error_t&) {
      ++owner_.counters_.socketsFailed;
      return nullptr;
    }
  }

  void closeLeastRecentlyUsed() {
    const auto oldest = std::min_element(
        peers_.begin(), peers_.end(),
        [](const auto& left, const auto& right) { return left.second.usedAt < right.second.usedAt; });
    if (oldest != peers_.end()) {
      ++owner_.counters_.socketsReplaced;
      closePeer(oldest);
    }
  }

  Peer& connect(const Endpoint& to) {
    Peer peer{zmq::socket_t(context_, zmq::socket_type::push), {}, {}, false};
    peer.socket.set(zmq::sockopt::linger, 0);
    peer.socket.set(zmq::sockopt::sndhwm, kHighWaterMark);
    // Otherwise frames queue for a disconnected peer and arrive when it reconnects.
    peer.socket.set(zmq::sockopt::immediate, true);
    peer.socket.set(zmq::sockopt::tcp_maxrt, static_cast<int>(kTcpUserTimeout.count()));
    peer.socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    peer.socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
    peer.socket.connect("tcp://" + to.text());
    return peers_.emplace(to, std::move(peer)).first->second;
  }

  bool trySend(Peer& peer, const Frame& frame) {
    try {
      if (!peer.socket.send(zmq::buffer(frame.bytes), zmq::send_flags::dontwait)) {
        return false;
      }
    } catch (const zmq::error_t&) {
      // Not sent: retried while the frame is pending, as when the peer is not connected.
      return false;
    }
    ++owner_.counters_.framesSent;
    owner_.counters_.bytesSent += frame.bytes.size();
    owner_.counters_.bytesSentByKind.at(static_cast<std::size_t>(frame.kind)) += frame.bytes.size();
    if (frame.kind != FrameKind::kWork) {
      ++owner_.counters_.controlFramesSent;
      owner_.counters_.controlBytesSent += frame.bytes.size();
    }
    return true;
  }

  void sendPending(Moment now) {
    if (pendingFrames_ == 0) {
      return;
    }
    for (auto& [to, peer] : peers_) {
      while (!peer.pending.empty()) {
        Frame& frame = peer.pending.front();
        const bool sent = trySend(peer, frame);
        if (!sent && now < frame.expiresAt) {
          break;
        }
        peer.failing = !sent;
        if (!sent) {
          fail(frame);
        }
        peer.pending.pop_front();
        --pendingFrames_;
      }
    }
  }

  void fail(const Frame& frame) {
    ++owner_.counters_.framesUndeliverable;
    PeerEnvelope envelope;
    envelope.ParseFromString(frame.bytes);
    owner_.handlers_.onUndeliverable(frame.to, std::move(envelope));
  }

  void closeIdle(Moment now) {
    if (now < nextIdleCheckAt_) {
      return;
    }
    nextIdleCheckAt_ = now + std::chrono::seconds(1);
    for (auto peer = peers_.begin(); peer != peers_.end();) {
      const bool idle = peer->second.pending.empty() && now - peer->second.usedAt > kIdleSocketTime;
      peer = idle ? peers_.erase(peer) : std::next(peer);
    }
  }

  PeerTransport& owner_;
  zmq::context_t context_;
  zmq::socket_t receiver_;
  int receiverDescriptor_ = -1;
  /// The receiver may hold frames for which its descriptor will not become readable again.
  bool receiveAgain_ = false;
  int wake_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<Frame> outgoing_;
  PeerMap peers_;
  /// Incarnation of the process that last sent a frame from each address.
  std::unordered_map<Endpoint, std::uint64_t> incarnations_;
  std::size_t pendingFrames_ = 0;
  Moment nextIdleCheckAt_{};
  FrameAge age_;
};

PeerTransport::PeerTransport(const Endpoint& listen, Handlers handlers, std::size_t maxPeers)
    : listen_(listen), handlers_(std::move(handlers)), maxPeers_(std::max<std::size_t>(1, maxPeers)) {}

PeerTransport::~PeerTransport() { stop(); }

std::string PeerTransport::start() {
  if (!canOpenDescriptors(kDescriptorsToStart)) {
    return "cannot listen on " + listen_.text() + ": fewer than " + std::to_string(kDescriptorsToStart) +
           " descriptors are free";
  }
  try {
    loop_ = std::make_unique<Loop>(*this);
  } catch (const std::exception& problem) {
    return "cannot listen on " + listen_.text() + ": " + problem.what();
  }
  thread_ = std::thread([this] { loop_->run(); });
  return {};
}

void PeerTransport::stop() {
  if (thread_.joinable()) {
    loop_->requestStop();
    thread_.join();
  }
}

void PeerTransport::setBlockedPeers(const std::set<Endpoint>& peers) {
  const std::lock_guard<std::mutex> guard(blockedPeersMutex_);
  blockedPeers_ = peers;
  anyBlocked_ = !peers.empty();
}

bool PeerTransport::isBlocked(const Endpoint& peer) {
  if (!anyBlocked_) {
    return false;
  }
  const std::lock_guard<std::mutex> guard(blockedPeersMutex_);
  return blockedPeers_.count(peer) != 0;
}

void PeerTransport::send(const Endpoint& to, PeerEnvelope envelope) {
  if (to == listen_) {
    handlers_.onEnvelope(std::move(envelope), false);
    return;
  }
  if (isBlocked(to)) {
    return;
  }
  envelope.set_sent_at_us(static_cast<std::uint64_t>(steadyNow().time_since_epoch().count()));
  loop_->enqueue(to, envelope);
}

}  // namespace oakpier
