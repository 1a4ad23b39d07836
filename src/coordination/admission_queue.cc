/** @file admission_queue.cc Requests that wait for a target. */
#include "coordination/admission_queue.h"

#include <algorithm>

namespace gv {
namespace {

constexpr Duration kMediumAgeLimit(25'000);
constexpr Duration kLongAgeLimit(75'000);

}  // namespace

Duration AdmissionQueue::AgeLimit(Lane lane) {
  constexpr std::array<Duration, kLaneCount> kLimits{
      Duration(0), kMediumAgeLimit, kLongAgeLimit};
  return kLimits[LaneIndex(lane)];
}

bool AdmissionQueue::IsAged(TimePoint now, Lane lane, TimePoint since,
                            TimePoint deadline) {
  const Duration half = (deadline - since) / 2;
  return lane != Lane::kShort && now - since > std::min(half, AgeLimit(lane));
}

void AdmissionQueue::Push(const QueuedRequest& request) {
  LaneQueue& lane = lanes_[LaneIndex(request.lane_)];
  TeamLane& team = lane.teams_[request.team_];
  if (team.order_.empty()) {
    team.virtual_time_ = std::max(team.virtual_time_, lane.virtual_time_);
  }
  team.share_ = std::max<int64_t>(1, request.share_);
  team.order_.insert(KeyOf(request));
  team.tokens_ += request.cost_;
  lane.tokens_ += request.cost_;
  ++lane_count_[LaneIndex(request.lane_)];
  requests_.emplace(request.request_, request);
}

void AdmissionQueue::Remove(RequestId request, bool served) {
  const auto entry = requests_.find(request);
  if (entry == requests_.end()) {
    return;
  }
  const QueuedRequest& queued = entry->second;
  LaneQueue& lane = lanes_[LaneIndex(queued.lane_)];
  TeamLane& team = lane.teams_[queued.team_];
  team.order_.erase(KeyOf(queued));
  team.tokens_ -= queued.cost_;
  lane.tokens_ -= queued.cost_;
  if (served) {
    lane.virtual_time_ = std::max(lane.virtual_time_, team.virtual_time_);
    team.virtual_time_ += static_cast<double>(queued.cost_ + 1) /
                          static_cast<double>(team.share_);
  }
  --lane_count_[LaneIndex(queued.lane_)];
  requests_.erase(entry);
}

const std::vector<RequestId>& AdmissionQueue::Heads(TimePoint now) {
  struct Head {
    bool aged_;
    size_t lane_;
    double virtual_time_;
    RequestId request_;
  };
  std::vector<Head> heads;
  for (size_t i = 0; i < kLaneCount; ++i) {
    for (const auto& [id, team] : lanes_[i].teams_) {
      if (team.order_.empty()) {
        continue;
      }
      const OrderKey& first = *team.order_.begin();
      const bool aged = IsAged(now, static_cast<Lane>(i), first.first.second,
                               requests_.at(first.second).deadline_);
      heads.push_back({aged, i, team.virtual_time_, first.second});
    }
  }
  std::sort(heads.begin(), heads.end(), [](const Head& a, const Head& b) {
    if (a.aged_ != b.aged_) {
      return a.aged_;
    }
    if (a.lane_ != b.lane_) {
      return a.lane_ < b.lane_;
    }
    return a.virtual_time_ != b.virtual_time_
               ? a.virtual_time_ < b.virtual_time_
               : a.request_ < b.request_;
  });
  heads_.clear();
  for (const Head& head : heads) {
    heads_.push_back(head.request_);
  }
  return heads_;
}

int64_t AdmissionQueue::TokensAhead(const QueuedRequest& request) const {
  int64_t ahead = 0;
  for (size_t i = 0; i < LaneIndex(request.lane_); ++i) {
    ahead += lanes_[i].tokens_;
  }
  const LaneQueue& lane = lanes_[LaneIndex(request.lane_)];
  int64_t shares = std::max<int64_t>(1, request.share_);
  int64_t own = 0;
  for (const auto& [id, team] : lane.teams_) {
    if (id == request.team_) {
      own = team.tokens_;
    } else if (!team.order_.empty()) {
      shares += team.share_;
    }
  }
  // A team's backlog is served at least at its share of the lane's rate.
  const int64_t by_share = own * shares / std::max<int64_t>(1, request.share_);
  return ahead + std::min(by_share, lane.tokens_);
}

}  // namespace gv
