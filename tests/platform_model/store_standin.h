#pragma once

/// Stand-in for the platform's metadata store: its published HTTP calls on records in memory.

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
  /// While the store is down, every call is answered with 503.
  void setDown(bool down) { down_ = down; }
  /// While the store is silent, no call is answered; calls that came meanwhile are never answered.
  void setSilent(bool silent) { silent_ = silent; }
  /// Simulates a compaction of the history: watches from an earlier revision are answered with 410.
  void compactHistory();
  /// Restores a backup of this age and begins a new epoch: revisions go back, pending watches are answered
  /// with 503, and watches from later revisions with 410. Each writer rewrites its lost record after a random
  /// delay of at most `rewriteWindow`.
  void restore(Duration backupAge, Duration rewriteWindow);
  std::size_t calls() const { return calls_; }

  std::function<void()> onRequest(HttpRequest request, ResponseWriter writer) override;

 private:
  struct Change {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;
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
  /// Writes the record's last written value again unless the store has it.
  void rewrite(const std::string& key);
  /// Adds the epoch header, which every answer has, also errors.
  HttpReply withEpoch(HttpReply reply) const;
  HttpReply range(const std::map<std::string, std::string>& query) const;
  void watch(const std::map<std::string, std::string>& query, ResponseWriter writer);
  /// Answers the watch and returns true if it has changes or `evenIfEmpty` is set.
  bool answer(Watch& watch, bool evenIfEmpty) const;

  boost::asio::io_context& context_;
  HttpService service_;
  std::map<std::string, Change> items_;
  std::vector<Change> history_;
  static constexpr std::uint64_t kFirstRevision = 1;
  std::uint64_t revision_ = kFirstRevision;
  std::uint64_t compactedRevision_ = 0;
  std::uint64_t epoch_ = 1;
  /// The last write of each key, also those that a restored backup lacks.
  std::map<std::string, Change> lastWrites_;
  RandomEngine random_;
  std::vector<std::unique_ptr<boost::asio::steady_timer>> timers_;
  std::list<Watch> watches_;
  bool down_ = false;
  bool silent_ = false;
  /// Keeps the connections of calls without an answer open.
  std::vector<ResponseWriter> unanswered_;
  std::size_t calls_ = 0;
};

}  // namespace oakpier::serving::model
