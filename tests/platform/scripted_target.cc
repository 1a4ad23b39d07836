/** @file scripted_target.cc Sockets of the scripted targets. */
#include "platform/scripted_target.h"

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "transport/http_chunk.h"

namespace gv {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

std::atomic<uint64_t> last_connection{0};

std::string ValueIn(const std::string& head, const std::string& name) {
  const size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return "";
  }
  const size_t begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

}  // namespace

std::string TargetRequest::Header(const std::string& name) const {
  return ValueIn(head_, name);
}

bool TargetLine::Send(const std::string& bytes) {
  error_code error;
  asio::write(socket_, asio::buffer(bytes), error);
  return !error;
}

void TargetLine::BeginEvents(const TargetRequest& request,
                             const std::string& more) {
  Send(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Gooseberryvale-Attempt-Id: " +
      request.Header("Gooseberryvale-Attempt-Id") +
      "\r\nGooseberryvale-Response-Signature: s\r\n" + more +
      "Transfer-Encoding: chunked\r\n\r\n");
}

void TargetLine::SendEvent(int id, const std::string& data) {
  const std::string number = std::to_string(id);
  const std::string event = "id: " + number +
                            "\ndata: " + (data.empty() ? "e" + number : data) +
                            "\n\n";
  Send(HttpChunk(event));
}

bool TargetLine::PeerClosesWithin(std::chrono::milliseconds time) {
  pollfd watched{socket_.native_handle(), POLLIN, 0};
  if (poll(&watched, 1, static_cast<int>(time.count())) <= 0) {
    return false;
  }
  char byte = 0;
  return recv(socket_.native_handle(), &byte, 1, MSG_PEEK) <= 0;
}

void TargetLine::Reset() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  CloseSocket();
}

void TargetLine::Close() {
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  PeerClosesWithin(std::chrono::seconds(1));
  CloseSocket();
}

void TargetLine::CloseSocket() {
  if (closing_) {
    closing_();
  }
  error_code ignored;
  socket_.close(ignored);
}

ScriptedTarget::ScriptedTarget(Script script)
    : script_(std::move(script)),
      acceptor_(io_, {asio::ip::address_v4::loopback(), 0}),
      address_("127.0.0.1:" +
               std::to_string(acceptor_.local_endpoint().port())),
      accepting_([this]() { Accept(); }) {}

void ScriptedTarget::Accept() {
  while (!stopping_ && !crashed_) {
    error_code error;
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error || stopping_ || crashed_) {
      continue;
    }
    // A reset drops what waits for the peer's acknowledgement.
    socket.set_option(tcp::no_delay(true), error);
    const std::scoped_lock lock(mutex_);
    const uint64_t number = ++last_connection;
    open_[number] = socket.native_handle();
    waiting_.push_back(Accepted{number, std::move(socket)});
    if (waiting_.size() > idle_threads_) {
      threads_.emplace_back([this]() { RunThread(); });
    }
    has_work_.notify_one();
  }
}

void ScriptedTarget::RunThread() {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_threads_;
    has_work_.wait(lock, [this]() { return is_over_ || !waiting_.empty(); });
    --idle_threads_;
    if (waiting_.empty()) {
      return;
    }
    Accepted accepted = std::move(waiting_.front());
    waiting_.pop_front();
    lock.unlock();
    Serve(std::move(accepted));
    lock.lock();
  }
}

ScriptedTarget::~ScriptedTarget() {
  stopping_ = true;
  asio::io_context io;
  tcp::socket wake(io);
  error_code ignored;
  if (!crashed_) {
    wake.connect(acceptor_.local_endpoint(), ignored);
  }
  accepting_.join();
  {
    const std::scoped_lock lock(mutex_);
    is_over_ = true;
  }
  has_work_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void ScriptedTarget::Crash() {
  crashed_ = true;
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  BreakConnections();
}

void ScriptedTarget::BreakConnections() {
  const std::scoped_lock lock(mutex_);
  for (const auto& [connection, descriptor] : open_) {
    ::shutdown(descriptor, SHUT_RDWR);
  }
}

std::vector<TargetRequest> ScriptedTarget::Requests() {
  const std::scoped_lock lock(mutex_);
  return requests_;
}

void ScriptedTarget::Serve(Accepted accepted) {
  const auto forget = [this, &accepted]() { Forget(accepted.number_); };
  ServeRequests(accepted, forget);
  forget();
}

void ScriptedTarget::Forget(uint64_t connection) {
  const std::scoped_lock lock(mutex_);
  open_.erase(connection);
}

void ScriptedTarget::ServeRequests(Accepted& accepted,
                                   const std::function<void()>& closing) {
  tcp::socket& socket = accepted.socket_;
  std::string input;
  while (!stopping_ && !crashed_) {
    error_code error;
    const size_t head = asio::read_until(socket, asio::dynamic_buffer(input),
                                         "\r\n\r\n", error);
    if (error) {
      return;
    }
    TargetRequest request;
    request.connection_ = accepted.number_;
    request.line_ = input.substr(0, input.find("\r\n"));
    request.head_ =
        input.substr(request.line_.size(), head - request.line_.size());
    input.erase(0, head);
    const std::string length = request.Header("Content-Length");
    const size_t size = length.empty() ? 0 : std::stoul(length);
    while (input.size() < size && !error) {
      std::string more(size - input.size(), '\0');
      more.resize(socket.read_some(asio::buffer(more), error));
      input += more;
    }
    request.body_ = input.substr(0, size);
    input.erase(0, size);
    {
      const std::scoped_lock lock(mutex_);
      requests_.push_back(request);
    }
    TargetLine line(socket, closing);
    script_(request, line);
    if (!socket.is_open()) {
      return;
    }
  }
}

}  // namespace gv
