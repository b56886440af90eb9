#include "protocol/serving/caller_messages.h"

#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <ostream>
#include <variant>

#include "protocol/serving/hop_by_hop_headers.h"

namespace oakpier::serving {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

std::string reasonOf(unsigned status) {
  const auto text = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
  return std::string(text.data(), text.size());
}

std::string inSeconds(Duration duration) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f", static_cast<double>(duration.count()) / 1e6);
  return text;
}

HttpReply mergedReply(const MergedAnswer& answer, const HeaderNames& names) {
  HttpReply reply;
  reply.status = kOk;
  std::string signatures;
  for (const std::string& signature : answer.signatures) {
    signatures.append(signatures.empty() ? "" : ", ").append(signature);
  }
  reply.headers.push_back({names.partSignatures, signatures});
  reply.headers.push_back({names.missingParts, std::to_string(answer.missingShards)});
  reply.body = answer.records;
  return reply;
}

HttpReply forwardedReply(const HttpReply& original) {
  HttpReply reply;
  reply.status = original.status;
  reply.reason = original.reason;
  for (const Header& header : original.headers) {
    if (!isHopByHopHeader(header.name, original.headers)) {
      reply.headers.push_back(header);
    }
  }
  reply.body = original.body;
  return reply;
}

struct ReplyBuilder {
  const HeaderNames& names;

  HttpReply operator()(const ForwardedAnswer& answer) const { return forwardedReply(*answer.reply); }
  HttpReply operator()(const MergedAnswer& answer) const { return mergedReply(answer, names); }
  HttpReply operator()(const Refusal& refusal) const {
    return refusalReply(refusal.retryAfter, "not run: no leaf could take the request");
  }
  HttpReply operator()(const Failure& failure) const {
    return failure.timedOut ? textReply(kGatewayTimeout, "no answer in time")
                            : textReply(kBadGateway, "no leaf answered");
  }
};

}  // namespace

HttpReply replyFor(const FinalAnswer& answer, const std::string& requestId, const HeaderNames& names) {
  HttpReply reply = std::visit(ReplyBuilder{names}, answer);
  if (findHeader(reply.headers, names.requestId) == nullptr) {
    reply.headers.push_back({names.requestId, requestId});
  }
  return reply;
}

HttpReply textReply(unsigned status, const std::string& text) {
  HttpReply reply;
  reply.status = status;
  reply.headers.push_back({"Content-Type", "text/plain"});
  reply.body = text + "\n";
  return reply;
}

HttpReply refusalReply(Duration retryAfter, const std::string& text) {
  HttpReply reply = textReply(kUnavailable, text);
  reply.headers.push_back({"Retry-After", inSeconds(retryAfter)});
  return reply;
}

std::string serialize(const HttpReply& reply, bool close, bool isHead) {
  std::string bytes = "HTTP/1.1 " + std::to_string(reply.status) + " ";
  bytes.append(reply.reason.empty() ? reasonOf(reply.status) : reply.reason).append("\r\n");
  for (const Header& header : reply.headers) {
    bytes.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (reply.status != kNoContent && reply.status != kNotModified) {
    bytes.append("Content-Length: ").append(std::to_string(reply.body.size())).append("\r\n");
  }
  if (close) {
    bytes.append("Connection: close\r\n");
  }
  bytes.append("\r\n");
  if (!isHead) {
    bytes.append(reply.body);
  }
  return bytes;
}

}  // namespace oakpier::serving
