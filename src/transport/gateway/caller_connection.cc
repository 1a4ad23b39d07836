/** @file caller_connection.cc Parses requests and writes answers. */
#include "transport/gateway/caller_connection.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>

#include "coordination/gateway/held_memory.h"
#include "transport/gateway/memory_keeper.h"
#include "transport/http_chunk.h"

namespace gv {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/** Bytes of later requests that are read while one is in progress. */
constexpr size_t kMostPipelined = 32UL << 10;
/** Unsent bytes of answers beyond which no further request is taken. Answers to
 * requests in a row were kept for callers that read none of them. */
constexpr size_t kMostUnsent = 16UL << 10;
/** Memory of a connection without its buffers, with that of the system's event
 * queue. */
constexpr size_t kConnectionBytes = 4UL << 10;
/** Bytes of one read. */
constexpr size_t kReadBytes = 8192;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kHeaderTooLarge = 431;

}  // namespace

void SetRetryAfter(Duration time, HttpFields& fields) {
  constexpr double kMsPerSecond = 1000;
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f",
                static_cast<double>(time.Ms()) / kMsPerSecond);
  fields.set(http::field::retry_after, text);
}

GatewayCaller::GatewayCaller(asio::ip::tcp::socket socket, GatewayBounds bounds,
                             TimePoint now)
    : socket_(std::move(socket)),
      bounds_(bounds),
      now_(now),
      idle_since_(now),
      heard_at_(now),
      taken_at_(now) {}

void GatewayCaller::Start(GatewayCallerHooks hooks) {
  hooks_ = std::move(hooks);
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  NoteHeld();
  Read();
}

bool GatewayCaller::MayTakeRequest() const {
  return !closed_ && !busy_ && !close_after_ && Unsent() <= kMostUnsent;
}

bool GatewayCaller::IsIdle() const {
  return !closed_ && !busy_ && Unsent() == 0 &&
         !(parser_ && parser_->is_header_done());
}

void GatewayCaller::ResumeReading() { PostContinue(); }

void GatewayCaller::PostContinue() {
  if (closed_ || continuing_) {
    return;
  }
  continuing_ = true;
  asio::post(socket_.get_executor(),
             [self = shared_from_this()]() { self->Continue(); });
}

void GatewayCaller::Continue() {
  continuing_ = false;
  if (MayTakeRequest()) {
    Parse();
  }
  NoteHeld();
  Read();
}

void GatewayCaller::Read() {
  const size_t most =
      std::max(kMostPipelined, static_cast<size_t>(bounds_.header_bytes_));
  if (closed_ || reading_ || input_.size() > most ||
      (!busy_ && Unsent() > kMostUnsent) || !hooks_.may_read_()) {
    return;
  }
  reading_ = true;
  // Bytes are read once they are there, as a buffer for each idle connection
  // would take most of the memory of a small machine.
  socket_.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](boost::system::error_code error) {
        self->reading_ = false;
        if (self->closed_) {
          return;
        }
        if (error) {
          self->Close();
          return;
        }
        self->OnReadable();
      });
}

void GatewayCaller::OnReadable() {
  // Others may have taken the room since the wait began.
  if (!hooks_.may_read_()) {
    return;
  }
  static thread_local std::array<char, kReadBytes> chunk;
  boost::system::error_code error;
  const size_t bytes = socket_.read_some(asio::buffer(chunk), error);
  if (error == asio::error::would_block) {
    Read();
  } else if (error) {
    Close();
  } else {
    OnRead({chunk.data(), bytes});
  }
}

void GatewayCaller::OnRead(std::string_view bytes) {
  heard_at_ = now_;
  // After the last request of a connection, bytes are only taken off the
  // socket.
  if (!close_after_ || busy_) {
    input_ += bytes;
  }
  if (MayTakeRequest()) {
    Parse();
  }
  NoteHeld();
  Read();
}

void GatewayCaller::NoteHeld() {
  if (closed_) {
    return;
  }
  ShrinkIfEmpty(input_);
  ShrinkIfEmpty(output_);
  ShrinkIfEmpty(sending_);
  hooks_.held_(kConnectionBytes + input_.capacity() + output_.capacity() +
               sending_.capacity() + (parser_ ? HeldBytes(parser_->get()) : 0));
}

void GatewayCaller::EndForMemory() {
  if (closed_) {
    return;
  }
  if (busy_ || Unsent() > 0) {
    BreakOff();
    return;
  }
  if (IsIdle() && input_.empty()) {
    Close();
    return;
  }
  parser_.reset();
  input_.clear();
  HttpFields fields;
  SetRetryAfter(kRetryAfterMemory, fields);
  Refuse(kUnavailable, fields);
}

bool GatewayCaller::IsHeadSound() {
  if (head_sound_) {
    return true;
  }
  const HeadScan scan = ScanHead(input_);
  if (scan.fault_ != HeadFault::kNone) {
    hooks_.bad_head_(scan.fault_);
    parser_.reset();
    input_.clear();
    Refuse(kBadRequest);
    return false;
  }
  // The parser refuses a head over the limit.
  head_sound_ = scan.size_ > 0 ||
                input_.size() > static_cast<size_t>(bounds_.header_bytes_);
  return head_sound_;
}

void GatewayCaller::Parse() {
  while (!input_.empty() && !busy_ && !closed_) {
    // A head takes more memory than its text, so the room for one is looked for
    // before each.
    NoteHeld();
    if (!hooks_.may_read_()) {
      return;
    }
    if (!parser_) {
      parser_.emplace();
      parser_->header_limit(static_cast<uint32_t>(bounds_.header_bytes_));
      parser_->body_limit(static_cast<uint64_t>(bounds_.body_bytes_));
      parser_->eager(true);
      continued_ = false;
      head_sound_ = false;
    }
    if (!IsHeadSound()) {
      return;
    }
    boost::system::error_code error;
    const size_t used = parser_->put(asio::buffer(input_), error);
    input_.erase(0, used);
    if (error && error != http::error::need_more) {
      Refuse(error == http::error::header_limit ? kHeaderTooLarge
             : error == http::error::body_limit ? kTooLarge
                                                : kBadRequest);
      return;
    }
    if (parser_->is_done()) {
      busy_ = true;
      head_only_ = parser_->get().method() == http::verb::head;
      close_after_ = close_after_ || !parser_->get().keep_alive();
      CountedRequest request = parser_->release();
      parser_.reset();
      hooks_.request_(std::move(request));
      return;
    }
    if (parser_->is_header_done() && !continued_ &&
        parser_->get()[http::field::expect] == "100-continue") {
      continued_ = true;
      Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (error == http::error::need_more || used == 0) {
      return;
    }
  }
}

void GatewayCaller::Refuse(unsigned status, const HttpFields& fields) {
  busy_ = true;
  Reply(WholeAnswer{status, fields, ""}, true);
}

std::string GatewayCaller::Head(unsigned status,
                                const HttpFields& fields) const {
  const auto reason = http::obsolete_reason(http::int_to_status(status));
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head.append(reason.data(), reason.size());
  head += "\r\n";
  for (const auto& field : fields) {
    head.append(field.name_string().data(), field.name_string().size());
    head += ": ";
    head.append(field.value().data(), field.value().size());
    head += "\r\n";
  }
  if (close_after_) {
    head += "Connection: close\r\n";
  }
  return head;
}

void GatewayCaller::Reply(const WholeAnswer& answer, bool close) {
  if (closed_ || !busy_) {
    return;
  }
  close_after_ = close_after_ || close;
  std::string text = Head(answer.status_, answer.fields_);
  text += "Content-Length: " + std::to_string(answer.body_.size()) + "\r\n\r\n";
  if (!head_only_) {
    text += answer.body_;
  }
  Send(text);
  FinishAnswer();
}

void GatewayCaller::BeginParts(unsigned status, const HttpFields& fields,
                               bool close) {
  if (closed_ || !busy_) {
    return;
  }
  close_after_ = close_after_ || close;
  Send(Head(status, fields) + "Transfer-Encoding: chunked\r\n\r\n");
}

void GatewayCaller::Part(std::string_view data) {
  if (closed_ || !busy_ || data.empty()) {
    return;
  }
  Send(HttpChunk(data));
}

void GatewayCaller::EndParts() {
  if (closed_ || !busy_) {
    return;
  }
  Send("0\r\n\r\n");
  FinishAnswer();
}

void GatewayCaller::FinishAnswer() {
  busy_ = false;
  idle_since_ = now_;
  if (close_after_) {
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]() { self->Write(); });
  }
  if (!close_after_ && (!input_.empty() || !reading_)) {
    PostContinue();
  }
}

void GatewayCaller::Send(std::string_view text) {
  if (Unsent() == 0) {
    taken_at_ = now_;
  }
  output_ += text;
  Write();
  NoteHeld();
}

void GatewayCaller::Write() {
  if (closed_ || !sending_.empty()) {
    return;
  }
  if (output_.empty()) {
    if (close_after_ && !busy_) {
      boost::system::error_code ignored;
      socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      Close();
    }
    return;
  }
  if (!WriteNow()) {
    return;
  }
  sending_.swap(output_);
  sent_ = 0;
  WriteRest();
}

void GatewayCaller::WriteRest() {
  socket_.async_write_some(
      asio::buffer(sending_) + sent_,
      [self = shared_from_this()](boost::system::error_code error,
                                  size_t bytes) {
        self->taken_at_ = self->now_;
        self->sent_ += bytes;
        if (!error && !self->closed_ && self->sent_ < self->sending_.size()) {
          self->WriteRest();
          return;
        }
        self->sending_.clear();
        self->sent_ = 0;
        self->NoteHeld();
        if (error) {
          self->Close();
          return;
        }
        self->Write();
        self->PostContinue();
      });
}

bool GatewayCaller::WriteNow() {
  // Almost always all of it fits, which saves the wake-up of an asynchronous
  // write.
  boost::system::error_code error;
  const size_t written = socket_.write_some(asio::buffer(output_), error);
  if (!error) {
    output_.erase(0, written);
  } else if (error != asio::error::would_block) {
    output_.clear();
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]() { self->Close(); });
    return false;
  }
  if (output_.empty() && close_after_ && !busy_) {
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]() { self->Write(); });
  }
  return !output_.empty();
}

void GatewayCaller::BreakOff() { Close(); }

void GatewayCaller::CloseIfIdle() {
  if (!busy_ && !parser_ && input_.empty() && Unsent() == 0) {
    Close();
  }
}

void GatewayCaller::OnTick(TimePoint now) {
  now_ = now;
  if (closed_) {
    return;
  }
  // Two idle times, as a slow caller may let its buffers empty before it reads
  // on.
  if (Unsent() > 0 &&
      now - taken_at_ > bounds_.idle_time_ + bounds_.idle_time_) {
    Close();
    return;
  }
  if (busy_) {
    return;
  }
  // A request that is being read gets the time of a header from its start on;
  // the start is not known exactly, so the idle time is added.
  const Duration most =
      parser_ ? bounds_.idle_time_ + bounds_.header_time_ : bounds_.idle_time_;
  if (Unsent() == 0 && now - idle_since_ > most) {
    Close();
  }
}

void GatewayCaller::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  socket_.close(ignored);
  if (busy_) {
    busy_ = false;
    hooks_.gone_();
  }
  const auto closed = std::move(hooks_.closed_);
  hooks_ = GatewayCallerHooks();
  closed();
}

}  // namespace gv
