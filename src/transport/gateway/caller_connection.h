/** @file caller_connection.h One connection of a caller: reads requests and
 * writes answers, whole or part by part. */
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "state/clock_type.h"
#include "transport/gateway/wire_codec.h"

namespace gv {

using CallerRequestMessage =
    boost::beast::http::request<boost::beast::http::string_body>;

/** A whole answer. */
struct WholeAnswer {
  unsigned status_ = 0;  ///< Status code.
  HttpFields fields_;    ///< Without those of one connection.
  std::string body_;     ///< All of it.
};

/** Sets Retry-After, in seconds with a fraction. Thread safety: pure. */
void SetRetryAfter(Duration time, HttpFields& fields);

/** What a connection needs from its owner. */
struct GatewayCallerHooks {
  /** A whole request came; exactly one answer follows. */
  std::function<void(CallerRequestMessage)> request_;
  /** The caller went away while its request is in progress. */
  std::function<void()> gone_;
  /** The connection is closed; called once. */
  std::function<void()> closed_;
  /** The bytes that the connection holds have changed. */
  std::function<void(size_t)> held_;
};

/**
 * Reads on while a request is in progress, to see at once that the caller has
 * gone. Thread safety: owned by one thread.
 */
class GatewayCaller : public std::enable_shared_from_this<GatewayCaller> {
 public:
  GatewayCaller(boost::asio::ip::tcp::socket socket, GatewayBounds bounds,
                TimePoint now);
  /** Begins to read. @pre Called once. */
  void Start(GatewayCallerHooks hooks);

  /** Answers the request in progress. */
  void Reply(const WholeAnswer& answer, bool close);
  /** Begins an answer of parts. */
  void BeginParts(unsigned status, const HttpFields& fields, bool close);
  /** Writes one part. */
  void Part(std::string_view data);
  /** Ends the answer of parts as complete. */
  void EndParts();
  /** Closes the connection in the middle of an answer. */
  void BreakOff();
  /** Gives back memory: refuses the request that is being read, or closes a
   * connection whose caller does not take its answer. */
  void EndForMemory();
  /** Closes the connection if no request is in progress. */
  void CloseIfIdle();
  /** Closes a connection that is idle, or slow with a header, for too long. */
  void OnTick(TimePoint now);
  /** Sets the time of what happens next. */
  void SetNow(TimePoint now) { now_ = now; }

  /** @return Bytes that the caller has not taken yet. */
  size_t Unsent() const { return output_.size() + sending_.size(); }
  bool IsClosed() const { return closed_; }
  bool IsBusy() const { return busy_; }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  void OnRead(size_t bytes);
  void Parse();
  void Refuse(unsigned status, const HttpFields& fields = {});
  void NoteHeld();
  void Send(std::string_view text);
  void Write();
  bool WriteNow();
  void FinishAnswer();
  void Close();
  std::string Head(unsigned status, const HttpFields& fields) const;

  boost::asio::ip::tcp::socket socket_;  ///< The connection.
  GatewayBounds bounds_;                 ///< What the caller may send.
  GatewayCallerHooks hooks_;             ///< To the owner.
  std::optional<Parser> parser_;         ///< Of the request.
  std::string input_;                    ///< Read, not yet parsed.
  std::string output_;                   ///< To be written next.
  std::string sending_;                  ///< Being written.
  std::array<char, 8192> chunk_{};       ///< Of one read.
  TimePoint now_;                        ///< Set by the owner.
  TimePoint idle_since_;                 ///< Begin of waiting for a request.
  bool busy_ = false;                    ///< A request is in progress.
  bool head_only_ = false;               ///< The request wants no body.
  bool close_after_ = false;             ///< Close once all is written.
  bool closed_ = false;                  ///< At the end.
  bool continued_ = false;               ///< "100 Continue" was sent.
};

}  // namespace gv
