#pragma once

/// State that the request thread keeps for one caller request, from its arrival to its answer.

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "programs/gateway/request_gateway.h"

namespace oakpier::serving {

/// A running query with its timer, response writer and request data.
struct RequestGateway::ActiveQuery {
  ActiveQuery(boost::asio::io_context& context, ResponseWriter responseWriter)
      : timer(context), writer(std::move(responseWriter)) {}

  std::unique_ptr<Query> query;
  DecisionTimer timer;
  ResponseWriter writer;
  std::shared_ptr<const LeafRequestTemplate> request;
  /// Sent to peers when shards are delegated or merged in another zone.
  std::shared_ptr<const HttpRequest> original;
  std::shared_ptr<const OwnerClient::Listener> ownerListener;
  /// Request priority: the tenant's rank, or the route's if the tenant has none; 0 is the most urgent.
  unsigned rank = 0;
  /// The quota token that admitted the request; empty if the tenant has no limit.
  std::optional<Token> token;
};

/// A request before its query starts; it may be waiting for a decision on its tenant's quota.
struct RequestGateway::IncomingRequest {
  explicit IncomingRequest(ResponseWriter responseWriter) : writer(std::move(responseWriter)) {}

  Moment receivedAt{};
  LoggedRequest logged;
  HttpRequest request;
  ResponseWriter writer;
  std::shared_ptr<const ServingView> view;
  /// Belongs to `view`.
  const Route* route = nullptr;
  /// Null if the request has no tenant. Belongs to `view`.
  const Tenant* tenant = nullptr;
  RequestQuarantine::Assessment assessment;
  std::optional<Token> token;
  bool callerDisconnected = false;
  /// Set when the query starts.
  std::weak_ptr<ActiveQuery> active;

  unsigned rank() const { return tenant != nullptr ? tenant->rank.value_or(route->rank) : route->rank; }
};

inline LoggedRequest loggedAs(const LeafRequestTemplate& request) {
  return LoggedRequest{request.requestId(), request.record()->fingerprint, request.tenant()};
}

}  // namespace oakpier::serving
