/** @file replica_disk.h Orders the disk operations of a replica and holds back
 * what must not be said before they are synced. */
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "protocol/outbox.h"

namespace gv {

/**
 * Numbers the operations sent to Port::kDisk and keeps messages until the
 * operations before them are synced. Thread safety: control thread only.
 */
class ReplicaDisk {
 public:
  /** @param durable Last index found on the disk at start. */
  explicit ReplicaDisk(LogIndex durable) : durable_(durable) {}

  /** Makes term, vote and the part in the first start durable. */
  void SaveVote(Term term, const NodeId& voted_for, bool ready, Outbox& out);

  /** Appends entries after cutting the log at @p truncate_from, if not none. */
  void Append(LogIndex truncate_from, std::vector<LogEntry> entries,
              Outbox& out);

  /** Replaces the snapshot and drops the log up to @p index. */
  void SaveSnapshot(LogIndex index, Term term, std::string data, Outbox& out);

  /**
   * Replaces snapshot and log by a snapshot of another replica.
   * @param commit Last index of the old log that is known to be committed.
   */
  void InstallSnapshot(LogIndex index, Term term, std::string data,
                       LogIndex commit, Outbox& out);

  /** Sends @p body once everything submitted so far is synced; drops it if the
   * term has changed by then. */
  void SendWhenSynced(Term term, const Endpoint& to, Message body, Outbox& out);

  /** Sends @p body once all votes and terms submitted so far are synced. */
  void SendWhenVoteSynced(Term term, const Endpoint& to, Message body,
                          Outbox& out);

  /** Takes in DiskSynced and releases messages of term @p current. */
  void OnSynced(const DiskSynced& synced, Term current, Outbox& out);

  /** Stops everything for good. */
  void Fail();

  /** @return Last index whose entry is synced. */
  LogIndex Durable() const { return durable_; }
  /** @return True if term and vote are synced. */
  bool VoteSynced() const { return synced_ >= vote_sequence_; }
  /** @return True after Fail(). */
  bool HasFailed() const { return failed_; }

 private:
  /** A log write on its way to the disk. */
  struct PendingWrite {
    uint64_t sequence_ = 0;  ///< Of the operation.
    LogIndex last_index_;    ///< Last index durable after it.
  };
  /** A message that waits for the disk. */
  struct HeldMessage {
    uint64_t sequence_ = 0;  ///< Operation that must be synced first.
    Term term_;              ///< Term in which the message is true.
    Endpoint to_;            ///< Receiver.
    Message body_;           ///< The message.
  };

  void SendAfter(uint64_t sequence, Term term, const Endpoint& to, Message body,
                 Outbox& out);
  void CapAt(LogIndex last);

  uint64_t last_sequence_ = 0;        ///< Last operation submitted.
  uint64_t vote_sequence_ = 0;        ///< Last DiskSaveVote submitted.
  uint64_t synced_ = 0;               ///< Last operation synced.
  LogIndex durable_;                  ///< Last index synced.
  std::deque<PendingWrite> pending_;  ///< In order of sequence.
  std::vector<HeldMessage> held_;     ///< In order of submission.
  bool failed_ = false;               ///< Set by Fail().
};

}  // namespace gv
