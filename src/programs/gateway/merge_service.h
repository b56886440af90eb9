#pragma once

/// Merge server: sends requests from peers in other zones to leafs of this zone and returns the merged
/// answers. Runs on the request thread.

#include <boost/asio/io_context.hpp>
#include <memory>

#include "coordination/serving/merge_server.h"
#include "programs/gateway/decision_timer.h"
#include "programs/gateway/leaf_sender.h"
#include "programs/gateway/owner_client.h"
#include "protocol/serving/header_names.h"

namespace oakpier::serving {

class MergeService {
 public:
  MergeService(boost::asio::io_context& io, const HeaderNames& names, LeafPool& pool, LeafSender& sender,
               QueryContext& context, FrameSender sendFrame);

  void onWork(const Endpoint& requester, const MergeWork& work);
  void onCancel(const Endpoint& requester, const MergeCancel& cancel);
  std::size_t inProgress() const { return server_.inProgress(); }
  std::uint64_t partsMerged() const { return partsMerged_; }

 private:
  void apply(const MergeServerActions& actions);
  void send(const MergeSend& merge, std::shared_ptr<const LeafRequestTemplate> request);
  void armTimer();

  const HeaderNames& names_;
  LeafPool& pool_;
  LeafSender& sender_;
  QueryContext& context_;
  FrameSender sendFrame_;
  MergeServer server_;
  DecisionTimer timer_;
  std::uint64_t partsMerged_ = 0;
};

}  // namespace oakpier::serving
