/** @file soak_clients.cc Requests over real connections, and their checks. */
#include "soak/soak_clients.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "transport/steady_clock.h"

namespace gv {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{1500};
constexpr milliseconds kStreamTimeout{6000};
/** What a gateway may be late by: a tick, and a busy machine. */
constexpr milliseconds kMargin{500};
constexpr milliseconds kPause{15};
constexpr int kEvents = 6;
constexpr int kKinds = 3;

/** @return True for the statuses that say "did not run". */
bool IsRefusal(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string WholeEvents(const std::string& attempt) {
  std::string text;
  for (int id = 1; id <= kEvents; ++id) {
    text += "id: " + std::to_string(id) + "\ndata: " + attempt + "\n\n";
  }
  return text;
}

}  // namespace

SoakAnswer SoakConnection::Ask(const std::string& request,
                               milliseconds timeout) {
  http::response_parser<http::string_body> parser;
  SoakAnswer answer;
  const auto send = [&](beast::error_code error) {
    if (error) {
      return;
    }
    asio::async_write(
        *stream_, asio::buffer(request), [&](beast::error_code failed, size_t) {
          if (failed) {
            return;
          }
          http::async_read(*stream_, buffer_, parser,
                           [&](beast::error_code end, size_t) {
                             answer.whole_ = !end && parser.is_done();
                           });
        });
  };
  if (stream_) {
    stream_->expires_after(timeout);
    send({});
  } else {
    stream_.emplace(io_);
    stream_->expires_after(timeout);
    stream_->async_connect({asio::ip::address_v4::loopback(), port_}, send);
  }
  io_.restart();
  io_.run();
  if (parser.is_header_done()) {
    answer.status_ = static_cast<int>(parser.get().result_int());
    answer.body_ = parser.get().body();
    answer.signature_ = parser.get()["Gooseberryvale-Response-Signature"];
  }
  if (!answer.whole_ || !parser.keep_alive()) {
    stream_.reset();
    buffer_.clear();
  }
  return answer;
}

std::string SoakSignature(const std::string& attempt, int status) {
  return attempt + "." + std::to_string(status);
}

SoakAnswer AskOnce(uint16_t port, const std::string& request,
                   milliseconds timeout) {
  return SoakConnection(port).Ask(request, timeout);
}

std::string SoakConfiguration(uint64_t version) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[
  {"name":"pay","hostname":"a.example","pathPrefix":"/pay/","kind":"unsafe",
   "timeoutMs":1000,"sloMs":200,"service":"shop","maxAttempts":2},
  {"name":"look","hostname":"a.example","pathPrefix":"/look/","kind":"safe",
   "timeoutMs":1000,"sloMs":200,"service":"shop","maxAttempts":2},
  {"name":"read","hostname":"a.example","pathPrefix":"/read/","kind":"stream",
   "timeoutMs":5000,"sloMs":500,"service":"model","maxAttempts":2,
   "resumable":true,"gapAimMs":250}],
 "services":[{"name":"shop","maxConnections":200},
  {"name":"model","maxConnections":200,"engine":{"slots":16,
   "kvCapacityTokens":315000,"step_ms":0.85,"per_seq_ms":0.00425,
   "context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,
   "chunk":2048,"stride":51,"usual":{"prompt":5000,"answer":300}}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerMs":3000,
  "idleMs":15000},
 "tenants":[{"name":"carvers","apiKeys":["k1"]}]})";
}

bool SoakCaller::AskAny() {
  constexpr std::array<const char*, kKinds> kPaths{"pay", "look", "read"};
  const size_t kind = random_() % kKinds;
  const bool is_stream = kind == 2;
  if (!connection_ || !connection_->IsOpen()) {
    connection_ = std::make_unique<SoakConnection>(view_.pick_port_());
  }
  const uint16_t port = connection_->Port();
  std::ostringstream id;
  id << std::hex << random_() << "-" << std::dec << port;
  // The first letter tells targets the kind, the end the gateway.
  const std::string attempt = kPaths[kind][0] + id.str();
  const milliseconds timeout = is_stream ? kStreamTimeout : kCallTimeout;
  const std::string request =
      "POST /" + std::string(kPaths[kind]) + "/x HTTP/1.1\r\nHost: a.example" +
      "\r\nGooseberryvale-Attempt-Id: " + attempt +
      "\r\nGooseberryvale-Deadline-Ms: " + std::to_string(timeout.count()) +
      (is_stream ? "\r\nGooseberryvale-Token-Usage: 5000,300" : "") +
      "\r\nX-Api-Key: k1" + (keeps_ ? "" : "\r\nConnection: close") +
      "\r\nContent-Length: 2\r\n\r\nhi";
  ledger_.OnRequest(is_stream ? "model" : "shop");
  const TimePoint start = SteadyNow();
  const SoakAnswer answer = connection_->Ask(request, timeout + kMargin * 2);
  const Duration took = SteadyNow() - start;
  if (took.Ms() > (timeout + kMargin).count() && view_.was_calm_(port, start)) {
    ledger_.Break(Promise::kEndsInTime,
                  attempt + " took " + std::to_string(took.Ms()) + " ms");
  }
  if (!answer.whole_ && ledger_.IsAnswered(attempt) &&
      view_.was_planned_(port, start)) {
    ledger_.Break(
        Promise::kStopCutsNothing,
        attempt + " was cut after " + std::to_string(took.Ms()) + " ms");
  }
  Check(attempt, answer, is_stream);
  const bool served = answer.whole_ && answer.status_ == 200;
  ledger_.Count(served);
  return served;
}

void SoakCaller::Check(const std::string& attempt, const SoakAnswer& answer,
                       bool is_stream) {
  const bool needs_signature = answer.status_ == 200;
  if ((needs_signature || !answer.signature_.empty()) &&
      answer.signature_ != SoakSignature(attempt, answer.status_)) {
    ledger_.Break(Promise::kOwnWholeAnswer,
                  attempt + " got " + std::to_string(answer.status_) +
                      " signed '" + answer.signature_ + "'");
  }
  if (IsRefusal(answer.status_)) {
    ledger_.OnRefused(attempt,
                      std::to_string(answer.status_) +
                          (answer.signature_.empty() ? "" : " signed"));
    return;
  }
  if (answer.status_ != 200) {
    return;
  }
  const std::string wanted =
      is_stream ? WholeEvents(attempt) : "answer to " + attempt;
  if (answer.whole_ && answer.body_ != wanted) {
    ledger_.Break(is_stream ? Promise::kEventOrder : Promise::kOwnWholeAnswer,
                  attempt + " got " + answer.body_);
  }
  if (!answer.whole_ && wanted.rfind(answer.body_, 0) != 0) {
    ledger_.Break(Promise::kEventOrder,
                  attempt + " got, unfinished, " + answer.body_);
  }
}

void SoakCaller::Run(const std::atomic<bool>& stop) {
  while (!stop) {
    AskAny();
    std::this_thread::sleep_for(kPause);
  }
}

bool SoakOperator::Change(milliseconds time) {
  version_ += 1 + random_() % 3;
  const std::string body = SoakConfiguration(version_);
  const std::string request =
      "PUT /v1/configuration HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  const TimePoint end = SteadyNow() + Duration(time.count());
  while (SteadyNow() < end) {
    if (AskOnce(pick_port_(), request, milliseconds(1000)).status_ == 200) {
      ledger_.OnAccepted(version_);
      return true;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

bool SoakOperator::Read(uint16_t port, Promise promise) {
  const uint64_t least = ledger_.Accepted();
  const SoakAnswer answer = AskOnce(
      port,
      "GET /v1/configuration HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
      milliseconds(1000));
  if (answer.status_ != 200 || !answer.whole_) {
    return false;
  }
  const auto json = nlohmann::json::parse(answer.body_, nullptr, false);
  const uint64_t version =
      json.is_object() ? json.value("version", uint64_t{0}) : 0;
  if (version < least) {
    ledger_.Break(promise, "read " + std::to_string(version) + " after " +
                               std::to_string(least) + " was acknowledged");
  }
  return true;
}

void SoakOperator::Run(const std::atomic<bool>& stop) {
  while (!stop) {
    Change(milliseconds(3000));
    Read(pick_port_(), Promise::kNeverReverts);
    std::this_thread::sleep_for(milliseconds(100 + random_() % 300));
  }
}

}  // namespace gv
