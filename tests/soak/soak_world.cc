/** @file soak_world.cc Faults from outside the processes. */
#include "soak/soak_world.h"

#include <signal.h>

#include <algorithm>
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
/** A member that lost its disk is replaced if those with a disk are left alone
 * for so long. */
constexpr Duration kRepair = 4_s;
constexpr uint64_t kPercent = 100;
/** Time after the acknowledgement of a departure from which a target gets no
 * requests. */
constexpr Duration kDrain = 2_s;
/** Faults before it have ended by the departure. */
constexpr Duration kCalmBefore = 5_s;
/** From a departure until the target's next start. */
constexpr Duration kAway = 4_s;

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

void SoakWorld::Serve(const std::string& id, const TargetRequest& request,
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

void SoakWorld::CheckLeft(const Life& life, const std::string& attempt) {
  const int64_t left_ms = life.left_ms_;
  const TimePoint now = SteadyNow();
  if (left_ms == 0 || now - TimePoint(left_ms) <= kDrain) {
    return;
  }
  // Gateways that are disturbed, or whose leader is, may learn it later.
  const std::string port = attempt.substr(attempt.find('-') + 1);
  const TimePoint since(left_ms);
  const std::scoped_lock lock(mutex_);
  const Member* sender = Find(static_cast<uint16_t>(std::stoi(port)));
  const bool is_calm =
      std::all_of(members_.begin(), members_.end(), [&](const Member& member) {
        return (!member.process_->HasDisk() && &member != sender) ||
               member.disturbed_ < since;
      });
  if (is_calm && targets_disturbed_ < since) {
    ledger_.Break(Promise::kLeavingIsKnown,
                  attempt + " came " + std::to_string((now - since).Ms()) +
                      " ms after the departure");
  }
}

std::string SoakWorld::PlanDeparture() {
  // Some seeds only, as it takes most of their time.
  constexpr uint64_t kSeedsOfOne = 3;
  if (seed_ % kSeedsOfOne != 0) {
    return "no departure";
  }
  departs_at_ = SteadyNow() + kCalmBefore;
  calm_until_ = departs_at_ + kAway;
  return "calm before a departure";
}

std::string SoakWorld::Depart() {
  departs_at_ = TimePoint();
  Target& target = targets_[random_() % targets_.size()];
  // The loss of one without a disk leaves all others able to know.
  std::vector<Member*> others;
  for (Member& member : members_) {
    if (!member.process_->HasDisk()) {
      others.push_back(&member);
    }
  }
  Member& member = *others[random_() % others.size()];
  target.life_->is_leaving_ = true;
  target.starts_anew_ = SteadyNow() + kAway;
  const int status =
      AskOnce(member.control_->Port(),
              "DELETE /v1/instances/" + target.id_ +
                  " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
              milliseconds(1000))
          .status_;
  if (status == 200) {
    target.life_->left_ms_ = (SteadyNow() - TimePoint()).Ms();
  }
  member.process_->Kill();
  Touch(member, kStart);
  return target.id_ + " departs at " + member.process_->Name() + " " +
         std::to_string(status) + ", which is killed";
}

void SoakWorld::Register() {
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
      if (AskOnce(PickControl(), request, milliseconds(300)).status_ == 200) {
        break;
      }
    }
  }
}

void SoakWorld::RegisterOddEntry() {
  constexpr std::array<const char*, 4> kOdd{
      R"({"service":"shop","address":"127.0.0.1:70000","zone":"d1","slots":1,)"
      R"("state":"ready","sequence":1})",
      R"({"service":"shop","address":"127.0.0.1:80","zone":"d1","slots":1,)"
      R"("state":"ready","sequence":1,"born":18446744073709551615})",
      "{\"x\":[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
      "\xff\xfe"};
  const std::string body = kOdd[random_() % kOdd.size()];
  AskOnce(PickControl(),
          "PUT /v1/instances/i-odd HTTP/1.1\r\nHost: x\r\nConnection: close"
          "\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body,
          milliseconds(300));
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

const SoakWorld::Member* SoakWorld::Find(uint16_t caller_port) const {
  for (const Member& member : members_) {
    if (member.callers_->Port() == caller_port) {
      return &member;
    }
  }
  return nullptr;
}

bool SoakWorld::WasCalm(uint16_t caller_port, TimePoint time) const {
  const std::scoped_lock lock(mutex_);
  const Member* member = Find(caller_port);
  return member != nullptr && member->disturbed_ < time &&
         member->callers_->Get() == LinkFault::kNone;
}

bool SoakWorld::WasPlanned(uint16_t caller_port, TimePoint time) const {
  const std::scoped_lock lock(mutex_);
  const Member* member = Find(caller_port);
  return member != nullptr && member->unplanned_ < time &&
         targets_disturbed_ < time &&
         member->callers_->Get() == LinkFault::kNone;
}

void SoakWorld::Touch(Member& member, Duration time, bool is_planned) {
  ledger_.OnDisturbed(std::to_string(member.callers_->Port()));
  const std::scoped_lock lock(mutex_);
  const TimePoint until = SteadyNow() + time + kAfterFault;
  member.disturbed_ = std::max(member.disturbed_, until);
  if (!is_planned) {
    member.unplanned_ = std::max(member.unplanned_, until);
  }
}

void SoakWorld::TouchTargets(Duration time) {
  const std::scoped_lock lock(mutex_);
  targets_disturbed_ =
      std::max(targets_disturbed_, SteadyNow() + time + kAfterFault);
}

void SoakWorld::Restart() {
  const TimePoint now = SteadyNow();
  for (Member& member : members_) {
    if (member.wake_ != TimePoint() && now >= member.wake_) {
      member.wake_ = TimePoint();
      member.process_->Signal(SIGCONT);
    }
    if (member.process_->HasEnded()) {
      if (member.process_->HasEndedItself()) {
        ledger_.Break(Promise::kNoOwnEnd, member.process_->Name());
      }
      Touch(member, kStart, true);
      member.process_->Start(false);
    }
  }
  if (now >= refusing_until_) {
    refusing_ = false;
  }
  if (now >= limit_until_) {
    limit_ = 0;
  }
  const bool is_calm = std::none_of(
      members_.begin(), members_.end(), [now](const Member& member) {
        return member.process_->HasDisk() && member.disturbed_ >= now;
      });
  calm_since_ = is_calm ? calm_since_ : now;
  if (now - calm_since_ > kRepair) {
    disk_is_missing_ = false;
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

std::string SoakWorld::DisturbProcess(Member& member) {
  const std::string& name = member.process_->Name();
  const uint64_t kind = random_() % 7;
  const bool is_planned = kind == 1 || kind == 2;
  Touch(member, kStart, is_planned);
  switch (kind) {
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
          member.process_->HasDisk() && random_() % 4 == 0 && !disk_is_missing_;
      member.process_->Kill();
      if (loses) {
        disk_is_missing_ = true;
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
    case 5:
      return SignalInSeries(member);
    default:
      member.process_->Kill();
      return "kill " + name;
  }
}

std::string SoakWorld::SignalInSeries(Member& member) {
  // The process is frozen in the middle of its stop, and told again after it.
  const Duration time(100 + static_cast<int64_t>(random_() % 900));
  Touch(member, time);
  for (const int signal : {SIGHUP, SIGTERM, SIGHUP, SIGTERM, SIGSTOP}) {
    member.process_->Signal(signal);
  }
  member.wake_ = SteadyNow() + time;
  return "reload, stop and freeze " + member.process_->Name() + " " +
         std::to_string(time.Ms());
}

std::string SoakWorld::DisturbTargets() {
  const Duration time(1000 + static_cast<int64_t>(random_() % 4000));
  refusing_ = true;
  refusing_until_ = SteadyNow() + time;
  TouchTargets(time);
  return "targets refuse most requests " + std::to_string(time.Ms());
}

std::string SoakWorld::NameLimit() {
  constexpr std::array<double, 4> kLimits{0.5, 1, 1.5, 4};
  limit_ = kLimits[random_() % kLimits.size()];
  const Duration time(4000 + static_cast<int64_t>(random_() % 6000));
  limit_until_ = SteadyNow() + time;
  return "targets name a limit of " + std::to_string(limit_.load()) + " for " +
         std::to_string(time.Ms());
}

std::string SoakWorld::DisturbLink() {
  constexpr std::array<LinkFault, 3> kFaults{
      LinkFault::kDelay, LinkFault::kSilent, LinkFault::kOneWay};
  Target& target = targets_[random_() % targets_.size()];
  const uint64_t kind = random_() % 4;
  TouchTargets(2_s);
  if (kind == 3) {
    target.proxy_->ResetAll();
    return "reset links of " + target.id_;
  }
  target.proxy_->Set(kFaults[kind]);
  target.calm_ =
      SteadyNow() + Duration(500 + static_cast<int64_t>(random_() % 1500));
  return "link fault " + std::to_string(kind) + " at " + target.id_;
}

std::string SoakWorld::DisturbOnce() {
  switch (random_() % 13) {
    case 0: {
      Member& member = AnyMember();
      Touch(member, Duration());
      member.callers_->ResetAll();
      return "reset callers of " + member.process_->Name();
    }
    case 1:
      return DisturbTargets();
    case 2:
      RegisterOddEntry();
      return "odd entry";
    case 3:
      return NameLimit();
    case 4:
      return PlanDeparture();
    default:
      return random_() % 2 == 0 ? DisturbLink() : DisturbProcess(AnyMember());
  }
}

std::string SoakWorld::Disturb() {
  Restart();
  const TimePoint now = SteadyNow();
  if (departs_at_ != TimePoint() && now >= departs_at_) {
    return Depart();
  }
  if (now < calm_until_) {
    return "calm";
  }
  // Faults come in series and overlap.
  constexpr uint64_t kMostAtOnce = 3;
  std::string line = DisturbOnce();
  for (uint64_t more = random_() % kMostAtOnce; more > 0; --more) {
    line += "; " + DisturbOnce();
  }
  return line;
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
    if (target.starts_anew_ != TimePoint()) {
      target.starts_anew_ = SteadyNow();
    }
  }
  refusing_until_ = TimePoint();
  Restart();
}

}  // namespace gv
