/** @file request_heads.h Heads of requests whose end, or whose body's end, two
 * readers could place differently, and sound ones beside them. */
#pragma once

#include <array>
#include <string>

#include "protocol/http_framing.h"

namespace gv {

/** A head without its first and last line. */
struct RequestHeadRow {
  const char* fields_;  ///< Lines with their ends.
  HeadFault fault_;
};

inline constexpr std::array<RequestHeadRow, 32> kRequestHeads{{
    {"", HeadFault::kNone},
    {"Content-Length: 0\r\n", HeadFault::kNone},
    {"content-LENGTH:0 \t\r\n", HeadFault::kNone},
    {"X-Empty:\r\n", HeadFault::kNone},
    {"X-Transfer-Encoding: identity\r\n", HeadFault::kNone},
    {"Transfer-Encoding: identity\r\n", HeadFault::kBadCoding},
    {"Transfer-Encoding: gzip\r\n", HeadFault::kBadCoding},
    {"Transfer-Encoding: gzip, chunked\r\n", HeadFault::kBadCoding},
    {"Transfer-Encoding: chunked, chunked\r\n", HeadFault::kBadCoding},
    {"Transfer-Encoding: chunked, identity\r\n", HeadFault::kBadCoding},
    {"Transfer-Encoding: xchunked\r\n", HeadFault::kBadCoding},
    {"Transfer-Encoding: chunked;q=1\r\n", HeadFault::kBadCoding},
    {"Transfer-Encoding: \"chunked\"\r\n", HeadFault::kBadCoding},
    {"Transfer-Encoding: \x0b"
     "chunked\r\n",
     HeadFault::kBadCoding},
    {"Transfer-Encoding:\r\n", HeadFault::kBadCoding},
    {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
     HeadFault::kBadCoding},
    {"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
     HeadFault::kBadCoding},
    {"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
     HeadFault::kCodingAndLength},
    {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
     HeadFault::kCodingAndLength},
    {"Content-Length: 5\r\nContent-Length: 6\r\n", HeadFault::kTwoLengths},
    {"Content-Length: 5\r\nContent-Length: 5\r\n", HeadFault::kTwoLengths},
    {"Content-Length: 5, 5\r\n", HeadFault::kBadLength},
    {"Content-Length: +5\r\n", HeadFault::kBadLength},
    {"Content-Length: -5\r\n", HeadFault::kBadLength},
    {"Content-Length: 1 0\r\n", HeadFault::kBadLength},
    {"Content-Length: 0x5\r\n", HeadFault::kBadLength},
    {"Content-Length:\r\n", HeadFault::kBadLength},
    {"Content-Length: 18446744073709551616\r\n", HeadFault::kBadLength},
    {"Content-Length : 5\r\n", HeadFault::kBadFieldName},
    {"X-Folded: a\r\n Content-Length: 5\r\n", HeadFault::kFoldedLine},
    {"X-Bare: a\nContent-Length: 5\r\n", HeadFault::kBareLineEnd},
    {"X-Bare: a\rContent-Length: 5\r\n", HeadFault::kBareLineEnd},
}};

}  // namespace gv
