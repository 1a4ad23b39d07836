/** @file target_exchange.h One HTTP exchange with a target. */
#pragma once

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "state/clock_type.h"

namespace gv {

/** What to ask. */
struct ExchangeRequest {
  bool post_ = true;  ///< POST, or GET.
  std::string path_;  ///< Path of the URL.
  std::vector<std::pair<std::string, std::string>> headers_;  ///< Further ones.
  std::string content_type_ = "application/json";             ///< Of the body.
  std::string body_;                                          ///< The body.
  Duration timeout_;  ///< For the whole exchange.
};

/** How it ended. */
struct ExchangeResult {
  bool whole_ = false;      ///< The response arrived completely.
  bool sent_any_ = false;   ///< A byte of the request may have left.
  bool timed_out_ = false;  ///< The time was over.
  uint32_t status_ = 0;     ///< HTTP status; zero without a response.
  std::string verdict_;     ///< X-Gooseberryvale-Verdict, or empty.
  std::string reason_;      ///< X-Gooseberryvale-Reason, or empty.
  std::string error_;       ///< For people, if not whole.
};

/**
 * Makes one exchange over a connection of its own. All callbacks run on the
 * executor. Thread safety: all calls on the executor.
 */
class TargetExchange : public std::enable_shared_from_this<TargetExchange> {
 public:
  using OnBody = std::function<void(std::string_view)>;
  using OnDone = std::function<void(const ExchangeResult&)>;

  TargetExchange(const boost::asio::any_io_executor& executor,
                 ExchangeRequest request, OnBody on_body, OnDone on_done);

  /** Starts it. @param address "IP:port". */
  void Start(const std::string& address);

  /** Breaks the connection; no callback is made afterwards. */
  void Abort();

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void OnConnected(const boost::system::error_code& error);
  void OnWritten(const boost::system::error_code& error, size_t bytes);
  void OnHeader(const boost::system::error_code& error);
  void ReadSome();
  void OnSome(const boost::system::error_code& error);
  void Finish(const boost::system::error_code& error);

  ExchangeRequest request_;           ///< What to ask.
  OnBody on_body_;                    ///< Receives the body in parts.
  OnDone on_done_;                    ///< Receives the result once.
  boost::beast::tcp_stream stream_;   ///< The connection.
  boost::beast::flat_buffer buffer_;  ///< Bytes read ahead.
  boost::beast::http::request<boost::beast::http::string_body>
      message_;                      ///< The request as sent.
  Parser parser_;                    ///< Reads the response.
  std::array<char, 16'384> part_{};  ///< Part of the body.
  ExchangeResult result_;            ///< So far.
};

}  // namespace gv
