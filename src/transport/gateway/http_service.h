/** @file http_service.h A small HTTP server for calls whose answers may come
 * later: readiness, metrics, targets and operators. */
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <string>

#include "state/verdict_type.h"
#include "transport/gateway/memory_keeper.h"
#include "transport/http_reply.h"

namespace gv {

/**
 * Serves one address. Thread safety: owned by one thread.
 */
class HttpService {
 public:
  /** Gives the answer to one request; called once, now or later. */
  using Respond = std::function<void(HttpReply)>;
  using Handler = std::function<void(HttpRequest, Respond)>;

  /** @param memory Bounds what all connections hold; outlives the service. */
  HttpService(boost::asio::io_context& io, MemoryKeeper& memory,
              Handler handler)
      : io_(io), memory_(memory), acceptor_(io), handler_(std::move(handler)) {}

  /** Listens on "IP:port". @return Nothing, or a verdict with the address. */
  Result<void> Listen(const std::string& address);
  /** Accepts no more connections. */
  void Close();

 private:
  void Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& io_;              ///< Runs all connections.
  MemoryKeeper& memory_;                     ///< Bounds their bodies.
  boost::asio::ip::tcp::acceptor acceptor_;  ///< Of the address.
  Handler handler_;                          ///< Answers requests.
};

}  // namespace gv
