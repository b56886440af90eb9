#include "coordination/voter_selection.h"

#include <algorithm>
#include <map>

#include "state/hashing.h"

namespace oakpier {

namespace {

struct VoterCandidate {
  ProcessId process;
  std::string zone;
  std::uint64_t rank = 0;
};

std::vector<VoterCandidate> candidatesOf(const MemberTable& members, const SelfMember& self) {
  std::vector<VoterCandidate> candidates;
  if (!self.leaving) {
    candidates.push_back({self.process, self.zone, hashText(self.process.address)});
  }
  for (const auto& record : members.records()) {
    if (record.condition == MEMBER_ALIVE) {
      const std::string address = record.address.text();
      candidates.push_back({{address, record.incarnation}, members.zoneName(record.zone), hashText(address)});
    }
  }
  return candidates;
}

/// Whether the voter is serving with the same incarnation, as far as this daemon knows.
bool isServing(const Voter& voter, const MemberTable& members, const SelfMember& self) {
  if (voter.address() == self.process.address) {
    return voter.incarnation() == self.process.incarnation && !self.leaving;
  }
  const auto address = Endpoint::parse(voter.address());
  const MemberRecord* record = address ? members.find(*address) : nullptr;
  return record != nullptr && record->serving() && record->incarnation == voter.incarnation();
}

void addVoter(VoterSet& voters, const ProcessId& process) {
  Voter& voter = *voters.add_voters();
  voter.set_address(process.address);
  voter.set_incarnation(process.incarnation);
}

}  // namespace

VoterSet selectVoters(const VoterSet& current, const MemberTable& members, const SelfMember& self,
                      std::size_t target) {
  std::vector<VoterCandidate> candidates = candidatesOf(members, self);
  std::map<std::string, std::size_t> perZone;
  VoterSet selected;
  for (const auto& voter : current.voters()) {
    if (!isServing(voter, members, self)) {
      continue;
    }
    *selected.add_voters() = voter;
    const auto known = std::find_if(
        candidates.begin(), candidates.end(),
        [&](const VoterCandidate& candidate) { return candidate.process.address == voter.address(); });
    if (known != candidates.end()) {
      ++perZone[known->zone];
      candidates.erase(known);
    }
  }
  while (static_cast<std::size_t>(selected.voters_size()) < target && !candidates.empty()) {
    const auto next =
        std::min_element(candidates.begin(), candidates.end(), [&](const auto& left, const auto& right) {
          const auto leftCount = perZone[left.zone];
          const auto rightCount = perZone[right.zone];
          return leftCount != rightCount ? leftCount < rightCount : left.rank < right.rank;
        });
    addVoter(selected, next->process);
    ++perZone[next->zone];
    candidates.erase(next);
  }
  return selected;
}

bool maintainsVoterSet(const VoterSet& current, const MemberTable& members, const SelfMember& self) {
  for (const auto& voter : current.voters()) {
    if (isServing(voter, members, self)) {
      return voter.address() == self.process.address;
    }
  }
  return false;
}

bool sameVoters(const VoterSet& left, const VoterSet& right) {
  return left.SerializeAsString() == right.SerializeAsString();
}

VoterSet bootstrapVotersFor(std::vector<Endpoint> daemons, std::size_t target) {
  std::sort(daemons.begin(), daemons.end(), [](const Endpoint& left, const Endpoint& right) {
    return hashText(left.text()) < hashText(right.text());
  });
  VoterSet voters;
  for (const auto& daemon : daemons) {
    if (static_cast<std::size_t>(voters.voters_size()) < target) {
      addVoter(voters, {daemon.text(), 0});
    }
  }
  return voters;
}

}  // namespace oakpier
