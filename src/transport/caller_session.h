/** @file caller_session.h One HTTP connection of a caller. */
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <deque>
#include <memory>
#include <string>
#include <variant>

#include "transport/caller_parse.h"

namespace gv {

class CallerListener;

/** A part or the end of an answer. */
using CallerPart = std::variant<CallerChunk, CallerEnd>;

/**
 * Reads requests one after another and writes their answers.
 * Thread safety: Start and Deliver may be called on any thread; all else runs
 * on the strand.
 */
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  /** @param stream A stream whose executor is a strand. */
  CallerSession(boost::beast::tcp_stream stream, CallerListener& listener);
  /** Begins to read. */
  void Start();
  /** Hands over a part of the answer to the request in progress. */
  void Deliver(CallerPart part);

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<bool> ServeOne();
  boost::asio::awaitable<bool> ServeCall(CallerRequest request,
                                         bool keep_alive);
  boost::asio::awaitable<bool> AnswerWhole(const RequestSpec& spec,
                                           bool keep_alive);
  boost::asio::awaitable<bool> AnswerStream(const RequestSpec& spec,
                                            bool keep_alive);
  boost::asio::awaitable<void> SendReply(HttpReply reply, bool keep_alive);
  boost::asio::awaitable<void> SendText(const std::string& text);
  boost::asio::awaitable<CallerPart> NextPart();
  void WatchForClose();
  void OnReadable(RequestId watched);

  boost::beast::tcp_stream stream_;   ///< The connection.
  CallerListener& listener_;          ///< Outlives the session.
  boost::beast::flat_buffer buffer_;  ///< Bytes read ahead.
  boost::asio::steady_timer wake_;    ///< Cancelled when a part arrives.
  std::deque<CallerPart> parts_;      ///< Not yet written.
  size_t parts_bytes_ = 0;            ///< Size of parts_ in bytes.
  RequestId current_;                 ///< Request in progress, or none.
};

}  // namespace gv
