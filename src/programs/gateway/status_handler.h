#pragma once

/// Answers readiness checks, and metrics at their path.

#include <functional>
#include <string>

#include "transport/serving/http_service.h"

namespace oakpier::serving {

class StatusHandler : public RequestHandler {
 public:
  StatusHandler(std::function<bool()> ready, std::function<std::string()> metrics);

  std::function<void()> onRequest(HttpRequest request, ResponseWriter writer) override;

 private:
  std::function<bool()> ready_;
  std::function<std::string()> metrics_;
};

}  // namespace oakpier::serving
