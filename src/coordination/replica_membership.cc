/** @file replica_membership.cc Changes and encodings of the members. */
#include "coordination/replica_membership.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <utility>

#include "state/save_chunk.h"

namespace gv {
namespace {

constexpr const char* kMembersTag = "MEMB";
constexpr const char* kDataTag = "DATA";
constexpr uint32_t kMembersVersion = 1;
constexpr uint32_t kDataVersion = 1;

Verdict BadChange(const MembershipChange& change, const char* why) {
  return NotRun(Reason::kBadRequest,
                "replica \"" + change.node_.Value() + "\" " + why);
}

}  // namespace

ReplicaMembership ReplicaMembership::Bootstrap(
    const std::vector<NodeId>& voters) {
  std::vector<ReplicaMember> members;
  members.reserve(voters.size());
  for (const NodeId& node : voters) {
    members.push_back(ReplicaMember{node, true, kBootstrapDisk});
  }
  return ReplicaMembership(std::move(members));
}

const ReplicaMember* ReplicaMembership::Find(const NodeId& node) const {
  const auto found = std::find_if(
      members_.begin(), members_.end(),
      [&node](const ReplicaMember& member) { return member.node_ == node; });
  return found == members_.end() ? nullptr : &*found;
}

bool ReplicaMembership::IsVoter(const NodeId& node, Incarnation disk) const {
  const ReplicaMember* member = Find(node);
  return member != nullptr && member->voter_ && member->disk_ == disk;
}

size_t ReplicaMembership::VoterCount() const {
  return static_cast<size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [](const ReplicaMember& member) { return member.voter_; }));
}

Result<ReplicaMembership> ReplicaMembership::Apply(
    const MembershipChange& change, Incarnation disk) const {
  ReplicaMembership next = *this;
  const auto found = std::find_if(next.members_.begin(), next.members_.end(),
                                  [&change](const ReplicaMember& member) {
                                    return member.node_ == change.node_;
                                  });
  const bool known = found != next.members_.end();
  if (change.action_ == MembershipAction::kAddLearner && !known) {
    next.members_.push_back(ReplicaMember{change.node_, false, Incarnation()});
    return next;
  }
  if (!known) {
    return BadChange(change, "is not a member");
  }
  const bool last_voter = found->voter_ && VoterCount() == 1;
  if (last_voter && change.action_ != MembershipAction::kPromote) {
    return BadChange(change, "is the last voter");
  }
  switch (change.action_) {
    case MembershipAction::kAddLearner:
      *found = ReplicaMember{change.node_, false, Incarnation()};
      break;
    case MembershipAction::kPromote:
      *found = ReplicaMember{change.node_, true, disk};
      break;
    case MembershipAction::kRemove:
      next.members_.erase(found);
      break;
  }
  return next;
}

std::string ReplicaMembership::Encode() const {
  std::string bytes;
  AppendChunk(MakeChunk(kMembersTag, kMembersVersion, members_), bytes);
  return bytes;
}

Result<ReplicaMembership> ReplicaMembership::Decode(std::string_view payload) {
  BOOST_OUTCOME_TRY(const std::vector<SaveChunk> chunks, ReadChunks(payload));
  if (chunks.size() != 1 || chunks.front().tag_ != kMembersTag) {
    return NotRun(Reason::kStorage, "membership: expected one MEMB chunk");
  }
  BOOST_OUTCOME_TRY(std::vector<ReplicaMember> members,
                    ReadRows<ReplicaMember>(chunks.front()));
  return ReplicaMembership(std::move(members));
}

std::string EncodeSnapshot(const ReplicaSnapshot& snapshot) {
  std::string bytes = snapshot.members_.Encode();
  AppendChunk(SaveChunk{kDataTag, kDataVersion, snapshot.data_}, bytes);
  return bytes;
}

Result<ReplicaSnapshot> DecodeSnapshot(std::string_view bytes) {
  BOOST_OUTCOME_TRY(std::vector<SaveChunk> chunks, ReadChunks(bytes));
  if (chunks.size() != 2 || chunks[0].tag_ != kMembersTag ||
      chunks[1].tag_ != kDataTag) {
    return NotRun(Reason::kStorage, "snapshot: expected MEMB and DATA chunks");
  }
  BOOST_OUTCOME_TRY(std::vector<ReplicaMember> members,
                    ReadRows<ReplicaMember>(chunks[0]));
  return ReplicaSnapshot{ReplicaMembership(std::move(members)),
                         std::move(chunks[1].payload_)};
}

}  // namespace gv
