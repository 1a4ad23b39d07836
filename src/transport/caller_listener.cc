/** @file caller_listener.cc Accepts connections and finds them by request. */
#include "transport/caller_listener.h"

#include <boost/asio/strand.hpp>
#include <boost/outcome/try.hpp>

#include "transport/listen.h"

namespace gv {
namespace {

namespace asio = boost::asio;

constexpr int kRequestShift = 32;

}  // namespace

CallerListener::CallerListener(asio::io_context& traffic,
                               CallerListenerSettings settings,
                               CallerHooks hooks)
    : traffic_(traffic),
      settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      acceptor_(traffic) {}

Result<void> CallerListener::Listen() {
  BOOST_OUTCOME_TRY(OpenAcceptor(acceptor_, settings_.address_));
  Accept();
  return boost::outcome_v2::success();
}

void CallerListener::Accept() {
  acceptor_.async_accept(
      asio::make_strand(traffic_),
      [this](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (stopping_ || error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          boost::beast::tcp_stream stream(std::move(socket));
          std::make_shared<CallerSession>(std::move(stream), *this)->Start();
        }
        Accept();
      });
}

void CallerListener::Deliver(const Message& message) {
  if (const auto* chunk = std::get_if<CallerChunk>(&message)) {
    DeliverPart(chunk->request_, *chunk);
  } else if (const auto* end = std::get_if<CallerEnd>(&message)) {
    DeliverPart(end->request_, *end);
  }
}

void CallerListener::DeliverPart(RequestId request, CallerPart part) {
  std::shared_ptr<CallerSession> session;
  {
    const std::lock_guard lock(mutex_);
    const auto found = waiting_.find(request);
    if (found != waiting_.end()) {
      session = found->second.lock();
    }
  }
  if (session != nullptr) {
    session->Deliver(std::move(part));
  }
}

void CallerListener::StopAccepting() {
  stopping_ = true;
  asio::post(acceptor_.get_executor(), [this]() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  });
}

RequestId CallerListener::Register(
    const std::shared_ptr<CallerSession>& session) {
  const std::lock_guard lock(mutex_);
  ++last_request_;
  const uint64_t prefix = settings_.request_prefix_;
  const RequestId request((prefix << kRequestShift) | last_request_);
  waiting_[request] = session;
  return request;
}

void CallerListener::Unregister(RequestId request) {
  const std::lock_guard lock(mutex_);
  waiting_.erase(request);
}

}  // namespace gv
