/** @file smuggled_request_test.cc Requests whose end is in doubt, at all
 * listeners of a gateway: what follows them must not run. */
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "platform/gateway_rig.h"
#include "platform/path_requests.h"
#include "support/request_heads.h"

namespace gv {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr const char* kNoBody = "Content-Length: 0\r\n";

std::string Head(const std::string& line, const std::string& fields) {
  return line + " HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k1\r\n" +
         "Gooseberryvale-Attempt-Id: a1\r\n" + fields + "\r\n";
}

/** @return All bytes of the answers to @p request, until the connection closes.
 */
std::string Exchange(tcp::socket socket, const std::string& request) {
  boost::system::error_code ignored;
  asio::write(socket, asio::buffer(request), ignored);
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), ignored);
  return answer;
}

size_t CountIn(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// A request with an unknown coding was taken as one without a body, and its
// body as the next request: two runs for one request of the caller.
TEST_CASE("smuggled request: nothing behind a doubtful head runs") {
  ScriptedTarget shop([](const TargetRequest& request, TargetLine& line) {
    line.Send(Answer(request, 200, kSigned));
  });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", shop.Address());
  const std::string last =
      Head("GET /look/last", std::string(kNoBody) + "Connection: close\r\n");
  // As the first request of a connection, after another one, and sent ahead.
  const std::array<std::string, 2> before{"", Head("GET /look/first", kNoBody)};
  asio::io_context io;
  for (const RequestHeadRow& row : kRequestHeads) {
    for (const char* line : {"GET /look/x", "POST /look/x"}) {
      for (const std::string& first : before) {
        CAPTURE(row.fields_);
        CAPTURE(line);
        CAPTURE(first);
        const size_t runs = shop.Requests().size();
        const bool is_sound = row.fault_ == HeadFault::kNone;
        std::string request = first;
        request += Head(line, row.fields_);
        request += last;
        const std::string answer = Exchange(rig.Connect(io), request);
        const size_t expected = (first.empty() ? 0 : 1) + (is_sound ? 2 : 0);
        CHECK(shop.Requests().size() - runs == expected);
        CHECK(CountIn(answer, "HTTP/1.1 200") == expected);
        CHECK(CountIn(answer, "HTTP/1.1 400") == (is_sound ? 0 : 1));
        CHECK(CountIn(answer, "Connection: close") == 1);
      }
    }
  }
  CHECK(rig.Log().find("transfer coding other than chunked") !=
        std::string::npos);
}

TEST_CASE("smuggled request: sound bodies are passed on as before") {
  ScriptedTarget shop([](const TargetRequest& request, TargetLine& line) {
    line.Send(Answer(request, 200, kSigned));
  });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", shop.Address());
  const std::string last =
      Head("GET /look/last", std::string(kNoBody) + "Connection: close\r\n");
  asio::io_context io;
  for (const char* coding : {"chunked", "Chunked", "\tCHUNKED "}) {
    const std::string request =
        Head("POST /look/x",
             std::string("Transfer-Encoding:") + coding + "\r\n") +
        "5\r\nhello\r\n6;a=b\r\n world\r\n0\r\n\r\n";
    const std::string answer = Exchange(rig.Connect(io), request + last);
    CHECK(CountIn(answer, "HTTP/1.1 200") == 2);
    const std::vector<TargetRequest> got = shop.Requests();
    CHECK(got.at(got.size() - 2).body_ == "hello world");
  }
}

TEST_CASE("smuggled request: at the other listeners") {
  GatewayRig rig(kConfiguration, nullptr, ", data_centres: [d1, d2]");
  const std::string hidden = Head("POST /v1/evacuations/d2", kNoBody);
  asio::io_context io;
  for (const RequestHeadRow& row : kRequestHeads) {
    if (row.fault_ == HeadFault::kNone) {
      continue;
    }
    CAPTURE(row.fields_);
    const std::string control =
        Exchange(rig.ConnectControl(io),
                 Head("GET /v1/evacuations", row.fields_) + hidden);
    const std::string readiness = Exchange(
        rig.ConnectReadiness(io), Head("GET /v1/readyz", row.fields_) + hidden);
    for (const std::string& answer : {control, readiness}) {
      CHECK(Begins(answer, "HTTP/1.1 400"));
      CHECK(CountIn(answer, "HTTP/1.1") == 1);
    }
  }
  CHECK(rig.Control("GET", "/v1/evacuations", "").find(R"("evacuated":[]})") !=
        std::string::npos);
}

// The end of such an answer could be placed differently by the next reader of
// the connection.
TEST_CASE("smuggled request: answers whose end is in doubt are broken off") {
  std::atomic<const char*> fields = "";
  ScriptedTarget shop([&](const TargetRequest& request, TargetLine& line) {
    line.Send("HTTP/1.1 200 OK\r\nGooseberryvale-Attempt-Id: " +
              request.Header("Gooseberryvale-Attempt-Id") + "\r\n" + kSigned +
              fields.load() + "\r\nhello");
    line.PeerClosesWithin(std::chrono::milliseconds(2000));
    line.Close();
  });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", shop.Address());
  for (const RequestHeadRow& row : kRequestHeads) {
    if (row.fault_ == HeadFault::kNone) {
      continue;
    }
    CAPTURE(row.fields_);
    fields = row.fields_;
    CHECK(Begins(rig.Ask(Request("/pay/x")), "HTTP/1.1 502"));
  }
}

}  // namespace
}  // namespace gv
