/** @file frame_compression.cc Deflates and inflates frames. */
#include "transport/frame_compression.h"

#define ZLIB_CONST  // Input of zlib is const.
#include <zlib.h>

#include <array>

namespace gv {
namespace {

/** Smaller frames fit few packets; compressing them costs more than it saves.
 */
constexpr size_t kLeastBytes = 4096;
constexpr size_t kStepBytes = 16384;

}  // namespace

std::optional<std::string> CompressFrame(const std::string& frame) {
  if (frame.size() < kLeastBytes) {
    return std::nullopt;
  }
  uLongf length = compressBound(frame.size());
  std::string packed(length, '\0');
  const int result = compress2(reinterpret_cast<Bytef*>(packed.data()), &length,
                               reinterpret_cast<const Bytef*>(frame.data()),
                               frame.size(), Z_BEST_SPEED);
  if (result != Z_OK || length >= frame.size()) {
    return std::nullopt;
  }
  packed.resize(length);
  return packed;
}

std::optional<std::string> ExpandFrame(const std::string& packed,
                                       size_t max_bytes) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  stream.next_in = reinterpret_cast<const Bytef*>(packed.data());
  stream.avail_in = static_cast<uInt>(packed.size());
  std::string frame;
  std::array<char, kStepBytes> step{};
  int result = Z_OK;
  while (result == Z_OK && frame.size() <= max_bytes) {
    stream.next_out = reinterpret_cast<Bytef*>(step.data());
    stream.avail_out = step.size();
    result = inflate(&stream, Z_NO_FLUSH);
    frame.append(step.data(), step.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (result != Z_STREAM_END || frame.size() > max_bytes) {
    return std::nullopt;
  }
  return frame;
}

}  // namespace gv
