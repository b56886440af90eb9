#include "transport/http_server.h"

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <istream>
#include <ostream>

#include "protocol/rpc_codec.h"

namespace oakpier {

namespace {

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpBadRequest = 400;
constexpr unsigned kHttpNotFound = 404;
constexpr unsigned kHttpTooLarge = 413;

thread_local int callerSocket = -1;

/// For calls that run on the receiving thread, which need no controller state.
class LocalController : public google::protobuf::RpcController {
 public:
  void Reset() override {}
  bool Failed() const override { return false; }
  std::string ErrorText() const override { return {}; }
  void StartCancel() override {}
  void SetFailed(const std::string&) override {}
  bool IsCanceled() const override { return false; }
  void NotifyOnCancel(google::protobuf::Closure*) override {}
};

void writeError(cxxtools::http::Reply& reply, unsigned status, BodyFormat format, const Error& error) {
  reply.httpReturn(status, "error");
  reply.setHeader("Content-Type", contentTypeOf(format));
  reply.bodyStream() << encodeBody(error, format);
}

}  // namespace

int currentCallerSocket() { return callerSocket; }

bool currentCallerGone() {
  if (callerSocket < 0) {
    return false;
  }
  pollfd watched{callerSocket, POLLRDHUP, 0};
  return poll(&watched, 1, 0) > 0 && (watched.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

class RpcResponder : public cxxtools::http::Responder {
 public:
  RpcResponder(cxxtools::http::Service& service, const HttpServer& server)
      : Responder(service), server_(server) {}

  /// The responder is released after the reply is written.
  ~RpcResponder() override {
    if (begun_) {
      --server_.callsInProgress_;
    }
  }

  void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& /*in*/,
                    cxxtools::http::Request& /*request*/) override {
    socket_ = socket.getFd();
    if (!begun_) {
      begun_ = true;
      ++server_.callsInProgress_;
      ++server_.callsBegun_;
    }
    body_.clear();
    oversized_ = false;
  }

  std::size_t readBody(std::istream& in) override {
    char buffer[8192];
    std::size_t total = 0;
    while (in.rdbuf()->in_avail() > 0) {
      const auto count =
          in.rdbuf()->sgetn(buffer, std::min<std::streamsize>(in.rdbuf()->in_avail(), sizeof(buffer)));
      if (count <= 0) {
        break;
      }
      total += static_cast<std::size_t>(count);
      keep(buffer, static_cast<std::size_t>(count));
    }
    return total;
  }

  void reply(std::ostream& /*out*/, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override {
    const char* contentType = request.getHeader("Content-Type");
    const BodyFormat format = bodyFormatOf(contentType == nullptr ? "" : contentType);
    const auto page = server_.pages_.find(request.url());
    if (page != server_.pages_.end()) {
      writePage(reply, page->second());
      return;
    }
    if (oversized_) {
      writeError(reply, kHttpTooLarge, format,
                 makeError(ERROR_TOO_LARGE,
                           "the body exceeds " + std::to_string(server_.options_.maxBodyBytes) + " bytes"));
      return;
    }
    callerSocket = socket_;
    call(request.url(), format, reply);
    callerSocket = -1;
    if (server_.closing_) {
      reply.setHeader("Connection", "close");
    }
  }

 private:
  void keep(const char* data, std::size_t size) {
    if (body_.size() + size > server_.options_.maxBodyBytes) {
      oversized_ = true;
      return;
    }
    body_.append(data, size);
  }

  static void writePage(cxxtools::http::Reply& reply, const PageReply& page) {
    reply.httpReturn(page.status, page.status == kHttpOk ? "OK" : "unavailable");
    reply.setHeader("Content-Type", page.contentType.c_str());
    reply.bodyStream() << page.body;
  }

  /// `url` is /package.Service/Method.
  void call(const std::string& url, BodyFormat format, cxxtools::http::Reply& reply) {
    const auto slash = url.rfind('/');
    const std::string serviceName = slash == 0 ? "" : url.substr(1, slash - 1);
    const auto service = server_.services_.find(serviceName);
    const auto* method = service == server_.services_.end()
                             ? nullptr
                             : service->second->GetDescriptor()->FindMethodByName(url.substr(slash + 1));
    if (method == nullptr) {
      writeError(reply, kHttpNotFound, format, makeError(ERROR_UNKNOWN_METHOD, "no method " + url));
      return;
    }
    const std::unique_ptr<google::protobuf::Message> input(
        service->second->GetRequestPrototype(method).New());
    if (const auto error = decodeBody(body_, format, *input)) {
      writeError(reply, kHttpBadRequest, format, *error);
      return;
    }
    const std::unique_ptr<google::protobuf::Message> output(
        service->second->GetResponsePrototype(method).New());
    LocalController controller;
    service->second->CallMethod(method, &controller, input.get(), output.get(),
                                google::protobuf::NewCallback(&google::protobuf::DoNothing));
    reply.setHeader("Content-Type", contentTypeOf(format));
    reply.bodyStream() << encodeBody(*output, format);
  }

  const HttpServer& server_;
  std::string body_;
  bool oversized_ = false;
  int socket_ = -1;
  bool begun_ = false;
};

class HttpServer::Dispatcher : public cxxtools::http::Service {
 public:
  explicit Dispatcher(const HttpServer& server) : server_(server) {}

 protected:
  cxxtools::http::Responder* createResponder(const cxxtools::http::Request& /*request*/) override {
    return new RpcResponder(*this, server_);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

 private:
  const HttpServer& server_;
};

HttpServer::HttpServer(const Options& options)
    : options_(options), dispatcher_(std::make_unique<Dispatcher>(*this)) {}

HttpServer::~HttpServer() { stop(); }

void HttpServer::addRpcService(google::protobuf::Service& service) {
  services_[service.GetDescriptor()->full_name()] = &service;
}

void HttpServer::addPage(const std::string& path, std::function<PageReply()> page) {
  pages_[path] = std::move(page);
}

std::string HttpServer::start() {
  try {
    server_ = std::make_unique<cxxtools::http::Server>(loop_);
    server_->minThreads(4);
    server_->maxThreads(options_.threads);
    server_->addService(cxxtools::Regex(".*"), *dispatcher_);
    server_->listen(options_.listen.ip(), options_.listen.port());
  } catch (const std::exception& problem) {
    server_.reset();
    return "cannot listen on " + options_.listen.text() + ": " + problem.what();
  }
  thread_ = std::thread([this] { loop_.run(); });
  return {};
}

void HttpServer::stopListening() {
  closing_ = true;
  // cxxtools does not expose its listening socket, so find the descriptor by its address.
  constexpr int kMaxDescriptors = 4096;
  for (int descriptor = 0; descriptor < kMaxDescriptors; ++descriptor) {
    int listening = 0;
    socklen_t size = sizeof(listening);
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    const bool isListener = getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) == 0 &&
                            listening == 1 &&
                            getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0;
    if (isListener && Endpoint(ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)) == options_.listen) {
      shutdown(descriptor, SHUT_RD);
    }
  }
}

void HttpServer::stop() {
  if (!thread_.joinable()) {
    return;
  }
  loop_.exit();
  thread_.join();
  server_.reset();
}

}  // namespace oakpier
