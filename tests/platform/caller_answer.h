/** @file caller_answer.h What a caller got, taken apart, and what its status
 * promises. */
#pragma once

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

#include "platform/gateway_rig.h"

namespace gv {

inline constexpr const char* kNotRunHeader =
    "Gooseberryvale-Not-Executed: 1\r\n";
/** Beyond the deadline of every request of path_requests.h. */
inline constexpr int kEndMs = 15000;

/** An answer as its caller got it. */
struct CallerAnswer {
  bool ended_ = false;      ///< The connection ended in time.
  bool is_one_ = false;     ///< One whole answer and nothing else.
  unsigned status_ = 0;     ///< Zero if there was none.
  bool is_signed_ = false;  ///< It bears a signature.
  std::string body_;        ///< Without its framing.
};

/** @return True if the status states that the request has not run and never
 * will. */
inline bool IsPromise(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/** Reads until the peer closes. @return False if it does not do so in time. */
inline bool ReadToEnd(boost::asio::ip::tcp::socket& socket, std::string& text) {
  char bytes[4096];
  for (;;) {
    pollfd watched{socket.native_handle(), POLLIN, 0};
    if (poll(&watched, 1, kEndMs) <= 0) {
      return false;
    }
    const ssize_t got = recv(socket.native_handle(), bytes, sizeof(bytes), 0);
    if (got <= 0) {
      return true;
    }
    text.append(bytes, static_cast<size_t>(got));
  }
}

/** Sends a request that asks for "Connection: close" and takes the answer. */
inline CallerAnswer AskWhole(const GatewayRig& rig,
                             const std::string& request) {
  namespace http = boost::beast::http;
  boost::asio::io_context io;
  auto socket = rig.Connect(io);
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(request), error);
  CallerAnswer answer;
  std::string text;
  answer.ended_ = ReadToEnd(socket, text);
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  const size_t used = parser.put(boost::asio::buffer(text), error);
  if (!parser.is_header_done()) {
    return answer;
  }
  answer.is_one_ = !error && parser.is_done() && used == text.size();
  answer.status_ = parser.get().result_int();
  answer.is_signed_ =
      parser.get().count("Gooseberryvale-Response-Signature") > 0;
  answer.body_ = parser.get().body();
  return answer;
}

}  // namespace gv
