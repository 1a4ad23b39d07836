/** @file log_frame.h Checksummed frames of an append-only file, and the cut of
 * a torn tail. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "state/verdict_type.h"

namespace gv {

/** Most payload bytes of one frame. */
inline constexpr uint32_t kMaxFrameBytes = 256U << 20U;

/** One intact frame. */
struct LogFrame {
  uint64_t offset_ = 0;       ///< Where it starts in the file, in bytes.
  std::string_view payload_;  ///< Its content, within the scanned bytes.
};

/** What a scan found. */
struct FrameScan {
  std::vector<LogFrame> frames_;  ///< Intact frames, in order.
  uint64_t valid_bytes_ = 0;      ///< The file is to be cut to this length.
};

/**
 * Appends one frame to @p out. Each sync of a file writes exactly one frame, so
 * that only the last frame can be torn.
 * @pre payload.size() <= kMaxFrameBytes. Thread safety: pure.
 */
void AppendFrame(std::string_view payload, std::string& out);

/**
 * Finds the frames of a file. A damaged frame with no intact frame after it is
 * a torn tail and left out.
 * @param name Name of the file, for messages.
 * @return The frames, or Reason::kStorage with file and offset if an intact
 * frame follows a damaged one. Thread safety: pure.
 */
Result<FrameScan> ScanFrames(std::string_view bytes, const std::string& name);

}  // namespace gv
