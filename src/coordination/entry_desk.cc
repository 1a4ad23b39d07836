/** @file entry_desk.cc Inputs of the entry's desk. */
#include "coordination/entry_desk.h"

#include <utility>

namespace gv {

EntryDesk::EntryDesk(EntrySettings settings, uint64_t seed)
    : settings_(std::move(settings)), routing_(settings_.data_centre_, seed) {}

void EntryDesk::SetTeams(std::vector<TeamSettings> teams) {
  teams_.clear();
  keys_.clear();
  for (TeamSettings& team : teams) {
    for (const std::string& hash : team.key_hashes_) {
      keys_[hash] = team.team_;
    }
    TeamId id = team.team_;
    teams_.emplace(std::move(id), std::move(team));
  }
}

void EntryDesk::OnMessage(TimePoint now, const Envelope& in,
                          const SessionView& control, Outbox& out) {
  control_ = control;
  const Message& body = in.body_;
  if (const auto* request = std::get_if<CallerRequest>(&body)) {
    OnCaller(now, *request, out);
  } else if (const auto* gone = std::get_if<CallerGone>(&body)) {
    if (RequestRecord* record = FindRequest(gone->request_)) {
      Fail(*record, NotRun(Reason::kCancelled, "the caller went away"), out);
    }
  } else if (const auto* update = std::get_if<TargetUpdate>(&body)) {
    OnTargets(now, *update, out);
  } else if (const auto* down = std::get_if<PeerDown>(&body)) {
    OnPeerDown(now, down->peer_, out);
  } else if (std::holds_alternative<StopRequest>(body)) {
    stopping_ = true;
  } else if (std::holds_alternative<Tick>(body)) {
    OnTick(now, out);
  } else {
    OnAgentMessage(now, in, out);
    OnControlMessage(now, body, out);
  }
  if (dispatch_wanted_) {
    DispatchQueued(now, out);
  }
}

void EntryDesk::OnAgentMessage(TimePoint now, const Envelope& in, Outbox& out) {
  const Message& body = in.body_;
  if (const auto* credit = std::get_if<CreditGrant>(&body)) {
    view_.OnCredit(now, *credit);
    dispatch_wanted_ = true;
  } else if (const auto* load = std::get_if<LoadReport>(&body)) {
    view_.OnLoad(now, *load);
    dispatch_wanted_ = true;
  } else if (const auto* cache = std::get_if<CacheReport>(&body)) {
    view_.OnCache(*cache);
  } else if (const auto* chunk = std::get_if<StreamChunk>(&body)) {
    OnChunk(now, in.from_.node_, *chunk, out);
  } else if (const auto* end = std::get_if<StreamEnd>(&body)) {
    OnEnd(now, in.from_.node_, *end, out);
  } else if (const auto* reply = std::get_if<TestifyReply>(&body)) {
    OnTestify(now, *reply, out);
  }
}

void EntryDesk::OnControlMessage(TimePoint now, const Message& in,
                                 Outbox& out) {
  if (const auto* grant = std::get_if<ShareGrant>(&in)) {
    limits_.OnGrant(now, *grant);
    dispatch_wanted_ = true;
    for (auto& [id, record] : requests_) {
      if (record.phase_ == RequestPhase::kAwaitingShare &&
          record.spec_.team_ == grant->team_) {
        share_waiting_.push_back(id);
      }
    }
    for (const RequestId id : std::exchange(share_waiting_, {})) {
      AskShare(now, requests_.at(id), out);
    }
  } else if (const auto* claim = std::get_if<ClaimReply>(&in)) {
    OnClaimReply(now, *claim, out);
  } else if (const auto* finished = std::get_if<ClaimFinished>(&in)) {
    OnClaimFinished(now, *finished, out);
  } else if (const auto* group = std::get_if<GroupReply>(&in)) {
    OnGroupReply(now, *group, out);
  }
}

RequestRecord* EntryDesk::FindRequest(RequestId request) {
  const auto entry = requests_.find(request);
  return entry == requests_.end() ? nullptr : &entry->second;
}

void EntryDesk::OnTargets(TimePoint now, const TargetUpdate& update,
                          Outbox& out) {
  std::vector<TargetSlot> lost;
  if (!view_.Apply(now, update, lost)) {
    return;
  }
  for (const TargetInfo& info : update.changed_) {
    out.SendLocal(Port::kTransport, PeerAddress{info.agent_, info.address_});
  }
  std::vector<RequestId> affected;
  for (const auto& [id, record] : requests_) {
    for (const TargetSlot slot : lost) {
      if (record.use_.slot_ == slot) {
        affected.push_back(id);
      }
    }
  }
  for (const RequestId id : affected) {
    if (RequestRecord* record = FindRequest(id)) {
      OnAttemptLost(now, *record, out);
    }
  }
  dispatch_wanted_ = true;
}

void EntryDesk::OnPeerDown(TimePoint now, const NodeId& peer, Outbox& out) {
  std::vector<RequestId> affected;
  for (const auto& [id, record] : requests_) {
    if (record.agent_ == peer && record.phase_ == RequestPhase::kRunning) {
      affected.push_back(id);
    }
  }
  for (const RequestId id : affected) {
    if (RequestRecord* record = FindRequest(id)) {
      OnAttemptLost(now, *record, out);
    }
  }
}

}  // namespace gv
