#include "protocol/serving/leaf_messages.h"

#include <charconv>
#include <utility>
#include <vector>

#include "protocol/serving/hop_by_hop_headers.h"

namespace oakpier::serving {

namespace {

constexpr unsigned kMisdirected = 421;
constexpr std::string_view kTimeoutParameter = "timeout=";
/// Running requests, queued requests and slots; the processing time is optional.
constexpr std::size_t kMinLoadFields = 3;

bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

bool parseNumber(std::string_view text, unsigned& number) {
  return std::from_chars(text.data(), text.data() + text.size(), number).ec == std::errc();
}

std::vector<std::string_view> splitAtCommas(std::string_view text) {
  std::vector<std::string_view> parts;
  for (std::size_t comma = text.find(','); comma != std::string_view::npos; comma = text.find(',')) {
    parts.push_back(text.substr(0, comma));
    text.remove_prefix(comma + 1);
  }
  parts.push_back(text);
  return parts;
}

std::optional<ReportedLoad> loadOf(const HttpReply& reply, const HeaderNames& names) {
  const std::string* text = findHeader(reply.headers, names.load);
  if (text == nullptr) {
    return std::nullopt;
  }
  const std::vector<std::string_view> fields = splitAtCommas(*text);
  ReportedLoad load;
  const bool complete = fields.size() >= kMinLoadFields && parseNumber(fields[0], load.running) &&
                        parseNumber(fields[1], load.waiting) && parseNumber(fields[2], load.slots);
  if (!complete ||
      (fields.size() > kMinLoadFields && !parseNumber(fields[kMinLoadFields], load.workTimePercent))) {
    return std::nullopt;
  }
  return load;
}

std::optional<Duration> warmupOf(const HttpReply& reply, const HeaderNames& names) {
  const std::string* text = findHeader(reply.headers, names.warmup);
  std::uint64_t milliseconds = 0;
  if (text == nullptr || !parseMilliseconds(*text, milliseconds)) {
    return std::nullopt;
  }
  return fromMilliseconds(milliseconds);
}

}  // namespace

LeafRequestTemplate::LeafRequestTemplate(const HttpRequest& request, const HeaderNames& names)
    : names_(names),
      body_(request.body),
      tenant_(request.tenant),
      record_(std::make_shared<RequestRecord>(RequestRecord{fingerprintOf(request), false})),
      isHead_(request.method == "HEAD") {
  if (const std::string* id = findHeader(request.headers, names.requestId)) {
    requestId_ = *id;
  }
  head_.reserve(256);
  head_.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  bool framed = !request.body.empty();
  for (const Header& header : request.headers) {
    framed = framed || sameHeaderName(header.name, "Content-Length") ||
             sameHeaderName(header.name, "Transfer-Encoding");
    const bool replaced = sameHeaderName(header.name, names.deadline) ||
                          sameHeaderName(header.name, names.expectedInstance) ||
                          sameHeaderName(header.name, names.tenant) || sameHeaderName(header.name, "Expect");
    if (replaced || isHopByHopHeader(header.name, request.headers)) {
      continue;
    }
    head_.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (!request.tenant.empty()) {
    head_.append(names.tenant).append(": ").append(request.tenant).append("\r\n");
  }
  if (framed) {
    head_.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
  }
}

std::string LeafRequestTemplate::bytesFor(const std::string& instance, Duration remaining) const {
  std::string bytes;
  bytes.reserve(head_.size() + body_.size() + 96);
  bytes.append(head_);
  bytes.append(names_.deadline).append(": ").append(std::to_string(toMilliseconds(remaining))).append("\r\n");
  bytes.append(names_.expectedInstance).append(": ").append(instance).append("\r\n\r\n");
  bytes.append(body_);
  return bytes;
}

bool repliesTo(const HttpReply& reply, const std::string& requestId, const HeaderNames& names) {
  const std::string* id = findHeader(reply.headers, names.requestId);
  return id != nullptr && *id == requestId;
}

LeafOutcome classifyReply(std::shared_ptr<const HttpReply> reply, const HeaderNames& names) {
  LeafOutcome outcome;
  outcome.load = loadOf(*reply, names);
  outcome.warmupLeft = warmupOf(*reply, names);
  if (reply->status == kMisdirected) {
    outcome.kind = LeafOutcome::Kind::kWrongInstance;
    return outcome;
  }
  if (findHeader(reply->headers, names.notExecuted) != nullptr) {
    outcome.kind = LeafOutcome::Kind::kNotExecuted;
    return outcome;
  }
  const std::string* signature = findHeader(reply->headers, names.signature);
  const bool encoded = findHeader(reply->headers, "Content-Encoding") != nullptr;
  if (signature == nullptr || encoded) {
    outcome.kind = LeafOutcome::Kind::kNoAnswer;
    return outcome;
  }
  outcome.signature = *signature;
  outcome.kind = isSuccess(reply->status) ? LeafOutcome::Kind::kAnswered : LeafOutcome::Kind::kLeafFailed;
  outcome.reply = std::move(reply);
  return outcome;
}

std::optional<Duration> idleTimeoutOf(const HttpReply& reply) {
  const std::string* text = findHeader(reply.headers, "Keep-Alive");
  if (text == nullptr) {
    return std::nullopt;
  }
  const std::size_t position = text->find(kTimeoutParameter);
  unsigned seconds = 0;
  if (position != std::string::npos &&
      parseNumber(std::string_view(*text).substr(position + kTimeoutParameter.size()), seconds)) {
    return std::chrono::seconds(seconds);
  }
  return std::nullopt;
}

}  // namespace oakpier::serving
