#pragma once

/// Fault injection for tests: blocks traffic with chosen peers.

#include <set>

#include "oakpier/operator.pb.h"
#include "transport/peer_transport.h"

namespace oakpier {

class FaultService : public FaultInjection {
 public:
  explicit FaultService(PeerTransport& peers) : peers_(peers) {}

  void SetPeerCuts(google::protobuf::RpcController* /*controller*/, const PeerCuts* request,
                   PeerCutsReply* /*reply*/, google::protobuf::Closure* done) override {
    std::set<Endpoint> blocked;
    for (const auto& text : request->peers()) {
      if (const auto peer = Endpoint::parse(text)) {
        blocked.insert(*peer);
      }
    }
    peers_.setBlockedPeers(blocked);
    done->Run();
  }

 private:
  PeerTransport& peers_;
};

}  // namespace oakpier
