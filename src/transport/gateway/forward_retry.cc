/** @file forward_retry.cc Sends a failed request to another target if the
 * budget of retries permits it. */
#include "transport/gateway/forward.h"
#include "transport/gateway/gateway.h"

namespace gv {
namespace {

/** Time between two requests for a permit while a target is silent. */
constexpr Duration kRetryAskPeriod = 500_ms;

}  // namespace

void Forward::RetryOrFinish(const AttemptEnd& end, const std::string& reason) {
  failed_ = FailedAttempt{end, reason};
  attempt_.reset();
  events_.DiscardPartialEvent();
  NoteMemory();
  if (!MayRetry(History(), end)) {
    DoNotRetry("limits");
    return;
  }
  if (IsQuarantined()) {
    DoNotRetry(kQuarantined);
    return;
  }
  EndLeaderRequest();
  skip_leader_ = false;
  ReleaseTickets();
  if (ObtainRetryPermit()) {
    Retry();
    return;
  }
  waiting_for_permit_ = AskForRetryPermit();
  if (!waiting_for_permit_) {
    DoNotRetry("budget");
  }
}

bool Forward::ObtainRetryPermit() {
  if (reached_ == 0) {
    // No target has seen the request, so sending it again adds no load.
    return true;
  }
  const TimePoint now = gateway_.Now();
  if (now < retry_permit_until_) {
    return true;
  }
  if (!gateway_.Retries(service_.name_).Consume(now)) {
    return false;
  }
  retry_permit_until_ = now + kRetryPermitLifetime;
  return true;
}

bool Forward::AskForRetryPermit() {
  const TimePoint now = gateway_.Now();
  if (retry_ask_) {
    return true;
  }
  if (!gateway_.IsLeaderAvailable() ||
      !gateway_.Retries(service_.name_).MayAskLeader(now)) {
    return false;
  }
  retry_ask_deadline_ = now + kRetryReplyTimeout;
  retry_ask_ = gateway_.AskForRetry(service_.name_,
                                    [self = shared_from_this()](bool granted) {
                                      self->OnRetryReply(granted);
                                    });
  return true;
}

void Forward::CheckRetryAsk(TimePoint now) {
  if (retry_ask_ && now >= retry_ask_deadline_) {
    gateway_.ForgetRetryAsk(*retry_ask_);
    OnRetryReply(false);
  }
}

void Forward::OnRetryReply(bool granted) {
  if (ended_) {
    return;
  }
  retry_ask_.reset();
  const TimePoint now = gateway_.Now();
  if (granted) {
    retry_permit_until_ = now + kRetryPermitLifetime;
  } else {
    gateway_.Retries(service_.name_).OnPermitRefused(now);
  }
  if (!std::exchange(waiting_for_permit_, false)) {
    // The attempt goes on; its target may still answer.
    next_retry_ask_ = now + kRetryAskPeriod;
    return;
  }
  if (!MayRetry(History(), failed_->end_)) {
    DoNotRetry("limits");
  } else if (granted) {
    Retry();
  } else {
    DoNotRetry("budget");
  }
}

void Forward::ReturnPlacement() {
  // The permit expired while the prompt was queued.
  EndLeaderRequest();
  skip_leader_ = false;
  ReleaseTickets();
  waiting_for_permit_ = AskForRetryPermit();
  if (!waiting_for_permit_) {
    DoNotRetry("budget");
  }
}

void Forward::Retry() {
  Log(answer_begun_ ? EventId::kForwardResumed : EventId::kForwardRetried,
      RetryDetail());
  limit_asked_ = false;
  StartAttempt();
}

void Forward::DoNotRetry(const char* cause) {
  Log(EventId::kForwardNotRetried,
      std::string("cause=") + cause + " " + RetryDetail());
  FinishWithoutRetry(failed_->end_, failed_->reason_);
}

std::string Forward::RetryDetail() const {
  const TimePoint now = gateway_.Now();
  std::string parts;
  for (const PromptPartId& part : parts_) {
    parts += (parts.empty() ? " parts=" : ",") + part.Value();
  }
  return "reason=" + failed_->reason_ + " sent=" + std::to_string(sent_) +
         " reached=" + std::to_string(reached_) +
         " events=" + std::to_string(events_.Count()) +
         " service=" + service_.name_ + " unspent=" +
         std::to_string(gateway_.Retries(service_.name_).UnspentRequests(now)) +
         parts;
}

}  // namespace gv
