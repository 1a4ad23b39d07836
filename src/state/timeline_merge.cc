/** @file timeline_merge.cc Filters and sorts events. */
#include "state/timeline_merge.h"

#include <algorithm>
#include <tuple>

namespace gv {
namespace {

auto OrderOf(const Event& event) {
  return std::tie(event.hlc_, event.node_, event.id_, event.request_,
                  event.target_, event.detail_);
}

template <class Id>
bool Wanted(const Id& wanted, const Id& actual) {
  return wanted.IsNone() || wanted == actual;
}

}  // namespace

bool Selects(const TimelineFilter& filter, const Event& event) {
  const int64_t wall_ms = event.hlc_.wall_ms_;
  return Wanted(filter.request_, event.request_) &&
         Wanted(filter.team_, event.team_) &&
         Wanted(filter.target_, event.target_) &&
         Wanted(filter.revision_, event.revision_) &&
         (!filter.from_ || wall_ms >= *filter.from_) &&
         (!filter.before_ || wall_ms < *filter.before_);
}

std::vector<Event> MergeTimeline(std::vector<Event> events,
                                 const TimelineFilter& filter) {
  std::erase_if(events, [&filter](const Event& event) {
    return !Selects(filter, event);
  });
  std::stable_sort(
      events.begin(), events.end(),
      [](const Event& a, const Event& b) { return OrderOf(a) < OrderOf(b); });
  const auto same = [](const Event& a, const Event& b) {
    return OrderOf(a) == OrderOf(b);
  };
  events.erase(std::unique(events.begin(), events.end(), same), events.end());
  return events;
}

}  // namespace gv
