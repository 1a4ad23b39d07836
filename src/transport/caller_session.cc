/** @file caller_session.cc Reads requests of one connection and writes their
 * answers. */
#include "transport/caller_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "state/run_promise.h"
#include "transport/caller_listener.h"
#include "transport/http_chunk.h"
#include "transport/read_head.h"

namespace gv {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr size_t kMaxPartsBytes = 16UL << 20;
constexpr unsigned kOk = 200;
constexpr unsigned kNotReady = 503;
constexpr unsigned kNotFound = 404;
constexpr unsigned kBadGateway = 502;

/** @return The answer to a request that could not even be read. */
HttpReply BadRequestReply(const boost::system::error_code& error) {
  HttpReply reply = MakeVerdictReply(
      NotRun(Reason::kBadRequest, "request: " + error.message()), RequestId());
  if (error == http::error::body_limit) {
    reply.result(http::status::payload_too_large);
  } else if (error == http::error::header_limit) {
    reply.result(http::status::request_header_fields_too_large);
  }
  return reply;
}

bool IsHttpError(const boost::system::error_code& error) {
  return error.category() ==
             boost::system::error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

size_t BytesOf(const CallerPart& part) {
  const auto* chunk = std::get_if<CallerChunk>(&part);
  return chunk == nullptr ? 0 : chunk->text_.size();
}

/** @return The answer of a service, or of a model without streaming. */
HttpReply WholeReply(const RequestSpec& spec, const CallerEnd& end,
                     const std::string& text, int64_t tokens) {
  if (!end.ok_) {
    return MakeVerdictReply(end.verdict_, spec.request_);
  }
  const unsigned own = end.http_status_ == 0 ? kOk : end.http_status_;
  const bool denies = PromisesNotRun(own);
  const unsigned status = denies ? kBadGateway : own;
  const bool engine = spec.kind_ == TargetKind::kEngine;
  HttpReply reply =
      engine ? MakeReply(status, "application/json",
                         CompletionBody(spec.request_, spec.model_, text,
                                        spec.prompt_tokens_, tokens))
             : MakeReply(status, "application/octet-stream", text);
  if (denies) {
    reply.set("X-Gooseberryvale-Target-Status", std::to_string(own));
  }
  reply.set("X-Gooseberryvale-Verdict", "ran");
  reply.set("X-Gooseberryvale-Request", std::to_string(spec.request_.Value()));
  if (end.replayed_) {
    reply.set("X-Gooseberryvale-Replayed", "true");
  }
  return reply;
}

}  // namespace

CallerSession::CallerSession(boost::beast::tcp_stream stream,
                             CallerListener& listener)
    : stream_(std::move(stream)),
      listener_(listener),
      wake_(stream_.get_executor()) {}

void CallerSession::Start() {
  asio::co_spawn(
      stream_.get_executor(),
      [self = shared_from_this()]() -> asio::awaitable<void> {
        co_await self->Run();
      },
      [self = shared_from_this()](const std::exception_ptr&) {
        if (!self->current_.IsNone()) {
          self->listener_.Hooks().submit_(CallerGone{self->current_});
          self->listener_.Unregister(self->current_);
        }
        boost::system::error_code ignored;
        self->stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send,
                                        ignored);
        self->stream_.close();
      });
}

void CallerSession::Deliver(CallerPart part) {
  asio::post(stream_.get_executor(),
             [self = shared_from_this(), part = std::move(part)]() mutable {
               self->parts_bytes_ += BytesOf(part);
               self->parts_.push_back(std::move(part));
               self->wake_.cancel();
               if (self->parts_bytes_ > kMaxPartsBytes) {
                 self->stream_.close();
               }
             });
}

asio::awaitable<void> CallerSession::Run() {
  bool more = true;
  while (more) {
    more = co_await ServeOne();
  }
}

asio::awaitable<bool> CallerSession::ServeOne() {
  http::request_parser<http::string_body> parser;
  parser.body_limit(listener_.Settings().max_body_bytes_);
  parser.header_limit(listener_.Settings().max_header_bytes_);
  stream_.expires_after(
      std::chrono::milliseconds(listener_.Settings().idle_timeout_.Ms()));
  boost::system::error_code error;
  const HeadFault fault = co_await ReadHead(
      stream_, buffer_, listener_.Settings().max_header_bytes_, []() {}, error);
  if (fault != HeadFault::kNone) {
    co_await SendReply(
        MakeVerdictReply(NotRun(Reason::kBadRequest, std::string("request: ") +
                                                         HeadFaultText(fault)),
                         RequestId()),
        false);
    co_return false;
  }
  if (error) {
    co_return false;
  }
  co_await http::async_read(stream_, buffer_, parser,
                            asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    if (IsHttpError(error)) {
      co_await SendReply(BadRequestReply(error), false);
    }
    co_return false;
  }
  HttpRequest request = parser.release();
  const bool keep_alive = request.keep_alive() && !listener_.Stopping();
  const CallerHooks& hooks = listener_.Hooks();
  if (request.target() == "/healthz") {
    co_await SendReply(MakeReply(kOk, "text/plain", "ok\n"), keep_alive);
  } else if (request.target() == "/readyz") {
    const bool ready = hooks.ready_() && !listener_.Stopping();
    co_await SendReply(MakeReply(ready ? kOk : kNotReady, "text/plain",
                                 ready ? "ok\n" : "not ready\n"),
                       keep_alive);
  } else if (request.target() == "/metrics") {
    co_await SendReply(
        MakeReply(kOk, "text/plain; version=0.0.4", hooks.metrics_()),
        keep_alive);
  } else if (request.target() == "/rpc" && hooks.operator_call_) {
    co_await SendReply(hooks.operator_call_(request), keep_alive);
  } else if (!hooks.submit_) {
    co_await SendReply(MakeReply(kNotFound, "text/plain", "not found\n"),
                       keep_alive);
  } else {
    Result<CallerRequest> call =
        ParseCallerRequest(request, listener_.Settings().bounds_);
    if (!call.has_value()) {
      co_await SendReply(MakeVerdictReply(call.error(), RequestId()),
                         keep_alive);
      co_return keep_alive;
    }
    request.body().clear();
    co_return co_await ServeCall(std::move(call.value()), keep_alive);
  }
  co_return keep_alive;
}

asio::awaitable<bool> CallerSession::ServeCall(CallerRequest request,
                                               bool keep_alive) {
  stream_.expires_never();
  parts_.clear();
  parts_bytes_ = 0;
  current_ = listener_.Register(shared_from_this());
  request.spec_.request_ = current_;
  RequestSpec spec = request.spec_;
  spec.body_.clear();
  listener_.Hooks().submit_(std::move(request));
  WatchForClose();
  bool more = false;
  if (spec.stream_) {
    more = co_await AnswerStream(spec, keep_alive);
  } else {
    more = co_await AnswerWhole(spec, keep_alive);
  }
  listener_.Unregister(current_);
  current_ = RequestId();
  boost::system::error_code ignored;
  stream_.socket().cancel(ignored);
  co_return more;
}

asio::awaitable<CallerPart> CallerSession::NextPart() {
  while (parts_.empty()) {
    wake_.expires_at(asio::steady_timer::time_point::max());
    boost::system::error_code ignored;
    co_await wake_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    if (!stream_.socket().is_open()) {
      throw std::runtime_error("the caller is gone");
    }
  }
  CallerPart part = std::move(parts_.front());
  parts_.pop_front();
  parts_bytes_ -= BytesOf(part);
  co_return part;
}

asio::awaitable<bool> CallerSession::AnswerWhole(const RequestSpec& spec,
                                                 bool keep_alive) {
  std::string text;
  int64_t tokens = 0;
  for (;;) {
    const CallerPart part = co_await NextPart();
    if (const auto* chunk = std::get_if<CallerChunk>(&part)) {
      text += chunk->text_;
      tokens += chunk->tokens_;
      continue;
    }
    HttpReply reply = WholeReply(spec, std::get<CallerEnd>(part), text, tokens);
    const RequestId answered = current_;
    current_ = RequestId();
    listener_.Unregister(answered);
    co_await SendReply(std::move(reply), keep_alive);
    co_return keep_alive;
  }
}

asio::awaitable<bool> CallerSession::AnswerStream(const RequestSpec& spec,
                                                  bool keep_alive) {
  bool started = false;
  for (;;) {
    const CallerPart part = co_await NextPart();
    const auto* end = std::get_if<CallerEnd>(&part);
    if (end != nullptr && !end->ok_ && !started) {
      co_await SendReply(MakeVerdictReply(end->verdict_, spec.request_),
                         keep_alive);
      co_return keep_alive;
    }
    if (!started) {
      started = true;
      std::string head =
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
      head += "Transfer-Encoding: chunked\r\nX-Gooseberryvale-Request: ";
      head += std::to_string(spec.request_.Value());
      head += keep_alive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n";
      co_await SendText(head);
    }
    if (const auto* chunk = std::get_if<CallerChunk>(&part)) {
      co_await SendText(
          HttpChunk(CompletionEvent(spec.request_, spec.model_, chunk->text_)));
      continue;
    }
    std::string last = end->ok_ ? CompletionEnd(spec.request_, spec.model_)
                                : CompletionFailure(end->verdict_);
    const RequestId answered = current_;
    current_ = RequestId();
    listener_.Unregister(answered);
    co_await SendText(HttpChunk(last) + "0\r\n\r\n");
    co_return keep_alive;
  }
}

asio::awaitable<void> CallerSession::SendReply(HttpReply reply,
                                               bool keep_alive) {
  reply.keep_alive(keep_alive);
  stream_.expires_after(
      std::chrono::milliseconds(listener_.Settings().idle_timeout_.Ms()));
  co_await http::async_write(stream_, reply, asio::use_awaitable);
  stream_.expires_never();
}

asio::awaitable<void> CallerSession::SendText(const std::string& text) {
  stream_.expires_after(
      std::chrono::milliseconds(listener_.Settings().idle_timeout_.Ms()));
  co_await asio::async_write(stream_, asio::buffer(text), asio::use_awaitable);
  stream_.expires_never();
}

void CallerSession::WatchForClose() {
  stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                              [self = shared_from_this(), watched = current_](
                                  boost::system::error_code error) {
                                if (!error) {
                                  self->OnReadable(watched);
                                }
                              });
}

void CallerSession::OnReadable(RequestId watched) {
  if (current_ != watched) {
    return;
  }
  char byte = 0;
  boost::system::error_code error;
  stream_.socket().non_blocking(true, error);
  const size_t got = stream_.socket().receive(
      asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  if (error == asio::error::would_block) {
    WatchForClose();
  } else if (error || got == 0) {
    stream_.close();
    wake_.cancel();
  }
}

}  // namespace gv
