#include "transport/peer_transport.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <deque>
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
        receiver_(context_, zmq::socket_type::pull),
        wake_(eventfd(0, EFD_NONBLOCK)) {
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
      if (!receiver_.recv(message, zmq::recv_flags::dontwait)) {
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

  void sendFrames() {
    std::vector<Frame> frames;
    {
      const std::lock_guard<std::mutex> guard(mutex_);
      frames.swap(outgoing_);
    }
    const Moment now = steadyNow();
    for (auto& frame : frames) {
      Peer& peer = peerOf(frame.to);
      peer.usedAt = now;
      if (peer.pending.empty() && trySend(peer, frame)) {
        peer.failing = false;
        continue;
      }
      if (peer.pending.size() >= kMaxPendingFrames) {
        peer.failing = true;
        fail(frame);
        continue;
      }
      frame.expiresAt = now + kConnectGrace;
      peer.pending.push_back(std::move(frame));
      ++pendingFrames_;
    }
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
    pendingFrames_ -= peer->second.pending.size();
    std::deque<Frame> pending = std::move(peer->second.pending);
    peers_.erase(peer);
    for (const Frame& frame : pending) {
      fail(frame);
    }
  }

  Peer& peerOf(const Endpoint& to) {
    const auto found = peers_.find(to);
    if (found != peers_.end()) {
      return found->second;
    }
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
    if (!peer.socket.send(zmq::buffer(frame.bytes), zmq::send_flags::dontwait)) {
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
  std::unordered_map<Endpoint, Peer> peers_;
  /// Incarnation of the process that last sent a frame from each address.
  std::unordered_map<Endpoint, std::uint64_t> incarnations_;
  std::size_t pendingFrames_ = 0;
  Moment nextIdleCheckAt_{};
  FrameAge age_;
};

PeerTransport::PeerTransport(const Endpoint& listen, Handlers handlers)
    : listen_(listen), handlers_(std::move(handlers)) {}

PeerTransport::~PeerTransport() { stop(); }

std::string PeerTransport::start() {
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
