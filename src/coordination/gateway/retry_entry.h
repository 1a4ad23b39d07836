/** @file retry_entry.h Log entries that record permits of retries. */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gv {

/** Permits of retries at one service, given out by the leader. */
struct RetryEntry {
  std::string service_;  ///< Name of the service.
  size_t permits_ = 0;   ///< At least 1.
};

/** @return The entry encoded for the log. No configuration is encoded so.
 * Thread safety: pure. */
std::string EncodeRetryEntry(const RetryEntry& entry);

/** @return The entry, or nothing if @p bytes encode something else. Thread
 * safety: pure. */
std::optional<RetryEntry> DecodeRetryEntry(std::string_view bytes);

}  // namespace gv
