/** @file http_service.cc Reads a request, waits for its answer, writes it. */
#include "transport/gateway/http_service.h"

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <vector>

#include "transport/listen.h"
#include "transport/read_head.h"
#include "transport/steady_clock.h"

namespace gv {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/** A configuration of thousands of routes fits. */
constexpr uint64_t kMostBodyBytes = 16UL << 20;

/** Pause after a failed accept. */
constexpr std::chrono::milliseconds kAcceptPause{50};
/** Monitoring asks once a minute at least, balancers and targets more often. */
constexpr Duration kMostIdle = 90_s;
/** For one request from its first byte on, or for one answer. */
constexpr Duration kMostTransfer = 30_s;
/** Memory of a connection: coroutine, parser with a head as sound peers send
 * it. */
constexpr size_t kConnectionBytes = 16UL << 10;

bool HasUnreadInput(asio::ip::tcp::socket& socket) {
  pollfd watched{socket.native_handle(), POLLIN, 0};
  return poll(&watched, 1, 0) != 0;
}

bool HasPeerLeft(asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t size =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/** The parser takes no longer head. */
constexpr size_t kMostHeadBytes = 8192;
/** The head of an ordinary request is shorter. */
constexpr size_t kOrdinaryHeadBytes = 2048;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnavailable = 503;

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
    quiet_at_ = BootNow();
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
        if (error) {
          ++closed_;
          accept_again_.expires_after(kAcceptPause);
          accept_again_.async_wait([this](boost::system::error_code stopped) {
            if (!stopped) {
              Accept();
            }
          });
          return;
        }
        if (MakeRoom()) {
          // Counted here, as its coroutine starts only after further accepts.
          auto connection = std::make_shared<Connection>(std::move(socket));
          connection->since_ = BootNow();
          connection->quiet_at_ = quiet_at_;
          connections_->insert(connection);
          asio::co_spawn(io_, Serve(std::move(connection)), asio::detached);
        }
        Accept();
      });
}

bool HttpService::MakeRoom() {
  if (connections_->size() < most_connections_) {
    return true;
  }
  ++closed_;
  std::shared_ptr<Connection> silent;
  for (const auto& connection : *connections_) {
    if (!connection->serving_ &&
        (!silent || connection->since_ < silent->since_)) {
      silent = connection;
    }
  }
  if (!silent) {
    return false;
  }
  boost::system::error_code ignored;
  silent->socket_.close(ignored);
  connections_->erase(silent);
  return true;
}

void HttpService::OnTick(TimePoint now) {
  for (const auto& connection : *connections_) {
    const Duration most = connection->has_bytes_ ? kMostTransfer : kMostIdle;
    if (!connection->serving_ && now - connection->since_ > most) {
      boost::system::error_code ignored;
      connection->socket_.close(ignored);
    }
  }
}

void HttpService::NoteUnreadInput(TimePoint now) {
  std::vector<pollfd> watched{{acceptor_.native_handle(), POLLIN, 0}};
  std::vector<Connection*> idle;
  for (const auto& connection : *connections_) {
    if (!connection->serving_ && !connection->has_bytes_) {
      idle.push_back(connection.get());
      watched.push_back({connection->socket_.native_handle(), POLLIN, 0});
    }
  }
  if (poll(watched.data(), watched.size(), 0) < 0) {
    return;
  }
  if (watched[0].revents == 0) {
    quiet_at_ = now;
  }
  for (size_t i = 0; i < idle.size(); ++i) {
    if (watched[i + 1].revents == 0) {
      idle[i]->quiet_at_ = now;
    }
  }
}

asio::awaitable<bool> HttpService::ReadRequest(Connection& connection,
                                               beast::flat_buffer& buffer,
                                               CountedRequestParser& parser,
                                               MemoryHolder& holder) {
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  asio::ip::tcp::socket& socket = connection.socket_;
  parser.body_limit(kMostBodyBytes);
  parser.eager(true);
  connection.since_ = BootNow();
  // Requests that were sent ahead are in the buffer.
  connection.has_bytes_ = buffer.size() > 0;
  const auto note_bytes = [&]() {
    if (!std::exchange(connection.has_bytes_, true)) {
      connection.since_ = BootNow();
    }
    holder.Set(kConnectionBytes + buffer.capacity() + HeldBytes(parser.get()));
  };
  const HeadFault fault =
      co_await ReadHead(socket, buffer, kMostHeadBytes, note_bytes, error);
  if (!error && fault != HeadFault::kNone) {
    bad_head_(fault);
    HttpReply refusal = MakeReply(kBadRequest, "text/plain",
                                  std::string(HeadFaultText(fault)) + "\n");
    refusal.keep_alive(false);
    co_await http::async_write(socket, refusal, token);
    co_return false;
  }
  while (!error && !parser.is_done()) {
    // A long head may take far more memory than its text; parsing many of them
    // at once would pass the limit before the first one is ended. Ordinary
    // requests, as those for readiness, are served all the same.
    if (buffer.size() > kOrdinaryHeadBytes &&
        !memory_.HasRoom(kMostHeadBytes)) {
      ++closed_;
      HttpReply refusal =
          MakeReply(kUnavailable, "text/plain", "Out of memory; try again.\n");
      refusal.set(http::field::retry_after,
                  std::to_string(kRetryAfterMemory.Ms() / 1000));
      refusal.keep_alive(false);
      co_await http::async_write(socket, refusal, token);
      co_return false;
    }
    co_await http::async_read_some(socket, buffer, parser, token);
    note_bytes();
  }
  co_return !error;
}

asio::awaitable<void> HttpService::Serve(
    std::shared_ptr<Connection> connection) {
  /** Forgets the connection however its coroutine ends. */
  struct Registered {
    ~Registered() { all_->erase(one_); }
    std::shared_ptr<std::set<std::shared_ptr<Connection>>> all_;  ///< Open.
    std::shared_ptr<Connection> one_;  ///< To be forgotten.
  };
  const Registered registered{connections_, connection};
  asio::ip::tcp::socket& socket = connection->socket_;
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  socket.set_option(asio::ip::tcp::no_delay(true), error);
  beast::flat_buffer buffer;
  MemoryHolder holder(memory_, HolderKind::kControlRequest, [&socket]() {
    boost::system::error_code ignored;
    socket.close(ignored);
  });
  holder.Set(kConnectionBytes);
  while (true) {
    CountedRequestParser parser;
    if (!co_await ReadRequest(*connection, buffer, parser, holder)) {
      co_return;
    }
    auto pending = std::make_shared<Pending>(socket.get_executor());
    pending->timer_.expires_at(asio::steady_timer::time_point::max());
    const bool keep = parser.get().keep_alive();
    connection->serving_ = true;
    const RequestOrigin origin{connection->quiet_at_,
                               [&socket]() { return HasPeerLeft(socket); }};
    handler_(parser.release(), origin, [pending](HttpReply reply) {
      pending->reply_ = std::move(reply);
      pending->timer_.cancel();
    });
    if (!pending->reply_) {
      co_await pending->timer_.async_wait(token);
    }
    connection->serving_ = false;
    connection->since_ = BootNow();
    pending->reply_->keep_alive(keep);
    pending->reply_->prepare_payload();
    holder.Set(kConnectionBytes + buffer.capacity() +
               pending->reply_->body().capacity());
    error = {};
    co_await http::async_write(socket, *pending->reply_, token);
    if (error || !keep) {
      co_return;
    }
    holder.Set(kConnectionBytes + buffer.capacity());
    if (buffer.size() == 0 && !HasUnreadInput(socket)) {
      connection->quiet_at_ = BootNow();
    }
  }
}

}  // namespace gv
