/** @file retry_entry.cc Text form of log entries about retries. */
#include "coordination/gateway/retry_entry.h"

#include <charconv>

namespace gv {
namespace {

/** Configurations begin with a digit. */
constexpr std::string_view kPrefix = "retries ";

}  // namespace

std::string EncodeRetryEntry(const RetryEntry& entry) {
  return std::string(kPrefix) + std::to_string(entry.permits_) + " " +
         entry.service_;
}

std::optional<RetryEntry> DecodeRetryEntry(std::string_view bytes) {
  if (bytes.substr(0, kPrefix.size()) != kPrefix) {
    return std::nullopt;
  }
  bytes.remove_prefix(kPrefix.size());
  RetryEntry entry;
  const auto [end, error] = std::from_chars(
      bytes.data(), bytes.data() + bytes.size(), entry.permits_);
  const auto digits = static_cast<size_t>(end - bytes.data());
  if (error != std::errc() || digits == bytes.size() || bytes[digits] != ' ') {
    return std::nullopt;
  }
  entry.service_ = bytes.substr(digits + 1);
  return entry;
}

}  // namespace gv
