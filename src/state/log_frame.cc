/** @file log_frame.cc Layout of a frame: mark, length, checksum, payload. */
#include "state/log_frame.h"

#include <xxhash.h>

#include <optional>

#include "state/number_codec.h"

namespace gv {
namespace {

constexpr std::string_view kFrameMark = "GVF1";
constexpr size_t kLengthOffset = 4;
constexpr size_t kChecksumOffset = 8;
constexpr size_t kHeadBytes = 16;

uint64_t Checksum(std::string_view payload) {
  return XXH3_64bits_withSeed(payload.data(), payload.size(), payload.size());
}

/** @return The payload of an intact frame at the start of @p bytes. */
std::optional<std::string_view> ReadFrame(std::string_view bytes) {
  if (bytes.size() < kHeadBytes ||
      bytes.substr(0, kFrameMark.size()) != kFrameMark) {
    return std::nullopt;
  }
  const auto length = ReadNumber<uint32_t>(bytes.substr(kLengthOffset));
  if (length > kMaxFrameBytes || length > bytes.size() - kHeadBytes) {
    return std::nullopt;
  }
  const std::string_view payload = bytes.substr(kHeadBytes, length);
  if (Checksum(payload) !=
      ReadNumber<uint64_t>(bytes.substr(kChecksumOffset))) {
    return std::nullopt;
  }
  return payload;
}

/** @return Offset of the first intact frame at or after @p offset. */
std::optional<size_t> FindFrame(std::string_view bytes, size_t offset) {
  for (size_t at = bytes.find(kFrameMark, offset); at != std::string_view::npos;
       at = bytes.find(kFrameMark, at + 1)) {
    if (ReadFrame(bytes.substr(at)).has_value()) {
      return at;
    }
  }
  return std::nullopt;
}

}  // namespace

void AppendFrame(std::string_view payload, std::string& out) {
  out += kFrameMark;
  AppendNumber(static_cast<uint32_t>(payload.size()), out);
  AppendNumber(Checksum(payload), out);
  out += payload;
}

Result<FrameScan> ScanFrames(std::string_view bytes, const std::string& name) {
  FrameScan scan;
  size_t offset = 0;
  while (offset < bytes.size()) {
    const auto payload = ReadFrame(bytes.substr(offset));
    if (!payload.has_value()) {
      if (const auto next = FindFrame(bytes, offset + 1)) {
        return NotRun(Reason::kStorage,
                      name + ": byte " + std::to_string(offset) +
                          ": damaged record; an intact one follows at byte " +
                          std::to_string(*next));
      }
      break;
    }
    scan.frames_.push_back(LogFrame{offset, *payload});
    offset += kHeadBytes + payload->size();
  }
  scan.valid_bytes_ = offset;
  return scan;
}

}  // namespace gv
