#pragma once

/// Stand-in for the platform's metadata store: the published calls over HTTP, kept in memory.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "transport/serving/http_service.h"

namespace oakpier::serving::model {

class StoreStandin : public RequestHandler {
 public:
  explicit StoreStandin(boost::asio::io_context& context);

  std::string listen(const Endpoint& address) { return service_.listen(address); }
  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);
  /// While it is down every call gets 503.
  void setDown(bool down) { down_ = down; }
  /// Forgets the changes so far; watches that need them get 410.
  void forgetHistory();
  std::size_t calls() const { return calls_; }

  std::function<void()> onRequest(HttpRequest request, ResponseWriter writer) override;

 private:
  struct Change {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool gone = false;
  };
  struct Watch {
    Watch(boost::asio::io_context& context, ResponseWriter responseWriter)
        : timer(context), writer(std::move(responseWriter)) {}
    boost::asio::steady_timer timer;
    ResponseWriter writer;
    std::string prefix;
    std::uint64_t after = 0;
  };

  void apply(Change change);
  HttpReply range(const std::map<std::string, std::string>& query) const;
  void watch(const std::map<std::string, std::string>& query, ResponseWriter writer);
  /// Answers the watch if there is something to tell or `must` is set.
  bool answer(Watch& watch, bool must) const;

  boost::asio::io_context& context_;
  HttpService service_;
  std::map<std::string, Change> items_;
  std::vector<Change> history_;
  std::uint64_t revision_ = 1;
  std::uint64_t forgottenRevision_ = 0;
  std::list<Watch> watches_;
  bool down_ = false;
  std::size_t calls_ = 0;
};

}  // namespace oakpier::serving::model
