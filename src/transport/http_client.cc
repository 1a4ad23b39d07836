/** @file http_client.cc One HTTP exchange through Beast. */
#include "transport/http_client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <exception>
#include <optional>
#include <utility>

#include "state/process_settings.h"

namespace gv {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr int kHttp11 = 11;

http::request<http::string_body> MakeRequest(const HttpPost& post) {
  http::request<http::string_body> request(http::string_to_verb(post.method_),
                                           post.path_, kHttp11);
  request.set(http::field::host, post.address_);
  request.set(http::field::content_type, "application/json");
  if (!post.bearer_.empty()) {
    request.set(http::field::authorization, "Bearer " + post.bearer_);
  }
  request.body() = post.body_;
  request.prepare_payload();
  return request;
}

asio::awaitable<HttpAnswer> Exchange(HttpPost post, tcp::endpoint endpoint) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(std::chrono::milliseconds(post.timeout_.Ms()));
  co_await stream.async_connect(endpoint, asio::use_awaitable);
  const auto request = MakeRequest(post);
  co_await http::async_write(stream, request, asio::use_awaitable);
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  co_await http::async_read(stream, buffer, response, asio::use_awaitable);
  co_return HttpAnswer{response.result_int(), std::move(response.body())};
}

}  // namespace

Result<HttpAnswer> SendHttpPost(const HttpPost& post) {
  std::string ip;
  uint16_t port = 0;
  if (!SplitAddress(post.address_, ip, port)) {
    return NotRun(Reason::kBadRequest, post.address_ + ": is not IP:port");
  }
  try {
    asio::io_context context(1);
    const tcp::endpoint endpoint(asio::ip::make_address(ip), port);
    std::optional<HttpAnswer> answer;
    std::exception_ptr failure;
    asio::co_spawn(context, Exchange(post, endpoint),
                   [&](std::exception_ptr error, HttpAnswer result) {
                     failure = std::move(error);
                     answer = std::move(result);
                   });
    context.run();
    if (failure) {
      std::rethrow_exception(failure);
    }
    return std::move(*answer);
  } catch (const boost::system::system_error& error) {
    return MayHaveRun(Reason::kConnectionLost,
                      post.address_ + ": " + error.code().message());
  } catch (const std::exception& error) {
    return MayHaveRun(Reason::kConnectionLost,
                      post.address_ + ": " + error.what());
  }
}

}  // namespace gv
