#pragma once

/// The control thread's side of the gateway: keeps the configuration and the leaf directory up to date from
/// the configuration source and from other daemons, and publishes each new view.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/serving/serving_knowledge.h"
#include "coordination/serving/source_reader.h"
#include "coordination/serving/source_relay.h"
#include "programs/gateway/peer_link.h"
#include "protocol/serving/source_dialect.h"
#include "state/published.h"
#include "transport/serving/source_client.h"

namespace oakpier::serving {

struct SourceCounters {
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
  std::uint64_t newsAccepted = 0;
  std::uint64_t newsAsked = 0;
};

class SourceLoop {
 public:
  struct Handlers {
    /// A view was published.
    std::function<void()> onView;
    std::function<void(std::size_t count)> onDaemonCount;
  };

  SourceLoop(boost::asio::io_context& context, const Endpoint& source, const SourceDialect& dialect,
             const PeerLinkSettings& peers, Published<ServingView>& published, Handlers handlers);

  /// Returns a text when an address cannot be bound, else an empty one.
  std::string start();
  void stop() { peers_.stop(); }
  void leave() { peers_.leave(); }
  void reload(const Endpoint& source, const std::vector<Endpoint>& seeds);
  bool complete() const { return knowledge_.complete(); }
  const SourceCounters& counters() const { return counters_; }

 private:
  void schedule();
  void step();
  void onReply(const SourceCall& call, const std::optional<HttpReply>& reply);
  void onFailure(SourceFailure failure);
  void onPage(const SourceCall& call, const SourcePage& page);
  void onNews(const Endpoint& sender, const SourceNews& news);
  void onNewsRequest(const Endpoint& sender);
  void onMembers(const std::vector<Endpoint>& members);
  /// Returns the records that changed anything.
  std::vector<SourceRecord> takeOver(const std::vector<SourceRecord>& records);
  bool takeOver(const SourceRecord& record);
  bool takeOverConfiguration(ServingConfiguration configuration);
  void carryOut(const RelayActions& actions);
  void publish();
  Duration stagger() const;

  const SourceDialect& dialect_;
  Published<ServingView>& published_;
  Handlers handlers_;
  SourceClient client_;
  SourceReader reader_;
  ServingKnowledge knowledge_;
  SourceRelay relay_;
  PeerLink peers_;
  boost::asio::steady_timer timer_;
  /// Ids of the leafs that the listing in progress has named so far.
  std::vector<std::string> listedLeafs_;
  SourceCounters counters_;
};

}  // namespace oakpier::serving
