#include "platform_model/leaf_standin.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "platform/header_names.h"
#include "protocol/serving/caller_messages.h"
#include "transport/steady_clock.h"

namespace oakpier::serving::model {

namespace {

constexpr std::size_t kQueue = 12;

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
      bornAt_(millisecondsSince1970()),
      firstId_(settings.id),
      restartTimer_(context),
      silenceTimer_(context) {}

std::string LeafStandin::listen() { return service_->listen(settings_.address); }

void LeafStandin::setLifeListeners(LifeListener onEnded, LifeListener onBack) {
  onEnded_ = std::move(onEnded);
  onBack_ = std::move(onBack);
}

std::string LeafStandin::entry() const {
  const nlohmann::json body = {{"service", settings_.service},
                               {"address", settings_.address.text()},
                               {"zone", settings_.zone},
                               {"version", "v1"},
                               {"capacity", settings_.slots},
                               {"state", draining_ ? "draining" : "ready"},
                               {"warmup_left_ms", 0},
                               {"sequence", 1},
                               {"born", bornAt_}};
  return body.dump();
}

void LeafStandin::crash() {
  crashed_ = true;
  service_->startClosing();
  service_->stopAccepting();
}

void LeafStandin::end() {
  if (!away_) {
    endProcess(settings_.restartAfter);
  }
}

void LeafStandin::fallSilent(Duration duration) {
  if (away_) {
    return;
  }
  away_ = true;
  crashed_ = true;
  ++life_;
  silenceTimer_.expires_after(duration);
  silenceTimer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      endProcess(Duration(0));
    }
  });
}

void LeafStandin::endProcess(Duration restartAfter) {
  away_ = true;
  const std::string endedId = settings_.id;
  service_.reset();
  queue_.clear();
  running_ = 0;
  ++life_;
  if (!settings_.keepsId) {
    settings_.id = firstId_ + "-life-" + std::to_string(life_);
  }
  onEnded_(endedId);
  restartTimer_.expires_after(restartAfter);
  restartTimer_.async_wait([this, endedId](const boost::system::error_code& error) {
    if (!error) {
      restart(endedId);
    }
  });
}

void LeafStandin::restart(const std::string& endedId) {
  away_ = false;
  crashed_ = false;
  bornAt_ = millisecondsSince1970();
  service_ = std::make_unique<HttpService>(context_, *this);
  const std::string problem = listen();
  if (!problem.empty()) {
    observations_.addViolation("a leaf could not come back: " + problem);
  }
  onBack_(endedId);
}

std::function<void()> LeafStandin::onRequest(HttpRequest request, ResponseWriter writer) {
  const std::string id = textOf(request, names().requestId);
  const bool ending = request.target.find(kEndingMark) != std::string::npos;
  if (ending) {
    observations_.onEndingSend(request.target, id, steadyNow());
  }
  if (crashed_) {
    return nullptr;
  }
  if (textOf(request, names().expectedInstance) != settings_.id) {
    writer.write(withId(textReply(421, "another leaf"), id));
    return nullptr;
  }
  if (queue_.size() >= kQueue) {
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

Duration LeafStandin::drawWork() {
  const double mean = static_cast<double>(settings_.meanWork.count());
  const double drawn = std::normal_distribution<double>(mean, mean * 0.3)(random_);
  auto work = Duration(static_cast<std::int64_t>(std::clamp(drawn, mean * 0.2, mean * 3.0)));
  if (std::bernoulli_distribution(settings_.pauseShare)(random_)) {
    work += settings_.pause;
  }
  return work;
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
    work->timer.expires_after(drawWork());
    work->timer.async_wait([this, work, life = life_](const boost::system::error_code&) {
      if (life == life_) {
        finish(work);
      }
    });
  }
}

void LeafStandin::finish(const std::shared_ptr<Work>& work) {
  if (work->request.target.find(kEndingMark) != std::string::npos) {
    observations_.onEndedUnder(work->request.target, steadyNow());
    end();
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
