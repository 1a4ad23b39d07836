/** @file line_log.cc Buffers and bounds log lines. */
#include "transport/gateway/line_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

#include "state/event_func.h"
#include "transport/steady_clock.h"

namespace gv {
namespace {

/** Lines a second by level (debug, info, warning, error): a gateway of a tenth
 * of a core serves some ten requests a second and spends under 3% on lines. */
constexpr std::array<double, 4> kLinesPerSecond{3000, 60, 60, 60};
/** Lines that may come at once, in seconds of the rate. */
constexpr double kBurstSeconds = 4;
constexpr double kMsPerSecond = 1000;
constexpr size_t kMostBuffered = 256UL << 10;
/** Texts of clients may stand in a line. */
constexpr size_t kMostDetailBytes = 4096;
constexpr Duration kReportPeriod = 5_s;

}  // namespace

LineLog::LineLog(int descriptor, std::string node)
    : descriptor_(descriptor), node_(std::move(node)) {
  const int flags = ::fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
  for (size_t i = 0; i < budgets_.size(); ++i) {
    budgets_[i].lines_ = kLinesPerSecond[i] * kBurstSeconds;
  }
}

bool LineLog::Take(TimePoint now, EventLevel level) {
  const auto index = static_cast<size_t>(level);
  Budget& budget = budgets_[index];
  const auto passed = static_cast<double>((now - budget.filled_).Ms());
  budget.filled_ = now;
  budget.lines_ =
      std::min(kLinesPerSecond[index] * kBurstSeconds,
               budget.lines_ + kLinesPerSecond[index] * passed / kMsPerSecond);
  if (budget.lines_ < 1 || buffer_.size() > kMostBuffered) {
    return false;
  }
  budget.lines_ -= 1;
  return true;
}

void LineLog::Write(TimePoint now, const Event& event) {
  const EventRow* row = FindEventRow(event.id_);
  if (row == nullptr) {
    return;
  }
  if (!Take(now, row->level_)) {
    ++dropped_;
    return;
  }
  Append(event, *row);
}

void LineLog::Append(const Event& event, const EventRow& row) {
  buffer_ += "t=" + std::to_string(WallMs());
  buffer_ += " node=" + node_;
  buffer_ += " level=";
  buffer_ += EventLevelName(row.level_);
  buffer_ += " n=" + std::to_string(static_cast<int>(row.id_));
  buffer_ += " event=";
  buffer_ += row.name_;
  if (!event.team_.IsNone()) {
    buffer_ += " customer=" + event.team_.Value();
  }
  if (!event.target_.IsNone()) {
    buffer_ += " target=" + event.target_.Value();
  }
  if (!event.revision_.IsNone()) {
    buffer_ += " version=" + std::to_string(event.revision_.Value());
  }
  if (!event.detail_.empty()) {
    buffer_ += ' ';
    const std::string_view detail =
        std::string_view(event.detail_).substr(0, kMostDetailBytes);
    std::replace_copy(detail.begin(), detail.end(), std::back_inserter(buffer_),
                      '\n', ' ');
  }
  buffer_ += '\n';
}

void LineLog::Flush(TimePoint now) {
  if (dropped_ > reported_ && now >= next_report_) {
    next_report_ = now + kReportPeriod;
    Event event;
    event.id_ = EventId::kLogLinesDropped;
    event.detail_ = "lines=" + std::to_string(dropped_ - reported_);
    reported_ = dropped_;
    Append(event, *FindEventRow(event.id_));
  }
  while (!buffer_.empty()) {
    const ssize_t written =
        ::write(descriptor_, buffer_.data(), buffer_.size());
    if (written <= 0) {
      return;
    }
    buffer_.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace gv
