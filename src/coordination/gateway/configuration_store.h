/** @file configuration_store.h The newest configuration as text: the state that
 * results from the registry's replicated log. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "state/verdict_type.h"

namespace gv {

/** A configuration text with its version. Thread safety: owned by one thread.
 */
class ConfigurationStore {
 public:
  /** Replaces the text if @p version is higher than the current version.
   * @return True if it was replaced. */
  bool Put(uint64_t version, std::string text);
  /** @return Version of the text; zero if there is none yet. */
  uint64_t Version() const { return version_; }
  /** @return The text as the operator sent it; empty if there is none yet. */
  const std::string& Text() const { return text_; }

  /** @return A configuration encoded for the log or a snapshot: the version in
   * decimal, a newline, the text. Thread safety: pure. */
  static std::string Encode(uint64_t version, std::string_view text);
  /** Decodes the result of Encode and passes it to Put; empty bytes are
   * ignored.
   * @return Success, or Reason::kStorage if the version is missing. */
  Result<void> PutEncoded(std::string_view bytes);

 private:
  uint64_t version_ = 0;  ///< Zero if there is no text yet.
  std::string text_;      ///< Text as the operator sent it.
};

}  // namespace gv
