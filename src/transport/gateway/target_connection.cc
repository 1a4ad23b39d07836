/** @file target_connection.cc Writes a request and parses its answer. */
#include "transport/gateway/target_connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include "protocol/http_framing.h"
#include "state/address_func.h"

namespace gv {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr uint32_t kMostHeaderBytes = 64U << 10;
/** Header fields of an answer. Sound targets send some ten. */
constexpr size_t kMostFields = 200;
/** Heads of 1xx before the answer; a sound target sends one or two. */
constexpr int kMostInterimHeads = 8;
constexpr unsigned kInformational = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kSuccess = 200;
constexpr unsigned kGreatestStatus = 599;

/** @return True if HTTP allows this status in reply to a forwarded request. No
 * request asks for another protocol, so 101 is not allowed either. */
bool IsAllowedStatus(unsigned status) {
  return status >= kInformational && status <= kGreatestStatus &&
         status != kSwitchingProtocols;
}

/** @return True if any Connection header has the option "close". */
bool AnnouncesClose(const HttpFields& fields) {
  const auto lines = fields.equal_range(http::field::connection);
  return std::any_of(lines.first, lines.second, [](const auto& line) {
    return http::token_list(line.value()).exists("close");
  });
}

}  // namespace

std::optional<asio::ip::tcp::endpoint> EndpointOf(const std::string& address) {
  std::string ip;
  uint16_t port = 0;
  boost::system::error_code bad;
  if (!SplitAddress(address, ip, port)) {
    return std::nullopt;
  }
  const auto host = asio::ip::make_address(ip, bad);
  return bad ? std::nullopt
             : std::optional(asio::ip::tcp::endpoint(host, port));
}

TargetConnection::TargetConnection(
    asio::io_context& io, std::string address,
    std::function<void(TargetConnection&)> closed)
    : socket_(io),
      address_(std::move(address)),
      on_closed_(std::move(closed)) {}

void TargetConnection::Open(TimePoint now) {
  opened_ = now;
  const auto endpoint = EndpointOf(address_);
  if (!endpoint) {
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]() { self->Close(); });
    return;
  }
  socket_.async_connect(
      *endpoint, [self = shared_from_this()](boost::system::error_code error) {
        if (self->closed_) {
          return;
        }
        if (error) {
          self->Close();
          return;
        }
        self->socket_.set_option(asio::ip::tcp::no_delay(true), error);
        self->socket_.non_blocking(true, error);
        self->connected_ = true;
        self->Read();
        self->Write();
      });
}

void TargetConnection::Start(std::string request, bool is_head,
                             ExchangeHandler handler) {
  handler_ = std::move(handler);
  request_ = std::move(request);
  is_head_ = is_head;
  interim_heads_ = 0;
  unparsed_ = 0;
  reused_ = answered_;
  write_failed_ = false;
  ResetParser();
  if (closed_) {
    asio::post(socket_.get_executor(), [self = shared_from_this()]() {
      self->Finish(ExchangeEnd::kNotConnected);
    });
    return;
  }
  Write();
}

void TargetConnection::ResetParser() {
  parser_.emplace();
  parser_->header_limit(kMostHeaderBytes);
  parser_->body_limit(boost::none);
  parser_->eager(true);
  parser_->skip(is_head_);
  head_sound_ = false;
  head_passed_ = false;
  announces_close_ = false;
}

void TargetConnection::Break() {
  // The handler may start another attempt; it must not get this connection.
  keep_ = false;
  Finish(ExchangeEnd::kBroken);
  Close();
}

void TargetConnection::Write() {
  if (!connected_ || closed_ || request_.empty() || writing_) {
    return;
  }
  boost::system::error_code failed;
  const size_t written = socket_.write_some(asio::buffer(request_), failed);
  if (!failed) {
    request_.erase(0, written);
  } else if (failed != asio::error::would_block) {
    OnWriteError();
    return;
  }
  if (request_.empty()) {
    return;
  }
  writing_ = true;
  asio::async_write(
      socket_, asio::buffer(request_),
      [self = shared_from_this()](boost::system::error_code error, size_t) {
        self->writing_ = false;
        self->request_.clear();
        if (error) {
          self->OnWriteError();
        }
      });
}

void TargetConnection::OnWriteError() {
  // The read ends the exchange, after the bytes that arrived before. A failing
  // write consumes the socket's error, so that the read sees an orderly end
  // where the target has reset the connection.
  write_failed_ = true;
  request_.clear();
}

bool TargetConnection::EndsWholeBody() const {
  if (write_failed_) {
    return false;
  }
  const bool is_request_sent = request_.empty() && !writing_;
  return is_request_sent || announces_close_;
}

void TargetConnection::Read() {
  if (closed_ || reading_ || paused_) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(asio::buffer(chunk_),
                          [self = shared_from_this()](
                              boost::system::error_code error, size_t bytes) {
                            self->reading_ = false;
                            if (self->closed_) {
                              return;
                            }
                            if (error) {
                              self->OnReadError(error);
                            } else {
                              self->OnRead(bytes);
                            }
                          });
}

void TargetConnection::OnRead(size_t bytes) {
  if (!handler_) {
    Close();
    return;
  }
  input_.append(chunk_.data(), bytes);
  const auto self = shared_from_this();
  if (!Parse()) {
    return;
  }
  NoteUnparsed();
  Read();
}

void TargetConnection::NoteUnparsed() {
  if (input_.empty()) {
    input_.shrink_to_fit();
  }
  const size_t bytes =
      input_.capacity() + (parser_ ? HeldBytes(parser_->get().base()) : 0);
  if (bytes != unparsed_ && handler_ && handler_->unparsed_) {
    unparsed_ = bytes;
    handler_->unparsed_(bytes);
  }
}

bool TargetConnection::IsHeadSound() {
  if (head_sound_) {
    return true;
  }
  const HeadScan scan = ScanHead(input_);
  if (scan.fault_ != HeadFault::kNone || scan.fields_ > kMostFields ||
      (scan.size_ == 0 && input_.size() > kMostHeaderBytes)) {
    Break();
    return false;
  }
  head_sound_ = scan.size_ > 0;
  return head_sound_;
}

bool TargetConnection::Parse() {
  while (!input_.empty()) {
    if (!IsHeadSound()) {
      return !closed_;
    }
    boost::system::error_code error;
    const size_t used = parser_->put(asio::buffer(input_), error);
    input_.erase(0, used);
    // The parser wants the whole of a header, chunk head or trailer at once,
    // and bounds the first only.
    const bool is_endless =
        error == http::error::need_more && input_.size() > kMostHeaderBytes;
    if (is_endless || (error && error != http::error::need_more)) {
      Break();
      return false;
    }
    if (parser_->is_header_done()) {
      const unsigned status = parser_->get().result_int();
      if (!IsAllowedStatus(status)) {
        Break();
        return false;
      }
      if (status < kSuccess) {
        if (++interim_heads_ > kMostInterimHeads) {
          Break();
          return false;
        }
        ResetParser();
        continue;
      }
      PassHead();
      PassBody();
      // The handler has them, and later ones, of a trailer, concern nobody.
      parser_->get().base().clear();
      if (closed_ || !handler_) {
        return false;
      }
    }
    if (parser_->is_done()) {
      Complete();
      return !closed_;
    }
    if (error == http::error::need_more || used == 0) {
      return true;
    }
  }
  return true;
}

void TargetConnection::PassHead() {
  if (head_passed_ || !handler_) {
    return;
  }
  head_passed_ = true;
  keep_ = parser_->keep_alive();
  // A copy, as fields that are moved share the count of the parser's.
  HttpFields fields = parser_->get().base();
  announces_close_ = AnnouncesClose(fields);
  const auto head = handler_->head_;
  head(parser_->get().result_int(), std::move(fields));
}

void TargetConnection::PassBody() {
  if (!handler_ || parser_->get().body().empty()) {
    return;
  }
  std::string body = std::move(parser_->get().body());
  parser_->get().body().clear();
  const auto pass = handler_->body_;
  pass(std::move(body));
}

void TargetConnection::Complete() {
  // Bytes beyond the answer belong to no request, and a connection whose write
  // has failed takes no other one.
  if (!input_.empty() || writing_ || write_failed_ || !parser_->keep_alive()) {
    keep_ = false;
  }
  answered_ = true;
  Finish(ExchangeEnd::kComplete);
  if (!keep_) {
    Close();
  }
}

void TargetConnection::OnReadError(const boost::system::error_code& error) {
  if (!handler_) {
    Close();
    return;
  }
  keep_ = false;
  if (!parser_->is_header_done()) {
    Finish(ExchangeEnd::kClosed);
    Close();
    return;
  }
  boost::system::error_code bad;
  if (error == asio::error::eof && parser_->need_eof() && EndsWholeBody()) {
    parser_->put_eof(bad);
    Finish(bad ? ExchangeEnd::kBroken : ExchangeEnd::kComplete);
  } else {
    Finish(ExchangeEnd::kBroken);
  }
  Close();
}

void TargetConnection::Finish(ExchangeEnd end) {
  if (!handler_) {
    return;
  }
  const ExchangeHandler handler = std::move(*handler_);
  handler_.reset();
  handler.end_(end);
}

void TargetConnection::Cancel() {
  handler_.reset();
  Close();
}

void TargetConnection::SetPaused(bool paused) {
  paused_ = paused;
  if (!paused_ && connected_) {
    Read();
  }
}

void TargetConnection::CheckConnecting(TimePoint now, Duration timeout) {
  if (!connected_ && now - opened_ > timeout) {
    Close();
  }
}

void TargetConnection::Close() {
  if (closed_) {
    return;
  }
  const auto self = shared_from_this();
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  if (handler_) {
    Finish(connected_ ? ExchangeEnd::kClosed : ExchangeEnd::kNotConnected);
  }
  on_closed_(*this);
}

}  // namespace gv
