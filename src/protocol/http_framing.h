/** @file http_framing.h Decides whether all readers of an HTTP/1 message find
 * its end at the same byte. */
#pragma once

#include <cstdint>
#include <string_view>

namespace gv {

/** What is wrong with the head of a message. */
enum class HeadFault : uint8_t {
  kNone,             ///< Its end and that of its body are certain.
  kBareLineEnd,      ///< A carriage return or a line feed stands alone.
  kFoldedLine,       ///< A line continues the field before it.
  kBadFieldName,     ///< White space before the colon, or no token before it.
  kCodingAndLength,  ///< Both Transfer-Encoding and Content-Length.
  kBadCoding,        ///< Any Transfer-Encoding but a single "chunked".
  kOldVersion,       ///< Transfer-Encoding below HTTP/1.1.
  kBadLength,        ///< Content-Length is no plain decimal number.
  kTwoLengths,       ///< More than one Content-Length.
};

/** @return The fault in words, for log lines. Thread safety: pure. */
const char* HeadFaultText(HeadFault fault);

/** What the first bytes of a message hold. */
struct HeadScan {
  /** Bytes of the head with the empty line after it; 0 while the empty line is
   * missing. */
  size_t size_ = 0;
  HeadFault fault_ = HeadFault::kNone;  ///< May be known before the end.
  size_t fields_ = 0;                   ///< Of a whole head.
};

/**
 * Looks at the head of a request or an answer. What a message means beside its
 * length is left to the parser; empty lines before the first line belong to
 * the head.
 * @param bytes The message from its first byte on, as far as it has come.
 * Thread safety: pure.
 */
HeadScan ScanHead(std::string_view bytes);

}  // namespace gv
