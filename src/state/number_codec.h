/** @file number_codec.h Fixed-size little-endian numbers in files. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gv {

/** Appends @p value in little-endian order. Thread safety: pure. */
template <class T>
void AppendNumber(T value, std::string& out) {
  for (size_t i = 0; i < sizeof(T); ++i) {
    out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
  }
}

/** Reads what AppendNumber wrote. @pre @p bytes has at least sizeof(T). */
template <class T>
T ReadNumber(std::string_view bytes) {
  T value = 0;
  for (size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<T>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  }
  return value;
}

}  // namespace gv
