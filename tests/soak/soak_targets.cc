/** @file soak_targets.cc Registrations of targets, and their faults. */
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
/** Targets count as disturbed for so long after a fault of theirs. */
constexpr Duration kAfterFault = 2_s;
/** Between the end of a target and its next start. */
constexpr Duration kBetweenStarts = 400_ms;

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
  // Their threads use the other members.
  targets_.clear();
}

void SoakTargets::Add(const std::string& service, int index) {
  Target target;
  target.id_ = "i-" + service + std::to_string(index);
  target.service_ = service;
  target.target_ = std::make_unique<ScriptedTarget>(
      [this, which = targets_.size()](const TargetRequest& request,
                                      TargetLine& line) {
        Serve(targets_[which], request, line);
      });
  const std::string address = target.target_->Address();
  const auto port =
      static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
  target.proxy_ = std::make_unique<FaultProxy>(
      asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port));
  targets_.push_back(std::move(target));
}

std::string SoakTargets::Depart(uint64_t which, uint16_t control_port) {
  Target& target = targets_[which % targets_.size()];
  target.life_->is_leaving_ = true;
  target.starts_anew_ = SteadyNow() + kTargetAway;
  const int status = Deregister(target, control_port, milliseconds(1000));
  if (status == 200) {
    target.life_->left_ms_ = (SteadyNow() - TimePoint()).Ms();
  }
  return target.id_ + " departs " + std::to_string(status);
}

int SoakTargets::Deregister(const Target& target, uint16_t control_port,
                            milliseconds timeout) {
  return AskOnce(control_port,
                 "DELETE /v1/instances/" + target.id_ +
                     " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                 timeout)
      .status_;
}

void SoakTargets::Register() {
  for (const Target& target : targets_) {
    const Life& life = *target.life_;
    if (life.is_leaving_) {
      continue;
    }
    RegisterAs(target, target.id_, life.start_ms_);
    const int64_t stale_start_ms = life.stale_start_ms_;
    if (stale_start_ms != 0) {
      RegisterAs(target, target.id_ + "-stale", stale_start_ms);
    }
  }
}

void SoakTargets::RegisterAs(const Target& target, const std::string& id,
                             int64_t start_ms) {
  static std::atomic<uint64_t> sequence{0};
  const std::string body =
      R"({"service":")" + target.service_ + R"(","address":"127.0.0.1:)" +
      std::to_string(target.proxy_->Port()) +
      R"(","zone":"d1","version":"v1","slots":16,"state":")" +
      (target.life_->is_draining_ ? "draining" : "ready") +
      R"(","remainingMs":0,"born":)" + std::to_string(start_ms) +
      R"(,"sequence":)" + std::to_string(++sequence) + "}";
  const std::string request = "PUT /v1/instances/" + id +
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
    if (target.ends_ != TimePoint() && now >= target.ends_) {
      target.ends_ = TimePoint();
      target.life_->is_leaving_ = true;
      target.life_->is_ended_ = true;
      Deregister(target, view_.pick_control_(), milliseconds(300));
      target.starts_anew_ = now + kBetweenStarts;
    }
    if (target.stale_until_ != TimePoint() && now >= target.stale_until_) {
      target.stale_until_ = TimePoint();
      target.life_->stale_start_ms_ = 0;
    }
    if (target.starts_anew_ != TimePoint() && now >= target.starts_anew_) {
      target.starts_anew_ = TimePoint();
      if (target.life_->is_ended_) {
        target.proxy_->ResetAll();
      }
      target.life_->left_ms_ = 0;
      target.life_->start_ms_ = WallMs();
      target.life_->is_draining_ = false;
      target.life_->is_ended_ = false;
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
    target.life_->stale_start_ms_ = 0;
    if (target.ends_ != TimePoint()) {
      target.ends_ = SteadyNow();
    }
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

std::string SoakTargets::StopOne(std::mt19937_64& random) {
  Target& target = targets_[random() % targets_.size()];
  const Duration time(300 + static_cast<int64_t>(random() % 900));
  if (target.life_->is_leaving_ || target.life_->is_draining_) {
    return target.id_ + " stops already";
  }
  Touch(time + kAfterFault);
  target.life_->is_draining_ = true;
  target.ends_ = SteadyNow() + time;
  return target.id_ + " drains and ends after " + std::to_string(time.Ms());
}

std::string SoakTargets::RegisterStale(std::mt19937_64& random) {
  Target& target = targets_[random() % targets_.size()];
  const auto older_ms = static_cast<int64_t>(random() % 3) * 1000;
  const Duration time(1000 + static_cast<int64_t>(random() % 3000));
  target.life_->stale_start_ms_ = target.life_->start_ms_ - older_ms;
  target.stale_until_ = SteadyNow() + time;
  return "a stale id at the address of " + target.id_ + ", " +
         std::to_string(older_ms) + " ms older, for " +
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
