/** @file interrupted_answer_test.cc Answers of targets that end early, in every
 * order in which a connection to a target may notice. */
#include <doctest/doctest.h>

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "transport/gateway/target_connection.h"
#include "transport/steady_clock.h"

namespace gv {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr Duration kPatience = 10_s;
/** For the system to deliver what one end of a connection did. */
constexpr std::chrono::milliseconds kDelivery{20};
/** More than the send and receive buffers of a connection hold. */
constexpr size_t kLongUpload = 16UL << 20;
constexpr size_t kShortUpload = 1000;
/** Bytes of one read of TargetConnection. After a read that fills its buffer
 * the next one is tried at once, before the pending write. */
constexpr size_t kReadBytes = 8192;
constexpr int kReceiveBuffer = 4096;

std::string Upload(size_t bytes) {
  return "POST /x HTTP/1.1\r\nHost: t\r\nContent-Length: " +
         std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'u');
}

/** Listens with a small receive buffer, so that long uploads stay pending. */
tcp::acceptor Listen(asio::io_context& io) {
  tcp::acceptor acceptor(io);
  acceptor.open(tcp::v4());
  acceptor.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
  acceptor.bind({asio::ip::address_v4::loopback(), 0});
  acceptor.listen();
  return acceptor;
}

std::string AddressOf(const tcp::acceptor& acceptor) {
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/** Closes with a reset; what was delivered before stays readable. */
void Reset(tcp::socket& socket) {
  socket.set_option(asio::socket_base::linger(true, 0));
  socket.close();
}

/** A TargetConnection and its target, both stepped by the test. Thread safety:
 * one thread. */
class SteppedExchange {
 public:
  SteppedExchange() : acceptor_(Listen(target_io_)), target_(target_io_) {
    connection_ = std::make_shared<TargetConnection>(
        io_, AddressOf(acceptor_), [](TargetConnection& /*closed*/) {});
    connection_->Open(SteadyNow());
    acceptor_.accept(target_);
    target_.set_option(tcp::no_delay(true));
    RunReady();
  }
  ~SteppedExchange() {
    connection_->Cancel();
    io_.poll();
  }
  SteppedExchange(const SteppedExchange&) = delete;
  SteppedExchange& operator=(const SteppedExchange&) = delete;

  /** Sends a request and runs until no more of it can be written. */
  void Start(size_t upload, bool pause_at_head) {
    body_.clear();
    end_.reset();
    head_passed_ = false;
    ExchangeHandler handler;
    handler.head_ = [this, pause_at_head](unsigned /*status*/,
                                          const HttpFields& /*fields*/) {
      head_passed_ = true;
      connection_->SetPaused(pause_at_head);
    };
    handler.body_ = [this](const std::string& part) { body_ += part; };
    handler.end_ = [this](ExchangeEnd end) {
      end_ = end;
      was_reusable_ = connection_->IsReusable();
    };
    connection_->Start(Upload(upload), false, std::move(handler));
    RunReady();
  }
  /** Runs what is ready now. */
  void RunReady() {
    std::this_thread::sleep_for(kDelivery);
    io_.restart();
    io_.poll();
  }
  void RunUntilHead() {
    RunUntil([this]() { return head_passed_; });
  }
  /** @return How the exchange ended. */
  ExchangeEnd RunUntilEnd() {
    RunUntil([this]() { return end_.has_value(); });
    return *end_;
  }
  /** Sends bytes from the target. */
  void Send(const std::string& bytes) {
    asio::write(target_, asio::buffer(bytes));
  }
  /** Receives the whole of a request that is sent without waiting. */
  void ReceiveWhole(size_t upload) {
    std::string got(Upload(upload).size(), '\0');
    asio::read(target_, asio::buffer(got));
  }
  void ResetTarget() {
    Reset(target_);
    std::this_thread::sleep_for(kDelivery);
  }
  /** Ends the target's direction in order; the upload stays pending. */
  void EndTarget() { target_.shutdown(tcp::socket::shutdown_send); }
  TargetConnection& Connection() { return *connection_; }
  const std::string& Body() const { return body_; }
  /** @return True if the pool may have used the connection again at the end of
   * the exchange. */
  bool WasReusable() const { return was_reusable_; }

 private:
  template <typename Condition>
  void RunUntil(const Condition& is_met) {
    const TimePoint end = SteadyNow() + kPatience;
    while (!is_met()) {
      REQUIRE_MESSAGE(SteadyNow() < end, "the exchange does not go on");
      io_.restart();
      io_.poll();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  asio::io_context target_io_;  ///< For blocking calls.
  tcp::acceptor acceptor_;
  tcp::socket target_;
  asio::io_context io_;  ///< Of the connection.
  std::shared_ptr<TargetConnection> connection_;
  bool head_passed_ = false;        ///< Of the present exchange.
  std::string body_;                ///< What was passed on.
  std::optional<ExchangeEnd> end_;  ///< Once it is over.
  bool was_reusable_ = false;       ///< At the end.
};

/** In which order the end of an answer and of an upload come. */
enum class Order : uint8_t {
  kWriteFailsFirst,   ///< A reset with the upload pending; then the read.
  kReadFailsFirst,    ///< The same, but the read gets the socket's error.
  kBothAtOnce,        ///< Part and reset are there before either is noticed.
  kResetAfterWrite,   ///< After the last byte of the upload was written.
  kResetAfterUpload,  ///< After the target received the last byte.
  kEndBeforeUpload,   ///< Orderly, with the upload pending.
  kEndAfterUpload,    ///< Orderly, after the target received the last byte.
};
constexpr std::array<const char*, 7> kOrderNames{
    "the write fails first",  "the read fails first",
    "both at once",           "reset after the last write",
    "reset after the upload", "end before the upload",
    "end after the upload"};

/** How an answer says where it ends. */
struct Framing {
  const char* name_;
  const char* header_;  ///< Complete lines.
  const char* part_;    ///< First bytes of the body.
  bool ends_early_;     ///< An orderly end before the upload is complete.
  bool ends_after_;     ///< As is one after it.
};
constexpr std::array<Framing, 10> kFramings{{
    {"no length", "", "", false, true},
    {"announced end", "Connection: close\r\n", "", true, true},
    {"announced among others", "Connection: x-a\r\nConnection: x-b, Close\r\n",
     "", true, true},
    {"kept alive", "Connection: keep-alive\r\n", "", false, true},
    {"stream", "Content-Type: text/event-stream\r\n", "data: e1\n\n", false,
     true},
    {"stream with announced end",
     "Content-Type: text/event-stream\r\nConnection: close\r\n", "data: e1\n\n",
     true, true},
    {"chunks", "Transfer-Encoding: chunked\r\n", "ffff\r\n", false, false},
    {"chunks with announced end",
     "Transfer-Encoding: chunked\r\nConnection: close\r\n", "ffff\r\n", false,
     false},
    {"length", "Content-Length: 65535\r\n", "", false, false},
    {"length with announced end",
     "Content-Length: 65535\r\nConnection: close\r\n", "", false, false},
}};

/** @return A head and a part of the body that fill one read. */
std::string PartOf(const Framing& framing) {
  std::string part = std::string("HTTP/1.1 200 OK\r\n") + framing.header_ +
                     "\r\n" + framing.part_;
  part.resize(kReadBytes, 'x');
  return part;
}

void AnswerOnce(SteppedExchange& exchange) {
  exchange.Start(kShortUpload, false);
  exchange.ReceiveWhole(kShortUpload);
  exchange.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(exchange.RunUntilEnd() == ExchangeEnd::kComplete);
  REQUIRE(exchange.Connection().IsReusable());
}

/** Resets with the upload pending. */
ExchangeEnd PlayPending(SteppedExchange& exchange, Order order,
                        const std::string& part) {
  exchange.Start(kLongUpload, order != Order::kBothAtOnce);
  exchange.Send(part);
  if (order == Order::kBothAtOnce) {
    exchange.ResetTarget();
    return exchange.RunUntilEnd();
  }
  exchange.RunUntilHead();
  exchange.ResetTarget();
  if (order == Order::kWriteFailsFirst) {
    exchange.RunReady();
  }
  exchange.Connection().SetPaused(false);
  return exchange.RunUntilEnd();
}

ExchangeEnd Play(SteppedExchange& exchange, Order order,
                 const std::string& part) {
  switch (order) {
    case Order::kWriteFailsFirst:
    case Order::kReadFailsFirst:
    case Order::kBothAtOnce:
      return PlayPending(exchange, order, part);
    case Order::kEndBeforeUpload:
      exchange.Start(kLongUpload, false);
      exchange.Send(part);
      exchange.EndTarget();
      return exchange.RunUntilEnd();
    case Order::kResetAfterWrite:
      exchange.Start(kShortUpload, false);
      exchange.Send(part);
      exchange.ResetTarget();
      return exchange.RunUntilEnd();
    case Order::kResetAfterUpload:
    case Order::kEndAfterUpload:
      exchange.Start(kShortUpload, false);
      exchange.ReceiveWhole(kShortUpload);
      exchange.Send(part);
      if (order == Order::kResetAfterUpload) {
        exchange.ResetTarget();
      } else {
        exchange.EndTarget();
      }
      return exchange.RunUntilEnd();
  }
  return ExchangeEnd::kNotConnected;
}

ExchangeEnd Expected(const Framing& framing, Order order) {
  const bool is_complete =
      (order == Order::kEndBeforeUpload && framing.ends_early_) ||
      (order == Order::kEndAfterUpload && framing.ends_after_);
  return is_complete ? ExchangeEnd::kComplete : ExchangeEnd::kBroken;
}

TEST_CASE("interrupted answer: a reset never completes one, in any order") {
  // A failing write consumed the error of a reset, so that the read saw an
  // orderly end and the part that had arrived passed for a whole answer.
  for (const Framing& framing : kFramings) {
    for (size_t order = 0; order < kOrderNames.size(); ++order) {
      for (const bool is_reused : {false, true}) {
        CAPTURE(std::string(framing.name_));
        CAPTURE(std::string(kOrderNames.at(order)));
        CAPTURE(is_reused);
        SteppedExchange exchange;
        if (is_reused) {
          AnswerOnce(exchange);
        }
        const auto played = static_cast<Order>(order);
        const ExchangeEnd end = Play(exchange, played, PartOf(framing));
        CHECK(end == Expected(framing, played));
        CHECK(exchange.Connection().IsReused() == is_reused);
        CHECK_FALSE(exchange.WasReusable());
        CHECK_FALSE(exchange.Body().empty());
      }
    }
  }
}

TEST_CASE("interrupted answer: an early one with its own end stays complete") {
  // The end of the body is in the answer itself, so a reset after it loses
  // nothing; the connection must not take another request.
  for (const char* answer :
       {"HTTP/1.1 413 No\r\nContent-Length: 2\r\n\r\nno",
        "HTTP/1.1 413 No\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nno\r\n0\r\n\r\n"}) {
    for (const bool resets : {false, true}) {
      CAPTURE(std::string(answer));
      CAPTURE(resets);
      SteppedExchange exchange;
      exchange.Start(kLongUpload, false);
      exchange.Send(answer);
      if (resets) {
        exchange.ResetTarget();
      }
      CHECK(exchange.RunUntilEnd() == ExchangeEnd::kComplete);
      CHECK(exchange.Body() == "no");
      CHECK_FALSE(exchange.WasReusable());
    }
  }
}

TEST_CASE("interrupted answer: no status outside 200 to 599 is one") {
  for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
    CAPTURE(std::string(status));
    SteppedExchange exchange;
    exchange.Start(kShortUpload, false);
    // The gateway must not take the second head for the answer either.
    exchange.Send(std::string("HTTP/1.1 ") + status +
                  " Status\r\nContent-Length: 0\r\n\r\n"
                  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK(exchange.RunUntilEnd() == ExchangeEnd::kBroken);
    CHECK(exchange.Body().empty());
    CHECK_FALSE(exchange.WasReusable());
  }
}

}  // namespace
}  // namespace gv
