#pragma once

/// Gossips quarantine records of requests that crash leafs among all daemons. Runs on the request thread.
///
/// Rumor mongering: a daemon forwards a record that is new to it to a few random peers, so the fleet knows it
/// after a few hops. Anti-entropy: while there are records, the newest ones are sent to one random peer per
/// period. That reaches daemons that have started, were suspended or were unreachable, without a request from
/// them. Nothing is sent while there are no records.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <vector>

#include "coordination/serving/request_quarantine.h"
#include "oakpier/peer.pb.h"
#include "state/endpoint.h"
#include "state/random.h"

namespace oakpier::serving {

struct QuarantineGossipCounters {
  std::uint64_t framesSent = 0;
  std::uint64_t recordsMerged = 0;
};

class QuarantineGossip {
 public:
  using SendFrame = std::function<void(const Endpoint&, PeerEnvelope)>;

  QuarantineGossip(boost::asio::io_context& io, RequestQuarantine& quarantine, RandomEngine& random,
                   const Endpoint& self, SendFrame sendFrame);

  /// `daemons`: all serving daemons; may include this one.
  void setDaemons(const std::vector<Endpoint>& daemons);
  void onFrame(const EndingRequests& message);
  /// Call after a possible change of the quarantine.
  void onChanged();
  const QuarantineGossipCounters& counters() const { return counters_; }

 private:
  void sendChangedRecords();
  /// Logs the verdict that applies to the request from now on.
  void logVerdict(const QuarantineRecord& record) const;
  void sendRecords(const std::vector<QuarantineRecord>& records, const std::vector<Endpoint>& receivers);
  std::vector<Endpoint> pickRandomPeers(std::size_t count);
  void scheduleAntiEntropy();

  boost::asio::io_context& io_;
  RequestQuarantine& quarantine_;
  RandomEngine& random_;
  Endpoint self_;
  SendFrame sendFrame_;
  std::vector<Endpoint> peers_;
  bool sendScheduled_ = false;
  bool antiEntropyScheduled_ = false;
  boost::asio::steady_timer sendTimer_;
  boost::asio::steady_timer antiEntropyTimer_;
  QuarantineGossipCounters counters_;
};

}  // namespace oakpier::serving
