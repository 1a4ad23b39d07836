/** @file soak_world.cc Faults from outside the processes. */
#include "soak/soak_world.h"

#include <signal.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>

#include "soak/soak_clients.h"
#include "transport/steady_clock.h"

namespace gv {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kRegistrationPeriod{400};
constexpr Duration kStart = 1_s;
/** A gateway counts as disturbed for so long after a fault of its own. */
constexpr Duration kAfterFault = 2_s;
/** A member that lost its disk is replaced within this time. */
constexpr Duration kRepair = 8_s;
constexpr uint64_t kPercent = 100;

/** @return An address on loopback that only this gateway of this seed uses. */
std::string AddressOf(uint64_t seed, int index) {
  constexpr uint64_t kSeeds = 200;
  return "127.1." + std::to_string(seed % kSeeds) + "." +
         std::to_string(index + 1);
}

}  // namespace

SoakWorld::SoakWorld(const SoakSize& size, SoakLedger& ledger, uint64_t seed)
    : ledger_(ledger), random_(seed), seed_(seed), port_random_(seed + 1) {
  const int gateways = size.disks_ + size.others_;
  std::string seeds;
  for (int i = 0; i < size.disks_; ++i) {
    seeds += (i > 0 ? ", \"" : "\"") + AddressOf(seed, i) + ":" +
             std::to_string(kSoakPeerPort) + "\"";
  }
  for (int i = 0; i < gateways; ++i) {
    const std::string name = "g" + std::to_string(i);
    Member member;
    member.process_ = std::make_unique<SoakProcess>(
        size.binary_, size.folder_ + "/" + name, name, AddressOf(seed, i),
        seeds, i < size.disks_);
    member.callers_ = std::make_unique<FaultProxy>(member.process_->Callers());
    member.control_ = std::make_unique<FaultProxy>(member.process_->Control());
    member.process_->Start(true);
    members_.push_back(std::move(member));
  }
  for (int i = 0; i < size.targets_; ++i) {
    AddTarget("shop", i);
    AddTarget("model", i);
  }
  registering_ = std::thread([this]() {
    while (!stop_) {
      Register();
      std::this_thread::sleep_for(kRegistrationPeriod);
    }
  });
}

SoakWorld::~SoakWorld() {
  stop_ = true;
  registering_.join();
  for (Member& member : members_) {
    member.process_->Kill();
  }
  for (Target& target : targets_) {
    target.proxy_.reset();
  }
}

void SoakWorld::AddTarget(const std::string& service, int index) {
  Target target;
  target.id_ = "i-" + service + std::to_string(index);
  target.service_ = service;
  target.target_ = std::make_unique<ScriptedTarget>(
      [this](const TargetRequest& request, TargetLine& line) {
        Serve(request, line);
      });
  const std::string address = target.target_->Address();
  const auto port =
      static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
  target.proxy_ = std::make_unique<FaultProxy>(
      asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port));
  targets_.push_back(std::move(target));
}

void SoakWorld::Serve(const TargetRequest& request, TargetLine& line) {
  const std::string attempt = request.Header("Gooseberryvale-Attempt-Id");
  const std::string head =
      "HTTP/1.1 200 OK\r\nGooseberryvale-Attempt-Id: " + attempt + "\r\n";
  // Some fail, by the attempt, so that a seed fails the same ones.
  const uint64_t luck =
      std::hash<std::string>()(attempt + std::to_string(seed_)) % kPercent;
  constexpr uint64_t kRefuse = 3;
  constexpr uint64_t kReset = 6;
  constexpr uint64_t kHang = 8;
  if (luck < kRefuse) {
    line.Send(
        "HTTP/1.1 503 Full\r\nGooseberryvale-Not-Executed: true\r\n"
        "Gooseberryvale-Attempt-Id: " +
        attempt + "\r\nContent-Length: 0\r\n\r\n");
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
    line.Send(head +
              "Gooseberryvale-Response-Signature: s\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
    return;
  }
  constexpr int kEvents = 6;
  const std::string last = request.Header("Last-Event-Id");
  line.BeginEvents(request);
  for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= kEvents; ++id) {
    std::this_thread::sleep_for(milliseconds(30));
    line.SendEvent(id, attempt);
    constexpr uint64_t kBreak = 14;
    if (luck < kBreak && last.empty() && id == 3) {
      line.Reset();
      return;
    }
  }
  line.Send("0\r\n\r\n");
}

void SoakWorld::Register() {
  for (const Target& target : targets_) {
    static std::atomic<uint64_t> sequence{0};
    const std::string body =
        R"({"service":")" + target.service_ + R"(","address":"127.0.0.1:)" +
        std::to_string(target.proxy_->Port()) +
        R"(","zone":"d1","version":"v1","slots":16,"state":"ready",)" +
        R"("remainingMs":0,"born":1,"sequence":)" + std::to_string(++sequence) +
        "}";
    const std::string request = "PUT /v1/instances/" + target.id_ +
                                " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                                "Content-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body;
    for (int tries = 0; tries < 3; ++tries) {
      if (AskOnce(PickControl(), request, milliseconds(300)).status_ == 200) {
        break;
      }
    }
  }
}

uint16_t SoakWorld::PickCaller() {
  const std::scoped_lock lock(mutex_);
  return members_[port_random_() % members_.size()].callers_->Port();
}

uint16_t SoakWorld::PickControl() {
  const std::scoped_lock lock(mutex_);
  return members_[port_random_() % members_.size()].control_->Port();
}

std::vector<uint16_t> SoakWorld::CallerPorts() const {
  std::vector<uint16_t> ports;
  for (const Member& member : members_) {
    ports.push_back(member.callers_->Port());
  }
  return ports;
}

std::vector<uint16_t> SoakWorld::ControlPorts() const {
  std::vector<uint16_t> ports;
  for (const Member& member : members_) {
    ports.push_back(member.control_->Port());
  }
  return ports;
}

bool SoakWorld::WasCalm(uint16_t caller_port, TimePoint time) const {
  const std::scoped_lock lock(mutex_);
  for (const Member& member : members_) {
    if (member.callers_->Port() == caller_port) {
      return member.disturbed_ < time &&
             member.callers_->Get() == LinkFault::kNone;
    }
  }
  return false;
}

void SoakWorld::Touch(Member& member, Duration time) {
  const std::scoped_lock lock(mutex_);
  member.disturbed_ =
      std::max(member.disturbed_, SteadyNow() + time + kAfterFault);
}

void SoakWorld::Restart() {
  const TimePoint now = SteadyNow();
  for (Member& member : members_) {
    if (member.wake_ != TimePoint() && now >= member.wake_) {
      member.wake_ = TimePoint();
      member.process_->Signal(SIGCONT);
    }
    if (member.process_->HasEnded()) {
      Touch(member, kStart);
      member.process_->Start(false);
    }
  }
  for (Target& target : targets_) {
    if (target.calm_ != TimePoint() && now >= target.calm_) {
      target.calm_ = TimePoint();
      target.proxy_->Set(LinkFault::kNone);
    }
  }
}

std::string SoakWorld::DisturbProcess(Member& member) {
  const std::string& name = member.process_->Name();
  Touch(member, kStart);
  switch (random_() % 6) {
    case 0: {
      const Duration time(300 + static_cast<int64_t>(random_() % 2000));
      Touch(member, time);
      member.wake_ = SteadyNow() + time;
      member.process_->Signal(SIGSTOP);
      return "freeze " + name + " " + std::to_string(time.Ms());
    }
    case 1:
      member.process_->Signal(SIGTERM);
      return "stop " + name;
    case 2:
      member.process_->Signal(SIGHUP);
      return "reload " + name;
    case 3: {
      // A second lost disk before the first one is replaced is not borne.
      const bool loses =
          member.process_->HasDisk() && random_() % 4 == 0 &&
          (lost_disk_ == TimePoint() || SteadyNow() > lost_disk_ + kRepair);
      member.process_->Kill();
      if (loses) {
        lost_disk_ = SteadyNow();
        member.process_->LoseDisk();
      }
      return (loses ? "kill and lose the disk of " : "kill ") + name;
    }
    case 4:
      for (Member& other : members_) {
        if (other.process_->HasDisk()) {
          Touch(other, kStart);
          other.process_->Kill();
        }
      }
      return "kill all with disks";
    default:
      member.process_->Kill();
      return "kill " + name;
  }
}

std::string SoakWorld::DisturbLink() {
  constexpr std::array<LinkFault, 3> kFaults{
      LinkFault::kDelay, LinkFault::kSilent, LinkFault::kOneWay};
  Target& target = targets_[random_() % targets_.size()];
  const uint64_t kind = random_() % 4;
  if (kind == 3) {
    target.proxy_->ResetAll();
    return "reset links of " + target.id_;
  }
  target.proxy_->Set(kFaults[kind]);
  target.calm_ =
      SteadyNow() + Duration(500 + static_cast<int64_t>(random_() % 1500));
  return "link fault " + std::to_string(kind) + " at " + target.id_;
}

std::string SoakWorld::Disturb() {
  Restart();
  if (random_() % 10 == 0) {
    Member& member = AnyMember();
    Touch(member, Duration());
    member.callers_->ResetAll();
    return "reset callers of " + member.process_->Name();
  }
  return random_() % 2 == 0 ? DisturbLink() : DisturbProcess(AnyMember());
}

void SoakWorld::Heal() {
  for (Member& member : members_) {
    member.process_->Signal(SIGCONT);
    member.wake_ = TimePoint();
    member.callers_->Set(LinkFault::kNone);
  }
  for (Target& target : targets_) {
    target.calm_ = TimePoint();
    target.proxy_->Set(LinkFault::kNone);
  }
  Restart();
}

}  // namespace gv
