#pragma once

/// The planned stop of a gateway: callers are accepted until they are sent elsewhere, requests in progress
/// finish, and the rest is answered before the process would be killed.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "programs/gateway/request_gateway.h"
#include "state/time.h"
#include "transport/serving/http_service.h"

namespace oakpier::serving {

class StopSequence {
 public:
  StopSequence(boost::asio::io_context& context, HttpService& callers, const RequestGateway& requests);

  /// `grace`: time until the process would be killed. Stops the event loop when all is done.
  void begin(Duration grace);
  bool begun() const { return begun_; }

 private:
  void check();
  Duration reserve() const;

  boost::asio::io_context& context_;
  HttpService& callers_;
  const RequestGateway& requests_;
  boost::asio::steady_timer timer_;
  bool begun_ = false;
  Duration grace_{};
  Moment begunAt_{};
  /// Requests in progress were answered with 504; the process stops at the next check.
  bool requestsAborted_ = false;
};

}  // namespace oakpier::serving
