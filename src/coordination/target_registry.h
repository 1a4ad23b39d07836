/** @file target_registry.h Control's list of targets: owners, tokens and life.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/outbox.h"
#include "state/clock_type.h"
#include "state/save_chunk.h"

namespace gv {

inline constexpr Duration kTargetLease =
    3_s;  ///< A target whose agent is silent for so long counts as gone.
inline constexpr Duration kOwnerLease =
    5_s;  ///< A silent agent may still pass work for so long; at least the
          ///< length of a settings lease.
inline constexpr Duration kTargetMemory =
    600_s;  ///< The owner of a gone target is forgotten after so long.
inline constexpr Duration kTokenRetry =
    1_s;  ///< Between proposals of one token.

/**
 * Keeps one owner for each target. Owners and tokens are replicated: they
 * change only by ApplyToken(). What agents say from second to second is soft
 * state of the leader. The newest admitted incarnation owns a target; an older
 * one may have it again only when the owner is gone. Thread safety: owned by
 * the control thread.
 */
class TargetRegistry {
 public:
  /** Tag of the table's snapshot chunk. */
  static constexpr const char* kChunkTag = "TARG";

  /** A new leader gives every known target a full lease, and starts a new range
   * of versions. @param term Its election term. */
  void StartTerm(TimePoint now, Term term);

  /** Handles an announcement. @pre This process leads. */
  void OnAnnounce(TimePoint now, const NodeId& agent,
                  const TargetAnnounce& announce, Outbox& out);

  /** @return Targets that need a token; each is to be proposed as a
   * TargetAnnounce command. The token in each is that of the owner to replace.
   */
  std::vector<TargetInfo> TakeTokenWanted();

  /**
   * Applies a committed TargetAnnounce command.
   * @param info As proposed; ignored if its token is no longer the owner's.
   * @param token Index of the log entry.
   */
  void ApplyToken(const TargetInfo& info, FencingToken token);

  /** Fails silent targets and tells agents their tokens. @pre This process
   * leads. */
  void OnTick(TimePoint now, Outbox& out);

  /** @return What changed since @p version, the whole list if that is unknown,
   * or nothing if nothing changed. */
  std::optional<TargetUpdate> UpdateSince(uint64_t version) const;

  /** @return Version of the list; grows with each change. */
  uint64_t Version() const { return version_; }

  /** Shows a target as draining whatever its agent says. */
  void SetDraining(const TargetId& target, bool draining);

  /** @return All targets that are not gone. */
  std::vector<TargetInfo> All() const;

  /** Appends the replicated part as one chunk. */
  void Save(std::string& out) const;
  /** Replaces everything by a chunk that Save() wrote. */
  Result<void> Load(const SaveChunk& chunk);

 private:
  /** An earlier owner of a target. */
  struct EarlierOwner {
    NodeId agent_;             ///< Its process.
    Incarnation incarnation_;  ///< Its newest admitted incarnation.
  };
  /** The replicated part of one target. */
  struct OwnerRow {
    TargetInfo info_;  ///< The present owner as proposed, with its token.
    std::vector<EarlierOwner> earlier_;  ///< Owners before it.
  };
  /** One target. */
  struct Record {
    OwnerRow owner_;       ///< Replicated; the token is none without owner.
    TargetInfo shown_;     ///< As entries see it.
    bool listed_ = false;  ///< Entries see it.
    TimePoint heard_at_;   ///< Last announcement of the owner.
    bool left_ = false;    ///< The owner left by a planned stop.
    TimePoint predecessor_until_;  ///< An earlier owner may work so long.
    TimePoint proposed_at_;        ///< Last proposal of a token.
    bool proposed_ = false;        ///< proposed_at_ is set.
    uint64_t changed_ = 0;         ///< Version of the last change.
  };

  static bool IsOwner(const Record& record, const TargetInfo& info);
  static bool MayOwn(TimePoint now, const Record& record,
                     const TargetInfo& info);
  void NoteTime(TimePoint now);
  void ResumeRecords(TimePoint now);
  void HearOwner(TimePoint now, Record& record, const TargetAnnounce& announce,
                 Outbox& out);
  void Want(TimePoint now, Record& record, TargetInfo info);
  static void SendAdmit(TimePoint now, const NodeId& agent,
                        const Record& record, Outbox& out);
  void Show(Record& record, TargetInfo info);
  void Hide(const TargetId& target, Record& record);
  void Note(const TargetId& target, Record& record);
  void Forget(const TargetId& target);
  void FailSilent(TimePoint now, const TargetId& target, Record& record,
                  Outbox& out);
  static void ReplaceOwner(Record& record, const TargetInfo& info);

  std::map<TargetId, Record> records_;    ///< By target.
  std::set<TargetId> draining_;           ///< Shown as draining.
  std::vector<TargetInfo> wanted_;        ///< Tokens to propose.
  uint64_t version_ = 1;                  ///< Of the list.
  uint64_t oldest_delta_ = 1;             ///< Older versions get a full list.
  std::map<uint64_t, TargetId> journal_;  ///< Last change of each target.
  std::vector<TargetId> admits_due_;      ///< Owners to tell their token.
  TimePoint scanned_at_;                  ///< Last search for silent ones.
  TimePoint active_at_;                   ///< Last call as leader.
  bool active_ = false;                   ///< active_at_ is set.
};

}  // namespace gv
