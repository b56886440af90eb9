#include "programs/gateway/status_handler.h"

#include <string_view>
#include <utility>

#include "protocol/serving/caller_messages.h"

namespace oakpier::serving {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr std::string_view kMetricsPath = "/metrics";

}  // namespace

StatusHandler::StatusHandler(std::function<bool()> ready, std::function<std::string()> metrics)
    : ready_(std::move(ready)), metrics_(std::move(metrics)) {}

std::function<void()> StatusHandler::onRequest(HttpRequest request, ResponseWriter writer) {
  if (request.target == kMetricsPath) {
    HttpReply reply = textReply(kOk, "");
    reply.body = metrics_();
    writer.write(reply);
  } else {
    writer.write(ready_() ? textReply(kOk, "ready") : textReply(kUnavailable, "not ready"));
  }
  return nullptr;
}

}  // namespace oakpier::serving
