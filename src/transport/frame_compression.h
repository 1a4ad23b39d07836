/** @file frame_compression.h Compresses large frames between processes:
 * configurations of a thousand routes shrink to a tenth. */
#pragma once

#include <optional>
#include <string>

namespace gv {

/** @return The compressed bytes, or nothing if @p frame is too small for it to
 * be worth while. Thread safety: pure. */
std::optional<std::string> CompressFrame(const std::string& frame);

/** @return The bytes that were compressed, or nothing if @p packed is damaged
 * or would become longer than @p max_bytes. Thread safety: pure. */
std::optional<std::string> ExpandFrame(const std::string& packed,
                                       size_t max_bytes);

}  // namespace gv
