/** @file admission_queue.h Requests that wait for a target: lanes by prompt
 * length with ageing, and fair shares between teams within a lane. */
#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/entry_type.h"

namespace gv {

/** A waiting request, as the queue sees it. */
struct QueuedRequest {
  RequestId request_;                        ///< The request.
  TeamId team_;                              ///< Its team.
  Lane lane_ = Lane::kShort;                 ///< Its lane.
  Priority priority_ = Priority::kNormal;    ///< Its priority.
  int64_t cost_ = 0;                         ///< Prompt tokens to process.
  int64_t share_ = 1;                        ///< The team's share of the fleet.
  TimePoint since_;                          ///< Arrival.
  TimePoint deadline_ = TimePoint::Never();  ///< Its deadline.
};

/**
 * The queue of one model. A shorter lane goes first; a request that has aged
 * goes before all lanes. Within a lane
 * teams are served by start-time fair queueing on tokens divided by share, and
 * within a team by priority, then arrival. Thread safety: control thread only.
 */
class AdmissionQueue {
 public:
  /** Adds a request. @pre It is not in the queue. */
  void Push(const QueuedRequest& request);

  /** Removes a request, served or not; does nothing if it is not there. */
  void Remove(RequestId request, bool served);

  /**
   * @param now For ageing.
   * @return Requests to try in order: the head of each team in each lane.
   */
  const std::vector<RequestId>& Heads(TimePoint now);

  /** @return Tokens that are served before a new request of this kind. */
  int64_t TokensAhead(const QueuedRequest& request) const;

  bool empty() const { return requests_.empty(); }
  size_t size() const { return requests_.size(); }
  /** @return Requests of a lane. */
  size_t Waiting(Lane lane) const { return lane_count_[LaneIndex(lane)]; }

  /** @return Longest wait after which a lane's request goes first. */
  static Duration AgeLimit(Lane lane);

  /** @return True if a request has waited for half of its time, or for the
   * limit of its lane. */
  static bool IsAged(TimePoint now, Lane lane, TimePoint since,
                     TimePoint deadline);

 private:
  using OrderKey = std::pair<std::pair<Priority, TimePoint>, RequestId>;

  struct TeamLane {
    std::set<OrderKey> order_;  ///< By priority and arrival.
    int64_t tokens_ = 0;        ///< Waiting tokens.
    double virtual_time_ = 0;   ///< Served tokens divided by share.
    int64_t share_ = 1;         ///< The team's share.
  };

  struct LaneQueue {
    std::map<TeamId, TeamLane> teams_;  ///< Teams with or without backlog.
    double virtual_time_ = 0;           ///< Of the last served request.
    int64_t tokens_ = 0;                ///< Waiting tokens of all teams.
  };

  static OrderKey KeyOf(const QueuedRequest& request) {
    return {{request.priority_, request.since_}, request.request_};
  }

  std::array<LaneQueue, kLaneCount> lanes_;      ///< By length.
  std::array<size_t, kLaneCount> lane_count_{};  ///< Requests by lane.
  std::unordered_map<RequestId, QueuedRequest> requests_;  ///< All waiting.
  std::vector<RequestId> heads_;  ///< Result of Heads, kept for its storage.
};

}  // namespace gv
