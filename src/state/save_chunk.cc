/** @file save_chunk.cc Layout of a chunk: tag, version, length, checksum,
 * payload. */
#include "state/save_chunk.h"

#include <xxhash.h>

#include "state/number_codec.h"

namespace gv {
namespace {

constexpr size_t kTagBytes = 4;
constexpr size_t kHeadBytes = kTagBytes + 4 + 8 + 8;

}  // namespace

void AppendChunk(const SaveChunk& chunk, std::string& out) {
  std::string tag = chunk.tag_;
  tag.resize(kTagBytes, ' ');
  out += tag;
  AppendNumber(chunk.version_, out);
  AppendNumber(static_cast<uint64_t>(chunk.payload_.size()), out);
  AppendNumber(static_cast<uint64_t>(
                   XXH3_64bits(chunk.payload_.data(), chunk.payload_.size())),
               out);
  out += chunk.payload_;
}

Result<std::vector<SaveChunk>> ReadChunks(std::string_view bytes) {
  std::vector<SaveChunk> chunks;
  size_t offset = 0;
  while (offset < bytes.size()) {
    const std::string where =
        "snapshot chunk at byte " + std::to_string(offset);
    if (bytes.size() - offset < kHeadBytes) {
      return NotRun(Reason::kStorage, where + ": the head is cut off");
    }
    const std::string_view head = bytes.substr(offset, kHeadBytes);
    const auto length = ReadNumber<uint64_t>(head.substr(8));
    const auto checksum = ReadNumber<uint64_t>(head.substr(16));
    offset += kHeadBytes;
    if (bytes.size() - offset < length) {
      return NotRun(Reason::kStorage, where + ": the payload is cut off");
    }
    const std::string_view payload = bytes.substr(offset, length);
    if (XXH3_64bits(payload.data(), payload.size()) != checksum) {
      return NotRun(Reason::kStorage, where + ": the checksum does not match");
    }
    offset += length;
    chunks.push_back(SaveChunk{std::string(head.substr(0, kTagBytes)),
                               ReadNumber<uint32_t>(head.substr(4)),
                               std::string(payload)});
  }
  return chunks;
}

}  // namespace gv
