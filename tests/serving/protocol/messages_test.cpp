#include <catch2/catch.hpp>

#include "protocol/serving/caller_messages.h"
#include "protocol/serving/hop_by_hop_headers.h"
#include "protocol/serving/leaf_messages.h"

namespace oakpier::serving {

namespace {

using Kind = LeafOutcome::Kind;

HttpRequest requestWith(HeaderList headers, std::string body = "") {
  return HttpRequest{"POST", "/a/b?c=%20d", std::move(headers), std::move(body)};
}

std::shared_ptr<const HttpReply> replyWith(unsigned status, HeaderList headers) {
  auto reply = std::make_shared<HttpReply>();
  reply->status = status;
  reply->headers = std::move(headers);
  return reply;
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("a request to a leaf keeps method, target, body and headers, except hop-by-hop headers",
          "[serving]") {
  const HeaderNames names;
  const HttpRequest request = requestWith({{"Host", "shop.example"},
                                           {"X-Other", "1"},
                                           {"X-Other", "2"},
                                           {"Connection", "keep-alive, X-Private"},
                                           {"X-Private", "secret"},
                                           {"Transfer-Encoding", "chunked"},
                                           {names.requestId, "id-1"},
                                           {names.deadline, "999999"},
                                           {names.expectedInstance, "forged"}},
                                          "body");
  const LeafRequestTemplate made(request, names);
  const std::string bytes = made.bytesFor("leaf-1", std::chrono::milliseconds(250));
  REQUIRE(bytes.substr(0, bytes.find('\r')) == "POST /a/b?c=%20d HTTP/1.1");
  REQUIRE(contains(bytes, "X-Other: 1\r\nX-Other: 2\r\n"));
  REQUIRE(contains(bytes, names.requestId + ": id-1\r\n"));
  REQUIRE(contains(bytes, names.deadline + ": 250\r\n"));
  REQUIRE(contains(bytes, names.expectedInstance + ": leaf-1\r\n"));
  REQUIRE(contains(bytes, "Content-Length: 4\r\n"));
  REQUIRE(bytes.substr(bytes.size() - 8) == "\r\n\r\nbody");
  for (const char* dropped : {"secret", "chunked", "forged", "999999", "Connection"}) {
    REQUIRE_FALSE(contains(bytes, dropped));
  }
}

TEST_CASE("only a signed reply without a content encoding counts as an answer", "[serving]") {
  const HeaderNames names;
  const auto kindOf = [&](unsigned status, HeaderList headers) {
    return classifyReply(replyWith(status, std::move(headers)), names).kind;
  };
  REQUIRE(kindOf(200, {{names.signature, "s"}}) == Kind::kAnswered);
  REQUIRE(kindOf(500, {{names.signature, "s"}}) == Kind::kLeafFailed);
  REQUIRE(kindOf(200, {}) == Kind::kNoAnswer);
  REQUIRE(kindOf(200, {{names.signature, "s"}, {"Content-Encoding", "gzip"}}) == Kind::kNoAnswer);
  REQUIRE(kindOf(503, {}) == Kind::kNoAnswer);
  REQUIRE(kindOf(503, {{names.notExecuted, "1"}}) == Kind::kNotExecuted);
  REQUIRE(kindOf(429, {{names.notExecuted, "1"}}) == Kind::kNotExecuted);
  REQUIRE(kindOf(421, {}) == Kind::kWrongInstance);
}

TEST_CASE("reported load, warm-up and idle timeout are parsed, malformed values ignored", "[serving]") {
  const HeaderNames names;
  const auto load =
      classifyReply(replyWith(200, {{names.signature, "s"}, {names.load, "3,1,8"}}), names).load;
  REQUIRE(load->running == 3);
  REQUIRE(load->waiting == 1);
  REQUIRE(load->slots == 8);
  REQUIRE(load->workTimePercent == 100);
  const auto slowed =
      classifyReply(replyWith(200, {{names.load, "3,1,8,250"}, {names.warmup, "1500"}}), names);
  REQUIRE(slowed.load->workTimePercent == 250);
  REQUIRE(slowed.warmupLeft == std::chrono::milliseconds(1500));
  REQUIRE_FALSE(classifyReply(replyWith(200, {{names.load, "3,1,8,x"}}), names).load);
  REQUIRE_FALSE(classifyReply(replyWith(200, {{names.warmup, "soon"}}), names).warmupLeft);
  REQUIRE_FALSE(classifyReply(replyWith(200, {{names.load, "many"}}), names).load);
  REQUIRE(*idleTimeoutOf(*replyWith(200, {{"Keep-Alive", "timeout=5, max=9"}})) == std::chrono::seconds(5));
  REQUIRE_FALSE(idleTimeoutOf(*replyWith(200, {{"Keep-Alive", "max=9"}})));
}

TEST_CASE("replies to callers carry the status and headers of the query's result", "[serving]") {
  const HeaderNames names;
  const HttpReply merged = replyFor(MergedAnswer{{"a", "b"}, 3, "records"}, "id", names);
  REQUIRE(merged.status == 200);
  REQUIRE(*findHeader(merged.headers, names.partSignatures) == "a, b");
  REQUIRE(*findHeader(merged.headers, names.missingParts) == "3");
  const HttpReply refused = replyFor(Refusal{std::chrono::milliseconds(150)}, "id", names);
  REQUIRE(refused.status == 503);
  REQUIRE(*findHeader(refused.headers, "Retry-After") == "0.15");
  REQUIRE(replyFor(Failure{false}, "id", names).status == 502);
  REQUIRE(replyFor(Failure{true}, "id", names).status == 504);
  auto original = std::make_shared<HttpReply>(*replyWith(
      201, {{names.signature, "s"}, {"Keep-Alive", "timeout=1"}, {"Connection", "X-Hop"}, {"X-Hop", "1"}}));
  original->body = "bytes";
  const HttpReply forwarded = replyFor(ForwardedAnswer{original}, "id", names);
  REQUIRE(forwarded.status == 201);
  REQUIRE(forwarded.body == "bytes");
  REQUIRE(forwarded.headers.size() == 2);
}

TEST_CASE("a reply has a Content-Length unless its status forbids it, and no body for HEAD", "[serving]") {
  HttpReply reply = textReply(200, "text");
  REQUIRE(contains(serialize(reply, true, false), "Content-Length: 5\r\nConnection: close\r\n\r\ntext\n"));
  const std::string head = serialize(reply, false, true);
  REQUIRE(head.substr(head.size() - 4) == "\r\n\r\n");
  reply.status = 204;
  reply.body.clear();
  REQUIRE_FALSE(contains(serialize(reply, false, false), "Content-Length"));
}

}  // namespace oakpier::serving
