#include "state/configuration_store.h"

#include "state/configuration_change.h"

namespace oakpier {

bool ConfigurationStore::adopt(const Proposal& accepted) {
  const bool next = accepted.change().revision() == revision() + 1;
  const bool sameCluster = cluster_ == 0 || accepted.cluster() == cluster_;
  if (!next || !sameCluster) {
    return false;
  }
  put(accepted.change());
  voters_ = accepted.voters();
  cluster_ = accepted.cluster();
  return true;
}

bool ConfigurationStore::adopt(const ChangesReply& reply) {
  const bool sameCluster = cluster_ == 0 || reply.cluster() == cluster_;
  if (!sameCluster || reply.revision() <= revision()) {
    return false;
  }
  if (reply.has_whole()) {
    configuration_ = reply.whole();
    recent_.clear();
  } else {
    if (reply.changes().empty() || reply.changes(0).revision() > revision() + 1) {
      return false;
    }
    for (const auto& change : reply.changes()) {
      if (change.revision() == revision() + 1) {
        put(change);
      }
    }
  }
  if (revision() == reply.revision()) {
    voters_ = reply.voters();
  }
  cluster_ = reply.cluster();
  return true;
}

ChangesReply ConfigurationStore::changesSince(std::uint64_t revision) const {
  ChangesReply reply;
  reply.set_revision(this->revision());
  reply.set_cluster(cluster_);
  *reply.mutable_voters() = voters_;
  const bool kept = !recent_.empty() && recent_.front().revision() <= revision + 1;
  if (!kept || revision == 0) {
    *reply.mutable_whole() = configuration_;
    return reply;
  }
  for (const auto& change : recent_) {
    if (change.revision() > revision) {
      *reply.add_changes() = change;
    }
  }
  return reply;
}

void ConfigurationStore::put(const ConfigurationChange& change) {
  applyChange(change, configuration_);
  recent_.push_back(change);
  if (recent_.size() > kChangesKept) {
    recent_.pop_front();
  }
}

}  // namespace oakpier
