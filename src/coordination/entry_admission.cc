/** @file entry_admission.cc From a caller's request to the queue of its model.
 */
#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/entry_desk.h"

namespace gv {
namespace {

constexpr int64_t kMsPerSecond = 1000;
constexpr Duration kRatePeriod(250);     ///< Between updates of rates.
constexpr double kRateSmoothing = 0.3;   ///< Weight of the newest period.
constexpr double kDefaultRate = 20'000;  ///< Prompt tokens a second.
constexpr Duration kMinRetryAfter(500);  ///< Least Retry-After at overload.
constexpr double kLongSafety = 2.0;  ///< Long prefill yields to short prompts.
constexpr Duration kFixedTime(30);   ///< Network and queueing at an engine.
constexpr size_t kMaxQueued = 20'000;  ///< Requests in progress at one entry.

}  // namespace

void EntryDesk::OnCaller(TimePoint now, const CallerRequest& request,
                         Outbox& out) {
  if (requests_.contains(request.spec_.request_)) {
    return;
  }
  RequestRecord& record = requests_[request.spec_.request_];
  record.spec_ = request.spec_;
  record.arrived_at_ = now;
  record.deadline_ = now + request.time_left_ - kDeadlineMargin;
  record.lane_ = LaneOf(record.spec_.prompt_tokens_);
  deadlines_.emplace(record.deadline_, record.spec_.request_);
  const auto key = keys_.find(request.api_key_hash_);
  const TeamSettings* team = nullptr;
  if (key != keys_.end()) {
    team = &teams_.at(key->second);
    record.spec_.team_ = team->team_;
    record.spec_.priority_ =
        std::max(record.spec_.priority_, team->top_priority_);
  }
  Verdict verdict = CheckCaller(request, team);
  if (verdict.reason_ != Reason::kNone) {
    Refuse(record, std::move(verdict), out);
    return;
  }
  AskShare(now, record, out);
}

Verdict EntryDesk::CheckCaller(const CallerRequest& request,
                               const TeamSettings* team) const {
  const RequestSpec& spec = request.spec_;
  if (stopping_) {
    return NotRun(Reason::kStopping, "the entry is stopping");
  }
  if (!control_.has_lease_) {
    return NotRun(Reason::kNoLease, "the entry has no settings lease");
  }
  if (team == nullptr) {
    return NotRun(Reason::kUnauthenticated, "unknown API key");
  }
  const auto& models = team->models_;
  if (!models.empty() &&
      std::find(models.begin(), models.end(), spec.model_) == models.end()) {
    return NotRun(Reason::kForbidden, "the team may not call this model");
  }
  if (!spec.idempotent_ && spec.key_.IsNone()) {
    return NotRun(Reason::kBadRequest,
                  "a call that may not be repeated needs "
                  "an idempotency key");
  }
  if (!spec.idempotent_ && spec.kind_ == TargetKind::kEngine) {
    return NotRun(Reason::kBadRequest,
                  "only calls of services can be marked as not idempotent");
  }
  const ModelPool* pool = view_.Pool(spec.model_);
  if (pool == nullptr || pool->kind_ != spec.kind_) {
    return NotRun(Reason::kNoTarget, "no target serves " + spec.model_.Value());
  }
  if (request.time_left_ <= kDeadlineMargin) {
    return NotRun(Reason::kDeadline, "the deadline has passed");
  }
  if (requests_.size() > kMaxQueued) {
    Verdict verdict = NotRun(Reason::kOverloaded, "the entry is full");
    verdict.retry_after_ = kMinRetryAfter;
    return verdict;
  }
  return Verdict{};
}

void EntryDesk::AskShare(TimePoint now, RequestRecord& record, Outbox& out) {
  const auto team = teams_.find(record.spec_.team_);
  if (team == teams_.end() || !control_.has_lease_) {
    Refuse(record, NotRun(Reason::kNoLease, "the settings changed"), out);
    return;
  }
  const LimitAnswer answer =
      limits_.Start(now, team->second, KvTokens(record.spec_));
  if (answer == LimitAnswer::kWait) {
    record.phase_ = RequestPhase::kAwaitingShare;
    return;
  }
  if (answer == LimitAnswer::kRefused) {
    Verdict verdict = NotRun(Reason::kLimitReached, "the team's limit is used");
    verdict.retry_after_ = limits_.RetryAfter(now, team->second);
    Refuse(record, std::move(verdict), out);
    return;
  }
  record.charged_ = LimitShares::IsLimited(team->second);
  Enqueue(now, record, out);
}

void EntryDesk::Enqueue(TimePoint now, RequestRecord& record, Outbox& out) {
  ModelQueue& queue = queues_[record.spec_.model_];
  const ModelPool* pool = view_.Pool(record.spec_.model_);
  if (pool == nullptr) {
    Refuse(record, NotRun(Reason::kNoTarget, "no target serves the model"),
           out);
    return;
  }
  const Duration estimate = EstimateTime(queue, *pool, record);
  const Duration left = record.deadline_ - now;
  if (estimate > left) {
    Verdict verdict = NotRun(Reason::kOverloaded,
                             "the deadline cannot be met at the present load");
    verdict.retry_after_ = std::max(kMinRetryAfter, estimate - left);
    Refuse(record, std::move(verdict), out);
    return;
  }
  if (record.attempts_ == 0) {
    retries_.OnAdmitted();
    out.Record(Event{EventId::kRequestAdmitted,
                     {},
                     {},
                     record.spec_.request_,
                     record.spec_.team_,
                     {},
                     {},
                     ""});
  }
  record.phase_ = RequestPhase::kQueued;
  queue.queue_.Push(QueueForm(record));
  dispatch_wanted_ = true;
}

Duration EntryDesk::EstimateTime(const ModelQueue& queue, const ModelPool& pool,
                                 const RequestRecord& record) const {
  if (record.spec_.kind_ == TargetKind::kService) {
    return Duration(0);
  }
  const double rate = queue.rate_ > 0 ? queue.rate_ : kDefaultRate;
  const double ahead =
      static_cast<double>(queue.queue_.TokensAhead(QueueForm(record)));
  return Duration(std::llround(ahead / rate * kMsPerSecond)) +
         ServiceTime(queue, pool, record);
}

Duration EntryDesk::ServiceTime(const ModelQueue& queue, const ModelPool& pool,
                                const RequestRecord& record) const {
  const RequestSpec& spec = record.spec_;
  if (spec.kind_ == TargetKind::kService) {
    return Duration(0);
  }
  const auto engines =
      static_cast<double>(std::max<size_t>(1, pool.slots_.size()));
  double engine_rate =
      std::max(1.0, static_cast<double>(pool.prefill_rate_) / engines);
  if (NeedsGroup(record)) {
    const auto memory =
        static_cast<double>(std::max<int64_t>(1, pool.largest_memory_));
    engine_rate *= std::max(1.0, static_cast<double>(KvTokens(spec)) / memory);
  }
  const double safety = record.lane_ == Lane::kShort ? 1.0 : kLongSafety;
  const double prefill =
      static_cast<double>(spec.prompt_tokens_) / engine_rate * safety;
  const double decode =
      static_cast<double>(spec.max_output_tokens_ - record.tokens_delivered_) *
      queue.token_ms_ * std::min(1.0, queue.output_part_ * kOutputSafety);
  return kFixedTime + Duration(std::llround(prefill * kMsPerSecond + decode));
}

QueuedRequest EntryDesk::QueueForm(const RequestRecord& record) const {
  QueuedRequest queued;
  queued.request_ = record.spec_.request_;
  queued.team_ = record.spec_.team_;
  queued.lane_ = record.lane_;
  queued.priority_ = record.spec_.priority_;
  queued.cost_ = record.spec_.prompt_tokens_;
  queued.since_ = record.arrived_at_;
  queued.deadline_ = record.deadline_;
  const auto team = teams_.find(record.spec_.team_);
  queued.share_ = team == teams_.end() ? 1 : team->second.share_;
  return queued;
}

void EntryDesk::Refuse(RequestRecord& record, Verdict verdict, Outbox& out) {
  out.Record(Event{EventId::kRequestRefused,
                   {},
                   {},
                   record.spec_.request_,
                   record.spec_.team_,
                   {},
                   {},
                   verdict.detail_});
  CallerEnd end;
  end.verdict_ = std::move(verdict);
  Finish(record, std::move(end), out);
}

bool EntryDesk::IsHopeless(TimePoint now, const RequestRecord& record) const {
  const ModelPool* pool = view_.Pool(record.spec_.model_);
  const auto queue = queues_.find(record.spec_.model_);
  if (pool == nullptr || queue == queues_.end()) {
    return true;
  }
  return now + ServiceTime(queue->second, *pool, record) > record.deadline_;
}

void EntryDesk::RefuseHopeless(TimePoint now, Outbox& out) {
  std::vector<RequestId> hopeless;
  for (const auto& [id, record] : requests_) {
    const bool waits = record.phase_ == RequestPhase::kQueued ||
                       record.phase_ == RequestPhase::kPlacingGroup;
    if (waits && IsHopeless(now, record)) {
      hopeless.push_back(id);
    }
  }
  for (const RequestId id : hopeless) {
    RefuseLate(now, requests_.at(id), out);
  }
}

void EntryDesk::RefuseLate(TimePoint now, RequestRecord& record, Outbox& out) {
  Verdict verdict =
      NotRun(Reason::kOverloaded, "no target is free within the deadline");
  verdict.retry_after_ = std::max(kMinRetryAfter, now - record.arrived_at_);
  if (record.attempts_ > 0) {
    verdict.run_state_ = RunState::kMayHaveRun;
  }
  Refuse(record, std::move(verdict), out);
}

void EntryDesk::UpdateRates(TimePoint now) {
  for (auto& [model, queue] : queues_) {
    const Duration period = now - queue.period_start_;
    if (period < kRatePeriod) {
      continue;
    }
    const ModelPool* pool = view_.Pool(model);
    double whole = 0;
    for (const TargetSlot slot :
         pool ? pool->slots_ : std::vector<TargetSlot>()) {
      const TargetRecord& target = view_.At(slot);
      if (view_.IsOpen(now, target) && target.info_.memory_tokens_ > 0) {
        const double part = static_cast<double>(target.credit_.tokens_) /
                            static_cast<double>(target.info_.memory_tokens_);
        whole += std::min(1.0, part) *
                 static_cast<double>(target.info_.prefill_tokens_per_second_);
      }
    }
    const double seen = static_cast<double>(queue.dispatched_tokens_) *
                        kMsPerSecond / static_cast<double>(period.Ms());
    const double goal = queue.was_empty_ ? std::max(whole, seen) : seen;
    queue.rate_ = queue.rate_ == 0
                      ? whole
                      : queue.rate_ + kRateSmoothing * (goal - queue.rate_);
    queue.dispatched_tokens_ = 0;
    queue.was_empty_ = queue.queue_.empty();
    queue.period_start_ = now;
  }
}

}  // namespace gv
