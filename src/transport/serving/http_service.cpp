#include "transport/serving/http_service.h"

#include <utility>
#include <vector>

#include "protocol/serving/caller_messages.h"
#include "transport/serving/http_session.h"
#include "transport/serving/socket_options.h"

namespace oakpier::serving {

namespace {

constexpr int kListenBacklog = 1024;
/// Delay after a failed accept, e.g. when the process is out of file descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
/// For callers beyond the maximum number of connections, who may reach another daemon meanwhile.
constexpr Duration kBusyRetryAfter = std::chrono::milliseconds(300);

}  // namespace

void ResponseWriter::write(const HttpReply& reply) const {
  if (const auto session = session_.lock()) {
    session->respondTo(requestNumber_, reply);
  }
}

HttpService::HttpService(boost::asio::io_context& context, RequestHandler& handler)
    : context_(context), handler_(handler), acceptor_(context), acceptRetry_(context) {}

HttpService::~HttpService() {
  for (HttpSession* session : sessions_) {
    session->detach();
  }
}

std::string HttpService::listen(const Endpoint& address) {
  boost::system::error_code error;
  acceptor_.open(boost::asio::ip::tcp::v4(), error);
  if (!error) {
    acceptor_.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(toAsio(address), error);
  }
  if (!error) {
    acceptor_.listen(kListenBacklog, error);
  }
  if (error) {
    std::string problem = "cannot listen at " + address.text() + ": " + error.message();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    return problem;
  }
  accept();
  return {};
}

void HttpService::accept() {
  const std::weak_ptr<void> lifetime = lifetime_;
  acceptor_.async_accept(
      [this, lifetime](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
        if (lifetime.expired() || error == boost::asio::error::operation_aborted) {
          return;
        }
        if (error) {
          retryAccept();
          return;
        }
        onAccepted(std::move(socket));
        accept();
      });
}

void HttpService::onAccepted(boost::asio::ip::tcp::socket socket) {
  const bool tooMany = sessions_.size() >= maxConnections_;
  const auto session = std::make_shared<HttpSession>(*this, std::move(socket));
  session->start();
  if (tooMany) {
    ++connectionsRejected_;
    session->reject(refusalReply(kBusyRetryAfter, "not run: too many connections"));
  }
}

void HttpService::retryAccept() {
  acceptRetry_.expires_after(kAcceptRetryDelay);
  acceptRetry_.async_wait(
      [this, lifetime = std::weak_ptr<void>(lifetime_)](const boost::system::error_code& error) {
        if (!lifetime.expired() && !error) {
          accept();
        }
      });
}

void HttpService::answerAll(const HttpReply& reply) {
  const std::vector<HttpSession*> sessions(sessions_.begin(), sessions_.end());
  for (HttpSession* session : sessions) {
    session->respondIfServing(reply);
  }
}

void HttpService::stopAccepting() {
  boost::system::error_code ignored;
  acceptRetry_.cancel();
  acceptor_.close(ignored);
  const std::vector<HttpSession*> sessions(sessions_.begin(), sessions_.end());
  for (HttpSession* session : sessions) {
    session->closeIfIdle();
  }
}

}  // namespace oakpier::serving
