/** @file http_framing_test.cc Heads of HTTP messages whose length is in doubt.
 */
#include "protocol/http_framing.h"

#include <doctest/doctest.h>

#include "support/request_heads.h"

namespace gv {
namespace {

TEST_CASE("http framing: heads of requests and answers") {
  for (const std::string& first :
       {std::string("POST /look/HTTP/1.0 HTTP/1.1\r\nHost: a.example\r\n"),
        std::string("HTTP/1.1 200 OK\r\nServer: a\r\n")}) {
    for (const RequestHeadRow& row : kRequestHeads) {
      const std::string head = first + row.fields_ + "\r\n";
      CAPTURE(head);
      const HeadScan scan = ScanHead(head + "GET / HTTP/1.1\r\n\r\n");
      CHECK(scan.fault_ == row.fault_);
      CHECK((scan.size_ == head.size() || scan.fault_ != HeadFault::kNone));
      // A head that comes in pieces is judged alike.
      for (size_t size = 0; size < head.size(); ++size) {
        const HeadScan part = ScanHead(head.substr(0, size));
        CHECK(part.size_ == 0);
        CHECK((part.fault_ == HeadFault::kNone || part.fault_ == row.fault_));
      }
    }
  }
}

TEST_CASE("http framing: a coding needs HTTP/1.1") {
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  for (const char* line : {"GET / HTTP/1.0\r\n", "HTTP/1.0 200 OK\r\n",
                           "GET /\r\n", "GET /HTTP/1.1 HTTP/1.0\r\n"}) {
    CHECK(ScanHead(line + chunked).fault_ == HeadFault::kOldVersion);
  }
  CHECK(ScanHead("GET / HTTP/1.1\r\n" + chunked).fault_ == HeadFault::kNone);
  CHECK(ScanHead("HTTP/1.1 200\r\n" + chunked).fault_ == HeadFault::kNone);
}

TEST_CASE("http framing: line ends") {
  CHECK(ScanHead("GET / HTTP/1.1\n\n").fault_ == HeadFault::kBareLineEnd);
  CHECK(ScanHead("GET / HTTP/1.1\r\n\n").fault_ == HeadFault::kBareLineEnd);
  CHECK(ScanHead("\nGET / HTTP/1.1\r\n\r\n").fault_ == HeadFault::kBareLineEnd);
  CHECK(ScanHead("GET / HTTP/1.1\r\n\r\r\n").fault_ == HeadFault::kBareLineEnd);
  CHECK(ScanHead("\r\n\r\nGET / HTTP/1.1\r\n\r\nx").size_ == 22);
  // Bytes of the body are none of the head's.
  CHECK(ScanHead("GET / HTTP/1.1\r\n\r\na\nb").fault_ == HeadFault::kNone);
}

}  // namespace
}  // namespace gv
