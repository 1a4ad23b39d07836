/** @file clock_type.h The project's clock type: durations and points in time in
 * milliseconds. */
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace gv {

/** A length of time in milliseconds. Thread safety: a value type. */
class Duration {
 public:
  constexpr Duration() = default;
  constexpr explicit Duration(int64_t ms) : ms_(ms) {}
  constexpr int64_t Ms() const { return ms_; }
  friend constexpr auto operator<=>(const Duration&, const Duration&) = default;
  friend constexpr Duration operator+(Duration a, Duration b) {
    return Duration(a.ms_ + b.ms_);
  }
  friend constexpr Duration operator-(Duration a, Duration b) {
    return Duration(a.ms_ - b.ms_);
  }
  friend constexpr Duration operator*(Duration a, int64_t n) {
    return Duration(a.ms_ * n);
  }
  friend constexpr Duration operator/(Duration a, int64_t n) {
    return Duration(a.ms_ / n);
  }
  friend std::ostream& operator<<(std::ostream& out, Duration d) {
    return out << d.ms_ << " ms";
  }

 private:
  int64_t ms_ = 0;  ///< Milliseconds.
};

/**
 * A point in time in milliseconds on one process's monotonic clock. Points of
 * different processes must not be compared; messages between processes carry
 * durations.
 */
class TimePoint {
 public:
  constexpr TimePoint() = default;
  constexpr explicit TimePoint(int64_t ms) : ms_(ms) {}
  constexpr int64_t Ms() const { return ms_; }
  /** @return A point later than every other. */
  static constexpr TimePoint Never() { return TimePoint(INT64_MAX / 4); }
  friend constexpr auto operator<=>(const TimePoint&,
                                    const TimePoint&) = default;
  friend constexpr TimePoint operator+(TimePoint t, Duration d) {
    return TimePoint(t.ms_ + d.Ms());
  }
  friend constexpr TimePoint operator-(TimePoint t, Duration d) {
    return TimePoint(t.ms_ - d.Ms());
  }
  friend constexpr Duration operator-(TimePoint a, TimePoint b) {
    return Duration(a.ms_ - b.ms_);
  }
  friend std::ostream& operator<<(std::ostream& out, TimePoint t) {
    return out << t.ms_;
  }

 private:
  int64_t ms_ = 0;  ///< Milliseconds since an arbitrary start.
};

inline namespace literals {
constexpr Duration operator""_ms(unsigned long long ms) {
  return Duration(static_cast<int64_t>(ms));
}
constexpr Duration operator""_s(unsigned long long s) {
  return Duration(static_cast<int64_t>(s) * 1000);
}
}  // namespace literals

/** A hybrid logical clock reading: wall time in milliseconds, then a counter
 * for ties. */
struct HlcTime {
  int64_t wall_ms_ = 0;   ///< Largest wall clock reading seen, in milliseconds.
  uint32_t counter_ = 0;  ///< Orders readings with equal wall time.
  friend constexpr auto operator<=>(const HlcTime&, const HlcTime&) = default;
};

}  // namespace gv
