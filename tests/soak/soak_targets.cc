/** @file soak_targets.cc What targets answer, and their faults. */
#include "soak/soak_targets.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>

#include "soak/soak_clients.h"

namespace gv {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kRegistrationPeriod{400};
constexpr uint64_t kPercent = 100;
/** Time after the acknowledgement of a departure from which a target gets no
 * requests. */
constexpr Duration kDrain = 2_s;
/** Targets count as disturbed for so long after a fault of theirs. */
constexpr Duration kAfterFault = 2_s;

}  // namespace

SoakTargets::SoakTargets(SoakLedger& ledger, uint64_t seed, int of_each,
                         SoakTargetsView view)
    : ledger_(ledger), seed_(seed), view_(std::move(view)) {
  for (int i = 0; i < of_each; ++i) {
    Add("shop", i);
    Add("model", i);
  }
  registering_ = std::thread([this]() {
    while (!stop_) {
      Register();
      std::this_thread::sleep_for(kRegistrationPeriod);
    }
  });
}

SoakTargets::~SoakTargets() {
  stop_ = true;
  registering_.join();
  for (Target& target : targets_) {
    target.proxy_.reset();
  }
}

void SoakTargets::Add(const std::string& service, int index) {
  Target target;
  target.id_ = "i-" + service + std::to_string(index);
  target.service_ = service;
  target.target_ = std::make_unique<ScriptedTarget>(
      [this, id = target.id_, life = target.life_.get()](
          const TargetRequest& request, TargetLine& line) {
        CheckLeft(*life, request.Header("Gooseberryvale-Attempt-Id"));
        Serve(id, request, line);
      });
  const std::string address = target.target_->Address();
  const auto port =
      static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
  target.proxy_ = std::make_unique<FaultProxy>(
      asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port));
  targets_.push_back(std::move(target));
}

void SoakTargets::Serve(const std::string& id, const TargetRequest& request,
                        TargetLine& line) {
  const std::string attempt = request.Header("Gooseberryvale-Attempt-Id");
  ledger_.OnArrival(attempt[0] == 'r' ? "model" : "shop", attempt);
  const double limit = id.back() == '0' ? limit_.load() : 0;
  ledger_.OnLimited(id, attempt.substr(attempt.find('-') + 1),
                    limit > 0 ? std::optional<double>(limit) : std::nullopt);
  const std::string named =
      limit > 0 ? "Server-Limit: " + std::to_string(limit) + "\r\n" : "";
  const std::string head =
      "HTTP/1.1 200 OK\r\nGooseberryvale-Attempt-Id: " + attempt + "\r\n" +
      named;
  // Some fail, by the attempt, so that a seed fails the same ones.
  const uint64_t luck =
      std::hash<std::string>()(attempt + std::to_string(seed_)) % kPercent;
  constexpr uint64_t kRefuse = 3;
  constexpr uint64_t kReset = 6;
  constexpr uint64_t kHang = 8;
  constexpr uint64_t kRefuseMost = 70;
  if (luck < (refusing_ ? kRefuseMost : kRefuse)) {
    line.Send(
        "HTTP/1.1 503 Full\r\nGooseberryvale-Not-Executed: true\r\n"
        "Gooseberryvale-Attempt-Id: " +
        attempt + "\r\n" + named + "Content-Length: 0\r\n\r\n");
    return;
  }
  ledger_.OnRun(attempt, attempt[0] == 'p');
  if (luck < kReset) {
    line.Reset();
    return;
  }
  if (luck < kHang) {
    std::this_thread::sleep_for(milliseconds(1200));
  }
  if (attempt[0] != 'r') {
    const std::string body = "answer to " + attempt;
    if (line.Send(head +
                  "Gooseberryvale-Response-Signature: s\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body)) {
      ledger_.OnAnswered(attempt);
    }
    return;
  }
  constexpr int kEvents = 6;
  const std::string last = request.Header("Last-Event-Id");
  line.BeginEvents(request, named);
  for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= kEvents;
       ++event) {
    std::this_thread::sleep_for(milliseconds(30));
    line.SendEvent(event, attempt);
    constexpr uint64_t kBreak = 14;
    if (luck < kBreak && last.empty() && event == 3) {
      line.Reset();
      return;
    }
  }
  if (line.Send("0\r\n\r\n")) {
    ledger_.OnAnswered(attempt);
  }
}

void SoakTargets::CheckLeft(const Life& life, const std::string& attempt) {
  const int64_t left_ms = life.left_ms_;
  const TimePoint now = SteadyNow();
  if (left_ms == 0 || now - TimePoint(left_ms) <= kDrain) {
    return;
  }
  const std::string port = attempt.substr(attempt.find('-') + 1);
  const TimePoint since(left_ms);
  if (view_.is_told_(static_cast<uint16_t>(std::stoi(port)), since) &&
      WasCalm(since)) {
    ledger_.Break(Promise::kLeavingIsKnown,
                  attempt + " came " + std::to_string((now - since).Ms()) +
                      " ms after the departure");
  }
}

std::string SoakTargets::Depart(uint64_t which, uint16_t control_port) {
  Target& target = targets_[which % targets_.size()];
  target.life_->is_leaving_ = true;
  target.starts_anew_ = SteadyNow() + kTargetAway;
  const int status =
      AskOnce(control_port,
              "DELETE /v1/instances/" + target.id_ +
                  " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
              milliseconds(1000))
          .status_;
  if (status == 200) {
    target.life_->left_ms_ = (SteadyNow() - TimePoint()).Ms();
  }
  return target.id_ + " departs " + std::to_string(status);
}

void SoakTargets::Register() {
  for (const Target& target : targets_) {
    if (target.life_->is_leaving_) {
      continue;
    }
    static std::atomic<uint64_t> sequence{0};
    const std::string body =
        R"({"service":")" + target.service_ + R"(","address":"127.0.0.1:)" +
        std::to_string(target.proxy_->Port()) +
        R"(","zone":"d1","version":"v1","slots":16,"state":"ready",)" +
        R"("remainingMs":0,"born":)" + std::to_string(target.life_->start_ms_) +
        R"(,"sequence":)" + std::to_string(++sequence) + "}";
    const std::string request = "PUT /v1/instances/" + target.id_ +
                                " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                                "Content-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body;
    for (int tries = 0; tries < 3; ++tries) {
      if (AskOnce(view_.pick_control_(), request, milliseconds(300)).status_ ==
          200) {
        break;
      }
    }
  }
}

void SoakTargets::RegisterOddEntry(std::mt19937_64& random) {
  constexpr std::array<const char*, 4> kOdd{
      R"({"service":"shop","address":"127.0.0.1:70000","zone":"d1","slots":1,)"
      R"("state":"ready","sequence":1})",
      R"({"service":"shop","address":"127.0.0.1:80","zone":"d1","slots":1,)"
      R"("state":"ready","sequence":1,"born":18446744073709551615})",
      "{\"x\":[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
      "\xff\xfe"};
  const std::string body = kOdd[random() % kOdd.size()];
  AskOnce(view_.pick_control_(),
          "PUT /v1/instances/i-odd HTTP/1.1\r\nHost: x\r\nConnection: close"
          "\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body,
          milliseconds(300));
}

void SoakTargets::Touch(Duration time) {
  const std::scoped_lock lock(mutex_);
  disturbed_ = std::max(disturbed_, SteadyNow() + time + kAfterFault);
}

void SoakTargets::Restart() {
  const TimePoint now = SteadyNow();
  if (now >= refusing_until_) {
    refusing_ = false;
  }
  if (now >= limit_until_) {
    limit_ = 0;
  }
  for (Target& target : targets_) {
    if (target.starts_anew_ != TimePoint() && now >= target.starts_anew_) {
      target.starts_anew_ = TimePoint();
      target.life_->left_ms_ = 0;
      target.life_->start_ms_ = WallMs();
      target.life_->is_leaving_ = false;
    }
    if (target.calm_ != TimePoint() && now >= target.calm_) {
      target.calm_ = TimePoint();
      target.proxy_->Set(LinkFault::kNone);
    }
  }
}

void SoakTargets::Heal() {
  for (Target& target : targets_) {
    target.calm_ = TimePoint();
    target.proxy_->Set(LinkFault::kNone);
    if (target.starts_anew_ != TimePoint()) {
      target.starts_anew_ = SteadyNow();
    }
  }
  refusing_until_ = TimePoint();
  Restart();
}

bool SoakTargets::WasCalm(TimePoint time) const {
  const std::scoped_lock lock(mutex_);
  return disturbed_ < time;
}

std::string SoakTargets::RefuseMost(std::mt19937_64& random) {
  const Duration time(1000 + static_cast<int64_t>(random() % 4000));
  refusing_ = true;
  refusing_until_ = SteadyNow() + time;
  Touch(time);
  return "targets refuse most requests " + std::to_string(time.Ms());
}

std::string SoakTargets::NameLimit(std::mt19937_64& random) {
  constexpr std::array<double, 4> kLimits{0.5, 1, 1.5, 4};
  limit_ = kLimits[random() % kLimits.size()];
  const Duration time(4000 + static_cast<int64_t>(random() % 6000));
  limit_until_ = SteadyNow() + time;
  return "targets name a limit of " + std::to_string(limit_.load()) + " for " +
         std::to_string(time.Ms());
}

std::string SoakTargets::DisturbLink(std::mt19937_64& random) {
  constexpr std::array<LinkFault, 3> kFaults{
      LinkFault::kDelay, LinkFault::kSilent, LinkFault::kOneWay};
  Target& target = targets_[random() % targets_.size()];
  const uint64_t kind = random() % 4;
  Touch(2_s);
  if (kind == 3) {
    target.proxy_->ResetAll();
    return "reset links of " + target.id_;
  }
  target.proxy_->Set(kFaults[kind]);
  target.calm_ =
      SteadyNow() + Duration(500 + static_cast<int64_t>(random() % 1500));
  return "link fault " + std::to_string(kind) + " at " + target.id_;
}

}  // namespace gv
