/** @file part_quarantine.h Finds the requests, or the parts of prompts, that
 * crash targets, and keeps them away from targets. */
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "protocol/registry_messages.h"
#include "state/clock_type.h"
#include "state/ids_type.h"

namespace gv {

/**
 * @return A part that stands for a whole request. Requests that are the same in
 * @p address, @p caller, @p part_list and @p body have the same one. Thread
 * safety: pure.
 */
PromptPartId WholeRequestPart(std::string_view address, std::string_view caller,
                              std::string_view part_list,
                              std::string_view body);

/**
 * Fault patterns: a request crashes each target that begins to run it, and is
 * sent again and again; one part that several prompts share crashes each engine
 * that begins to answer it. A whole request counts as one more of its parts, so
 * both are found in the same way. What runs beside such a prompt breaks too,
 * and its other parts are shared with sound prompts. So a part is quarantined
 * only after several crashes in a row that no answer interrupts, each by a
 * prompt that was sent after the crash before; engines that are lost together
 * count once. Parts that were present in each of these crashes are suspected
 * together: only prompts with all of them are kept away until an answer or a
 * crash tells them apart. A quarantine ends with an answer, and is tried again
 * after a while by one prompt. All gateways hear of crashes and answers, and
 * compare their quarantines. Thread safety: owned by one thread.
 */
class PartQuarantine {
 public:
  /** A part of prompts to one service, or a whole request to it. */
  using Key = std::pair<std::string, PromptPartId>;

  /** Takes in a crash that this or another gateway has seen. */
  void OnCrash(TimePoint now, const EngineCrash& report);
  /** Decides on the parts of crashes of which all gateways have had time to
   * report, and removes what is too old to count. Call on each tick. @return
   * Parts whose quarantine begins or begins anew. */
  std::vector<Key> OnTick(TimePoint now);
  /** An answer to a prompt with @p parts has begun. @return Those that were
   * seen in a crash since their last answer, which the other gateways have to
   * hear. */
  std::vector<PromptPartId> OnAnswer(TimePoint now, const std::string& service,
                                     const std::vector<PromptPartId>& parts);
  /** @return Nothing if a prompt with @p parts may be sent to an engine, or
   * the time until it may be sent as a trial. */
  std::optional<Duration> UntilTrial(
      TimePoint now, const std::string& service,
      const std::vector<PromptPartId>& parts) const;
  /** A prompt with @p parts is sent to an engine. @return True if it is the
   * trial of a quarantine that is over; until its outcome is known no other one
   * is sent from here. */
  bool OnSent(TimePoint now, const std::string& service,
              const std::vector<PromptPartId>& parts);
  /** Sets the position of this gateway in the order of all gateways, which try
   * one after the other. */
  void SetGatewayIndex(size_t index) { gateway_index_ = index; }

  /** @return Hash over all quarantined parts; equal at gateways that agree. */
  uint64_t Digest() const { return digest_; }
  /** @return All quarantines and recent answers, for another gateway. */
  PartTable Table(TimePoint now) const;
  /** Takes in the table of another gateway; the newer news of a part counts. */
  void Merge(TimePoint now, const PartTable& table);

 private:
  /** A prompt that had no answer when its engine crashed. */
  struct Suspect {
    TimePoint sent_;
    std::vector<PromptPartId> parts_;
  };
  /** A crash of an engine, as far as gateways have reported it. */
  struct Crash {
    TargetId target_;
    uint64_t start_ms_ = 0;  ///< Of the engine.
    std::string service_;
    TimePoint at_;
    std::vector<Suspect> suspects_;
    std::set<PromptPartId> parts_;  ///< Of all suspects.
    bool is_decided_ = false;       ///< OnTick() has seen all suspects.
  };
  /** Crashes in a row that a part may have caused. */
  struct Streak {
    size_t crashes_ = 0;
    TimePoint last_;  ///< The newest of them.
    /** Parts that were present in each of them. */
    std::set<PromptPartId> common_;
  };
  /** A quarantined part. */
  struct Row {
    std::set<PromptPartId> with_;  ///< Only prompts with all of these.
    TimePoint crashed_;            ///< Its newest crash.
    TimePoint trial_at_;           ///< When one prompt may be sent.
    Duration length_;              ///< Of the quarantine.
  };

  Crash& FindOrAdd(const EngineCrash& report, TimePoint at);
  Streak StreakOf(const Key& key) const;
  /** @return True if the quarantine is for prompts with @p parts. */
  static bool Matches(const Row& row, const std::vector<PromptPartId>& parts);
  TimePoint TrialAt(const Row& row) const;
  void Expire(TimePoint now);
  bool Quarantine(TimePoint now, const Key& key, const Streak& streak);
  void Clear(TimePoint at, const Key& key);
  void UpdateDigest();

  std::deque<Crash> crashes_;          ///< The newest ones, oldest first.
  std::map<Key, TimePoint> answered_;  ///< Last answers of suspected parts.
  std::map<Key, Row> rows_;            ///< Quarantined parts.
  uint64_t digest_ = 0;                ///< Of rows_.
  size_t gateway_index_ = 0;
};

}  // namespace gv
