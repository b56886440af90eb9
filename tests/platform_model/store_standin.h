#pragma once

/// Stand-in for the platform's metadata store: the published calls over HTTP, kept in memory.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "state/random.h"
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
  /// Goes on from a copy of its records that is that old, in a new epoch: revisions go back, and watches of
  /// later ones get 410. Writers write what it has lost again, each at a moment of its own within the time.
  void restore(Duration age, Duration writtenAgainWithin);
  std::size_t calls() const { return calls_; }

  std::function<void()> onRequest(HttpRequest request, ResponseWriter writer) override;

 private:
  struct Change {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool gone = false;
    Moment madeAt{};
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
  /// The record's writer sees to it that the store holds what it wrote last.
  void writeAgain(const std::string& key);
  /// Every answer tells the epoch, refusals too.
  HttpReply told(HttpReply reply) const;
  HttpReply range(const std::map<std::string, std::string>& query) const;
  void watch(const std::map<std::string, std::string>& query, ResponseWriter writer);
  /// Answers the watch if there is something to tell or `must` is set.
  bool answer(Watch& watch, bool must) const;

  boost::asio::io_context& context_;
  HttpService service_;
  std::map<std::string, Change> items_;
  std::vector<Change> history_;
  static constexpr std::uint64_t kFirstRevision = 1;
  std::uint64_t revision_ = kFirstRevision;
  std::uint64_t forgottenRevision_ = 0;
  std::uint64_t epoch_ = 1;
  /// What each writer wrote last, by key, whatever the store has lost of it.
  std::map<std::string, Change> written_;
  RandomEngine random_;
  std::vector<std::unique_ptr<boost::asio::steady_timer>> timers_;
  std::list<Watch> watches_;
  bool down_ = false;
  std::size_t calls_ = 0;
};

}  // namespace oakpier::serving::model
