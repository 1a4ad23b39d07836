/** @file gateway_registry.cc Feeds the registry core and carries out its
 * actions. */
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/outcome/try.hpp>
#include <iostream>

#include "transport/gateway/gateway.h"
#include "transport/steady_clock.h"

namespace gv {
namespace {

namespace asio = boost::asio;

/** Settings of the replica: a leader is missed after about a second, which
 * leaves two more for an election within the bound of three seconds. */
constexpr Duration kHeartbeat = 100_ms;
constexpr Duration kLeaderLease = 450_ms;
constexpr uint64_t kSnapshotEntries = 512;
constexpr uint64_t kTailEntries = 16;
constexpr uint64_t kMostUncommitted = 64;
constexpr Duration kReopenDelay = 700_ms;
/** Each gateway reports its load this often for each gateway there is, so that
 * the leader gets and sends some hundred reports a second at any size. */
constexpr Duration kLoadPeriodPerNode(3);
constexpr Duration kLoadPeriod = 50_ms;
/** The same without a leader, when each gateway reports to all others. */
constexpr Duration kMutualPeriodPerNode(6);
/** Reports are forgotten after two seconds; one may be lost. */
constexpr Duration kMostLoadPeriod = 900_ms;

}  // namespace

Result<void> Gateway::OpenDisk() {
  ReplicaSettings replica;
  replica.self_ = self_;
  replica.initial_members_ = SeedNodes(settings_);
  const bool is_seed = std::find(replica.initial_members_.begin(),
                                 replica.initial_members_.end(),
                                 self_) != replica.initial_members_.end();
  BOOST_OUTCOME_TRY(auto loaded,
                    FileDisk::Open(settings_.data_folder_, settings_.cluster_,
                                   self_, settings_.bootstrap_ && is_seed));
  replica.seed_ =
      std::hash<std::string>()(self_.Value()) + static_cast<uint64_t>(WallMs());
  replica.heartbeat_ = kHeartbeat;
  replica.lease_ = kLeaderLease;
  replica.election_min_ = kElectionMin;
  replica.election_max_ = kElectionMax;
  replica.snapshot_entries_ = kSnapshotEntries;
  replica.tail_entries_ = kTailEntries;
  replica.uncommitted_entries_ = kMostUncommitted;
  disk_ = std::move(loaded.disk_);
  registry_.AttachReplica(
      ReplicaCore(std::move(replica), std::move(loaded.replica_)));
  const uint64_t number = ++disk_number_;
  disk_->Start([this, number](Message message) {
    asio::post(io_, [this, number, message = std::move(message)]() mutable {
      if (number == disk_number_) {
        OnDiskMessage(std::move(message));
      }
    });
  });
  return boost::outcome_v2::success();
}

void Gateway::OnDiskMessage(Message message) {
  const bool failed = std::holds_alternative<DiskFailed>(message);
  Step(Envelope{
      {self_, Port::kDisk}, {self_, Port::kControl}, {}, std::move(message)});
  if (failed) {
    registry_.DetachReplica();
    ++disk_number_;
    reopen_disk_ = Now() + kReopenDelay;
    Record(EventId::kDependencyLost, "disk");
  }
}

void Gateway::ReopenDisk() {
  disk_.reset();
  const Result<void> opened = OpenDisk();
  reopen_disk_ = opened.has_value() ? TimePoint::Never() : Now() + kReopenDelay;
  Record(opened.has_value() ? EventId::kDependencyRegained
                            : EventId::kDependencyLost,
         opened.has_value() ? "disk" : opened.error().detail_);
}

void Gateway::OnPeerEnvelope(Envelope envelope) {
  if (const auto* load = std::get_if<GatewayLoad>(&envelope.body_)) {
    ledger_.SetReport(Now(), envelope.from_.node_, *load);
    return;
  }
  if (OnPromptMessage(envelope.from_.node_, envelope.body_)) {
    return;
  }
  Step(envelope);
}

void Gateway::Step(const Envelope& in) {
  if (const auto* reply = std::get_if<RetryReply>(&in.body_)) {
    OnRetryReply(*reply);
    return;
  }
  if (const auto* limit = std::get_if<LimitReply>(&in.body_)) {
    OnLimitReply(*limit);
    return;
  }
  Outbox out(Endpoint{self_, Port::kControl});
  registry_.OnMessage(Now(), in, out);
  CarryOut(out);
}

void Gateway::CarryOut(Outbox& out) {
  for (Event& event : out.TakeEvents()) {
    Record(event);
  }
  for (const Broadcast& item : out.TakeBroadcasts()) {
    for (const Endpoint& to : item.to_) {
      peers_->SetAddress(to.node_, to.node_.Value());
    }
    peers_->SendToAll(out.Self(), item.to_, item.body_);
  }
  for (Envelope& envelope : out.TakeSent()) {
    if (envelope.to_.port_ == Port::kDisk) {
      if (disk_) {
        disk_->Submit(std::move(envelope));
      }
    } else if (envelope.to_.node_ == self_) {
      asio::post(io_,
                 [this, envelope = std::move(envelope)]() { Step(envelope); });
    } else {
      peers_->SetAddress(envelope.to_.node_, envelope.to_.node_.Value());
      peers_->Send(std::move(envelope));
    }
  }
  TakeServed();
  FinishOperations();
}

void Gateway::TakeServed() {
  const ConfigurationStore& served = registry_.ServedConfiguration();
  if (served.Version() == table_version_) {
    return;
  }
  table_version_ = served.Version();
  auto configuration =
      codec_.decode_configuration_(served.Text(), known_routes_);
  if (!configuration.has_value()) {
    Record(EventId::kBadInput, configuration.error().detail_);
    return;
  }
  auto table = RoutingTable::Build(std::move(configuration.value()));
  if (!table.has_value()) {
    Record(EventId::kBadInput, table.error().detail_);
    return;
  }
  table_ = std::move(table.value());
  Event applied;
  applied.id_ = EventId::kConfigurationApplied;
  applied.revision_ = Revision(table_version_);
  applied.detail_ = table_->Summary();
  Record(applied);
  registry_.SetColdServices(Now(), table_->ColdServices());
}

void Gateway::FinishOperations() {
  for (const OperationResult& end : registry_.TakeCompletedOperations()) {
    const auto found = operations_.find(end.operation_);
    if (found != operations_.end()) {
      const auto done = std::move(found->second);
      operations_.erase(found);
      done(end);
    }
  }
}

void Gateway::ShareLoad(TimePoint now) {
  if (now < next_load_) {
    return;
  }
  const auto nodes = static_cast<int64_t>(registry_.NodeCount());
  const bool has_leader = IsLeaderAvailable();
  next_load_ =
      now +
      std::clamp(
          (has_leader ? kLoadPeriodPerNode : kMutualPeriodPerNode) * nodes,
          kLoadPeriod, kMostLoadPeriod);
  const std::vector<NodeId> others = registry_.OtherNodes();
  const auto place =
      std::count_if(others.begin(), others.end(),
                    [this](const NodeId& node) { return node < self_; });
  ledger_.SetGatewayIndex(static_cast<size_t>(place), others.size() + 1);
  ledger_.ExpireOverduePrefill(now);
  GatewayLoad load = ledger_.OwnReport(now);
  if (has_leader && registry_.Leader() == self_) {
    SendSums(load);
    return;
  }
  const bool empty = load.rows_.empty();
  if (empty && load_sent_empty_) {
    return;
  }
  load_sent_empty_ = empty;
  if (has_leader) {
    LoadLedger::RemoveRowsPlacedByLeader(load);
    SendToPeer(registry_.Leader(), std::move(load));
    return;
  }
  for (const NodeId& node : others) {
    SendToPeer(node, load);
  }
}

void Gateway::SendSums(const GatewayLoad& own) {
  // Prompts are placed by the leader, so only calls need the load of targets.
  const auto takes_calls = [this](const TargetId& target) {
    const DirectoryEntry* entry = registry_.Targets().Find(target);
    const Service* service = entry == nullptr || !table_
                                 ? nullptr
                                 : table_->FindService(entry->target_.service_);
    return service != nullptr && !service->engine_;
  };
  for (auto& [gateway, sum] : ledger_.SumsForOthers(own, takes_calls)) {
    SendToPeer(gateway, std::move(sum));
  }
}

}  // namespace gv
