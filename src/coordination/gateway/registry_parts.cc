/** @file registry_parts.cc Tells all gateways of the parts of prompts that
 * crash engines. */
#include <iterator>

#include "coordination/gateway/registry_core.h"

namespace gv {

std::vector<Endpoint> RegistryCore::OtherEndpoints() const {
  std::vector<Endpoint> others;
  for (const NodeId& node : OtherNodes()) {
    others.push_back(ControlEndpoint(node));
  }
  return others;
}

void RegistryCore::ReportCrash(TimePoint now, EngineCrash crash, Outbox& out) {
  const DirectoryEntry* entry = targets_.Find(crash.target_);
  crash.start_ms_ = entry == nullptr ? 0 : entry->target_.start_ms_;
  std::string prompts;
  for (const CrashedPrompt& prompt : crash.prompts_) {
    prompts += prompts.empty() ? "" : ";";
    for (const PromptPartId& part : prompt.parts_) {
      prompts +=
          (prompts.empty() || prompts.back() == ';' ? "" : ",") + part.Value();
    }
  }
  Event event;
  event.id_ = EventId::kEngineCrashed;
  event.target_ = crash.target_;
  event.detail_ = "service=" + crash.service_ +
                  " age_ms=" + std::to_string(crash.age_.Ms()) +
                  " prompts=" + prompts;
  out.Record(std::move(event));
  parts_.OnCrash(now, crash);
  out.SendToAll(OtherEndpoints(), std::move(crash));
}

void RegistryCore::OnAnswerBegun(TimePoint now, const std::string& service,
                                 const std::vector<PromptPartId>& parts,
                                 Outbox& out) {
  std::vector<PromptPartId> news = parts_.OnAnswer(now, service, parts);
  if (!news.empty()) {
    RecordParts(EventId::kPartAnswered, service, news, out);
    out.SendToAll(OtherEndpoints(), PartsAnswered{service, std::move(news)});
  }
}

void RegistryCore::TickParts(TimePoint now, Outbox& out) {
  parts_.SetGatewayIndex(static_cast<size_t>(
      std::distance(nodes_.begin(), nodes_.lower_bound(settings_.self_))));
  for (const auto& [service, part] : parts_.OnTick(now)) {
    RecordParts(EventId::kPartQuarantined, service, {part}, out);
  }
}

void RegistryCore::ComparePartTables(TimePoint now, const NodeId& from,
                                     const RegistryStatus& status,
                                     Outbox& out) {
  if (status.parts_digest_ == parts_.Digest()) {
    mismatched_parts_ = 0;
    return;
  }
  if (++mismatched_parts_ < kMismatchedPollLimit) {
    return;
  }
  mismatched_parts_ = 0;
  PartTable table = parts_.Table(now);
  table.wants_reply_ = true;
  out.Send(ControlEndpoint(from), std::move(table));
}

void RegistryCore::OnPartTable(TimePoint now, const Endpoint& from,
                               const PartTable& table, Outbox& out) {
  parts_.Merge(now, table);
  if (table.wants_reply_) {
    out.Send(from, parts_.Table(now));
  }
}

void RegistryCore::RecordParts(EventId id, const std::string& service,
                               const std::vector<PromptPartId>& parts,
                               Outbox& out) const {
  std::string list;
  for (const PromptPartId& part : parts) {
    list += (list.empty() ? "" : ",") + part.Value();
  }
  Record(id, "service=" + service + " parts=" + list, out);
}

}  // namespace gv
