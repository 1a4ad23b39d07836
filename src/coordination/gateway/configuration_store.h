/** @file configuration_store.h The newest accepted configuration, as text; the
 * state of the registry's replicated log. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "state/verdict_type.h"

namespace gv {

/** A versioned text. Thread safety: owned by one thread. */
class ConfigurationStore {
 public:
  /** Takes @p text if @p version is higher than what is held. @return True if
   * it was taken. */
  bool Put(uint64_t version, std::string text);
  uint64_t Version() const { return version_; }
  const std::string& Text() const { return text_; }

  /** @return The log entry or snapshot of a version. Thread safety: pure. */
  static std::string Encode(uint64_t version, std::string_view text);
  /** Decodes what Encode made and puts it. @return Nothing, or
   * Reason::kStorage. */
  Result<void> PutEncoded(std::string_view bytes);

 private:
  uint64_t version_ = 0;  ///< Zero before the first.
  std::string text_;      ///< As the operator sent it.
};

}  // namespace gv
