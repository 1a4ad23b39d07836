/** @file secret.h Keys from files, hashes and comparison in constant time. */
#pragma once

#include <string>
#include <string_view>

#include "state/verdict_type.h"

namespace gv {

/** @return The whole file, or Reason::kStorage with its name. Thread safety:
 * any thread. */
Result<std::string> ReadFile(const std::string& file);

/** @return The first line of a key file; it must have 16 bytes or more. Thread
 * safety: any. */
Result<std::string> ReadKeyFile(const std::string& file);

/** @return SHA-256 of @p text in hex. Thread safety: pure. */
std::string Sha256Hex(std::string_view text);

/** @return HMAC-SHA-256 of @p text in hex. Thread safety: pure. */
std::string HmacHex(std::string_view key, std::string_view text);

/** @return True if both are equal; the time does not depend on where they
 * differ. */
bool EqualInConstantTime(std::string_view a, std::string_view b);

/** @return 16 random bytes in hex from the system's source. Thread safety: any
 * thread. */
std::string RandomHex();

}  // namespace gv
