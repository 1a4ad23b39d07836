/** @file http_service.cc Reads a request, waits for its answer, writes it. */
#include "transport/gateway/http_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>
#include <optional>

#include "transport/listen.h"

namespace gv {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/** A configuration of thousands of routes fits. */
constexpr uint64_t kMostBodyBytes = 16UL << 20;

/** Where a late answer meets the coroutine that waits for it. */
struct Pending {
  explicit Pending(const asio::any_io_executor& executor) : timer_(executor) {}
  asio::steady_timer timer_;        ///< Cancelled when the answer is there.
  std::optional<HttpReply> reply_;  ///< The answer.
};

}  // namespace

Result<void> HttpService::Listen(const std::string& address) {
  Result<void> opened = OpenAcceptor(acceptor_, address);
  if (opened.has_value()) {
    Accept();
  }
  return opened;
}

void HttpService::Close() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void HttpService::Accept() {
  acceptor_.async_accept(
      [this](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
          return;
        }
        if (!error) {
          asio::co_spawn(io_, Serve(std::move(socket)), asio::detached);
        }
        Accept();
      });
}

asio::awaitable<void> HttpService::Serve(asio::ip::tcp::socket socket) {
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  socket.set_option(asio::ip::tcp::no_delay(true), error);
  beast::flat_buffer buffer;
  MemoryHolder holder(memory_, HolderKind::kControlRequest, [&socket]() {
    boost::system::error_code ignored;
    socket.close(ignored);
  });
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMostBodyBytes);
    parser.eager(true);
    while (!parser.is_done()) {
      co_await http::async_read_some(socket, buffer, parser, token);
      if (error) {
        co_return;
      }
      holder.Set(buffer.capacity() + parser.get().body().capacity());
    }
    auto pending = std::make_shared<Pending>(socket.get_executor());
    pending->timer_.expires_at(asio::steady_timer::time_point::max());
    const bool keep = parser.get().keep_alive();
    handler_(parser.release(), [pending](HttpReply reply) {
      pending->reply_ = std::move(reply);
      pending->timer_.cancel();
    });
    if (!pending->reply_) {
      co_await pending->timer_.async_wait(token);
    }
    pending->reply_->keep_alive(keep);
    pending->reply_->prepare_payload();
    error = {};
    co_await http::async_write(socket, *pending->reply_, token);
    if (error || !keep) {
      co_return;
    }
  }
}

}  // namespace gv
