/** @file scripted_target.cc Sockets of the scripted targets. */
#include "platform/scripted_target.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <utility>

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
      wake_(eventfd(0, EFD_NONBLOCK)),
      address_("127.0.0.1:" +
               std::to_string(acceptor_.local_endpoint().port())),
      watcher_([this]() { Watch(); }) {}

void ScriptedTarget::Watch() {
  while (!stopping_ && !crashed_) {
    std::vector<pollfd> watched{{wake_, POLLIN, 0},
                                {acceptor_.native_handle(), POLLIN, 0}};
    {
      const std::scoped_lock lock(mutex_);
      for (Connection& connection : idle_) {
        watched.push_back({connection.socket_.native_handle(), POLLIN, 0});
      }
    }
    poll(watched.data(), watched.size(), -1);
    uint64_t ignored = 0;
    static_cast<void>(read(wake_, &ignored, sizeof(ignored)));
    JoinFinished();
    std::vector<bool> has_input;
    for (size_t i = 2; i < watched.size(); ++i) {
      has_input.push_back(watched[i].revents != 0);
    }
    StartThreads(has_input);
    if (watched[1].revents != 0 && !stopping_ && !crashed_) {
      Accept();
    }
  }
  const std::scoped_lock lock(mutex_);
  for (const Connection& connection : idle_) {
    open_.erase(connection.number_);
  }
  idle_.clear();
}

void ScriptedTarget::Accept() {
  error_code error;
  tcp::socket socket(io_);
  acceptor_.accept(socket, error);
  if (error) {
    return;
  }
  // A reset drops what waits for the peer's acknowledgement.
  socket.set_option(tcp::no_delay(true), error);
  const std::scoped_lock lock(mutex_);
  const uint64_t number = ++last_connection;
  open_[number] = socket.native_handle();
  idle_.push_back(Connection{number, std::move(socket)});
}

void ScriptedTarget::JoinFinished() {
  std::vector<std::thread> finished;
  {
    const std::scoped_lock lock(mutex_);
    for (const std::thread::id id : std::exchange(finished_, {})) {
      finished.push_back(std::move(threads_.extract(id).mapped()));
    }
  }
  for (std::thread& thread : finished) {
    thread.join();
  }
}

void ScriptedTarget::StartThreads(const std::vector<bool>& has_input) {
  const std::scoped_lock lock(mutex_);
  std::vector<Connection> quiet;
  for (size_t i = 0; i < idle_.size(); ++i) {
    // Connections that became idle meanwhile stand at the end.
    if (i >= has_input.size() || !has_input[i]) {
      quiet.push_back(std::move(idle_[i]));
      continue;
    }
    char byte = 0;
    if (recv(idle_[i].socket_.native_handle(), &byte, 1, MSG_PEEK) <= 0) {
      open_.erase(idle_[i].number_);
      idle_[i].socket_.close();
      continue;
    }
    std::thread thread(
        [this, taken = std::make_shared<Connection>(std::move(idle_[i]))]() {
          Serve(std::move(*taken));
          const std::scoped_lock done(mutex_);
          finished_.push_back(std::this_thread::get_id());
          WakeWatcher();
        });
    const std::thread::id id = thread.get_id();
    threads_.emplace(id, std::move(thread));
  }
  idle_ = std::move(quiet);
}

void ScriptedTarget::WakeWatcher() const {
  constexpr uint64_t kOne = 1;
  static_cast<void>(write(wake_, &kOne, sizeof(kOne)));
}

ScriptedTarget::~ScriptedTarget() {
  stopping_ = true;
  WakeWatcher();
  watcher_.join();
  for (auto& [id, thread] : threads_) {
    thread.join();
  }
  close(wake_);
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

void ScriptedTarget::Serve(Connection connection) {
  while (ServeRequest(connection)) {
    if (connection.input_.empty()) {
      const std::scoped_lock lock(mutex_);
      idle_.push_back(std::move(connection));
      return;
    }
  }
  Forget(connection.number_);
}

void ScriptedTarget::Forget(uint64_t connection) {
  const std::scoped_lock lock(mutex_);
  open_.erase(connection);
}

bool ScriptedTarget::ServeRequest(Connection& connection) {
  tcp::socket& socket = connection.socket_;
  std::string& input = connection.input_;
  error_code error;
  const size_t head =
      asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", error);
  if (error) {
    return false;
  }
  TargetRequest request;
  request.connection_ = connection.number_;
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
  TargetLine line(socket,
                  [this, &connection]() { Forget(connection.number_); });
  script_(request, line);
  return socket.is_open() && !stopping_ && !crashed_;
}

}  // namespace gv
