/** @file caller_listener_test.cc Callers over loopback: answers, refusals, bad
 * input, callers that go away. */
#include "transport/caller_listener.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <condition_variable>
#include <thread>

#include "state/table/verdict_names.h"
#include "transport/http_reply.h"

namespace gv {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::seconds kPatience{10};
constexpr uint16_t kPort = 27395;
constexpr const char* kAddress = "127.0.0.1:27395";

/** A listener whose entry is the test. */
class Rig {
 public:
  Rig() : listener_(io_, MakeSettings(), MakeHooks()) {
    REQUIRE(listener_.Listen().has_value());
    thread_ = std::thread([this]() {
      const auto work = asio::make_work_guard(io_);
      io_.run();
    });
  }
  ~Rig() {
    listener_.StopAccepting();
    io_.stop();
    thread_.join();
  }
  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;

  /** @return The next message of type T from the listener. */
  template <class T>
  T Next() {
    std::unique_lock lock(mutex_);
    REQUIRE(arrived_.wait_for(lock, kPatience,
                              [this]() { return !messages_.empty(); }));
    const Message message = messages_.front();
    messages_.pop_front();
    REQUIRE(std::holds_alternative<T>(message));
    return std::get<T>(message);
  }

  void Answer(RequestId request, const std::string& text) {
    listener_.Deliver(CallerChunk{request, text, 1});
  }
  void End(RequestId request, bool ok, Verdict verdict = Verdict{}) {
    CallerEnd end;
    end.request_ = request;
    end.ok_ = ok;
    end.verdict_ = std::move(verdict);
    listener_.Deliver(end);
  }
  /** Ends a call of a service with its own status. */
  void EndService(RequestId request, uint32_t status, bool replayed) {
    CallerEnd end;
    end.request_ = request;
    end.ok_ = true;
    end.http_status_ = status;
    end.replayed_ = replayed;
    listener_.Deliver(end);
  }

 private:
  static CallerListenerSettings MakeSettings() {
    CallerListenerSettings settings;
    settings.address_ = kAddress;
    settings.bounds_ = CallerBounds{60_s, 3600_s};
    settings.max_body_bytes_ = 4096;
    settings.max_header_bytes_ = 1024;
    settings.idle_timeout_ = 5_s;
    settings.request_prefix_ = 7;
    return settings;
  }
  CallerHooks MakeHooks() {
    CallerHooks hooks;
    hooks.submit_ = [this](Message message) {
      const std::lock_guard lock(mutex_);
      messages_.push_back(std::move(message));
      arrived_.notify_all();
    };
    hooks.ready_ = []() { return true; };
    hooks.metrics_ = []() { return std::string("up 1\n"); };
    return hooks;
  }

  std::mutex mutex_;                 ///< Guards messages_.
  std::condition_variable arrived_;  ///< Signals messages_.
  std::deque<Message> messages_;     ///< From the listener.
  asio::io_context io_;              ///< Runs the listener.
  CallerListener listener_;          ///< Under test.
  std::thread thread_;               ///< Runs io_.
};

/** A caller's connection. */
class Caller {
 public:
  Caller() : socket_(io_) {
    socket_.connect({asio::ip::make_address("127.0.0.1"), kPort});
  }
  void Send(const std::string& text) {
    asio::write(socket_, asio::buffer(text));
  }
  /** @return All that comes until the listener closes the connection. */
  std::string ReadAll() {
    std::string text;
    boost::system::error_code error;
    asio::read(socket_, asio::dynamic_buffer(text), error);
    return text;
  }
  void Leave() { socket_.close(); }

 private:
  asio::io_context io_;           ///< Blocking use only.
  asio::ip::tcp::socket socket_;  ///< The connection.
};

std::string Post(const std::string& path, const std::string& body,
                 const std::string& headers, bool last = true) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n" + headers +
         (last ? "Connection: close\r\n" : "") +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Prompt(bool stream) {
  return std::string(R"({"model":"bench","stream":)") +
         (stream ? "true" : "false") +
         R"(,"messages":[{"role":"user","content":"glaze note"}]})";
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("caller: a whole answer and a refusal carry their verdicts") {
  Rig rig;
  Caller whole;
  whole.Send(
      Post("/v1/chat/completions", Prompt(false), "X-Deadline-Ms: 1500\r\n"));
  const auto request = rig.Next<CallerRequest>();
  CHECK(request.time_left_ == 1500_ms);
  CHECK(request.spec_.model_ == ModelId("bench"));
  CHECK(request.spec_.body_ == "glaze note");
  CHECK(request.api_key_hash_.size() == 64);
  rig.Answer(request.spec_.request_, "blue ");
  rig.Answer(request.spec_.request_, "celadon");
  rig.End(request.spec_.request_, true);
  const std::string answer = whole.ReadAll();
  CHECK(Has(answer, "HTTP/1.1 200"));
  CHECK(Has(answer, "X-Gooseberryvale-Verdict: ran"));
  CHECK(Has(answer, R"("content":"blue celadon")"));

  Caller refused;
  refused.Send(Post("/v1/chat/completions", Prompt(true), ""));
  Verdict verdict =
      NotRun(Reason::kLimitReached, "team carvers: the limit is used");
  verdict.retry_after_ = 1500_ms;
  rig.End(rig.Next<CallerRequest>().spec_.request_, false, verdict);
  const std::string refusal = refused.ReadAll();
  CHECK(Has(refusal, "HTTP/1.1 429"));
  CHECK(Has(refusal, "X-Gooseberryvale-Verdict: not-run"));
  CHECK(Has(refusal, "X-Gooseberryvale-Reason: limit-reached"));
  CHECK(Has(refusal, "Retry-After: 2"));
}

TEST_CASE("caller: a call that may have run got a status that denies it") {
  constexpr std::array<unsigned, 4> kDenials{408, 421, 429, 503};
  for (const auto& reason : kReasonNames) {
    const unsigned refused =
        MakeVerdictReply(NotRun(reason.value_, ""), RequestId()).result_int();
    const bool denies = std::ranges::find(kDenials, refused) != kDenials.end();
    for (const RunState state : {RunState::kRan, RunState::kMayHaveRun}) {
      CAPTURE(reason.name_);
      const Verdict verdict{state, reason.value_, "", Duration()};
      const HttpReply reply = MakeVerdictReply(verdict, RequestId());
      CHECK(reply.result_int() == (denies ? 502 : refused));
      CHECK(reply["X-Gooseberryvale-Reason"] == reason.name_);
      CHECK(reply["X-Gooseberryvale-Verdict"] != "not-run");
    }
  }
  CHECK(
      MakeVerdictReply(NotRun(Reason::kFenced, ""), RequestId()).result_int() ==
      503);
  CHECK(MakeVerdictReply(MayHaveRun(Reason::kDeadline, ""), RequestId())
            .result_int() == 504);
}

TEST_CASE("caller: a service's own 503 denied that the service ran the call") {
  Rig rig;
  for (const unsigned status : {408U, 421U, 429U, 503U, 500U, 409U, 201U}) {
    for (const bool replayed : {false, true}) {
      CAPTURE(status);
      CAPTURE(replayed);
      Caller caller;
      caller.Send(Post("/services/shop/deposit", "{}",
                       "Idempotency-Key: deposit-1\r\n"));
      const RequestId id = rig.Next<CallerRequest>().spec_.request_;
      rig.Answer(id, "the till is jammed");
      rig.EndService(id, status, replayed);
      const std::string answer = caller.ReadAll();
      const bool denies =
          status == 408 || status == 421 || status == 429 || status == 503;
      const std::string own = std::to_string(status);
      CHECK(Has(answer, "HTTP/1.1 " + (denies ? "502" : own) + " "));
      CHECK(Has(answer, "X-Gooseberryvale-Target-Status: " + own) == denies);
      CHECK(Has(answer, "X-Gooseberryvale-Verdict: ran"));
      CHECK(Has(answer, "X-Gooseberryvale-Replayed: true") == replayed);
      CHECK(Has(answer, "the till is jammed"));
    }
  }
}

TEST_CASE("caller: only a whole stream ends with its end mark") {
  Rig rig;
  for (const bool ok : {true, false}) {
    Caller caller;
    caller.Send(Post("/v1/chat/completions", Prompt(true), ""));
    const RequestId id = rig.Next<CallerRequest>().spec_.request_;
    rig.Answer(id, "blue");
    rig.End(id, ok, MayHaveRun(Reason::kTargetFailed, "engine-1 died"));
    const std::string answer = caller.ReadAll();
    CHECK(Has(answer, R"("content":"blue")"));
    CHECK(Has(answer, "data: [DONE]") == ok);
    CHECK(Has(answer, R"("verdict":"may-have-run")") != ok);
  }
}

TEST_CASE("caller: a caller that goes away is reported") {
  Rig rig;
  Caller caller;
  caller.Send(Post("/v1/chat/completions", Prompt(true), ""));
  const RequestId id = rig.Next<CallerRequest>().spec_.request_;
  caller.Leave();
  CHECK(rig.Next<CallerGone>().request_ == id);
}

TEST_CASE("caller: pipelined requests get their own answers in order") {
  Rig rig;
  Caller caller;
  caller.Send(Post("/v1/chat/completions", Prompt(false), "", false) +
              Post("/v1/chat/completions", Prompt(false), ""));
  for (const char* text : {"first", "second"}) {
    const RequestId id = rig.Next<CallerRequest>().spec_.request_;
    rig.Answer(id, text);
    rig.End(id, true);
  }
  const std::string answer = caller.ReadAll();
  const size_t first = answer.find("first");
  const size_t second = answer.find("second");
  REQUIRE(first != std::string::npos);
  REQUIRE(second != std::string::npos);
  CHECK(first < second);
}

/** One bad request and what its answer must contain. */
struct BadCase {
  std::string sent_;    ///< Bytes of the caller.
  std::string status_;  ///< Status in the answer.
  std::string detail_;  ///< Part of the message.
};

TEST_CASE("caller: bad input gets a clear answer and never reaches the entry") {
  Rig rig;
  const std::string completions = "/v1/chat/completions";
  const std::vector<BadCase> cases{
      {"nonsense\r\n\r\n", " 400 ", "request"},
      {Post(completions, "{", ""), " 400 ", "no JSON object"},
      {Post(completions, R"({"model":"m","messages":[]})", ""), " 400 ",
       "messages"},
      {Post(completions, R"({"model":"m","messages":[3]})", ""), " 400 ",
       "content"},
      {Post(completions, Prompt(false), "X-Priority: soon\r\n"), " 400 ",
       "X-Priority"},
      {Post(completions, Prompt(false), "X-Deadline-Ms: -3\r\n"), " 400 ",
       "X-Deadline-Ms"},
      {Post("/services/shop/deposit", "{}", ""), " 400 ", "Idempotency-Key"},
      {Post("/nowhere", "{}", ""), " 400 ", "/nowhere"},
      {Post(completions, std::string(5000, 'x'), ""), " 413 ", "body limit"},
      {Post(completions, "{}", "X-Long: " + std::string(3000, 'x') + "\r\n"),
       " 431 ", "header limit"},
      {"POST /v1/chat/completions HTTP/1.1\r\nConnection: "
       "close\r\nContent-Length: 0\r\n\r\n",
       " 401 ", "Authorization"},
  };
  for (const BadCase& bad : cases) {
    CAPTURE(bad.sent_);
    Caller caller;
    caller.Send(bad.sent_);
    const std::string answer = caller.ReadAll();
    CHECK(Has(answer.substr(0, 16), bad.status_));
    CHECK(Has(answer, "X-Gooseberryvale-Verdict: not-run"));
    CHECK(Has(answer, bad.detail_));
  }
  Caller good;
  good.Send(Post(completions, Prompt(false), ""));
  rig.End(rig.Next<CallerRequest>().spec_.request_, true);
  CHECK(Has(good.ReadAll(), "HTTP/1.1 200"));
}

}  // namespace
}  // namespace gv
