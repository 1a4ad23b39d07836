/** @file http_service.h A small HTTP server for calls whose answers may come
 * later: readiness, metrics, targets and operators. */
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "protocol/http_framing.h"
#include "state/clock_type.h"
#include "state/verdict_type.h"
#include "transport/gateway/memory_keeper.h"
#include "transport/http_fields.h"
#include "transport/http_reply.h"

namespace gv {

/** What is known of the sender of a request. Valid during the call of the
 * handler. */
struct RequestOrigin {
  /** The request arrived at this machine at this time or later. */
  TimePoint arrived_after_;
  /** Tells whether the sender has closed its connection, or half of it. */
  std::function<bool()> has_left_;
};

/**
 * Serves one address. Thread safety: owned by one thread.
 */
class HttpService {
 public:
  /** Gives the answer to one request; called once, now or later. */
  using Respond = std::function<void(HttpReply)>;
  using Handler =
      std::function<void(CountedRequest, const RequestOrigin&, Respond)>;
  /** Told of a request that is refused, as its end is in doubt. */
  using BadHead = std::function<void(HeadFault)>;

  /** @param memory Bounds what all connections hold; outlives the service.
   * @param most_connections That may be open at the same time. */
  HttpService(boost::asio::io_context& io, MemoryKeeper& memory,
              size_t most_connections, Handler handler, BadHead bad_head)
      : io_(io),
        memory_(memory),
        most_connections_(most_connections),
        acceptor_(io),
        accept_again_(io),
        handler_(std::move(handler)),
        bad_head_(std::move(bad_head)) {}

  /** Listens on "IP:port". @return Nothing, or a verdict with the address. */
  Result<void> Listen(const std::string& address);
  /** Accepts no more connections. */
  void Close();
  /** Closes connections that send no request, or take no answer, for too long.
   */
  void OnTick(TimePoint now);
  /** Notes which connections have no unread input, so that handlers get a late
   * arrived_after_. Call several times a second. */
  void NoteUnreadInput(TimePoint now);
  /** @return Connections closed, or not accepted, for lack of descriptors or
   * memory since the last call. */
  uint64_t TakeClosed() { return std::exchange(closed_, 0); }

 private:
  /** One connection. */
  struct Connection {
    explicit Connection(boost::asio::ip::tcp::socket socket)
        : socket_(std::move(socket)) {}
    boost::asio::ip::tcp::socket socket_;  ///< The connection.
    TimePoint since_;         ///< Begin of waiting for the other end.
    TimePoint quiet_at_;      ///< Last time when no next request was there.
    bool serving_ = false;    ///< Its request is with the handler.
    bool has_bytes_ = false;  ///< A part of a request or an answer passes.
  };

  void Accept();
  bool MakeRoom();
  boost::asio::awaitable<void> Serve(std::shared_ptr<Connection> connection);
  /** @return True once @p parser holds a whole request. Refuses a request whose
   * end is in doubt. */
  boost::asio::awaitable<bool> ReadRequest(Connection& connection,
                                           boost::beast::flat_buffer& buffer,
                                           CountedRequestParser& parser,
                                           MemoryHolder& holder);

  boost::asio::io_context& io_;  ///< Runs all connections.
  MemoryKeeper& memory_;         ///< Bounds what they hold.
  size_t most_connections_;      ///< At the same time.
  /** Open ones. Shared, as coroutines may be destroyed after the service. */
  std::shared_ptr<std::set<std::shared_ptr<Connection>>> connections_ =
      std::make_shared<std::set<std::shared_ptr<Connection>>>();
  uint64_t closed_ = 0;  ///< For lack of descriptors or memory.
  TimePoint quiet_at_;   ///< Last time when no new connection waited.
  boost::asio::ip::tcp::acceptor acceptor_;  ///< Of the address.
  boost::asio::steady_timer accept_again_;   ///< After a failed accept.
  Handler handler_;                          ///< Answers requests.
  BadHead bad_head_;                         ///< For log lines.
};

}  // namespace gv
