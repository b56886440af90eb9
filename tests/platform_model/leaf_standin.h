#pragma once

/// Stand-in for one leaf on the platform: slots and a queue, signed answers, told load, leaving in order.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
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
};

class LeafStandin : public RequestHandler {
 public:
  LeafStandin(boost::asio::io_context& context, const LeafSettings& settings, Observations& observations,
              std::uint64_t seed);

  std::string listen() { return service_.listen(settings_.address); }
  const LeafSettings& settings() const { return settings_; }
  /// The entry that the leaf keeps in the store.
  std::string entry() const;
  void drain() { draining_ = true; }
  /// Ends without a word; connections break.
  void crash();

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
  void finish(const std::shared_ptr<Work>& work);
  Duration drawWork();

  boost::asio::io_context& context_;
  LeafSettings settings_;
  Observations& observations_;
  RandomEngine random_;
  HttpService service_;
  std::deque<std::shared_ptr<Work>> queue_;
  unsigned running_ = 0;
  std::uint64_t answers_ = 0;
  bool draining_ = false;
  bool crashed_ = false;
};

}  // namespace oakpier::serving::model
