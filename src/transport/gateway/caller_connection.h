/** @file caller_connection.h One connection of a caller: reads requests and
 * writes answers, whole or part by part. */
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "protocol/http_framing.h"
#include "state/clock_type.h"
#include "transport/gateway/wire_codec.h"

namespace gv {

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
  std::function<void(CountedRequest)> request_;
  /** The caller went away while its request is in progress. */
  std::function<void()> gone_;
  /** The connection is closed; called once. */
  std::function<void()> closed_;
  /** The bytes that the connection holds have changed. */
  std::function<void(size_t)> held_;
  /** @return True if memory is left for one more read. */
  std::function<bool()> may_read_;
  /** A request was refused, as its end is in doubt. */
  std::function<void(HeadFault)> bad_head_;
};

/**
 * Reads on while a request is in progress, to see at once that the caller has
 * gone. Takes no further request while the caller leaves answers unread, so
 * what one connection holds is bounded. Thread safety: owned by one thread.
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
  /** Closes an idle connection to free its descriptor. @pre IsIdle(). */
  void CloseForRoom() { Close(); }
  /** Closes the connection if no request is in progress. */
  void CloseIfIdle();
  /** Closes a connection that is idle, slow with a header, or takes nothing of
   * its answer, for too long. */
  void OnTick(TimePoint now);
  /** Parses and reads on if that was put off for lack of memory. */
  void ResumeReading();
  /** Sets the time of what happens next. */
  void SetNow(TimePoint now) { now_ = now; }

  /** @return Bytes that the caller has not taken yet. */
  size_t Unsent() const { return output_.size() + sending_.size() - sent_; }
  bool IsClosed() const { return closed_; }
  bool IsBusy() const { return busy_; }
  /** @return True if no request would be lost by closing: none is in progress,
   * no answer is unsent and the head of the next one is not complete. */
  bool IsIdle() const;
  /** @return When bytes last came from the caller, or the connection began. */
  TimePoint HeardAt() const { return heard_at_; }

 private:
  void Read();
  void OnReadable();
  void OnRead(std::string_view bytes);
  bool MayTakeRequest() const;
  void Continue();
  void PostContinue();
  void Parse();
  /** @return True if the parser may have the input. Refuses a request whose end
   * is in doubt. */
  bool IsHeadSound();
  void Refuse(unsigned status, const HttpFields& fields = {});
  void NoteHeld();
  void Send(std::string_view text);
  void Write();
  void WriteRest();
  bool WriteNow();
  void FinishAnswer();
  void Close();
  std::string Head(unsigned status, const HttpFields& fields) const;

  boost::asio::ip::tcp::socket socket_;         ///< The connection.
  GatewayBounds bounds_;                        ///< What the caller may send.
  GatewayCallerHooks hooks_;                    ///< To the owner.
  std::optional<CountedRequestParser> parser_;  ///< Of the request.
  std::string input_;                           ///< Read, not yet parsed.
  std::string output_;                          ///< To be written next.
  std::string sending_;                         ///< Being written.
  size_t sent_ = 0;                             ///< Bytes of sending_ so far.
  TimePoint now_;                               ///< Set by the owner.
  TimePoint idle_since_;      ///< Begin of waiting for a request.
  TimePoint heard_at_;        ///< Last bytes of the caller.
  TimePoint taken_at_;        ///< The caller took bytes last.
  bool reading_ = false;      ///< A read is in progress.
  bool continuing_ = false;   ///< Continue() is about to run.
  bool busy_ = false;         ///< A request is in progress.
  bool head_only_ = false;    ///< The request wants no body.
  bool close_after_ = false;  ///< Close once all is written.
  bool closed_ = false;       ///< At the end.
  bool continued_ = false;    ///< "100 Continue" was sent.
  bool head_sound_ = false;   ///< The request's end is certain.
};

}  // namespace gv
