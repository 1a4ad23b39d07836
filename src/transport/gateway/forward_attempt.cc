/** @file forward_attempt.cc Sends a request to a target and judges how that
 * ended. */
#include <algorithm>
#include <sstream>

#include "transport/gateway/forward.h"
#include "transport/gateway/gateway.h"

namespace gv {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kSuccess = 200;
constexpr unsigned kRedirect = 300;
constexpr unsigned kServerError = 500;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
/** Work that may run once only goes over connections that were used just now,
 * so that it does not meet one that the target has dropped. */
constexpr Duration kFreshIdle = 100_ms;
constexpr Duration kUsualIdle = 10_s;
/** The time after which a full target has finished something. */
constexpr Duration kFullRetry = 700_ms;
/** A target that left or failed is replaced or trusted again by then. */
constexpr Duration kNoTargetRetry = 1_s;
/** Callers give more than this part, in tenths, of the route's timeout when
 * they first come; after a refusal they have less left. */
constexpr int64_t kFreshTenths = 8;
constexpr int64_t kTenths = 10;
/** A caller that comes back is served if its first event comes within so many
 * objectives. */
constexpr int64_t kObjectivesOfReturned = 2;
/** Work that waits now is done after about its wait; twice that leaves room for
 * what else arrives. */
constexpr int64_t kWaitsUntilRetry = 2;
/** A whole answer makes progress with every so many bytes; fewer may be a
 * target that hangs but sends a byte now and then. */
constexpr size_t kProgressBytes = 256;
constexpr Duration kLeastRetry = 2_s;
/** Callers follow at most a third of the time that they have left. */
constexpr Duration kMostRetry = 3_s;

/** Headers of one connection only, beside those named in Connection. */
constexpr std::array<std::string_view, 8> kHopHeaders{
    "Connection",       "Keep-Alive", "Transfer-Encoding", "Content-Length",
    "Proxy-Connection", "TE",         "Trailer",           "Upgrade"};

std::string JoinIds(const std::vector<TargetId>& ids) {
  std::string text;
  for (const TargetId& id : ids) {
    text += (text.empty() ? "" : ",") + id.Value();
  }
  return text;
}

}  // namespace

void RemoveHopHeaders(HttpFields& fields) {
  const auto named = fields["Connection"];
  std::string list(named.data(), named.size());
  std::istringstream names(list);
  for (std::string name; std::getline(names, name, ',');) {
    name.erase(0, name.find_first_not_of(' '));
    name.erase(name.find_last_not_of(' ') + 1);
    if (!name.empty() && name != "close" && name != "keep-alive") {
      fields.erase(name);
    }
  }
  for (const std::string_view name : kHopHeaders) {
    fields.erase({name.data(), name.size()});
  }
}

void Forward::TryTarget() {
  PlacementRequest wanted;
  wanted.service_ = &service_;
  wanted.prompt_tokens_ = IsPrompt() ? facts_.prompt_tokens_ : 0;
  wanted.answer_tokens_ = facts_.answer_tokens_;
  wanted.tried_ = tried_;
  wanted.hash_ = std::hash<std::string>()(facts_.attempt_);
  if (AskLeader(wanted)) {
    return;
  }
  std::optional<Placement> placement =
      gateway_.GetPlacer().Place(gateway_.Now(), wanted);
  if (!placement) {
    FinishWithout(AttemptEnd{RunState::kNotRun, false}, "no-target");
    return;
  }
  if (sent_ == 0 && !MayBeInTime(*placement)) {
    const Duration wait(static_cast<int64_t>(placement->wait_ms_));
    Refuse(kUnavailable, "overloaded wait_ms=" + std::to_string(wait.Ms()),
           std::clamp(wait * kWaitsUntilRetry, kLeastRetry, kMostRetry));
    return;
  }
  if (!placement->reservations_.empty()) {
    Reserve(*placement);
    return;
  }
  SendTo(*placement);
}

bool Forward::HasReturned() const {
  return facts_.deadline_.value_or(route_.timeout_) <
         route_.timeout_ * kFreshTenths / kTenths;
}

bool Forward::MayBeInTime(const Placement& placement) const {
  if (!IsPrompt() || route_.objective_ <= Duration()) {
    return true;
  }
  // A caller that was refused before has missed its objective already; it is
  // served rather than refused again.
  const Duration most =
      std::min(HasReturned() ? route_.objective_ * kObjectivesOfReturned
                             : route_.objective_,
               TimeLeft());
  return placement.wait_ms_ <= static_cast<double>(most.Ms());
}

void Forward::SendTo(const Placement& placement) {
  const TimePoint now = gateway_.Now();
  if (!gateway_.MaySendTo(placement.target_)) {
    PlaceElsewhere(placement.target_);
    return;
  }
  const DirectoryEntry* entry =
      gateway_.Registry().Targets().Find(placement.target_);
  const bool once = !IsRepeatable(route_.kind_, route_.resumable_);
  Attempt attempt;
  attempt.connection_ = gateway_.Pool().Acquire(now, entry->target_.address_,
                                                once ? kFreshIdle : kUsualIdle);
  attempt.target_ = placement.target_;
  attempt.progress_ = now;
  attempt.predicted_ms_ = placement.wait_ms_;
  attempt_ = std::move(attempt);
  last_target_ = placement.target_;
  outcome_ = HealthOutcome::kUnknown;
  work_ = gateway_.Ledger().Begin(now, placement.work_);
  helpers_ = placement.helpers_.size();
  ++sent_;
  ++may_have_run_;
  Log(EventId::kForwardSent,
      "tries=" + std::to_string(sent_) + " service=" + service_.name_ +
          " candidates=" + std::to_string(placement.candidates_) +
          " wait_ms=" + std::to_string(int64_t(placement.wait_ms_)) +
          " helpers=" + std::to_string(placement.helpers_.size()) +
          " readers=" + JoinIds(placement.helpers_) +
          " age_ms=" + std::to_string((now - entry->heard_).Ms()) +
          " left_ms=" + std::to_string(TimeLeft().Ms()));
  attempt_->connection_->Start(BuildRequest(placement),
                               request_.method() == http::verb::head,
                               MakeHandler());
}

void Forward::PlaceElsewhere(const TargetId& target) {
  // It left, or asked for a pause, after it was chosen. The leader is not asked
  // again: it may not know yet.
  Log(EventId::kForwardRetried,
      "reason=target-not-ready chosen=" + target.Value() +
          " sent=" + std::to_string(sent_));
  tried_.push_back(target);
  LeaveLeader();
  ReleaseTickets();
  asked_leader_ = true;
  TryTarget();
}

std::string Forward::BuildRequest(const Placement& placement) const {
  HttpFields fields = request_.base();
  RemoveHopHeaders(fields);
  fields.erase(http::field::expect);
  ForwardFacts forward;
  forward.time_left_ = TimeLeft();
  forward.target_ = placement.target_;
  forward.customer_ = customer_;
  forward.helpers_ = HelperList(placement);
  forward.last_event_ = events_.Last();
  gateway_.Codec().write_forward_(forward, fields);
  const auto method = request_.method_string();
  const auto path = request_.target();
  std::string text(method.data(), method.size());
  text += ' ';
  text.append(path.data(), path.size());
  text += " HTTP/1.1\r\n";
  for (const auto& field : fields) {
    text.append(field.name_string().data(), field.name_string().size());
    text += ": ";
    text.append(field.value().data(), field.value().size());
    text += "\r\n";
  }
  const bool has_body = !request_.body().empty() ||
                        request_.method() == http::verb::post ||
                        request_.method() == http::verb::put;
  if (has_body) {
    text +=
        "Content-Length: " + std::to_string(request_.body().size()) + "\r\n";
  }
  text += "\r\n";
  text += request_.body();
  return text;
}

std::vector<std::string> Forward::HelperList(const Placement& placement) const {
  std::vector<std::string> list;
  for (const TargetId& helper : placement.helpers_) {
    const DirectoryEntry* entry = gateway_.Registry().Targets().Find(helper);
    if (entry == nullptr || !gateway_.MaySendTo(helper)) {
      continue;
    }
    std::string text = entry->target_.address_;
    for (const Ticket& ticket : tickets_) {
      if (ticket.target_ == helper && ticket.held_) {
        text += "/" + ticket.name_;
      }
    }
    list.push_back(std::move(text));
  }
  // Tickets are filled in the order of the list.
  std::stable_sort(list.begin(), list.end(),
                   [](const std::string& a, const std::string& b) {
                     return a.find('/') != std::string::npos &&
                            b.find('/') == std::string::npos;
                   });
  return list;
}

ExchangeHandler Forward::MakeHandler() {
  auto self = shared_from_this();
  return ExchangeHandler{
      [self](unsigned status, const HttpFields& fields) {
        self->OnHead(status, fields);
      },
      [self](const std::string& data) { self->OnBody(data); },
      [self](ExchangeEnd end) { self->OnExchangeEnd(end); }};
}

void Forward::OnHead(unsigned status, const HttpFields& fields) {
  if (ended_ || !attempt_) {
    return;
  }
  attempt_->status_ = status;
  attempt_->fields_ = fields;
  attempt_->facts_ = gateway_.Codec().read_answer_(status, fields);
  attempt_->progress_ = gateway_.Now();
  gateway_.OnAnswerFacts(attempt_->target_, attempt_->facts_);
  attempt_->streams_ =
      IsOwnAnswer() && status >= kSuccess && status < kRedirect &&
      route_.kind_ == RouteKind::kStream && attempt_->facts_.is_event_stream_;
}

bool Forward::IsAnswerTo() const {
  // On a connection in use again an answer may be a late second one to an
  // earlier request, so it must name the request that it answers.
  const std::string& attempt = attempt_->facts_.attempt_;
  const bool may_be_unnamed = !attempt_->connection_->IsReused();
  return attempt == facts_.attempt_ || (attempt.empty() && may_be_unnamed);
}

bool Forward::IsOwnAnswer() const {
  const AnswerFacts& facts = attempt_->facts_;
  return facts.has_signature_ && !facts.is_encoded_ && IsAnswerTo();
}

void Forward::OnBody(const std::string& data) {
  if (ended_ || !attempt_) {
    return;
  }
  if (!attempt_->streams_) {
    OnWholeBody(data);
    return;
  }
  const uint64_t before = events_.Progress();
  PassEvents(data);
  if (ended_ || !attempt_) {
    return;
  }
  if (events_.Progress() != before) {
    attempt_->progress_ = gateway_.Now();
  } else if (events_.HeldBytes() > gateway_.MostEventBytes()) {
    AbandonAttempt("event-too-long");
  }
}

void Forward::OnWholeBody(const std::string& data) {
  attempt_->body_ += data;
  if (attempt_->body_.size() > gateway_.MostAnswerBytes()) {
    AbandonAttempt("answer-too-long");
    return;
  }
  attempt_->unjudged_bytes_ += data.size();
  if (attempt_->unjudged_bytes_ >= kProgressBytes) {
    attempt_->unjudged_bytes_ = 0;
    attempt_->progress_ = gateway_.Now();
  }
}

void Forward::OnExchangeEnd(ExchangeEnd end) {
  if (ended_ || !attempt_) {
    return;
  }
  gateway_.Ledger().End(*work_);
  work_.reset();
  if (end == ExchangeEnd::kNotConnected) {
    --may_have_run_;
    OnAttemptFailed(AttemptEnd{RunState::kNotRun, false},
                    HealthOutcome::kUnreachable, "not-connected");
    return;
  }
  if (end != ExchangeEnd::kComplete) {
    const bool reused = attempt_->connection_->IsReused();
    OnAttemptFailed(AttemptEnd{RunState::kMayHaveRun, false},
                    reused ? HealthOutcome::kFull : HealthOutcome::kUnreachable,
                    end == ExchangeEnd::kClosed ? "closed" : "broken");
    return;
  }
  CloseAttempt();
}

void Forward::CloseAttempt() {
  const AnswerFacts& facts = attempt_->facts_;
  const unsigned status = attempt_->status_;
  if (!IsAnswerTo() || (status < kRedirect && !IsOwnAnswer())) {
    attempt_->connection_->Cancel();
    OnAttemptFailed(AttemptEnd{RunState::kMayHaveRun, false},
                    HealthOutcome::kError, "not-its-answer");
    return;
  }
  gateway_.Pool().Release(gateway_.Now(), attempt_->connection_,
                          facts.keep_alive_);
  if (facts.not_run_) {
    --may_have_run_;
    OnAttemptFailed(AttemptEnd{RunState::kNotRun, false}, HealthOutcome::kFull,
                    "refused-" + std::to_string(status));
    return;
  }
  if (status >= kServerError) {
    OnAttemptFailed(AttemptEnd{RunState::kRan, facts.has_signature_},
                    HealthOutcome::kError, "status-" + std::to_string(status));
    return;
  }
  if (attempt_->streams_ && (events_.HasGap() || !events_.IsWhole())) {
    OnAttemptFailed(AttemptEnd{RunState::kMayHaveRun, false},
                    HealthOutcome::kError, "incomplete-stream");
    return;
  }
  gateway_.OnOutcome(attempt_->target_, HealthOutcome::kGood);
  outcome_ = HealthOutcome::kGood;
  FinishAnswer();
}

AttemptHistory Forward::History() const {
  AttemptHistory history;
  history.kind_ = route_.kind_;
  history.resumable_ = route_.resumable_;
  history.max_targets_ = route_.max_targets_;
  history.sent_ = sent_;
  history.may_have_run_ = may_have_run_;
  history.answer_begun_ = answer_begun_;
  history.kept_answer_ = own_failure_.has_value();
  history.time_left_ = limit_ - gateway_.Now();
  return history;
}

void Forward::OnAttemptFailed(const AttemptEnd& end, HealthOutcome health,
                              const std::string& reason) {
  gateway_.OnOutcome(attempt_->target_, health);
  outcome_ = health;
  tried_.push_back(attempt_->target_);
  if (end.has_answer_) {
    own_failure_ = TakeWholeAnswer();
  }
  const bool again =
      MayTryAgain(History(), end) &&
      gateway_.Retries(service_.name_)
          .TakeRepeat(gateway_.Now(), gateway_.Registry().NodeCount());
  if (!again) {
    FinishWithout(end, reason);
    return;
  }
  Log(answer_begun_ ? EventId::kForwardResumed : EventId::kForwardRetried,
      "reason=" + reason + " sent=" + std::to_string(sent_) +
          " events=" + std::to_string(events_.Count()));
  attempt_.reset();
  events_.Restart();
  LeaveLeader();
  asked_leader_ = false;
  ReleaseTickets();
  TryTarget();
}

void Forward::AbandonAttempt(const std::string& reason) {
  gateway_.Ledger().End(*work_);
  work_.reset();
  attempt_->connection_->Cancel();
  OnAttemptFailed(AttemptEnd{RunState::kMayHaveRun, false},
                  HealthOutcome::kUnreachable, reason);
}

void Forward::FinishWithout(const AttemptEnd& end, const std::string& reason) {
  switch (DecideFinalStep(History(), end)) {
    case FinalStep::kPassAnswer:
      PassOwnFailure();
      return;
    case FinalStep::kRefuse:
      Refuse(kUnavailable, reason,
             reason == "no-target" ? kNoTargetRetry : kFullRetry);
      return;
    case FinalStep::kFail:
    case FinalStep::kBreakOff:
      FailWith(kBadGateway, reason);
      return;
  }
}

}  // namespace gv
