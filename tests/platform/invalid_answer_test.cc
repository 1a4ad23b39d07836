/** @file invalid_answer_test.cc Answers of targets that are not valid answers,
 * over the whole path of a gateway: what the caller gets instead. */
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "platform/gateway_rig.h"
#include "platform/path_requests.h"

namespace gv {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/** For the gateway to read a part and to go on writing. */
constexpr std::chrono::milliseconds kPartRead{100};
/** More than the send and receive buffers of a connection hold. */
constexpr size_t kLongUpload = 16UL << 20;
constexpr int kReceiveBuffer = 4096;
constexpr std::array<const char*, 6> kInvalidStatuses{"000", "001", "099",
                                                      "101", "600", "999"};

/** Listens with a small receive buffer, so that long uploads stay pending. */
tcp::acceptor Listen(asio::io_context& io) {
  tcp::acceptor acceptor(io);
  acceptor.open(tcp::v4());
  acceptor.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
  acceptor.bind({asio::ip::address_v4::loopback(), 0});
  acceptor.listen();
  return acceptor;
}

/** A target that reads the head of a request only, answers and resets. The
 * first answer is a part of one without a length; those after it are whole and
 * have a length. Thread safety: one thread of its own. */
class EarlyTarget {
 public:
  /** @param header Complete lines. @param asked Counts the requests, also those
   * at other targets. */
  EarlyTarget(std::string header, std::string part, std::atomic<int>& asked)
      : acceptor_(Listen(io_)),
        address_("127.0.0.1:" +
                 std::to_string(acceptor_.local_endpoint().port())),
        header_(std::move(header)),
        part_(std::move(part)),
        asked_(asked),
        runner_([this]() { Run(); }) {}
  ~EarlyTarget() {
    stopping_ = true;
    tcp::socket wake(io_);
    error_code ignored;
    wake.connect(acceptor_.local_endpoint(), ignored);
    runner_.join();
  }
  EarlyTarget(const EarlyTarget&) = delete;
  EarlyTarget& operator=(const EarlyTarget&) = delete;

  const std::string& Address() const { return address_; }

 private:
  void Run() {
    while (!stopping_) {
      tcp::socket socket(io_);
      error_code error;
      acceptor_.accept(socket, error);
      if (!error && !stopping_) {
        Serve(socket);
      }
    }
  }

  void Serve(tcp::socket& socket) {
    std::string input;
    error_code error;
    const size_t head = asio::read_until(socket, asio::dynamic_buffer(input),
                                         "\r\n\r\n", error);
    if (error) {
      return;
    }
    TargetRequest request;
    request.head_ = input.substr(0, head);
    asio::write(socket, asio::buffer(AnswerTo(request)), error);
    std::this_thread::sleep_for(kPartRead);
    socket.set_option(asio::socket_base::linger(true, 0), error);
    socket.close(error);
  }

  std::string AnswerTo(const TargetRequest& request) {
    if (++asked_ > 1) {
      return Answer(request, 200, kSigned);
    }
    return "HTTP/1.1 200 OK\r\nGooseberryvale-Attempt-Id: " +
           request.Header("Gooseberryvale-Attempt-Id") + "\r\n" + kSigned +
           header_ + "\r\n" + part_;
  }

  asio::io_context io_;  ///< For blocking calls.
  tcp::acceptor acceptor_;
  std::string address_;
  std::string header_;
  std::string part_;
  std::atomic<int>& asked_;  ///< Requests of the test.
  std::atomic<bool> stopping_ = false;
  std::thread runner_;
};

std::string LongUploadsAllowed() {
  std::string text = kConfiguration;
  const std::string usual = R"("maxBodyBytes":65536)";
  return text.replace(text.find(usual), usual.size(),
                      R"("maxBodyBytes":33554432)");
}

std::string LongRequest(const std::string& path, const std::string& more = "") {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nGooseberryvale-Attempt-Id: a1\r\n"
         "Gooseberryvale-Deadline-Ms: 9000\r\nX-Api-Key: k1\r\n"
         "Connection: close\r\n" +
         more + "Content-Length: " + std::to_string(kLongUpload) + "\r\n\r\n" +
         std::string(kLongUpload, 'u');
}

TEST_CASE("invalid answer: a part of one during an upload gets 502") {
  // The caller got the part as a whole answer of status 200.
  for (const char* header : {"", "Connection: close\r\n"}) {
    CAPTURE(std::string(header));
    std::atomic<int> asked = 0;
    EarlyTarget target(header, "half of it", asked);
    GatewayRig rig(LongUploadsAllowed());
    rig.Register("i-1", "shop", target.Address());
    const std::string answer = rig.Ask(LongRequest("/pay/x"));
    CHECK(Begins(answer, "HTTP/1.1 502"));
    CHECK(answer.find("half of it") == std::string::npos);
    CHECK(asked == 1);
  }
}

TEST_CASE("invalid answer: a part of one is tried again on a safe route") {
  // The second answer has a length, so that it is whole before the reset.
  for (const char* header : {"", "Connection: close\r\n"}) {
    CAPTURE(std::string(header));
    std::atomic<int> asked = 0;
    EarlyTarget first(header, "half of it", asked);
    EarlyTarget second(header, "half of it", asked);
    GatewayRig rig(LongUploadsAllowed());
    rig.Register("i-1", "shop", first.Address());
    rig.Register("i-2", "shop", second.Address());
    const std::string answer = rig.Ask(LongRequest("/look/x"));
    CAPTURE(answer);
    CAPTURE(asked.load());
    CHECK(Begins(answer, "HTTP/1.1 200"));
    CHECK(answer.find("own bytes") != std::string::npos);
    CHECK(answer.find("half of it") == std::string::npos);
    CHECK(asked == 2);
  }
}

TEST_CASE("invalid answer: a stream during an upload is not complete") {
  // The end of the chunks told the caller that its stream was whole.
  for (const char* more : {"", "Connection: close\r\n"}) {
    CAPTURE(std::string(more));
    std::atomic<int> asked = 0;
    EarlyTarget target(
        std::string("Content-Type: text/event-stream\r\n") + more,
        "id: 1\ndata: e1\n\n", asked);
    GatewayRig rig(LongUploadsAllowed());
    rig.Register("i-1", "model", target.Address());
    const std::string answer = rig.Ask(
        LongRequest("/read/x", "Gooseberryvale-Token-Usage: 4000,400\r\n"));
    CHECK(asked >= 1);
    CHECK(answer.find("data: e1") != std::string::npos);
    CHECK(answer.find("0\r\n\r\n") == std::string::npos);
  }
}

/** @return A head with @p status as it stands, and a valid answer after it. */
std::string InvalidAnswer(const TargetRequest& request,
                          const std::string& status) {
  return "HTTP/1.1 " + status + " Status\r\nGooseberryvale-Attempt-Id: " +
         request.Header("Gooseberryvale-Attempt-Id") + "\r\n" + kSigned +
         "Content-Length: 0\r\n\r\n" + Answer(request, 200, kSigned);
}

TEST_CASE("invalid answer: a status that HTTP does not allow gets 502") {
  // 46 of 60 callers got a status of 000 as an answer.
  for (const char* status : kInvalidStatuses) {
    CAPTURE(std::string(status));
    ScriptedTarget target([&](const TargetRequest& request, TargetLine& line) {
      line.Send(InvalidAnswer(request, status));
    });
    GatewayRig rig(kConfiguration);
    rig.Register("i-1", "shop", target.Address());
    const std::string answer = rig.Ask(Request("/pay/x"));
    CHECK(Begins(answer, "HTTP/1.1 502"));
    CHECK(answer.find("own bytes") == std::string::npos);
    CHECK(target.Requests().size() == 1);
  }
}

TEST_CASE("invalid answer: such a status is tried again on a safe route") {
  for (const char* status : kInvalidStatuses) {
    CAPTURE(std::string(status));
    std::atomic<int> asked = 0;
    const auto script = [&](const TargetRequest& request, TargetLine& line) {
      line.Send(++asked == 1 ? InvalidAnswer(request, status)
                             : Answer(request, 200, kSigned));
    };
    ScriptedTarget first(script);
    ScriptedTarget second(script);
    GatewayRig rig(kConfiguration);
    rig.Register("i-1", "shop", first.Address());
    rig.Register("i-2", "shop", second.Address());
    const std::string answer = rig.Ask(Request("/look/x"));
    CHECK(Begins(answer, "HTTP/1.1 200"));
    CHECK(answer.find("own bytes") != std::string::npos);
    CHECK(first.Requests().size() == 1);
    CHECK(second.Requests().size() == 1);
  }
}

TEST_CASE("invalid answer: statuses from 200 to 599 pass") {
  std::atomic<int> status = 0;
  ScriptedTarget target([&](const TargetRequest& request, TargetLine& line) {
    line.Send(Answer(request, status, kSigned));
  });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", target.Address());
  for (const int passed : {200, 201, 299, 300, 399, 400, 404, 499}) {
    CAPTURE(passed);
    status = passed;
    CHECK(Begins(rig.Ask(Request("/pay/x")),
                 "HTTP/1.1 " + std::to_string(passed)));
  }
}

TEST_CASE("invalid answer: so do the statuses of errors of a target") {
  for (const int passed : {500, 502, 504, 598, 599}) {
    CAPTURE(passed);
    ScriptedTarget target([&](const TargetRequest& request, TargetLine& line) {
      line.Send(Answer(request, passed, kSigned));
    });
    GatewayRig rig(kConfiguration);
    rig.Register("i-1", "shop", target.Address());
    CHECK(Begins(rig.Ask(Request("/pay/x")),
                 "HTTP/1.1 " + std::to_string(passed)));
  }
}

}  // namespace
}  // namespace gv
