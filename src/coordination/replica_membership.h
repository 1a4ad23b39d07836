/** @file replica_membership.h Members of the control group, as entries of its
 * log. */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "coordination/replica_type.h"
#include "state/verdict_type.h"

namespace gv {

/** The members of the control group at one log index. Thread safety: control
 * thread only. */
class ReplicaMembership {
 public:
  ReplicaMembership() = default;
  explicit ReplicaMembership(std::vector<ReplicaMember> members)
      : members_(std::move(members)) {}

  /** @return Voters of the first start, all with kBootstrapDisk. */
  static ReplicaMembership Bootstrap(const std::vector<NodeId>& voters);

  const std::vector<ReplicaMember>& All() const { return members_; }
  bool IsEmpty() const { return members_.empty(); }
  /** @return The member, or nullptr. */
  const ReplicaMember* Find(const NodeId& node) const;
  /** @return True if @p node may vote with @p disk. */
  bool IsVoter(const NodeId& node, Incarnation disk) const;
  /** @return Number of voters. */
  size_t VoterCount() const;
  /** @return Votes or copies that make a majority of the voters. */
  size_t Quorum() const { return VoterCount() / 2 + 1; }

  /**
   * Carries out one change.
   * @param disk Disk of the promoted learner; ignored otherwise.
   * @return The new members, or Reason::kBadRequest.
   */
  Result<ReplicaMembership> Apply(const MembershipChange& change,
                                  Incarnation disk) const;

  /** @return Payload of a membership entry. */
  std::string Encode() const;
  /** Decodes what Encode made, or gives Reason::kStorage. */
  static Result<ReplicaMembership> Decode(std::string_view payload);

 private:
  std::vector<ReplicaMember> members_;  ///< Sorted by nothing; a few rows.
};

/** A snapshot as it lies on the disk and travels: members and applied state. */
struct ReplicaSnapshot {
  ReplicaMembership members_;  ///< Members at the snapshot's index.
  std::string data_;           ///< Applied state, as its owner encoded it.
};

/** @return The checksummed form of a snapshot. Thread safety: pure. */
std::string EncodeSnapshot(const ReplicaSnapshot& snapshot);

/** Decodes what EncodeSnapshot made, or gives Reason::kStorage. */
Result<ReplicaSnapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace gv
