/** @file fault_proxy.h Passes connections on over loopback and does to them
 * what a bad network does. */
#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace gv {

/** What happens to the bytes of a link. */
enum class LinkFault : uint8_t {
  kNone,
  kDelay,   ///< Each chunk comes 80 ms later.
  kSilent,  ///< Nothing passes, no connection is closed.
  kOneWay,  ///< Nothing passes from the server to the client.
};

/** A proxy to one server. Thread safety: any thread. */
class FaultProxy {
 public:
  /** @param server Where connections go. */
  explicit FaultProxy(boost::asio::ip::tcp::endpoint server);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;
  /** @return The port to connect to. */
  uint16_t Port() const { return acceptor_.local_endpoint().port(); }
  void Set(LinkFault fault) { fault_ = fault; }
  LinkFault Get() const { return fault_; }
  /** Resets all open connections. */
  void ResetAll();

 private:
  using Socket = boost::asio::ip::tcp::socket;
  /** Both ends of one connection. */
  struct Link {
    explicit Link(Socket client)
        : client_(std::move(client)), server_(client_.get_executor()) {}
    Socket client_;
    Socket server_;
  };
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(std::shared_ptr<Link> link);
  boost::asio::awaitable<void> Pump(std::shared_ptr<Link> link, bool to_client);
  static void Reset(Link& link);

  boost::asio::ip::tcp::endpoint server_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<LinkFault> fault_{LinkFault::kNone};
  std::list<std::weak_ptr<Link>> links_;  ///< Used on the thread only.
  std::thread thread_;
};

}  // namespace gv
