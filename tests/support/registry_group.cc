/** @file registry_group.cc Drives registries. */
#include "support/registry_group.h"

namespace gv {
namespace {

constexpr Duration kTick{50};
constexpr Duration kSync{2};
/** From a refused write until the disk is opened again. */
constexpr Duration kReopen = 700_ms;
/** Wall time of departures; later than the start of any target of a test that
 * is to depart without a row. */
constexpr uint64_t kWallMs = 1500;

}  // namespace

TargetRegistration MakeTarget(const std::string& id, uint64_t start,
                              uint64_t sequence, RegistrationState state) {
  TargetRegistration target;
  target.id_ = TargetId(id);
  target.service_ = "model";
  target.address_ = "10.0.0.1:80";
  target.state_ = state;
  target.start_ms_ = start;
  target.sequence_ = sequence;
  return target;
}

RegistryGroup::RegistryGroup(size_t with_disk, size_t without, uint64_t seed,
                             RetryBounds retries)
    : link_(seed), retries_(retries) {
  for (size_t i = 1; i <= with_disk; ++i) {
    seeds_.emplace_back("d" + std::to_string(i));
  }
  for (size_t i = 1; i <= with_disk; ++i) {
    Add("d" + std::to_string(i), true);
  }
  for (size_t i = 1; i <= without; ++i) {
    Add("e" + std::to_string(i), false);
  }
  first_start_ = false;
}

void RegistryGroup::Add(const std::string& name, bool has_disk) {
  RegistryHost& host = hosts_[name];
  host.node_ = NodeId(name);
  host.has_disk_ = has_disk;
  host.disk_.Wipe(Incarnation(++disks_), first_start_);
  Start(name);
}

void RegistryGroup::Crash(const std::string& name) {
  RegistryHost& host = Host(name);
  host.core_.reset();
  host.disk_.Crash();
  host.completed_operations_.clear();
  host.sync_at_ = TimePoint::Never();
}

void RegistryGroup::Wipe(const std::string& name) {
  Host(name).disk_.Wipe(Incarnation(++disks_), false);
}

void RegistryGroup::Start(const std::string& name) {
  RegistryHost& host = Host(name);
  RegistrySettings settings;
  settings.self_ = host.node_;
  settings.seeds_ = seeds_;
  settings.has_disk_ = host.has_disk_;
  settings.seed_ =
      std::hash<std::string>()(name + std::to_string(++host.starts_));
  settings.retries_ = retries_;
  host.core_ = std::make_unique<RegistryCore>(settings);
  host.next_tick_ = now_;
  host.reopen_at_ = TimePoint::Never();
  if (host.has_disk_) {
    OpenDisk(host);
  }
}

void RegistryGroup::OpenDisk(RegistryHost& host) {
  ReplicaSettings replica;
  replica.self_ = host.node_;
  if (host.disk_.Load().entries_.empty() &&
      host.disk_.Load().snapshot_index_.IsNone()) {
    replica.initial_members_ = seeds_;
  }
  replica.seed_ = std::hash<std::string>()(host.node_.Value() +
                                           std::to_string(host.starts_));
  replica.heartbeat_ = Duration(100);
  replica.lease_ = Duration(450);
  replica.election_min_ = Duration(600);
  replica.election_max_ = Duration(1100);
  host.core_->AttachReplica(ReplicaCore(replica, host.disk_.Load()));
}

void RegistryGroup::RefuseWrite(RegistryHost& host) {
  host.disk_.Crash();
  host.sync_at_ = TimePoint::Never();
  host.reopen_at_ = now_ + kReopen;
  Step(host, Envelope{{host.node_, Port::kDisk},
                      {host.node_, Port::kControl},
                      {},
                      DiskFailed{0, "no space left"}});
  host.core_->DetachReplica();
}

void RegistryGroup::Step(RegistryHost& host, const Envelope& in) {
  Outbox out(Endpoint{host.node_, Port::kControl});
  host.core_->OnMessage(NowOf(host), in, out);
  CarryOut(host, out);
}

void RegistryGroup::CarryOut(RegistryHost& host, Outbox& out) {
  for (const Envelope& envelope : out.TakeSent()) {
    if (envelope.to_.port_ == Port::kDisk) {
      host.disk_.Submit(envelope.body_);
    } else {
      link_.Send(now_, envelope);
    }
  }
  if (host.disk_.HasPending() && host.sync_at_ == TimePoint::Never()) {
    host.sync_at_ = now_ + kSync;
  }
  for (const OperationResult& end : host.core_->TakeCompletedOperations()) {
    host.completed_operations_.push_back(end);
  }
}

void RegistryGroup::Thaw(const std::string& name) {
  RegistryHost& host = Host(name);
  host.is_frozen_ = false;
  for (const Envelope& envelope : std::exchange(host.held_, {})) {
    Step(host, envelope);
  }
}

void RegistryGroup::Run(Duration duration) {
  const TimePoint end = now_ + duration;
  while (now_ < end) {
    now_ = now_ + Duration(1);
    for (const Envelope& envelope : link_.TakeDue(now_)) {
      RegistryHost& host = Host(envelope.to_.node_.Value());
      const auto* retry = std::get_if<RetryReply>(&envelope.body_);
      const auto* limit = std::get_if<LimitReply>(&envelope.body_);
      if (retry != nullptr) {
        host.retry_replies_.push_back(*retry);
      } else if (limit != nullptr) {
        host.limit_replies_.push_back(*limit);
      } else if (host.is_frozen_) {
        host.held_.push_back(envelope);
      } else if (host.core_) {
        Step(host, envelope);
      }
    }
    for (auto& [name, host] : hosts_) {
      if (host.is_frozen_) {
        continue;
      }
      if (host.core_ && now_ >= host.reopen_at_) {
        host.reopen_at_ = TimePoint::Never();
        OpenDisk(host);
      }
      if (host.core_ && now_ >= host.sync_at_ && host.disk_is_full_) {
        RefuseWrite(host);
      }
      if (host.core_ && now_ >= host.sync_at_) {
        host.sync_at_ = TimePoint::Never();
        Step(host, Envelope{{host.node_, Port::kDisk},
                            {host.node_, Port::kControl},
                            {},
                            host.disk_.Sync()});
      }
      if (host.core_ && now_ >= host.next_tick_) {
        host.next_tick_ = now_ + kTick;
        Step(host, Envelope{{host.node_, Port::kTransport},
                            {host.node_, Port::kControl},
                            {},
                            Tick{}});
      }
    }
  }
}

OperationResult RegistryGroup::WaitFor(RegistryHost& host, OperationId id) {
  for (int i = 0; i < 200; ++i) {
    for (const OperationResult& end : host.completed_operations_) {
      if (end.operation_ == id) {
        return end;
      }
    }
    Run(Duration(10));
  }
  return OperationResult{id, OperationState::kUnknown, 0};
}

void RegistryGroup::Act(
    const std::string& at,
    const std::function<void(TimePoint, RegistryCore&, Outbox&)>& act) {
  RegistryHost& host = Host(at);
  Outbox out(Endpoint{host.node_, Port::kControl});
  act(NowOf(host), *host.core_, out);
  CarryOut(host, out);
}

OperationState RegistryGroup::Change(const std::string& at, uint64_t version,
                                     const std::string& text) {
  OperationId id;
  Act(at, [&](TimePoint now, RegistryCore& core, Outbox& out) {
    id = core.SubmitChange(now, version, text, out);
  });
  return WaitFor(Host(at), id).state_;
}

OperationId RegistryGroup::BeginEvacuation(const std::string& at,
                                           const std::string& data_centre,
                                           bool withdrawn, Duration age) {
  OperationId id;
  Act(at, [&](TimePoint now, RegistryCore& core, Outbox& out) {
    id = core.SubmitEvacuation(
        now, now - age, EvacuationOrder{DataCentreId(data_centre), withdrawn},
        out);
  });
  return id;
}

OperationResult RegistryGroup::Read(const std::string& at) {
  OperationId id;
  Act(at, [&](TimePoint now, RegistryCore& core, Outbox& out) {
    id = core.ConfirmVersion(now, out);
  });
  return WaitFor(Host(at), id);
}

void RegistryGroup::Isolate(const std::string& name, bool isolated) {
  std::vector<NodeId> others;
  for (const auto& [other, host] : hosts_) {
    if (other != name) {
      others.push_back(host.node_);
    }
  }
  link_.SetIsolated(NodeId(name), others, isolated);
}

std::string RegistryGroup::Leader() {
  std::string leader;
  for (const auto& [name, host] : hosts_) {
    if (host.core_ && host.core_->Replica() != nullptr &&
        host.core_->Replica()->IsLeader()) {
      leader = leader.empty() ? name : "several";
    }
  }
  return leader;
}

bool RegistryGroup::AllHaveLeases() {
  for (const auto& [name, host] : hosts_) {
    if (host.core_ && !host.core_->HasLease(NowOf(host))) {
      return false;
    }
  }
  return true;
}

std::optional<OperationId> RegistryGroup::Register(
    const std::string& at, const TargetRegistration& target) {
  std::optional<OperationId> leaving;
  Act(at, [&](TimePoint now, RegistryCore& core, Outbox& out) {
    leaving = core.RegisterTarget(now, target, out);
  });
  return leaving;
}

OperationId RegistryGroup::Depart(const std::string& at, const std::string& id,
                                  Duration age) {
  OperationId operation;
  Act(at, [&](TimePoint now, RegistryCore& core, Outbox& out) {
    operation = core.Depart(now, now - age, TargetId(id), kWallMs, out);
  });
  return operation;
}

void RegistryGroup::ReportCrash(const std::string& at,
                                const EngineCrash& crash) {
  Act(at, [&](TimePoint now, RegistryCore& core, Outbox& out) {
    core.ReportCrash(now, crash, out);
  });
}

void RegistryGroup::BeginAnswer(const std::string& at,
                                const std::string& service,
                                const std::vector<PromptPartId>& parts) {
  Act(at, [&](TimePoint now, RegistryCore& core, Outbox& out) {
    core.OnAnswerBegun(now, service, parts, out);
  });
}

void RegistryGroup::AnswerLimit(const std::string& at, const TargetId& target,
                                std::optional<double> per_second,
                                TimePoint sent) {
  Act(at, [&](TimePoint now, RegistryCore& core, Outbox& out) {
    core.OnAnswerLimit(now, target, per_second, sent, out);
  });
}

void RegistryGroup::AskLeader(const std::string& at, const Message& ask) {
  if (Host(at).core_ && !Core(at).Leader().IsNone()) {
    Act(at, [&](TimePoint /*now*/, RegistryCore& core, Outbox& out) {
      out.Send({core.Leader(), Port::kControl}, ask);
    });
  }
}

}  // namespace gv
