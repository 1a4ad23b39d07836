/** @file target_connection.h One connection to a target, with one request at a
 * time. */
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "state/clock_type.h"
#include "transport/gateway/wire_codec.h"

namespace gv {

/** @return The endpoint of "IP:port", or nothing if it is none. Thread safety:
 * pure. */
std::optional<boost::asio::ip::tcp::endpoint> EndpointOf(
    const std::string& address);

/** How an exchange with a target ended. */
enum class ExchangeEnd : uint8_t {
  kComplete,      ///< The whole answer came.
  kNotConnected,  ///< No connection; nothing was sent.
  kClosed,        ///< Closed after sending, before any byte of an answer.
  kBroken,        ///< The answer ended early or is not valid.
};

/** Who wants to know of an exchange. */
struct ExchangeHandler {
  std::function<void(unsigned, HttpFields)> head_;  ///< Status, header.
  std::function<void(std::string)> body_;           ///< A part of it.
  std::function<void(ExchangeEnd)> end_;            ///< Called once.
  /** Bytes that wait for more of the same header, chunk head or trailer, or
   * stand in the parser, have changed. Does not end the exchange. May be empty.
   */
  std::function<void(size_t)> unparsed_ = nullptr;
};

/**
 * Sends requests and reads answers. Anything that arrives while no request is
 * in progress closes the connection. Thread safety: owned by one thread; the
 * handlers are called on it and may cancel the exchange.
 */
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  /** @param closed Called once when the connection ends. */
  TargetConnection(boost::asio::io_context& io, std::string address,
                   std::function<void(TargetConnection&)> closed);

  /** Connects. @pre Called once. */
  void Open(TimePoint now);
  /**
   * Sends a request, once connected.
   * @param request The whole request. @pre !IsBusy().
   */
  void Start(std::string request, bool is_head, ExchangeHandler handler);
  /** Ends the exchange without calling its handler, and the connection. */
  void Cancel();
  /** Stops or goes on reading, so that a slow caller holds back a target. */
  void SetPaused(bool paused);
  /** Closes a connection attempt that takes too long. */
  void CheckConnecting(TimePoint now, Duration timeout);

  const std::string& Address() const { return address_; }
  bool IsBusy() const { return handler_.has_value(); }
  bool IsClosed() const { return closed_; }
  /** @return True if a request was answered on it before the latest one. */
  bool IsReused() const { return reused_; }
  /** Notes the id that the next request and its answers bear. */
  void SetExchangeId(std::string id) { exchange_id_ = std::move(id); }
  /** @return The id of the latest request; empty if it had none. */
  const std::string& ExchangeId() const { return exchange_id_; }
  /** @return True if it may take another request. */
  bool IsReusable() const { return !closed_ && keep_ && !handler_; }

 private:
  void Write();
  void OnWriteError();
  /** @return True if an orderly end of the connection completes a body that
   * has no length. */
  bool EndsWholeBody() const;
  void Read();
  void OnRead(size_t bytes);
  void NoteUnparsed();
  void OnReadError(const boost::system::error_code& error);
  bool Parse();
  /** @return True if the parser may have the input. Breaks the connection if
   * the end of the answer is in doubt. */
  bool IsHeadSound();
  void ResetParser();
  void PassHead();
  void PassBody();
  void Complete();
  void Finish(ExchangeEnd end);
  void Break();
  void Close();

  boost::asio::ip::tcp::socket socket_;               ///< The connection.
  std::string address_;                               ///< "IP:port".
  std::function<void(TargetConnection&)> on_closed_;  ///< To the pool.
  std::optional<ExchangeHandler> handler_;            ///< Of the exchange.
  std::optional<CountedResponseParser> parser_;       ///< Of the answer.
  std::string exchange_id_;         ///< Of the latest request.
  std::string request_;             ///< Being sent.
  std::string input_;               ///< Read, not yet parsed.
  size_t unparsed_ = 0;             ///< Of it, as reported.
  std::array<char, 8192> chunk_{};  ///< Of one read.
  TimePoint opened_;                ///< Start of the connecting.
  bool answered_ = false;           ///< An exchange was complete.
  bool reused_ = false;           ///< answered_ at the start of this exchange.
  int interim_heads_ = 0;         ///< Heads of 1xx before this answer.
  bool connected_ = false;        ///< Ready to send.
  bool writing_ = false;          ///< A write is in progress.
  bool write_failed_ = false;     ///< In this exchange.
  bool reading_ = false;          ///< A read is in progress.
  bool paused_ = false;           ///< By SetPaused.
  bool head_sound_ = false;       ///< The end of this answer is certain.
  bool head_passed_ = false;      ///< Of this answer.
  bool announces_close_ = false;  ///< Its head names the option "close".
  bool is_head_ = false;          ///< The answer has no body.
  bool keep_ = true;              ///< The target keeps it open.
  bool closed_ = false;           ///< At the end.
};

}  // namespace gv
