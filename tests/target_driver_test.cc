/** @file target_driver_test.cc The target driver against the stand-ins over
 * loopback. */
#include "transport/target_driver.h"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <optional>
#include <vector>

#include "standin/engine_standin.h"
#include "standin/service_standin.h"
#include "standin/standin_answer.h"
#include "state/table/verdict_names.h"

namespace gv {
namespace {

using standin::Fault;

constexpr std::chrono::seconds kBound(5);  // Of each wait.

/** Runs a driver and a stand-in on one io_context in the test's thread. */
struct Bench {
  std::string Address(uint16_t port) const {
    return "127.0.0.1:" + std::to_string(port);
  }
  void Connect(uint16_t port, TargetKind kind) {
    driver_.emplace(
        io_, TargetDriverSettings{Address(port), kind, 300_ms},
        [this](Message message) { seen_.push_back(std::move(message)); });
  }
  /** Runs until a message of type T has arrived; each is returned once. */
  template <class T>
  T Await() {
    const auto end = std::chrono::steady_clock::now() + kBound;
    while (std::chrono::steady_clock::now() < end) {
      for (; next_ < seen_.size(); ++next_) {
        if (const T* found = std::get_if<T>(&seen_[next_])) {
          ++next_;
          return *found;
        }
      }
      io_.run_one_for(std::chrono::milliseconds(20));
    }
    FAIL("no " << MessageName(Message(T{})));
    return T{};
  }
  std::string Text() const {
    std::string text;
    for (const Message& message : seen_) {
      if (const auto* chunk = std::get_if<TargetChunk>(&message)) {
        text += chunk->text_;
      }
    }
    return text;
  }
  boost::asio::io_context io_;
  std::vector<Message> seen_;
  size_t next_ = 0;
  std::optional<TargetDriver> driver_;
};

standin::EngineSettings FastEngine() {
  standin::EngineSettings settings;
  settings.memory_tokens_ = 10'000;
  settings.prefill_tokens_per_second_ = 1'000'000;
  settings.decode_tokens_per_second_ = 10'000;
  settings.stream_tokens_per_second_ = 10'000;
  settings.cache_lag_ms_ = 0;
  return settings;
}

TargetCall EngineCall(uint64_t request, const std::string& prompt) {
  TargetCall call;
  call.token_ = FencingToken(7);
  call.dispatch_.spec_.request_ = RequestId(request);
  call.dispatch_.spec_.prompt_tokens_ = 100;
  call.dispatch_.spec_.max_output_tokens_ = 40;
  call.dispatch_.spec_.prefix_hashes_ = {UINT64_MAX, 5};
  call.dispatch_.spec_.body_ = prompt;
  call.dispatch_.attempt_ = AttemptNumber(1);
  call.dispatch_.time_left_ = 3_s;
  return call;
}

TargetCall ServiceCall(uint64_t request, const std::string& key) {
  TargetCall call = EngineCall(request, "{\"amount\":5}");
  call.dispatch_.spec_.kind_ = TargetKind::kService;
  call.dispatch_.spec_.path_ = "/deposits";
  call.dispatch_.spec_.key_ = IdempotencyKey(key);
  call.dispatch_.spec_.idempotent_ = false;
  return call;
}

TEST_CASE("target driver: an engine's answer arrives whole and resumes") {
  Bench bench;
  standin::EngineStandin engine(bench.io_, FastEngine(), {});
  bench.Connect(engine.Port(), TargetKind::kEngine);
  bench.driver_->Submit(EngineCall(1, "a glaze note"));
  const auto end = bench.Await<TargetEnd>();
  CHECK(end.ok_);
  const std::string whole = standin::WholeAnswer("a glaze note", 40);
  CHECK(bench.Text() == whole);

  TargetCall resumed = EngineCall(2, "a glaze note");
  resumed.dispatch_.resume_after_ = 3;
  bench.driver_->Submit(resumed);
  bench.seen_.clear();
  bench.next_ = 0;
  CHECK(bench.Await<TargetEnd>().ok_);
  CHECK(whole.ends_with(bench.Text()));
  CHECK(bench.Text().starts_with("w3-"));
}

TEST_CASE("target driver: status, release, reservation and pause") {
  Bench bench;
  standin::EngineStandin engine(bench.io_, FastEngine(), {});
  bench.Connect(engine.Port(), TargetKind::kEngine);
  bench.driver_->Submit(TargetReserve{"group.9", 8'000, FencingToken(7)});
  CHECK(bench.Await<TargetReserved>().held_);
  bench.driver_->Submit(TargetReserve{"group.10", 8'000, FencingToken(7)});
  CHECK_FALSE(bench.Await<TargetReserved>().held_);
  bench.driver_->Submit(TargetProbe{3});
  const auto status = bench.Await<TargetStatus>();
  CHECK(status.reachable_);
  CHECK(status.sequence_ == 3);
  CHECK(status.target_start_ == 1);
  REQUIRE(status.held_.size() == 1);
  CHECK(status.held_[0].name_ == "group.9");
  CHECK(status.held_[0].tokens_ == 8'000);
  bench.driver_->Submit(TargetRelease{"group.9", FencingToken(7)});
  bench.driver_->Submit(EngineCall(4, "prompt"));
  CHECK(bench.Await<TargetEnd>().ok_);
  bench.driver_->Submit(TargetProbe{4});
  const auto later = bench.Await<TargetStatus>();
  CHECK(later.held_.empty());
  REQUIRE(later.cache_.changes_.size() == 2);
  CHECK(later.cache_.changes_[0].prefix_hash_ == UINT64_MAX);
}

TEST_CASE("target driver: what broke decides the verdict") {
  Bench bench;
  standin::ServiceStandin service(bench.io_, {});
  bench.Connect(service.Port(), TargetKind::kService);

  service.SetFault(Fault::kDropAfter, 1);
  bench.driver_->Submit(ServiceCall(1, "deposit-1"));
  auto end = bench.Await<TargetEnd>();
  CHECK_FALSE(end.ok_);
  CHECK(end.verdict_.run_state_ == RunState::kMayHaveRun);
  CHECK(service.Executions("deposit-1") == 1);

  service.SetFault(Fault::kDropBefore, 1);
  bench.driver_->Submit(ServiceCall(2, "deposit-2"));
  end = bench.Await<TargetEnd>();
  CHECK(end.verdict_.run_state_ == RunState::kMayHaveRun);
  CHECK(service.Executions("deposit-2") == 0);

  service.SetFault(Fault::kHang, 1);
  TargetCall hanging = ServiceCall(3, "deposit-3");
  hanging.dispatch_.time_left_ = 100_ms;
  bench.driver_->Submit(hanging);
  end = bench.Await<TargetEnd>();
  CHECK(end.verdict_.run_state_ == RunState::kMayHaveRun);
  CHECK(end.verdict_.reason_ == Reason::kDeadline);

  service.SetFault(Fault::kTwice, 1);
  bench.driver_->Submit(ServiceCall(4, "deposit-4"));
  end = bench.Await<TargetEnd>();
  CHECK(end.ok_);
  CHECK(end.http_status_ == 200);
  CHECK(service.Executions("deposit-4") == 1);
}

TEST_CASE("target driver: an unreachable target did not run anything") {
  Bench bench;
  uint16_t port = 0;
  {
    boost::asio::io_context other;
    port = standin::ServiceStandin(other, {}).Port();
  }
  bench.Connect(port, TargetKind::kService);
  bench.driver_->Submit(ServiceCall(1, "deposit"));
  const auto end = bench.Await<TargetEnd>();
  CHECK_FALSE(end.ok_);
  CHECK(end.verdict_.run_state_ == RunState::kNotRun);
  bench.driver_->Submit(TargetProbe{1});
  CHECK_FALSE(bench.Await<TargetStatus>().reachable_);
}

TEST_CASE("target driver: an engine's faults end with a verdict") {
  Bench bench;
  standin::EngineFront front;
  front.checks_fencing_ = true;
  standin::EngineStandin engine(bench.io_, FastEngine(), front);
  bench.Connect(engine.Port(), TargetKind::kEngine);

  engine.SetFault(Fault::kDropAfter, 1);
  bench.driver_->Submit(EngineCall(1, "prompt"));
  auto end = bench.Await<TargetEnd>();
  CHECK_FALSE(end.ok_);
  CHECK(end.verdict_.run_state_ == RunState::kMayHaveRun);

  TargetCall old = EngineCall(2, "prompt");
  old.token_ = FencingToken(6);
  bench.driver_->Submit(old);
  end = bench.Await<TargetEnd>();
  CHECK(end.verdict_.run_state_ == RunState::kNotRun);
  CHECK(end.verdict_.reason_ == Reason::kFenced);

  engine.SetFault(Fault::kTwice, 1);
  bench.seen_.clear();
  bench.next_ = 0;
  bench.driver_->Submit(EngineCall(3, "prompt"));
  CHECK(bench.Await<TargetEnd>().ok_);
  CHECK(bench.Text() == standin::WholeAnswer("prompt", 40));

  TargetCall large = EngineCall(4, "prompt");
  large.dispatch_.spec_.prompt_tokens_ = 20'000;
  bench.driver_->Submit(large);
  end = bench.Await<TargetEnd>();
  CHECK(end.verdict_.run_state_ == RunState::kNotRun);
  CHECK(end.verdict_.reason_ == Reason::kOverloaded);
}

/** How a raw target behaves on its one connection. */
struct RawCase {
  std::string name_;       ///< For people.
  size_t body_bytes_ = 0;  ///< Of the call.
  size_t reads_ = 0;       ///< Bytes that the target reads at least.
  std::string answer_;     ///< What it writes then.
  bool closes_ = true;     ///< It closes then; else it holds the connection.
  RunState state_;         ///< The verdict of the call.
  Reason reason_;          ///< Its reason.
  Reason of_engine_ = reason_;  ///< The reason at an engine.
};

/** Accepts one connection and behaves as told. */
class RawTarget {
 public:
  RawTarget(boost::asio::io_context& io, const RawCase& how)
      : how_(how),
        acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        socket_(io) {
    boost::asio::co_spawn(io, Run(), boost::asio::detached);
  }
  uint16_t Port() const { return acceptor_.local_endpoint().port(); }

 private:
  boost::asio::awaitable<void> Run() {
    using boost::asio::use_awaitable;
    co_await acceptor_.async_accept(socket_, use_awaitable);
    std::string part(1024, ' ');
    for (size_t read = 0; read < how_.reads_;) {
      read += co_await socket_.async_read_some(boost::asio::buffer(part),
                                               use_awaitable);
    }
    co_await boost::asio::async_write(
        socket_, boost::asio::buffer(how_.answer_), use_awaitable);
    if (how_.closes_) {
      socket_.close();
    }
  }

  const RawCase& how_;                       ///< Outlives the target.
  boost::asio::ip::tcp::acceptor acceptor_;  ///< Listens.
  boost::asio::ip::tcp::socket socket_;      ///< The one connection.
};

TEST_CASE("target driver: only a whole refusal shows that a call did not run") {
  constexpr size_t kLarge = 32UL << 20;  // More than the kernel takes unread.
  const std::string head =
      "HTTP/1.1 503 Busy\r\nX-Gooseberryvale-Verdict: not-run\r\n"
      "X-Gooseberryvale-Reason: overloaded\r\n";
  const std::string whole = head + "Content-Length: 4\r\n\r\nbusy";
  const std::string cut = head + "Content-Length: 9\r\n\r\nbusy";
  const std::string cut_chunk =
      head + "Transfer-Encoding: chunked\r\n\r\n9\r\nbusy";
  using enum RunState;
  using enum Reason;
  const std::vector<RawCase> cases{
      {"refused", 10, 1, whole, true, kNotRun, kOverloaded},
      {"refused, held open", 10, 1, whole, false, kNotRun, kOverloaded},
      {"refused at once", 10, 0, whole, false, kNotRun, kOverloaded},
      {"refusal cut off", 10, 1, cut, true, kMayHaveRun, kConnectionLost,
       kTargetFailed},
      {"refusal held back", 10, 1, cut, false, kMayHaveRun, kDeadline,
       kTargetFailed},
      {"chunk cut off", 10, 1, cut_chunk, true, kMayHaveRun, kConnectionLost,
       kTargetFailed},
      {"head cut off", 10, 1, head, true, kMayHaveRun, kConnectionLost},
      {"head held back", 10, 1, head, false, kMayHaveRun, kDeadline},
      {"closed unread", 10, 0, "", true, kMayHaveRun, kConnectionLost},
      {"closed in the body", kLarge, 5000, "", true, kMayHaveRun,
       kConnectionLost},
      {"held in the body", kLarge, 5000, "", false, kMayHaveRun, kDeadline},
      {"refused in the body, held", kLarge, 5000, whole, false, kMayHaveRun,
       kDeadline},
  };
  for (const TargetKind kind : {TargetKind::kService, TargetKind::kEngine}) {
    for (const RawCase& how : cases) {
      CAPTURE(how.name_);
      Bench bench;
      const RawTarget target(bench.io_, how);
      bench.Connect(target.Port(), kind);
      TargetCall call = kind == TargetKind::kService
                            ? ServiceCall(1, "deposit-1")
                            : EngineCall(1, "");
      call.dispatch_.spec_.body_ = std::string(how.body_bytes_, 'x');
      call.dispatch_.time_left_ = 400_ms;
      bench.driver_->Submit(call);
      const auto end = bench.Await<TargetEnd>();
      CHECK_FALSE(end.ok_);
      CHECK(NameOf(kRunStateNames, end.verdict_.run_state_) ==
            NameOf(kRunStateNames, how.state_));
      const Reason reason =
          kind == TargetKind::kService ? how.reason_ : how.of_engine_;
      CHECK(NameOf(kReasonNames, end.verdict_.reason_) ==
            NameOf(kReasonNames, reason));
    }
  }
}

}  // namespace
}  // namespace gv
