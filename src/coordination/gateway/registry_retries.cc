/** @file registry_retries.cc Permits of retries that the leader gives out from
 * the slack of the retry budgets. */
#include <algorithm>

#include "coordination/gateway/registry_core.h"
#include "coordination/gateway/retry_entry.h"

namespace gv {

RegistryCore::ServiceRetries& RegistryCore::RetriesOf(
    const std::string& service) {
  return retries_.try_emplace(service, settings_.retries_).first->second;
}

void RegistryCore::OnRetryAsk(TimePoint now, const Endpoint& from,
                              const RetryAsk& ask, Outbox& out) {
  const RetryAsker asker{from, ask.operation_};
  if (!IsActiveLeader(now)) {
    AnswerRetry(ask.service_, asker, false, "cause=leader", out);
    return;
  }
  if (now < retries_known_at_) {
    AnswerRetry(ask.service_, asker, false, "cause=snapshot", out);
    return;
  }
  ServiceRetries& retries = RetriesOf(ask.service_);
  const size_t open = retries.waiting_.size() + retries.proposed_.size();
  const size_t left = retries.reserve_.Left(now);
  if (left <= open) {
    AnswerRetry(ask.service_, asker, false,
                "cause=slack left=" + std::to_string(left) +
                    " open=" + std::to_string(open),
                out);
    return;
  }
  retries.waiting_.push_back(asker);
  ProposeRetries(now, ask.service_, retries, out);
}

void RegistryCore::ProposeRetries(TimePoint now, const std::string& service,
                                  ServiceRetries& retries, Outbox& out) {
  // One entry at a time; those who ask meanwhile share the next one.
  if (retries.waiting_.empty() || !retries.proposed_.empty()) {
    return;
  }
  retries.proposed_.swap(retries.waiting_);
  const Result<LogIndex> index = replica_->Propose(
      now, EntryKind::kCommand,
      EncodeRetryEntry(RetryEntry{service, retries.proposed_.size()}), out);
  if (!index.has_value()) {
    Record(EventId::kSettingsRefused, index.error().detail_, out);
    RefuseRetries(service, retries, out);
    return;
  }
  retries.index_ = index.value();
  retries.term_ = replica_->CurrentTerm();
}

void RegistryCore::OnRetryEntry(TimePoint now, const LogEntry& entry,
                                const std::string& service, size_t permits,
                                Outbox& out) {
  ServiceRetries& retries = RetriesOf(service);
  retries.reserve_.Add(now, permits);
  if (retries.proposed_.empty() || retries.index_ != entry.index_) {
    return;
  }
  const bool is_own = retries.term_ == entry.term_;
  const std::string detail =
      "left=" + std::to_string(retries.reserve_.Left(now)) +
      " index=" + std::to_string(entry.index_.Value());
  for (const RetryAsker& asker : std::exchange(retries.proposed_, {})) {
    AnswerRetry(service, asker, is_own, detail, out);
  }
  if (replica_->IsLeader()) {
    ProposeRetries(now, service, retries, out);
  }
}

void RegistryCore::RefuseRetries(const std::string& service,
                                 ServiceRetries& retries, Outbox& out) {
  for (auto* askers : {&retries.proposed_, &retries.waiting_}) {
    for (const RetryAsker& asker : std::exchange(*askers, {})) {
      AnswerRetry(service, asker, false, "cause=leader", out);
    }
  }
}

void RegistryCore::TickRetries(TimePoint now, Outbox& out) {
  const bool leads = replica_ && replica_->IsLeader();
  for (auto it = retries_.begin(); it != retries_.end();) {
    auto& [service, retries] = *it;
    if (!leads) {
      RefuseRetries(service, retries, out);
    }
    const bool idle = retries.waiting_.empty() && retries.proposed_.empty() &&
                      !retries.reserve_.HasPermits(now);
    it = idle ? retries_.erase(it) : std::next(it);
  }
}

void RegistryCore::AnswerRetry(const std::string& service,
                               const RetryAsker& asker, bool granted,
                               const std::string& detail, Outbox& out) const {
  Record(granted ? EventId::kRetryGranted : EventId::kRetryRefused,
         "gateway=" + asker.from_.node_.Value() + " service=" + service + " " +
             detail,
         out);
  out.Send(asker.from_, RetryReply{asker.operation_, granted});
}

}  // namespace gv
