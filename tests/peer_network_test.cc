/** @file peer_network_test.cc Processes talk over loopback only if they share
 * cluster and key. */
#include "transport/peer_network.h"

#include <doctest/doctest.h>
#include <poll.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <memory>
#include <thread>

namespace gv {
namespace {

constexpr std::chrono::seconds kPatience{10};
constexpr const char* kKey = "a-key-of-enough-bytes";

/** Keeps the first message and drops the rest. */
struct FirstMessage {
  void Put(const Envelope& envelope) {
    if (!full_.exchange(true)) {
      promise_.set_value(envelope);
    }
  }
  std::atomic<bool> full_{false};   ///< True once a message came.
  std::promise<Envelope> promise_;  ///< Gets the message.
};

/** Two networks over loopback; the first one dials the second. */
struct Pair {
  explicit Pair(const std::string& dialler_key)
      : dialler_(
            io_, PeerIdentity{NodeId("a"), "cluster", dialler_key},
            [this](const Envelope& envelope) { dialler_got_.Put(envelope); }),
        acceptor_(
            io_, PeerIdentity{NodeId("b"), "cluster", kKey},
            [this](const Envelope& envelope) { acceptor_got_.Put(envelope); }) {
  }
  ~Pair() {
    dialler_.Close();
    acceptor_.Close();
    thread_.join();
  }
  Pair(const Pair&) = delete;
  Pair& operator=(const Pair&) = delete;

  void Start(const std::string& address) {
    REQUIRE(acceptor_.Listen(address).has_value());
    dialler_.SetAddress(NodeId("b"), address);
    thread_ = std::thread([this]() { io_.run(); });
  }

  boost::asio::io_context io_;  ///< Runs both networks.
  FirstMessage dialler_got_;    ///< First message to the dialler.
  FirstMessage acceptor_got_;   ///< First message to the acceptor.
  PeerNetwork dialler_;         ///< Node a.
  PeerNetwork acceptor_;        ///< Node b.
  std::thread thread_;          ///< Runs io_.
};

Envelope From(const char* from, const char* to, uint64_t round) {
  AppendReply reply;
  reply.round_ = round;
  return Envelope{{NodeId(from), Port::kControl},
                  {NodeId(to), Port::kControl},
                  HlcTime{},
                  reply};
}

TEST_CASE("peer network: a message and its answer travel over one connection") {
  Pair pair(kKey);
  pair.Start("127.0.0.1:27391");
  auto acceptor_got = pair.acceptor_got_.promise_.get_future();
  auto dialler_got = pair.dialler_got_.promise_.get_future();
  pair.dialler_.Send(From("a", "b", 5));
  REQUIRE(acceptor_got.wait_for(kPatience) == std::future_status::ready);
  CHECK(std::get<AppendReply>(acceptor_got.get().body_).round_ == 5);
  pair.acceptor_.Send(From("b", "a", 6));
  REQUIRE(dialler_got.wait_for(kPatience) == std::future_status::ready);
  CHECK(std::get<AppendReply>(dialler_got.get().body_).round_ == 6);
}

TEST_CASE("peer network: a process with another key is refused") {
  Pair pair("another-key-of-enough-bytes");
  pair.Start("127.0.0.1:27392");
  auto dialler_got = pair.dialler_got_.promise_.get_future();
  pair.dialler_.Send(From("a", "b", 5));
  REQUIRE(dialler_got.wait_for(kPatience) == std::future_status::ready);
  CHECK(std::holds_alternative<PeerDown>(dialler_got.get().body_));
}

/** Passes bytes on between a dialler and an acceptor. The first connection's
 * bytes to the dialler are held until Release(). Thread safety: any thread. */
class Relay {
 public:
  Relay(const std::string& address, uint16_t port, uint16_t to)
      : to_(boost::asio::ip::make_address(address), to),
        acceptor_(io_, {boost::asio::ip::make_address(address), port}),
        thread_([this]() { Run(); }) {}
  ~Relay() {
    stop_ = true;
    Release();
    Socket wake(io_);
    boost::system::error_code ignored;
    wake.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
    for (std::thread& pump : pumps_) {
      pump.join();
    }
  }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /** @return Ready once bytes for the dialler are held. */
  std::future<void> Holding() { return holding_.get_future(); }
  void Release() {
    if (!released_.exchange(true)) {
      release_.set_value();
    }
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void Run() {
    const std::shared_future<void> release = release_.get_future().share();
    bool is_first = true;
    while (!stop_) {
      auto near = std::make_shared<Socket>(io_);
      auto far = std::make_shared<Socket>(io_);
      boost::system::error_code error;
      acceptor_.accept(*near, error);
      if (error || stop_) {
        return;
      }
      far->connect(to_, error);
      pumps_.emplace_back([this, near, far]() { Pump(*near, *far); });
      pumps_.emplace_back([this, near, far, is_first, release]() {
        if (is_first) {
          far->wait(Socket::wait_read);
          holding_.set_value();
          release.wait();
        }
        Pump(*far, *near);
      });
      is_first = false;
    }
  }

  /** Passes bytes on until an end closes or the relay stops. */
  void Pump(Socket& from, Socket& to) const {
    constexpr int kCheckMs = 100;
    std::array<char, 4096> bytes{};
    boost::system::error_code error;
    while (!error && !stop_) {
      pollfd watched{from.native_handle(), POLLIN, 0};
      if (poll(&watched, 1, kCheckMs) > 0) {
        const size_t read = from.read_some(boost::asio::buffer(bytes), error);
        boost::asio::write(to, boost::asio::buffer(bytes, read), error);
      }
    }
  }

  boost::asio::io_context io_;  ///< For blocking calls.
  boost::asio::ip::tcp::endpoint to_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::promise<void> holding_;
  std::promise<void> release_;
  std::atomic<bool> released_ = false;
  std::atomic<bool> stop_ = false;
  std::vector<std::thread> pumps_;
  std::thread thread_;
};

/** A network whose node answers each message with many, more than its queue
 * takes. */
struct Answerer {
  explicit Answerer(boost::asio::io_context& io)
      : network_(
            io, PeerIdentity{NodeId("b"), "cluster", kKey},
            [this](const Envelope& envelope) { Answer(envelope); },
            kQueueBytes) {}
  void Answer(const Envelope& envelope) {
    if (std::holds_alternative<PeerDown>(envelope.body_)) {
      return;
    }
    for (uint64_t i = 0; i < 100; ++i) {
      network_.Send(From("b", "a", i));
    }
    network_.SendToAll({NodeId("b"), Port::kControl},
                       {{NodeId("a"), Port::kControl}}, AppendReply{});
    answered_.set_value();
  }
  static constexpr size_t kQueueBytes = 1000;

  std::promise<void> answered_;  ///< Set after an answer.
  PeerNetwork network_;          ///< Node b.
};

TEST_CASE("peer network: a queue that overflows from inside an answer") {
  // Kept for good if the answer hangs, with its thread.
  auto io = std::make_unique<boost::asio::io_context>();
  auto answerer = std::make_unique<Answerer>(*io);
  boost::asio::io_context asker_io;
  FirstMessage got;
  PeerNetwork asker(asker_io, PeerIdentity{NodeId("a"), "cluster", kKey},
                    [&got](const Envelope& envelope) { got.Put(envelope); });
  REQUIRE(answerer->network_.Listen("127.0.0.1:27395").has_value());
  std::thread thread([&io = *io]() { io.run(); });
  // Without a listener the asker has no work until it sends.
  auto asker_work = boost::asio::make_work_guard(asker_io);
  std::thread asker_thread([&asker_io]() { asker_io.run(); });
  auto answered = answerer->answered_.get_future();
  auto asker_got = got.promise_.get_future();
  asker.SetAddress(NodeId("b"), "127.0.0.1:27395");
  asker.Send(From("a", "b", 1));
  const bool ends = answered.wait_for(kPatience) == std::future_status::ready;
  CHECK(ends);
  // The connection whose queue is full is closed; the asker sees that.
  CHECK(asker_got.wait_for(kPatience) == std::future_status::ready);
  asker.Close();
  asker_work.reset();
  asker_thread.join();
  if (!ends) {
    thread.detach();
    static_cast<void>(answerer.release());
    static_cast<void>(io.release());
    return;
  }
  answerer->network_.Close();
  thread.join();
}

// A process that was frozen during a handshake found its time limit over and
// the rest of the handshake in its buffers: it kept a closed session as the one
// to use, and never reached that peer again.
TEST_CASE("peer network: a handshake that ends after its time limit") {
  constexpr std::chrono::milliseconds kFrozen{1800};
  constexpr std::chrono::milliseconds kBytesPass{300};
  Relay relay("127.0.0.1", 27394, 27393);
  boost::asio::io_context frozen_io;
  boost::asio::io_context io;
  const PeerIdentity near{NodeId("a"), "cluster", kKey};
  const PeerIdentity far{NodeId("b"), "cluster", kKey};
  FirstMessage got;
  PeerNetwork dialler(frozen_io, near, [](const Envelope&) {});
  PeerNetwork acceptor(io, far,
                       [&got](const Envelope& envelope) { got.Put(envelope); });
  REQUIRE(acceptor.Listen("127.0.0.1:27393").has_value());
  auto work = boost::asio::make_work_guard(frozen_io);
  std::thread frozen([&frozen_io]() { frozen_io.run(); });
  std::thread awake([&io]() { io.run(); });
  auto received = got.promise_.get_future();
  auto holding = relay.Holding();
  dialler.SetAddress(NodeId("b"), "127.0.0.1:27394");
  dialler.Send(From("a", "b", 1));
  REQUIRE(holding.wait_for(kPatience) == std::future_status::ready);
  std::promise<void> is_frozen;
  boost::asio::post(frozen_io, [&is_frozen, kFrozen]() {
    is_frozen.set_value();
    std::this_thread::sleep_for(kFrozen);
  });
  is_frozen.get_future().wait();
  // The peer's hello and proof wait for the dialler when it wakes.
  std::this_thread::sleep_for(kBytesPass);
  relay.Release();
  std::this_thread::sleep_for(kFrozen);
  bool arrived = false;
  for (uint64_t round = 2; round < 30 && !arrived; ++round) {
    dialler.Send(From("a", "b", round));
    arrived = received.wait_for(std::chrono::milliseconds(100)) ==
              std::future_status::ready;
  }
  CHECK(arrived);
  dialler.Close();
  acceptor.Close();
  work.reset();
  frozen_io.stop();
  io.stop();
  frozen.join();
  awake.join();
}

}  // namespace
}  // namespace gv
