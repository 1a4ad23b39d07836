/** @file run_promise.h The HTTP statuses that promise a caller that its request
 * has not run and never will. */
#pragma once

#include <array>

namespace gv {

/** All of them; only evidence from the target, or no attempt, allows one. */
inline constexpr std::array<unsigned, 4> kNotRunStatuses{
    408,  // Request Timeout
    421,  // Misdirected Request
    429,  // Too Many Requests
    503,  // Service Unavailable
};

/** @return True if an answer with @p status promises that the request did not
 * run. Thread safety: pure. */
constexpr bool PromisesNotRun(unsigned status) {
  for (const unsigned promise : kNotRunStatuses) {
    if (status == promise) {
      return true;
    }
  }
  return false;
}

}  // namespace gv
