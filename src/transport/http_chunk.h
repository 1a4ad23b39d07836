/** @file http_chunk.h The chunked transfer coding. */
#pragma once

#include <array>
#include <cstdio>
#include <string>
#include <string_view>

namespace gv {

/** @return One chunk with @p data, which is not empty: an empty chunk ends a
 * body. Thread safety: pure. */
inline std::string HttpChunk(std::string_view data) {
  std::array<char, 20> size{};
  const int length =
      std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  std::string text(size.data(), static_cast<size_t>(length));
  text += data;
  text += "\r\n";
  return text;
}

}  // namespace gv
