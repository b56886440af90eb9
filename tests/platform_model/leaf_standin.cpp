#include "platform_model/leaf_standin.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "platform/header_names.h"
#include "protocol/serving/caller_messages.h"
#include "transport/steady_clock.h"

namespace oakpier::serving::model {

namespace {

constexpr std::size_t kMaxQueuedRequests = 12;

const HeaderNames& names() {
  static const HeaderNames kNames = platform::headerNames();
  return kNames;
}

std::uint64_t millisecondsSince1970() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

HttpReply withId(HttpReply reply, const std::string& requestId) {
  reply.headers.push_back({names().requestId, requestId});
  return reply;
}

std::string textOf(const HttpRequest& request, const std::string& name) {
  const std::string* value = findHeader(request.headers, name);
  return value == nullptr ? "" : *value;
}

}  // namespace

LeafStandin::LeafStandin(boost::asio::io_context& context, const LeafSettings& settings,
                         Observations& observations, std::uint64_t seed)
    : context_(context),
      settings_(settings),
      observations_(observations),
      random_(seed),
      service_(std::make_unique<HttpService>(context, *this)),
      processStartedAt_(millisecondsSince1970()),
      baseId_(settings.id),
      restartTimer_(context),
      hangTimer_(context) {}

std::string LeafStandin::listen() { return service_->listen(settings_.address); }

void LeafStandin::setLifecycleListeners(LifecycleListener onTerminated, LifecycleListener onRestarted) {
  onTerminated_ = std::move(onTerminated);
  onRestarted_ = std::move(onRestarted);
}

std::string LeafStandin::entry() const {
  const nlohmann::json body = {{"service", settings_.service}, {"address", settings_.address.text()},
                               {"zone", settings_.zone},       {"version", "v1"},
                               {"capacity", settings_.slots},  {"state", draining_ ? "draining" : "ready"},
                               {"warmup_left_ms", 0},          {"sequence", 1},
                               {"born", processStartedAt_}};
  return body.dump();
}

void LeafStandin::stopForGood() {
  unresponsive_ = true;
  service_->startClosing();
  service_->stopAccepting();
}

void LeafStandin::crashAndRestart() {
  if (!unavailable_) {
    terminate(settings_.restartAfter);
  }
}

void LeafStandin::hang(Duration duration) {
  if (unavailable_) {
    return;
  }
  unavailable_ = true;
  unresponsive_ = true;
  ++incarnation_;
  hangTimer_.expires_after(duration);
  hangTimer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      terminate(Duration(0));
    }
  });
}

void LeafStandin::terminate(Duration restartAfter) {
  unavailable_ = true;
  const std::string previousId = settings_.id;
  service_.reset();
  queue_.clear();
  running_ = 0;
  ++incarnation_;
  if (!settings_.keepsIdOnRestart) {
    settings_.id = baseId_ + "-incarnation-" + std::to_string(incarnation_);
  }
  onTerminated_(previousId);
  restartTimer_.expires_after(restartAfter);
  restartTimer_.async_wait([this, previousId](const boost::system::error_code& error) {
    if (!error) {
      restart(previousId);
    }
  });
}

void LeafStandin::restart(const std::string& previousId) {
  unavailable_ = false;
  unresponsive_ = false;
  processStartedAt_ = millisecondsSince1970();
  service_ = std::make_unique<HttpService>(context_, *this);
  const std::string problem = listen();
  if (!problem.empty()) {
    observations_.addViolation("a leaf could not restart: " + problem);
  }
  onRestarted_(previousId);
}

std::function<void()> LeafStandin::onRequest(HttpRequest request, ResponseWriter writer) {
  const std::string id = textOf(request, names().requestId);
  const bool crashing = request.target.find(kCrashingPathMark) != std::string::npos;
  if (crashing) {
    observations_.onCrashingSend(request.target, id, steadyNow());
  }
  if (unresponsive_) {
    return nullptr;
  }
  if (textOf(request, names().expectedInstance) != settings_.id) {
    writer.write(withId(textReply(421, "another leaf"), id));
    return nullptr;
  }
  if (queue_.size() >= kMaxQueuedRequests) {
    HttpReply full = withId(textReply(503, "full"), id);
    full.headers.push_back({names().notExecuted, "1"});
    writer.write(full);
    return nullptr;
  }
  auto work = std::make_shared<Work>(context_, std::move(request), std::move(writer));
  queue_.push_back(work);
  startNext();
  return [work] { work->cancelled = true; };
}

Duration LeafStandin::drawServiceTime() {
  const double mean = static_cast<double>(settings_.meanServiceTime.count());
  const double drawn = std::normal_distribution<double>(mean, mean * 0.3)(random_);
  auto serviceTime = Duration(static_cast<std::int64_t>(std::clamp(drawn, mean * 0.2, mean * 3.0)));
  if (std::bernoulli_distribution(settings_.pauseProbability)(random_)) {
    serviceTime += settings_.pause;
  }
  return serviceTime;
}

void LeafStandin::startNext() {
  while (running_ < settings_.slots && !queue_.empty()) {
    const std::shared_ptr<Work> work = queue_.front();
    queue_.pop_front();
    if (work->cancelled) {
      continue;
    }
    ++running_;
    observations_.onArrival(textOf(work->request, names().requestId), settings_.id, draining_, steadyNow());
    work->timer.expires_after(drawServiceTime());
    work->timer.async_wait([this, work, incarnation = incarnation_](const boost::system::error_code&) {
      if (incarnation == incarnation_) {
        finish(work);
      }
    });
  }
}

void LeafStandin::finish(const std::shared_ptr<Work>& work) {
  if (work->request.target.find(kCrashingPathMark) != std::string::npos) {
    observations_.onLeafCrash(work->request.target, steadyNow());
    crashAndRestart();
    return;
  }
  --running_;
  const std::string id = textOf(work->request, names().requestId);
  const std::string signature = settings_.id + "." + std::to_string(++answers_);
  HttpReply reply;
  reply.status = 200;
  reply.body.resize(settings_.bodyBytes);
  std::generate(reply.body.begin(), reply.body.end(),
                [this] { return static_cast<char>('a' + drawBelow(26, random_)); });
  reply.headers.push_back({names().signature, signature});
  reply.headers.push_back({names().load, std::to_string(running_) + "," + std::to_string(queue_.size()) +
                                             "," + std::to_string(settings_.slots)});
  observations_.onSigned(signature, SignedPart{id, settings_.service, reply.body});
  work->writer.write(withId(std::move(reply), id));
  startNext();
}

}  // namespace oakpier::serving::model
