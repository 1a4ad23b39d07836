/** @file target_exchange.cc One HTTP exchange with a target. */
#include "transport/target_exchange.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <chrono>
#include <optional>

namespace gv {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr uint64_t kMaxResponseBytes = 67'108'864;
constexpr unsigned kHttpVersion = 11;

/** @return The endpoint of "IP:port", or nothing. */
std::optional<tcp::endpoint> ParseAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  error_code error;
  const auto ip =
      boost::asio::ip::make_address(address.substr(0, colon), error);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

}  // namespace

TargetExchange::TargetExchange(const boost::asio::any_io_executor& executor,
                               ExchangeRequest request, OnBody on_body,
                               OnDone on_done)
    : request_(std::move(request)),
      on_body_(std::move(on_body)),
      on_done_(std::move(on_done)),
      stream_(executor) {
  parser_.body_limit(kMaxResponseBytes);
}

void TargetExchange::Start(const std::string& address) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint) {
    Finish(make_error_code(boost::system::errc::invalid_argument));
    return;
  }
  message_.version(kHttpVersion);
  message_.method(request_.post_ ? http::verb::post : http::verb::get);
  message_.target(request_.path_);
  message_.set(http::field::host, address);
  message_.set(http::field::connection, "close");
  for (const auto& [name, value] : request_.headers_) {
    message_.set(name, value);
  }
  if (request_.post_) {
    message_.set(http::field::content_type, request_.content_type_);
    message_.body() = std::move(request_.body_);
    message_.prepare_payload();
  }
  stream_.expires_after(std::chrono::milliseconds(request_.timeout_.Ms()));
  stream_.async_connect(*endpoint,
                        [self = shared_from_this()](const error_code& error) {
                          self->OnConnected(error);
                        });
}

void TargetExchange::Abort() {
  on_body_ = nullptr;
  on_done_ = nullptr;
  stream_.close();
}

void TargetExchange::OnConnected(const error_code& error) {
  if (error) {
    Finish(error);
    return;
  }
  http::async_write(
      stream_, message_,
      [self = shared_from_this()](const error_code& failed, size_t bytes) {
        self->OnWritten(failed, bytes);
      });
}

void TargetExchange::OnWritten(const error_code& error, size_t bytes) {
  result_.sent_any_ = bytes > 0;
  if (error) {
    Finish(error);
    return;
  }
  http::async_read_header(
      stream_, buffer_, parser_,
      [self = shared_from_this()](const error_code& failed, size_t /*bytes*/) {
        self->OnHeader(failed);
      });
}

void TargetExchange::OnHeader(const error_code& error) {
  if (error) {
    Finish(error);
    return;
  }
  const auto& response = parser_.get();
  result_.status_ = response.result_int();
  result_.verdict_ = std::string(response["X-Gooseberryvale-Verdict"]);
  result_.reason_ = std::string(response["X-Gooseberryvale-Reason"]);
  ReadSome();
}

void TargetExchange::ReadSome() {
  if (parser_.is_done()) {
    Finish(error_code());
    return;
  }
  auto& body = parser_.get().body();
  body.data = part_.data();
  body.size = part_.size();
  http::async_read_some(
      stream_, buffer_, parser_,
      [self = shared_from_this()](const error_code& error, size_t /*bytes*/) {
        self->OnSome(error);
      });
}

void TargetExchange::OnSome(const error_code& error) {
  const size_t size = part_.size() - parser_.get().body().size;
  if (size > 0 && on_body_) {
    on_body_(std::string_view(part_.data(), size));
  }
  if (error && error != http::error::need_buffer) {
    Finish(error);
    return;
  }
  ReadSome();
}

void TargetExchange::Finish(const error_code& error) {
  result_.whole_ = !error;
  result_.timed_out_ = error == beast::error::timeout;
  result_.error_ = error ? error.message() : std::string();
  stream_.close();
  const OnDone done = std::exchange(on_done_, nullptr);
  on_body_ = nullptr;
  if (done) {
    done(result_);
  }
}

}  // namespace gv
