/** @file fault_proxy.cc Pumps bytes, or doesn't. */
#include "soak/fault_proxy.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace gv {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds kDelay{80};
constexpr milliseconds kSilencePoll{10};

}  // namespace

FaultProxy::FaultProxy(tcp::endpoint server)
    : server_(std::move(server)),
      acceptor_(io_, {asio::ip::address_v4::loopback(), 0}) {
  asio::co_spawn(io_, Accept(), asio::detached);
  thread_ = std::thread([this]() { io_.run(); });
}

FaultProxy::~FaultProxy() {
  io_.stop();
  thread_.join();
}

void FaultProxy::ResetAll() {
  asio::post(io_, [this]() {
    for (const auto& weak : links_) {
      if (const auto link = weak.lock()) {
        Reset(*link);
      }
    }
    links_.clear();
  });
}

void FaultProxy::Reset(Link& link) {
  for (Socket* socket : {&link.client_, &link.server_}) {
    boost::system::error_code ignored;
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

asio::awaitable<void> FaultProxy::Accept() {
  for (;;) {
    auto link = std::make_shared<Link>(
        co_await acceptor_.async_accept(asio::use_awaitable));
    links_.remove_if([](const auto& weak) { return weak.expired(); });
    links_.push_back(link);
    asio::co_spawn(io_, Serve(link), asio::detached);
  }
}

asio::awaitable<void> FaultProxy::Serve(std::shared_ptr<Link> link) {
  boost::system::error_code error;
  co_await link->server_.async_connect(
      server_, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    Reset(*link);
    co_return;
  }
  asio::co_spawn(io_, Pump(link, false), asio::detached);
  co_await Pump(link, true);
}

asio::awaitable<void> FaultProxy::Pump(std::shared_ptr<Link> link,
                                       bool to_client) {
  Socket& from = to_client ? link->server_ : link->client_;
  Socket& to = to_client ? link->client_ : link->server_;
  asio::steady_timer timer(io_);
  std::array<char, 16384> buffer{};
  for (;;) {
    boost::system::error_code error;
    const size_t size = co_await from.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    while (!error && (fault_ == LinkFault::kSilent ||
                      (fault_ == LinkFault::kOneWay && to_client))) {
      timer.expires_after(kSilencePoll);
      co_await timer.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error && fault_ == LinkFault::kDelay) {
      timer.expires_after(kDelay);
      co_await timer.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error) {
      co_await asio::async_write(
          to, asio::buffer(buffer, size),
          asio::redirect_error(asio::use_awaitable, error));
    }
    if (error == asio::error::eof) {
      boost::system::error_code ignored;
      to.shutdown(tcp::socket::shutdown_send, ignored);
      co_return;
    }
    if (error) {
      Reset(*link);
      co_return;
    }
  }
}

}  // namespace gv
