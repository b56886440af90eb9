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

struct QuarantineLinkCounters {
  std::uint64_t framesSent = 0;
  std::uint64_t recordsTakenOver = 0;
};

class QuarantineLink {
 public:
  using SendFrame = std::function<void(const Endpoint&, PeerEnvelope)>;

  QuarantineLink(boost::asio::io_context& io, RequestQuarantine& quarantine, RandomEngine& random,
                 const Endpoint& self, SendFrame sendFrame);

  /// `daemons`: all serving daemons; may include this one.
  void setDaemons(const std::vector<Endpoint>& daemons);
  void onFrame(const EndingRequests& message);
  /// Call after a possible change of the quarantine.
  void onChanged();
  const QuarantineLinkCounters& counters() const { return counters_; }

 private:
  void tellChanged();
  /// Logs the verdict that applies to the request from now on.
  void logBelief(const QuarantineRecord& record) const;
  void tell(const std::vector<QuarantineRecord>& records, const std::vector<Endpoint>& receivers);
  std::vector<Endpoint> drawReceivers(std::size_t count);
  void scheduleRepair();

  boost::asio::io_context& io_;
  RequestQuarantine& quarantine_;
  RandomEngine& random_;
  Endpoint self_;
  SendFrame sendFrame_;
  std::vector<Endpoint> others_;
  bool telling_ = false;
  bool repairing_ = false;
  boost::asio::steady_timer tellTimer_;
  boost::asio::steady_timer repairTimer_;
  QuarantineLinkCounters counters_;
};

}  // namespace oakpier::serving
