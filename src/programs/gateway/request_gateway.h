#pragma once

/// The request thread's side of the gateway: takes callers' requests, runs their queries over the leaf pool,
/// answers.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>

#include "coordination/serving/leaf_subset.h"
#include "coordination/serving/query.h"
#include "programs/gateway/gateway_metrics.h"
#include "programs/gateway/request_log.h"
#include "protocol/serving/header_names.h"
#include "state/published.h"
#include "transport/serving/http_service.h"
#include "transport/serving/leaf_pool.h"

namespace oakpier::serving {

class RequestGateway : public RequestHandler {
 public:
  RequestGateway(boost::asio::io_context& context, const HeaderNames& names,
                 Published<ServingView>& published, const Endpoint& self, QueryContext queryContext);

  std::function<void()> onRequest(HttpRequest request, ResponseWriter writer) override;

  /// A new view was published.
  void onView();
  /// How many daemons share each leaf's connections.
  /// `settled`: the number can be relied on.
  void setDaemonCount(std::size_t count, bool settled);
  const RequestCounters& counters() const { return counters_; }
  const LeafPoolCounters& poolCounters() const { return pool_.counters(); }
  std::uint64_t logLinesLeftOut() const { return log_.linesLeftOut(); }

 private:
  struct ActiveQuery;
  using ActivePointer = std::shared_ptr<ActiveQuery>;

  void apply(const ActivePointer& active, QueryActions actions);
  void send(const ActivePointer& active, const SendAction& action);
  void onOutcome(const ActivePointer& active, const SendAction& action, const LeafOutcome& outcome);
  void answer(const ActivePointer& active, const FinalAnswer& answer);
  void countDecisions(const RequestTrace& trace);
  /// An answer of the gateway's own before any query.
  void reject(const ResponseWriter& writer, const std::string& requestId, const HttpReply& reply,
              const std::string& reason);
  void armTimer(const ActivePointer& active);
  std::size_t connectionsTo(const std::string& service) const;
  /// The leafs that this daemon uses, for each service.
  LeafsByService ownLeafs();

  boost::asio::io_context& context_;
  const HeaderNames& names_;
  Published<ServingView>& published_;
  QueryContext queryContext_;
  LeafRegistry& leafs_;
  LeafPool pool_;
  std::shared_ptr<const ServingView> view_;
  Endpoint self_;
  std::unordered_map<std::string, ConnectionShare> shares_;
  std::size_t daemonCount_ = 12;
  bool settled_ = false;
  RequestCounters counters_;
  RequestLog log_{RequestLogSettings{}};
};

}  // namespace oakpier::serving
