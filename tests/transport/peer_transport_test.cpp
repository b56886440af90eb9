#include "transport/peer_transport.h"

#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <future>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "support/free_endpoint.h"
#include "support/stalling_proxy.h"

namespace oakpier {

namespace {

PeerEnvelope workFrom(const Endpoint& sender, const std::string& id) {
  PeerEnvelope envelope;
  envelope.set_sender(sender.text());
  envelope.set_incarnation(1);
  envelope.set_time_to_live_ms(1000);
  envelope.mutable_work()->set_work_id(id);
  return envelope;
}

/// While it exists, the process can open no descriptor.
class NoFreeDescriptors {
 public:
  NoFreeDescriptors() {
    REQUIRE(getrlimit(RLIMIT_NOFILE, &limit_) == 0);
    const int lowestFree = dup(STDERR_FILENO);
    REQUIRE(lowestFree >= 0);
    close(lowestFree);
    const rlimit lowered{static_cast<rlim_t>(lowestFree), limit_.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
  }
  NoFreeDescriptors(const NoFreeDescriptors&) = delete;
  NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;
  ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &limit_); }

 private:
  rlimit limit_{};
};

}  // namespace

TEST_CASE("a frame to a disconnected peer is undeliverable and does not arrive later", "[transport]") {
  const Endpoint here = freeEndpoint();
  const Endpoint there = freeEndpoint();
  std::promise<std::string> undeliverable;
  PeerTransport sender(here, {[](const PeerEnvelope&, bool) {},
                              [&](const Endpoint&, const PeerEnvelope& envelope) {
                                undeliverable.set_value(envelope.work().work_id());
                              }});
  REQUIRE(sender.start().empty());
  sender.send(there, workFrom(here, "early"));
  REQUIRE(undeliverable.get_future().get() == "early");

  std::promise<std::string> arrived;
  PeerTransport receiver(
      there, {[&](const PeerEnvelope& envelope, bool) { arrived.set_value(envelope.work().work_id()); },
              [](const Endpoint&, const PeerEnvelope&) {}});
  REQUIRE(receiver.start().empty());
  auto first = arrived.get_future();
  // The peer is up, but connecting takes time: resend the frame if it is undeliverable until then.
  std::unique_ptr<PeerTransport> other;
  other = std::make_unique<PeerTransport>(
      freeEndpoint(), PeerTransport::Handlers{[](const PeerEnvelope&, bool) {},
                                              [&](const Endpoint& to, const PeerEnvelope& envelope) {
                                                other->send(to, envelope);
                                              }});
  REQUIRE(other->start().empty());
  other->send(there, workFrom(here, "late"));
  REQUIRE(first.get() == "late");
}

TEST_CASE("a frame from an unreachable peer replaces the connection to it", "[transport]") {
  const Endpoint here = freeEndpoint();
  const Endpoint there = freeEndpoint();
  std::promise<void> failed;
  std::promise<void> received;
  std::promise<void> answered;
  std::unique_ptr<PeerTransport> sender;
  bool first = true;
  sender = std::make_unique<PeerTransport>(
      here, PeerTransport::Handlers{[&](const PeerEnvelope&, bool) { received.set_value(); },
                                    [&](const Endpoint& to, const PeerEnvelope& envelope) {
                                      if (std::exchange(first, false)) {
                                        failed.set_value();
                                      } else {
                                        sender->send(to, envelope);
                                      }
                                    }});
  REQUIRE(sender->start().empty());
  sender->send(there, workFrom(here, "too early"));
  failed.get_future().get();
  REQUIRE(sender->counters().reconnections == 0);

  PeerTransport receiver(
      there, {[&](const PeerEnvelope&, bool) { answered.set_value(); },
              [&](const Endpoint& to, const PeerEnvelope& envelope) { receiver.send(to, envelope); }});
  REQUIRE(receiver.start().empty());
  receiver.send(here, workFrom(there, "started"));
  received.get_future().get();
  REQUIRE(sender->counters().reconnections == 1);
  sender->send(there, workFrom(here, "answer"));
  answered.get_future().get();
}

TEST_CASE("start returns an error message if the address is in use", "[transport]") {
  const Endpoint here = freeEndpoint();
  const PeerTransport::Handlers none{[](const PeerEnvelope&, bool) {},
                                     [](const Endpoint&, const PeerEnvelope&) {}};
  PeerTransport first(here, none);
  REQUIRE(first.start().empty());
  PeerTransport second(here, none);
  REQUIRE(second.start().find(here.text()) != std::string::npos);
}

namespace {

/// Stores the group of the last received frame, which is the first letter of the frame.
class ArrivedGroup {
 public:
  void onFrame(const PeerEnvelope& envelope) {
    const std::lock_guard<std::mutex> guard(mutex_);
    group_ = envelope.work().work_id().front();
    changed_.notify_all();
  }
  /// Returns when a frame of the group arrives or the time is up.
  bool await(char group, std::chrono::milliseconds timeout) {
    std::unique_lock<std::mutex> guard(mutex_);
    return changed_.wait_for(guard, timeout, [&] { return group_ == group; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  char group_ = ' ';
};

}  // namespace

TEST_CASE("a connection that is lost without a reset is replaced", "[transport]") {
  const Endpoint here = freeEndpoint();
  const Endpoint there = freeEndpoint();
  ArrivedGroup arrived;
  PeerTransport receiver(there, {[&](const PeerEnvelope& envelope, bool) { arrived.onFrame(envelope); },
                                 [](const Endpoint&, const PeerEnvelope&) {}});
  REQUIRE(receiver.start().empty());
  StallingProxy proxy(there);
  PeerTransport sender(here, {[](const PeerEnvelope&, bool) {}, [](const Endpoint&, const PeerEnvelope&) {}});
  REQUIRE(sender.start().empty());
  const auto sendUntilArrived = [&](char group) {
    // Large enough to fill all buffers in between, so that the sender's data stays unacknowledged.
    PeerEnvelope frame = workFrom(here, std::string(std::size_t{512} * 1024, group));
    frame.set_time_to_live_ms(60'000);
    constexpr int kMostFrames = 1500;
    for (int sent = 0; sent < kMostFrames; ++sent) {
      sender.send(proxy.address(), frame);
      if (arrived.await(group, std::chrono::milliseconds(20))) {
        return true;
      }
    }
    return false;
  };
  REQUIRE(sendUntilArrived('a'));
  proxy.stallConnections();
  REQUIRE(sendUntilArrived('b'));
}

TEST_CASE("a process without free descriptors reaches a new peer once one is free", "[transport]") {
  const Endpoint here = freeEndpoint();
  const Endpoint there = freeEndpoint();
  std::promise<void> arrived;
  std::promise<void> failed;
  std::atomic<bool> resend{false};
  PeerTransport receiver(there, {[&](const PeerEnvelope&, bool) { arrived.set_value(); },
                                 [](const Endpoint&, const PeerEnvelope&) {}});
  REQUIRE(receiver.start().empty());
  std::unique_ptr<PeerTransport> sender;
  sender = std::make_unique<PeerTransport>(
      here, PeerTransport::Handlers{[](const PeerEnvelope&, bool) {},
                                    [&](const Endpoint& to, const PeerEnvelope& envelope) {
                                      if (resend) {
                                        sender->send(to, envelope);
                                      } else {
                                        failed.set_value();
                                      }
                                    }});
  REQUIRE(sender->start().empty());
  {
    const NoFreeDescriptors none;
    sender->send(there, workFrom(here, "early"));
    failed.get_future().get();
  }
  REQUIRE(sender->counters().socketsFailed == 1);
  resend = true;
  sender->send(there, workFrom(here, "late"));
  arrived.get_future().get();
}

TEST_CASE("a transport that finds no descriptors tells so and can be started again", "[transport]") {
  PeerTransport transport(freeEndpoint(),
                          {[](const PeerEnvelope&, bool) {}, [](const Endpoint&, const PeerEnvelope&) {}});
  {
    const NoFreeDescriptors none;
    REQUIRE(transport.start().find("descriptors") != std::string::npos);
  }
  REQUIRE(transport.start().empty());
}

TEST_CASE("more peers than may be connected to are all reached", "[transport]") {
  constexpr std::size_t kMaxPeers = 4;
  constexpr std::size_t kPeers = 12;
  const Endpoint here = freeEndpoint();
  std::vector<std::promise<void>> arrivals(kPeers);
  std::vector<std::unique_ptr<PeerTransport>> receivers;
  std::vector<Endpoint> addresses;
  for (std::size_t number = 0; number < kPeers; ++number) {
    addresses.push_back(freeEndpoint());
    receivers.push_back(std::make_unique<PeerTransport>(
        addresses.back(), PeerTransport::Handlers{[&arrivals, number](const PeerEnvelope&, bool) {
                                                    arrivals[number].set_value();
                                                  },
                                                  [](const Endpoint&, const PeerEnvelope&) {}}));
    REQUIRE(receivers.back()->start().empty());
  }
  std::unique_ptr<PeerTransport> sender;
  sender = std::make_unique<PeerTransport>(
      here,
      PeerTransport::Handlers{
          [](const PeerEnvelope&, bool) {},
          [&](const Endpoint& to, const PeerEnvelope& envelope) { sender->send(to, envelope); }},
      kMaxPeers);
  REQUIRE(sender->start().empty());
  for (std::size_t number = 0; number < kPeers; ++number) {
    sender->send(addresses[number], workFrom(here, "work"));
    arrivals[number].get_future().get();
  }
  REQUIRE(sender->counters().socketsReplaced == kPeers - kMaxPeers);
}

}  // namespace oakpier
