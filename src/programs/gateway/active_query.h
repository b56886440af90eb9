#pragma once

/// What the request thread's side of the gateway keeps of one request, from its arrival to its answer.

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "programs/gateway/request_gateway.h"

namespace oakpier::serving {

/// A query with what it needs of the real world.
struct RequestGateway::ActiveQuery {
  ActiveQuery(boost::asio::io_context& context, ResponseWriter responseWriter)
      : timer(context), writer(std::move(responseWriter)) {}

  std::unique_ptr<Query> query;
  DecisionTimer timer;
  ResponseWriter writer;
  std::shared_ptr<const LeafRequestTemplate> request;
  /// For other daemons.
  std::shared_ptr<const HttpRequest> original;
  std::shared_ptr<const OwnerClient::Listener> ownerListener;
  /// Of the caller: its tenant's, or else the route's.
  unsigned rank = 0;
  /// What the request was let through on, where its tenant has a limit.
  std::optional<Token> token;
};

/// A request until its query begins: it may wait for a decision on its tenant's allowance.
struct RequestGateway::ArrivedRequest {
  explicit ArrivedRequest(ResponseWriter responseWriter) : writer(std::move(responseWriter)) {}

  Moment receivedAt{};
  LoggedRequest logged;
  HttpRequest request;
  ResponseWriter writer;
  std::shared_ptr<const ServingView> view;
  /// Belongs to `view`.
  const Route* route = nullptr;
  /// Null: none. Belongs to `view`.
  const Tenant* tenant = nullptr;
  RequestQuarantine::Assessment assessment;
  std::optional<Token> token;
  bool callerGone = false;
  /// Set once the query has begun.
  std::weak_ptr<ActiveQuery> active;

  unsigned rank() const { return tenant != nullptr ? tenant->rank.value_or(route->rank) : route->rank; }
};

inline LoggedRequest loggedAs(const LeafRequestTemplate& request) {
  return LoggedRequest{request.requestId(), request.record()->fingerprint, request.tenant()};
}

}  // namespace oakpier::serving
