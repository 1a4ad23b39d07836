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

using std::chrono::milliseconds;

constexpr Duration kStart = 1_s;
/** A gateway counts as disturbed for so long after a fault of its own. */
constexpr Duration kAfterFault = 2_s;
/** A member that lost its disk is replaced if those with a disk are left alone
 * for so long. */
constexpr Duration kRepair = 4_s;
/** Faults before it have ended by the departure. */
constexpr Duration kCalmBefore = 5_s;
/** @return An address on loopback that only this gateway of this seed uses. */
std::string AddressOf(uint64_t seed, int index) {
  constexpr uint64_t kSeeds = 200;
  return "127.1." + std::to_string(seed % kSeeds) + "." +
         std::to_string(index + 1);
}

}  // namespace

SoakWorld::SoakWorld(const SoakSize& size, SoakLedger& ledger, uint64_t seed)
    : ledger_(ledger),
      random_(seed),
      more_random_(seed + 2),
      seed_(seed),
      port_random_(seed + 1) {
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
  targets_ = std::make_unique<SoakTargets>(
      ledger, seed, size.targets_,
      SoakTargetsView{[this]() { return PickControl(); },
                      [this](uint16_t port, TimePoint time) {
                        return IsTold(port, time);
                      }});
}

SoakWorld::~SoakWorld() {
  for (Member& member : members_) {
    member.process_->Kill();
  }
  targets_.reset();
}

std::string SoakWorld::PlanDeparture() {
  // Some seeds only, as it takes most of their time.
  constexpr uint64_t kSeedsOfOne = 3;
  if (seed_ % kSeedsOfOne != 0) {
    return "no departure";
  }
  departs_at_ = SteadyNow() + kCalmBefore;
  calm_until_ = departs_at_ + kTargetAway;
  return "calm before a departure";
}

std::string SoakWorld::Depart() {
  departs_at_ = TimePoint();
  const uint64_t which = random_();
  // The loss of one without a disk leaves all others able to know.
  std::vector<Member*> others;
  for (Member& member : members_) {
    if (!member.process_->HasDisk()) {
      others.push_back(&member);
    }
  }
  Member& member = *others[random_() % others.size()];
  const std::string line = targets_->Depart(which, member.control_->Port());
  member.process_->Kill();
  Touch(member, kStart);
  return line + " at " + member.process_->Name() + ", which is killed";
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
         targets_->WasCalm(time) && member->callers_->Get() == LinkFault::kNone;
}

bool SoakWorld::IsTold(uint16_t caller_port, TimePoint time) const {
  // Gateways that are disturbed, or whose leader is, may learn it later.
  const std::scoped_lock lock(mutex_);
  const Member* sender = Find(caller_port);
  return std::all_of(
      members_.begin(), members_.end(), [&](const Member& member) {
        return (!member.process_->HasDisk() && &member != sender) ||
               member.disturbed_ < time;
      });
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
  const bool is_calm = std::none_of(
      members_.begin(), members_.end(), [now](const Member& member) {
        return member.process_->HasDisk() && member.disturbed_ >= now;
      });
  calm_since_ = is_calm ? calm_since_ : now;
  if (now - calm_since_ > kRepair) {
    disk_is_missing_ = false;
  }
  targets_->Restart();
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

std::string SoakWorld::DisturbOnce() {
  switch (random_() % 13) {
    case 0: {
      Member& member = AnyMember();
      Touch(member, Duration());
      member.callers_->ResetAll();
      return "reset callers of " + member.process_->Name();
    }
    case 1:
      return targets_->RefuseMost(random_);
    case 2:
      targets_->RegisterOddEntry(random_);
      return "odd entry";
    case 3:
      return targets_->NameLimit(random_);
    case 4:
      return PlanDeparture();
    default:
      return random_() % 2 == 0 ? targets_->DisturbLink(random_)
                                : DisturbProcess(AnyMember());
  }
}

std::string SoakWorld::DisturbMore() {
  switch (more_random_() % 6) {
    case 0:
      return "; " + targets_->StopOne(more_random_);
    case 1:
      return "; " + targets_->RegisterStale(more_random_);
    case 2:
      return "; " + StopWhileFrozen();
    default:
      return "";
  }
}

std::string SoakWorld::StopWhileFrozen() {
  // Changes of the configuration go on meanwhile, and callers keep their
  // connections.
  const size_t first = more_random_() % members_.size();
  const size_t more = 1 + more_random_() % (members_.size() - 1);
  Member& frozen = members_[first];
  Member& stopped = members_[(first + more) % members_.size()];
  const Duration time(1500 + static_cast<int64_t>(more_random_() % 1500));
  Touch(frozen, time);
  frozen.wake_ = SteadyNow() + time;
  frozen.process_->Signal(SIGSTOP);
  Touch(stopped, kStart, true);
  stopped.process_->Signal(SIGTERM);
  return "freeze " + frozen.process_->Name() + " " + std::to_string(time.Ms()) +
         " and stop " + stopped.process_->Name();
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
  return line + DisturbMore();
}

void SoakWorld::Heal() {
  targets_->Heal();
  for (Member& member : members_) {
    member.process_->Signal(SIGCONT);
    member.wake_ = TimePoint();
    member.callers_->Set(LinkFault::kNone);
  }
  Restart();
}

}  // namespace gv
