/** @file refused_and_run_test.cc Callers must not be told that a request has
 * not run while a target works on it, over the whole path of a gateway. */
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <functional>

#include "platform/caller_answer.h"
#include "platform/path_requests.h"

namespace gv {
namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr const char* kAttemptHeader = "Gooseberryvale-Attempt-Id";

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  for (size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

std::string RequestOf(const std::string& path, const std::string& id,
                      const std::string& more = "") {
  return Replaced(Request(path, more), "Id: a1", "Id: " + id);
}

/** A target runs the request and answers with a status of its own. */
void CheckOwnStatus(int status) {
  for (const bool is_signed : {true, false}) {
    CAPTURE(is_signed);
    ScriptedTarget shop([&](const TargetRequest& request, TargetLine& line) {
      line.Send(Answer(request, status, is_signed ? kSigned : ""));
    });
    GatewayRig rig(kConfiguration);
    rig.Register("i-1", "shop", shop.Address());
    const CallerAnswer answer = AskWhole(rig, Request("/pay/x"));
    CHECK(answer.is_one_);
    CHECK(answer.status_ == 502);
    CHECK_FALSE(answer.is_signed_);
    CHECK(shop.Requests().size() == 1);
  }
}

TEST_CASE("refused and run: a target's own 503") { CheckOwnStatus(503); }

TEST_CASE("refused and run: a target's own 429") { CheckOwnStatus(429); }

TEST_CASE("refused and run: a target's own 408") { CheckOwnStatus(408); }

/** When the copy of a refusal comes. */
enum class Copy : uint8_t { kAtOnce, kSoon, kAfterNextRequest };

/** Turns the first request away, registers anew meanwhile so that the second
 * attempt gets to the same address, and repeats the refusal. */
class TwiceRefusing {
 public:
  TwiceRefusing(int status, Copy copy) : status_(status), copy_(copy) {}

  void Serve(const TargetRequest& request, TargetLine& line,
             const std::function<void()>& register_anew) {
    const std::scoped_lock lock(mutex_);
    if (++asked_ > 1) {
      RunIt(request, line);
      return;
    }
    first_ = request.connection_;
    refusal_ = Answer(request, status_, status_ == 421 ? "" : kNotRunHeader);
    register_anew();
    line.Send(copy_ == Copy::kAtOnce ? refusal_ + refusal_ : refusal_);
    if (copy_ == Copy::kSoon) {
      std::this_thread::sleep_for(Milliseconds(5));
      line.Send(refusal_);
    }
  }

  int Asked() const { return asked_; }
  bool SharesConnection() const { return shares_connection_; }

 private:
  void RunIt(const TargetRequest& request, TargetLine& line) {
    shares_connection_ = request.connection_ == first_;
    if (copy_ == Copy::kAfterNextRequest && shares_connection_) {
      line.Send(refusal_);
    }
    std::this_thread::sleep_for(Milliseconds(100));
    line.Send(Answer(request, 200, kSigned));
  }

  const int status_;  ///< Of the refusal.
  const Copy copy_;
  std::mutex mutex_;            ///< Guards the members without atomics.
  std::string refusal_;         ///< To the first attempt.
  uint64_t first_ = 0;          ///< Connection of the first attempt.
  std::atomic<int> asked_ = 0;  ///< Attempts; all but the first run.
  std::atomic<bool> shares_connection_ = false;  ///< Of the first two.
};

void CheckSecondCopy(int status, Copy copy) {
  GatewayRig rig(
      Replaced(kConfiguration, "\"maxAttempts\":1", "\"maxAttempts\":2"));
  TwiceRefusing script(status, copy);
  ScriptedTarget shop([&](const TargetRequest& request, TargetLine& line) {
    script.Serve(request, line,
                 [&]() { rig.Register("i-2", "shop", shop.Address()); });
  });
  rig.Register("i-1", "shop", shop.Address());
  const CallerAnswer answer = AskWhole(rig, Request("/pay/x"));
  shop.Crash();
  CAPTURE(script.SharesConnection());
  CAPTURE(answer.status_);
  CHECK(answer.is_one_);
  CHECK(script.Asked() == 2);
  CHECK(answer.status_ == 200);
}

TEST_CASE(
    "refused and run: a second copy of a refusal on the same connection") {
  for (const int status : {421, 503}) {
    for (const Copy copy :
         {Copy::kAtOnce, Copy::kSoon, Copy::kAfterNextRequest}) {
      CAPTURE(status);
      CAPTURE(static_cast<int>(copy));
      CheckSecondCopy(status, copy);
    }
  }
}

TEST_CASE("refused and run: a second copy and the same id, or none, again") {
  for (const char* id : {"a1", ""}) {
    CAPTURE(id);
    std::atomic<int> asked = 0;
    ScriptedTarget shop([&](const TargetRequest& request, TargetLine& line) {
      const std::string refusal = Answer(request, 503, kNotRunHeader);
      if (++asked == 1) {
        line.Send(refusal);
        std::this_thread::sleep_for(Milliseconds(5));
        line.Send(refusal);
        return;
      }
      std::this_thread::sleep_for(Milliseconds(100));
      line.Send(Answer(request, 200, kSigned));
    });
    GatewayRig rig(kConfiguration);
    rig.Register("i-1", "shop", shop.Address());
    CHECK(AskWhole(rig, RequestOf("/pay/x", id)).status_ == 503);
    CHECK(AskWhole(rig, RequestOf("/pay/x", id)).status_ == 200);
  }
}

TEST_CASE("refused and run: a kept failure ends the attempt that is open") {
  std::atomic<int> asked = 0;
  std::atomic<bool> closed = false;
  const auto script = [&](const TargetRequest& request, TargetLine& line) {
    if (++asked == 1) {
      line.Send(Answer(request, 500, kSigned));
      return;
    }
    closed = line.PeerClosesWithin(std::chrono::seconds(10));
  };
  ScriptedTarget one(script);
  ScriptedTarget two(script);
  GatewayRig rig(
      Replaced(kConfiguration, "\"timeoutMs\":3000", "\"timeoutMs\":600"));
  rig.Register("i-1", "shop", one.Address());
  rig.Register("i-2", "shop", two.Address());
  CHECK(AskWhole(rig, Request("/look/x")).status_ == 500);
  std::this_thread::sleep_for(Milliseconds(500));
  CHECK(asked == 2);
  CHECK(closed);
}

TEST_CASE("refused and run: two ids at one address") {
  // The later one replaces the other, so that no second attempt follows.
  ScriptedTarget shop([](const TargetRequest& request, TargetLine& line) {
    line.Send(Answer(request, 503, kNotRunHeader));
  });
  GatewayRig rig(
      Replaced(kConfiguration, "\"maxAttempts\":1", "\"maxAttempts\":2"));
  rig.Register("i-1", "shop", shop.Address());
  rig.Register("i-2", "shop", shop.Address());
  CHECK(AskWhole(rig, Request("/pay/x")).status_ == 503);
  const std::vector<TargetRequest> requests = shop.Requests();
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].Header("Gooseberryvale-Expect-Instance") == "i-2");
}

TEST_CASE("refused and run: a kept failure and a later refusal") {
  std::atomic<int> asked = 0;
  const auto script = [&asked](const TargetRequest& request, TargetLine& line) {
    line.Send(++asked == 1 ? Answer(request, 500, kSigned)
                           : Answer(request, 503, kNotRunHeader));
  };
  ScriptedTarget one(script);
  ScriptedTarget two(script);
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", one.Address());
  rig.Register("i-2", "shop", two.Address());
  const CallerAnswer answer = AskWhole(rig, Request("/look/x"));
  CHECK(asked == 2);
  CHECK(answer.is_one_);
  CHECK((answer.status_ == 500 || answer.status_ == 502));
  CHECK(answer.is_signed_ == (answer.status_ == 500));
}

/** An answer of all targets, named by the path of its request. */
struct Told {
  int status_ = 0;
  bool not_executed_ = false;
  bool IsRun() const { return !not_executed_ && status_ != 421; }
  std::string Id() const {
    return std::to_string(status_) + (not_executed_ ? "-not-executed" : "-run");
  }
};

std::vector<Told> AllTold() {
  std::vector<Told> all;
  for (const int status : {200, 408, 421, 429, 500, 503}) {
    all.push_back(Told{status, false});
    all.push_back(Told{status, true});
  }
  return all;
}

/** Begins an answer that does not end. */
void HoldAnswer(const TargetRequest& request, TargetLine& line) {
  const std::string id = request.Header(kAttemptHeader);
  const bool not_executed = id.find("not-executed") != std::string::npos;
  line.Send("HTTP/1.1 " + id.substr(0, 3) + " Status\r\n" + kAttemptHeader +
            ": " + id + "\r\n" + kSigned + (not_executed ? kNotRunHeader : "") +
            "Content-Length: 100\r\n\r\nown bytes");
  line.PeerClosesWithin(std::chrono::seconds(10));
}

void CheckEndless(const std::string& path, const std::string& service,
                  bool repeatable, const std::string& configuration) {
  ScriptedTarget one(HoldAnswer);
  ScriptedTarget two(HoldAnswer);
  GatewayRig rig(configuration);
  rig.Register("i-1", service, one.Address());
  rig.Register("i-2", service, two.Address());
  const std::vector<Told> all = AllTold();
  std::vector<CallerAnswer> answers(all.size());
  std::vector<std::thread> callers;
  for (size_t i = 0; i < all.size(); ++i) {
    callers.emplace_back([&, i]() {
      answers[i] = AskWhole(rig, RequestOf(path + all[i].Id(), all[i].Id()));
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::vector<TargetRequest> got = one.Requests();
  const std::vector<TargetRequest> more = two.Requests();
  got.insert(got.end(), more.begin(), more.end());
  for (size_t i = 0; i < all.size(); ++i) {
    const std::string id = all[i].Id();
    CAPTURE(id);
    CAPTURE(answers[i].status_);
    const auto sent =
        std::count_if(got.begin(), got.end(), [&id](const TargetRequest& item) {
          return item.Header(kAttemptHeader) == id;
        });
    CHECK(sent > 0);
    CHECK(answers[i].ended_);
    CHECK(answers[i].is_one_);
    if (all[i].IsRun()) {
      CHECK_FALSE(IsPromise(answers[i].status_));
      CHECK((repeatable || sent <= 1));
    }
  }
}

TEST_CASE("refused and run: an answer whose length never comes") {
  const std::string configuration = Replaced(
      Replaced(kConfiguration, "\"timeoutMs\":3000", "\"timeoutMs\":600"),
      "\"timeoutMs\":10000", "\"timeoutMs\":600");
  CheckEndless("/pay/", "shop", false, configuration);
  CheckEndless("/look/", "shop", true, configuration);
  CheckEndless("/read/", "model", true, configuration);
  CheckEndless("/read/", "model", false,
               Replaced(configuration, "\"resumable\":true,", ""));
}

/** A target that answers each head at once and reads the body after it. */
class EarlyTarget {
 public:
  explicit EarlyTarget(const Told& told)
      : told_(told),
        acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}),
        runner_([this]() { Run(); }) {}
  ~EarlyTarget() {
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    runner_.join();
  }
  EarlyTarget(const EarlyTarget&) = delete;
  EarlyTarget& operator=(const EarlyTarget&) = delete;

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int Asked() const { return asked_; }

 private:
  void Run() {
    for (;;) {
      boost::system::error_code error;
      boost::asio::ip::tcp::socket socket(io_);
      acceptor_.accept(socket, error);
      if (error) {
        return;
      }
      std::string input;
      const size_t head = boost::asio::read_until(
          socket, boost::asio::dynamic_buffer(input), "\r\n\r\n", error);
      if (error) {
        continue;
      }
      ++asked_;
      TargetRequest request;
      request.head_ = input.substr(input.find("\r\n"), head);
      TargetLine line(socket);
      line.Send(Answer(
          request, told_.status_,
          std::string(kSigned) + (told_.not_executed_ ? kNotRunHeader : "")));
      std::this_thread::sleep_for(Milliseconds(20));
      input.clear();
      ReadToEnd(socket, input);
    }
  }

  const Told told_;
  std::atomic<int> asked_ = 0;
  boost::asio::io_context io_;               ///< For blocking calls.
  boost::asio::ip::tcp::acceptor acceptor_;  ///< Listens.
  std::thread runner_;                       ///< Serves one connection a time.
};

TEST_CASE("refused and run: an answer before the body is read") {
  constexpr size_t kBodyBytes = 7UL << 20;
  GatewayRig rig(Replaced(kConfiguration, "\"maxBodyBytes\":65536",
                          "\"maxBodyBytes\":8388608"));
  for (const Told& told : AllTold()) {
    EarlyTarget one(told);
    EarlyTarget two(told);
    rig.Register("a" + told.Id(), "shop", one.Address());
    rig.Register("b" + told.Id(), "shop", two.Address());
    std::string request = RequestOf("/pay/" + told.Id(), told.Id());
    request.resize(request.find("Content-Length"));
    request += "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" +
               std::string(kBodyBytes, 'x');
    const CallerAnswer answer = AskWhole(rig, request);
    rig.Control("DELETE", "/v1/instances/a" + told.Id(), "");
    rig.Control("DELETE", "/v1/instances/b" + told.Id(), "");
    const int sent = one.Asked() + two.Asked();
    CAPTURE(told.Id());
    CAPTURE(answer.status_);
    CHECK(sent > 0);
    CHECK(answer.is_one_);
    if (told.IsRun()) {
      CHECK_FALSE(IsPromise(answer.status_));
      CHECK(sent <= 1);
    } else if (told.status_ >= 400) {
      CHECK(IsPromise(answer.status_));
    }
  }
}

}  // namespace
}  // namespace gv
