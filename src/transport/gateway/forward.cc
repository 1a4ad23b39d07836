/** @file forward.cc Admission, refusal and end of forwarded requests. */
#include "transport/gateway/forward.h"

#include <algorithm>

#include "state/run_promise.h"
#include "transport/gateway/gateway.h"
#include "transport/http_reply.h"

namespace gv {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
/** Time before the caller's deadline at which a request ends. It covers the
 * network latency to the caller, one tick and scheduling delay on a busy
 * machine, so that the answer arrives in time. */
constexpr Duration kAnswerMargin = 80_ms;
/** Retry-After of a gateway that is stopping; other gateways can accept the
 * request immediately. */
constexpr Duration kOtherGatewayRetry = 20_ms;
/** Deadline of a caller that names none, while no route is known. */
constexpr Duration kUnknownDeadline = 5_s;
/** Memory of a request in progress besides its message. */
constexpr size_t kRequestOverheadBytes = 4096;

}  // namespace

Forward::Forward(Gateway& gateway, std::shared_ptr<GatewayCaller> caller,
                 CountedRequest request)
    : gateway_(gateway),
      caller_(std::move(caller)),
      request_(std::move(request)),
      memory_(gateway_.Memory(), HolderKind::kRequest,
              [this]() { EndForMemory(); }),
      facts_(gateway_.Codec().read_caller_(request_.base())),
      parts_(Parts()),
      arrived_(gateway_.Now()),
      events_(facts_.last_event_) {}

void Forward::Start() {
  NoteMemory();
  if (gateway_.AcceptsRequests() && !CanAdmit()) {
    HoldOrRefuse();
    return;
  }
  AdmitAndPlace();
}

void Forward::AdmitAndPlace() {
  if (Admit()) {
    StartAttempt();
  }
}

bool Forward::CanAdmit() const {
  return gateway_.Table() != nullptr &&
         gateway_.Registry().HasLease(gateway_.Now());
}

const Route* Forward::FindRoute() const {
  const RoutingTable* table = gateway_.Table();
  const auto host = request_[http::field::host];
  const auto path = request_.target();
  return table == nullptr ? nullptr
                          : table->FindRoute({host.data(), host.size()},
                                             {path.data(), path.size()});
}

std::string Forward::ChosenService(const Route& route) const {
  return RoutingTable::ChooseService(route,
                                     std::hash<std::string>()(facts_.attempt_));
}

size_t Forward::WaitingBytes() const {
  return HeldBytes(request_) + kRequestOverheadBytes;
}

void Forward::NoteMemory() {
  size_t bytes = WaitingBytes() + events_.PartialEventBytes();
  if (attempt_) {
    bytes += attempt_->request_bytes_ + HeldBytes(attempt_->fields_) +
             attempt_->body_.capacity() + attempt_->unparsed_bytes_;
  }
  if (target_failure_) {
    bytes +=
        HeldBytes(target_failure_->fields_) + target_failure_->body_.capacity();
  }
  memory_.Set(bytes);
}

void Forward::EndForMemory() {
  const auto self = shared_from_this();
  if (ended_) {
    return;
  }
  if (attempt_ && (attempt_->status_ != 0 || attempt_->unparsed_bytes_ > 0)) {
    AbandonAttempt(kTooMuchMemory, HealthOutcome::kError);
  } else {
    FinishWithoutRetry(AttemptEnd{RunState::kNotRun, false}, kTooMuchMemory);
  }
}

void Forward::HoldOrRefuse() {
  const Route* route = FindRoute();
  Duration deadline = facts_.deadline_.value_or(kUnknownDeadline);
  UnleasedRequest unleased;
  if (route != nullptr) {
    deadline =
        std::min(facts_.deadline_.value_or(route->timeout_), route->timeout_);
    service_ = *gateway_.Table()->FindService(ChosenService(*route));
    unleased.work_ = PredictedWork();
  }
  const TimePoint now = gateway_.Now();
  unleased.time_left_ = deadline - kAnswerMargin - (now - arrived_);
  unleased.bytes_ = WaitingBytes();
  const bool waited = waiting_for_lease_;
  StopWaitingForLease();
  const LeaseOutlook outlook = gateway_.Registry().OutlookOfLease(now);
  const LeaseDecision decision =
      DecideLeaseWait(outlook, unleased, gateway_.HeldRequests());
  if (decision.waits_) {
    if (!waited) {
      Log(EventId::kForwardHeld,
          "expected_ms=" +
              std::to_string(decision.lease_in_.value_or(Duration()).Ms()) +
              " left_ms=" + std::to_string(unleased.time_left_.Ms()) +
              " contact_ms=" + std::to_string(outlook.in_contact_.Ms()) +
              " silence_ms=" + std::to_string(outlook.member_silence_.Ms()) +
              " held=" + std::to_string(gateway_.HeldRequests().requests_));
    }
    waiting_for_lease_ = true;
    gateway_.HeldRequests().Add(unleased.bytes_);
    return;
  }
  Refuse(kUnavailable,
         gateway_.Table() == nullptr ? "no-configuration" : "no-lease",
         ReturnTime(decision.lease_in_, unleased.time_left_));
}

void Forward::StopWaitingForLease() {
  if (waiting_for_lease_) {
    waiting_for_lease_ = false;
    gateway_.HeldRequests().Remove(WaitingBytes());
  }
}

bool Forward::Admit() {
  const TimePoint now = gateway_.Now();
  const RoutingTable* table = gateway_.Table();
  if (!gateway_.AcceptsRequests()) {
    Refuse(kUnavailable, "stopping", kOtherGatewayRetry);
    return false;
  }
  config_version_ = table->Configuration().version_;
  const Route* route = FindRoute();
  if (route == nullptr) {
    Refuse(kNotFound, "no-route", Duration());
    return false;
  }
  route_ = *route;
  priority_ = route_.priority_;
  const AccessDecision caller = table->AccessOf(route_, facts_.key_);
  if (caller.access_ == Access::kDenied) {
    Refuse(kUnauthorized, "unknown-key", Duration());
    return false;
  }
  if (caller.customer_ != nullptr) {
    customer_ = caller.customer_->name_;
    priority_ = caller.customer_->priority_.value_or(priority_);
  }
  service_ = *table->FindService(ChosenService(route_));
  const Duration deadline = facts_.deadline_.value_or(route_.timeout_);
  caller_deadline_ = arrived_ + std::min(deadline, route_.timeout_);
  answer_deadline_ =
      arrived_ + std::min(deadline - kAnswerMargin, route_.timeout_);
  if (!IsRepeatable(route_.kind_, route_.resumable_) &&
      caller_deadline_ > gateway_.StopsAt()) {
    // It might be cut at the end of the stop, and no gateway could repeat it.
    Refuse(kUnavailable, "stopping", kOtherGatewayRetry);
    return false;
  }
  gateway_.Retries(service_.name_).OnRequest(now);
  Log(EventId::kForwardAdmitted,
      "prompt=" + std::to_string(facts_.prompt_tokens_) + " deadline_ms=" +
          std::to_string(deadline.Ms()) + " rank=" + std::to_string(priority_) +
          " config=" + std::to_string(config_version_) +
          " access=" + std::string(NameOf(kAccessNames, caller.access_)) + " " +
          parts_.back().Value());
  return true;
}

Duration Forward::PredictedWork() const {
  return IsPrompt() ? Placer::ShortestWork(ToPlace())
                    : gateway_.TimesOf(service_.name_).Usual();
}

CallerTime Forward::TimeOfCaller() const {
  const TimePoint now = gateway_.Now();
  CallerTime time{answer_deadline_ - now, {}};
  if (const auto patience = gateway_.PatienceOf(route_.name_).Longest(now)) {
    time.until_leaves_ = *patience - (now - arrived_);
  }
  return time;
}

bool Forward::IsPrompt() const {
  return service_.engine_.has_value() && facts_.prompt_tokens_ > 0;
}

Duration Forward::TimeLeft() const { return caller_deadline_ - gateway_.Now(); }

Duration Forward::ReturnTime(std::optional<Duration> room_in,
                             Duration time_left) const {
  constexpr uint64_t kParts = 64;
  const uint64_t hash = std::hash<std::string>()(facts_.attempt_);
  return ReturnAfter(RefusedRequest{
      room_in, time_left, PredictedWork(),
      static_cast<double>(hash % kParts) / static_cast<double>(kParts)});
}

void Forward::Refuse(unsigned status, const std::string& reason,
                     Duration retry_after) {
  if (PromisesNotRun(status) && may_have_run_ > 0) {
    FailWith(kBadGateway, reason);
    return;
  }
  WholeAnswer answer;
  answer.status_ = status;
  answer.fields_.set(http::field::content_type, "application/json");
  if (retry_after > Duration()) {
    SetRetryAfter(retry_after, answer.fields_);
  }
  answer.body_ = VerdictBody(NotRun(Reason::kOverloaded, reason));
  Log(EventId::kForwardRefused,
      "status=" + std::to_string(status) + " reason=" + reason +
          " retry_ms=" + std::to_string(retry_after.Ms()) +
          " config=" + std::to_string(config_version_) + RunDetail() +
          " waited_ms=" + std::to_string((gateway_.Now() - arrived_).Ms()));
  gateway_.Count(route_.kind_, "refused");
  gateway_.CountRefusal(route_.kind_, sent_ > 0);
  End();
  caller_->Reply(answer, gateway_.IsStopping());
}

void Forward::FailWith(unsigned status, const std::string& reason) {
  Log(EventId::kForwardFailed,
      "status=" + std::to_string(status) + " reason=" + reason + RunDetail() +
          " waited_ms=" + std::to_string((gateway_.Now() - arrived_).Ms()));
  gateway_.Count(route_.kind_, "failed");
  const bool begun = answer_begun_;
  End();
  if (begun) {
    caller_->BreakOff();
    return;
  }
  WholeAnswer answer;
  answer.status_ = status;
  answer.fields_.set(http::field::content_type, "application/json");
  answer.body_ = VerdictBody(MayHaveRun(Reason::kTargetFailed, reason));
  caller_->Reply(answer, gateway_.IsStopping());
}

void Forward::End() {
  if (ended_) {
    return;
  }
  ended_ = true;
  StopWaitingForLease();
  if (attempt_) {
    attempt_->connection_->Cancel();
    attempt_.reset();
  }
  if (work_id_) {
    gateway_.Ledger().End(*work_id_);
    work_id_.reset();
  }
  if (retry_ask_) {
    gateway_.ForgetRetryAsk(*retry_ask_);
  }
  if (limit_ask_) {
    gateway_.ForgetLimitAsk(*limit_ask_);
  }
  EndLeaderRequest();
  ReleaseTickets();
  memory_.Set(0);
  gateway_.OnForwardEnded(*this);
}

void Forward::OnCallerGone() {
  if (ended_) {
    return;
  }
  Log(EventId::kForwardAbandoned,
      "sent=" + std::to_string(sent_) +
          " events=" + std::to_string(events_.Count()) +
          " waited_ms=" + std::to_string((gateway_.Now() - arrived_).Ms()));
  gateway_.Count(route_.kind_, "abandoned");
  if (IsPrompt() && !answer_begun_) {
    gateway_.PatienceOf(route_.name_)
        .OnLeft(gateway_.Now(), gateway_.Now() - arrived_);
  }
  End();
}

void Forward::OnGatewayEnds() {
  if (ended_ || answer_begun_) {
    return;
  }
  if (target_failure_) {
    PassTargetFailure();
  } else if (may_have_run_ > 0) {
    FailWith(kBadGateway, "stopping");
  } else {
    Refuse(kUnavailable, "stopping", kOtherGatewayRetry);
  }
}

void Forward::OnTick(TimePoint now) {
  if (ended_) {
    return;
  }
  if (waiting_for_lease_) {
    if (CanAdmit() || !gateway_.AcceptsRequests()) {
      StopWaitingForLease();
      AdmitAndPlace();
    } else {
      HoldOrRefuse();
    }
    return;
  }
  if (now >= answer_deadline_) {
    if (target_failure_ && !answer_begun_) {
      PassTargetFailure();
      return;
    }
    if (may_have_run_ > 0 || (attempt_ && sent_ > 0)) {
      constexpr unsigned kGatewayTimeout = 504;
      FailWith(kGatewayTimeout, "deadline");
    } else {
      Refuse(kUnavailable, "deadline", Duration());
    }
    return;
  }
  CheckRetryAsk(now);
  if (ended_) {
    return;
  }
  CheckLeaderTimeouts(now);
  if (ended_) {
    return;
  }
  UseLimitPermit(now);
  if (ended_) {
    return;
  }
  RenewTickets(now);
  CheckProgress(now);
}

std::string Forward::RunDetail() const {
  return " sent=" + std::to_string(sent_) +
         " reached=" + std::to_string(reached_) +
         " may_have_run=" + std::to_string(may_have_run_);
}

void Forward::Log(EventId id, const std::string& detail) const {
  Event event;
  event.id_ = id;
  event.team_ = TeamId(customer_);
  event.target_ = last_target_;
  event.detail_ =
      "attempt=" + facts_.attempt_ + " route=" + route_.name_ + " " + detail;
  gateway_.Record(event);
}

}  // namespace gv
