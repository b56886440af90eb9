#pragma once

/// Stand-in for one leaf on the platform: slots and a queue, signed answers, told load, leaving in order.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "platform_model/observations.h"
#include "state/random.h"
#include "transport/serving/http_service.h"

namespace oakpier::serving::model {

struct LeafSettings {
  std::string id;
  std::string service;
  std::string zone;
  Endpoint address;
  unsigned slots = 2;
  Duration meanWork = std::chrono::milliseconds(5);
  std::size_t bodyBytes = 200;
  /// Share of requests that are answered late by as much as a pause.
  double pauseShare = 0.01;
  Duration pause = std::chrono::milliseconds(60);
  /// How long the leaf is down after a request has ended its process.
  Duration restartAfter = std::chrono::milliseconds(500);
  /// The leaf starts again under the id that it had, not under a new one.
  bool keepsId = false;
};

/// A request whose path holds this ends the process of each leaf that runs it.
inline const char* const kEndingMark = "ends-leafs";

class LeafStandin : public RequestHandler {
 public:
  LeafStandin(boost::asio::io_context& context, const LeafSettings& settings, Observations& observations,
              std::uint64_t seed);

  std::string listen();
  const LeafSettings& settings() const { return settings_; }
  /// The entry that the leaf keeps in the store.
  std::string entry() const;
  void drain() { draining_ = true; }
  /// Stops working without a word, and accepts nothing more.
  void crash();
  /// The process ends without a word and is back later as a new instance.
  void end();
  /// Answers nothing and keeps its connections, until it is back as a new instance after `duration`.
  void fallSilent(Duration duration);
  /// Called when the process has ended, with the id that it had, and when it is back as a new instance.
  using LifeListener = std::function<void(const std::string& endedId)>;
  void setLifeListeners(LifeListener onEnded, LifeListener onBack);

  std::function<void()> onRequest(HttpRequest request, ResponseWriter writer) override;

 private:
  struct Work {
    Work(boost::asio::io_context& context, HttpRequest incoming, ResponseWriter responseWriter)
        : request(std::move(incoming)), writer(std::move(responseWriter)), timer(context) {}
    HttpRequest request;
    ResponseWriter writer;
    boost::asio::steady_timer timer;
    bool cancelled = false;
  };

  void startNext();
  /// The process ends: connections break, nothing listens, and what it held is lost. It is back later.
  void endProcess(Duration restartAfter);
  void restart(const std::string& endedId);
  void finish(const std::shared_ptr<Work>& work);
  Duration drawWork();

  boost::asio::io_context& context_;
  LeafSettings settings_;
  Observations& observations_;
  RandomEngine random_;
  std::unique_ptr<HttpService> service_;
  std::deque<std::shared_ptr<Work>> queue_;
  unsigned running_ = 0;
  std::uint64_t answers_ = 0;
  /// Rises with each start of the process.
  unsigned life_ = 1;
  /// When the process began, in milliseconds since 1970.
  std::uint64_t bornAt_;
  std::string firstId_;
  boost::asio::steady_timer restartTimer_;
  LifeListener onEnded_;
  LifeListener onBack_;
  bool draining_ = false;
  bool crashed_ = false;
  /// Ended or silent, and not back yet.
  bool away_ = false;
  boost::asio::steady_timer silenceTimer_;
};

}  // namespace oakpier::serving::model
