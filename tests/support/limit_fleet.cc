/** @file limit_fleet.cc Requests for a target with a limit, and its answers. */
#include "support/limit_fleet.h"

namespace gv {
namespace {

/** Between two looks at the replies. */
constexpr Duration kStep = 5_ms;

}  // namespace

LimitFleet::LimitFleet(size_t with_disk, size_t without, uint64_t seed)
    : random_(seed), group_(with_disk, without, seed) {}

void LimitFleet::Name(std::optional<double> per_second) {
  named_ = per_second;
  rule_.OnNamed(group_.now_, per_second);
}

void LimitFleet::SetColdBounds(ColdBounds bounds) {
  cold_services_["model"] = bounds;
  ConfigureStarted();
}

void LimitFleet::ConfigureStarted() {
  for (auto& [name, host] : group_.hosts_) {
    if (host.core_ && configured_[name] != host.starts_) {
      configured_[name] = host.starts_;
      host.core_->SetColdServices(group_.NowOf(host), cold_services_);
    }
  }
}

bool LimitFleet::MaySend(const RegistryHost& host) const {
  return host.core_ &&
         (cold_services_.empty() || (host.core_->HasLease(group_.NowOf(host)) &&
                                     host.core_->Targets().IsReady(target_)));
}

Duration LimitFleet::Transit() {
  const LinkFaults& faults = group_.link_.faults_;
  const auto spread =
      static_cast<uint64_t>((faults.delay_max_ - faults.delay_min_).Ms() + 1);
  return faults.delay_min_ + Duration(static_cast<int64_t>(random_() % spread));
}

void LimitFleet::Send(const std::string& gateway, TimePoint at) {
  arriving_.emplace(
      at + Transit(),
      Planned{gateway, group_.Host(gateway).starts_, at, std::nullopt});
}

bool LimitFleet::IsLimited(const std::string& gateway) {
  return group_.Core(gateway).Limits().IsLimited(target_);
}

void LimitFleet::WantEach() {
  for (auto& [name, host] : group_.hosts_) {
    if (!MaySend(host)) {
      continue;
    }
    const TargetLimitRow row =
        host.core_->Limits().AskRow(group_.NowOf(host), target_);
    if (!IsLimited(name)) {
      Send(name, group_.now_);
      continue;
    }
    last_operation_ = last_operation_.Next();
    open_[last_operation_] = OpenAsk{name, host.starts_, group_.now_};
    const Duration longest_wait(static_cast<int64_t>(random_() % 2 * 1000));
    group_.AskLeader(name, LimitAsk{last_operation_, {row}, longest_wait});
  }
}

void LimitFleet::PlaceAtLeaders(int prompts) {
  for (auto& [name, host] : group_.hosts_) {
    if (!MaySend(host) || host.core_->Leader() != host.node_) {
      continue;
    }
    const TimePoint now = group_.NowOf(host);
    host.core_->SyncLimits(now);
    for (int i = 0; i < prompts; ++i) {
      TargetLimits& limits = host.core_->Limits();
      const bool leaves_alone =
          cold_services_.empty() && !limits.IsLimited(target_);
      if (leaves_alone || !limits.HasPermit(now, target_)) {
        break;
      }
      limits.TakePermit(now, target_);
      auto gateway = group_.hosts_.begin();
      std::advance(gateway, random_() % group_.hosts_.size());
      if (gateway->second.core_) {
        Send(gateway->first, group_.now_ + Transit());
      }
    }
  }
}

void LimitFleet::TakeReplies() {
  for (auto& [name, host] : group_.hosts_) {
    for (const LimitReply& reply : std::exchange(host.limit_replies_, {})) {
      const auto open = open_.find(reply.operation_);
      if (open == open_.end()) {
        continue;
      }
      const OpenAsk ask = open->second;
      open_.erase(open);
      const bool in_time = group_.now_ - ask.asked_ <= kLimitReplyTimeout;
      if (reply.granted_ && in_time && host.core_ &&
          host.starts_ == ask.start_) {
        // Gateways may use it until the end of its lifetime.
        const TimePoint from = group_.now_ + reply.wait_;
        const TimePoint until = ask.asked_ + reply.wait_ + kLimitPermitLifetime;
        const auto spread = static_cast<uint64_t>((until - from).Ms() + 1);
        Send(name, from + Duration(static_cast<int64_t>(random_() % spread)));
      }
    }
  }
}

void LimitFleet::Deliver() {
  while (!arriving_.empty() && arriving_.begin()->first <= group_.now_) {
    Planned planned = arriving_.begin()->second;
    arriving_.erase(arriving_.begin());
    if (!group_.Host(planned.gateway_).core_ ||
        group_.Host(planned.gateway_).starts_ != planned.start_) {
      continue;
    }
    rule_.OnArrival(group_.now_, planned.gateway_);
    arrived_at_.push_back(group_.now_);
    planned.named_ = named_;
    answering_.emplace(group_.now_ + Transit(), planned);
  }
  while (!answering_.empty() && answering_.begin()->first <= group_.now_) {
    const Planned planned = answering_.begin()->second;
    answering_.erase(answering_.begin());
    RegistryHost& host = group_.Host(planned.gateway_);
    if (!host.core_ || host.starts_ != planned.start_) {
      continue;
    }
    if (planned.named_ && named_) {
      rule_.OnTold(group_.now_, planned.gateway_);
    }
    group_.AnswerLimit(planned.gateway_, target_, planned.named_,
                       planned.sent_ + host.clock_offset_);
  }
}

void LimitFleet::Run(Duration duration) {
  const TimePoint end = group_.now_ + duration;
  while (group_.now_ < end) {
    group_.Run(kStep);
    ConfigureStarted();
    TakeReplies();
    Deliver();
  }
}

void LimitFleet::Kill(const std::string& gateway) {
  group_.Crash(gateway);
  rule_.OnKilled(gateway);
}

}  // namespace gv
