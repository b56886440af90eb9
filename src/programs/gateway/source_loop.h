#pragma once

/// The control thread's side of the gateway: keeps the configuration and the leaf directory up to date from
/// the configuration source and publishes each new view.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "coordination/serving/serving_knowledge.h"
#include "coordination/serving/source_reader.h"
#include "protocol/serving/source_dialect.h"
#include "state/published.h"
#include "transport/serving/source_client.h"

namespace oakpier {

struct SourceCounters {
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
};

class SourceLoop {
 public:
  /// `onView` is called on this loop's thread after each publication.
  SourceLoop(boost::asio::io_context& context, const Endpoint& source, const SourceDialect& dialect,
             Published<ServingView>& published, std::function<void()> onView);

  void start();
  void setSource(const Endpoint& address) { client_.setAddress(address); }
  bool complete() const { return knowledge_.complete(); }
  const SourceCounters& counters() const { return counters_; }

 private:
  void schedule();
  void step();
  void onReply(const SourceCall& call, const std::optional<HttpReply>& reply);
  void onPage(const SourceCall& call, const SourcePage& page);
  void takeOver(const SourceRecord& record);
  void publish();

  const SourceDialect& dialect_;
  Published<ServingView>& published_;
  std::function<void()> onView_;
  SourceClient client_;
  SourceReader reader_;
  ServingKnowledge knowledge_;
  boost::asio::steady_timer timer_;
  std::vector<std::string> listedLeafs_;
  SourceCounters counters_;
};

}  // namespace oakpier
