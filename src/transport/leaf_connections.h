#pragma once

/// The HTTP connections from one owner thread to its leafs, over the asynchronous cxxtools client. All calls
/// and callbacks happen on the thread that runs the event loop.

#include <cxxtools/selector.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "coordination/leaf_dispatcher.h"
#include "oakpier/leaf.pb.h"
#include "state/endpoint.h"

namespace oakpier {

class LeafConnection;

class LeafConnections {
 public:
  struct Handlers {
    std::function<void(ExchangeId, const LeafAnswer&)> onAnswer;
    std::function<void(ExchangeId, const LeafState&)> onStatus;
    std::function<void(ExchangeId, ExchangeFailure)> onFailure;
  };

  LeafConnections(cxxtools::SelectorBase& selector, Handlers handlers);
  LeafConnections(const LeafConnections&) = delete;
  LeafConnections& operator=(const LeafConnections&) = delete;
  ~LeafConnections();

  /// A non-repeatable request uses a new connection, on which the HTTP library never resends.
  void send(const SendToLeaf& request);
  void abort(ExchangeId exchange);

  /// Frees ended connections, closes idle ones, and opens connections for pending requests. Call every few
  /// milliseconds.
  void onTimer(Moment now);

  std::size_t openCount() const { return connections_.size(); }

 private:
  friend class LeafConnection;

  void begin(const SendToLeaf& request);
  LeafConnection* idleConnection(const Endpoint& leaf);
  void ended(LeafConnection& connection, bool reusable);

  cxxtools::SelectorBase& selector_;
  Handlers handlers_;
  std::list<std::unique_ptr<LeafConnection>> connections_;
  std::unordered_map<Endpoint, std::vector<LeafConnection*>> idle_;
  std::unordered_map<ExchangeId, LeafConnection*> busy_;
  /// Requests waiting for a new connection while too many are being opened.
  std::deque<SendToLeaf> pending_;
  std::size_t opening_ = 0;
};

}  // namespace oakpier
