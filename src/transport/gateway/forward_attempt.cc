/** @file forward_attempt.cc Places a request and sends it to a target. */
#include <algorithm>
#include <sstream>

#include "transport/gateway/forward.h"
#include "transport/gateway/gateway.h"

namespace gv {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kUnavailable = 503;
/** Engines take urgencies from zero, the first, to this one. */
constexpr int64_t kLeastUrgent = 9;
/** Longest idle time of a connection for a request that may run only once;
 * after longer idle times the target may have closed the connection. */
constexpr Duration kMaxIdleRunOnce = 100_ms;
/** Longest idle time of a connection for a repeatable request. */
constexpr Duration kMaxIdleRepeatable = 10_s;

/** Hop-by-hop header fields, besides those listed in Connection. */
constexpr std::array<std::string_view, 8> kHopByHopHeaders{
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

void RemoveHopByHopHeaders(HttpFields& fields) {
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
  for (const std::string_view name : kHopByHopHeaders) {
    fields.erase({name.data(), name.size()});
  }
}

PlacementRequest Forward::ToPlace() const {
  PlacementRequest to_place;
  to_place.service_ = &service_;
  to_place.prompt_tokens_ = IsPrompt() ? facts_.prompt_tokens_ : 0;
  to_place.answer_tokens_ = facts_.answer_tokens_;
  to_place.route_rank_ = route_.priority_;
  to_place.tried_ = tried_;
  to_place.hash_ = std::hash<std::string>()(facts_.attempt_);
  return to_place;
}

bool Forward::RefuseEvacuated() {
  if (!gateway_.GetPlacer().IsEvacuated(service_.name_)) {
    return false;
  }
  FinishWithoutRetry(AttemptEnd{RunState::kNotRun, false}, kEvacuated);
  return true;
}

bool Forward::MayUse(const Placement& placement) {
  if (gateway_.SendsOnlyWithLease() &&
      !gateway_.Registry().HasLease(gateway_.Now())) {
    // The newest evacuations may not be known here.
    FinishWithoutRetry(AttemptEnd{RunState::kNotRun, false}, "no-lease");
    return false;
  }
  if (!gateway_.MaySendTo(placement.target_)) {
    PlaceElsewhere(placement.target_, "target-not-ready");
    return false;
  }
  for (const ReservationPlan& plan : placement.reservations_) {
    if (!gateway_.MaySendTo(plan.target_)) {
      PlaceElsewhere(plan.target_, "holder-not-ready");
      return false;
    }
  }
  return true;
}

void Forward::StartAttempt() {
  if (RefuseQuarantined() || RefuseEvacuated()) {
    return;
  }
  const PlacementRequest to_place = ToPlace();
  if (RequestPlacement(to_place)) {
    return;
  }
  std::optional<Placement> placement =
      gateway_.GetPlacer().Place(gateway_.Now(), to_place);
  if (AskForLimitedTarget(to_place, placement.has_value())) {
    return;
  }
  if (!placement) {
    FinishWithoutRetry(AttemptEnd{RunState::kNotRun, false},
                       limit_wait_ ? kTargetLimit : kNoTarget);
    return;
  }
  if (sent_ == 0 && IsPrompt() && !CanFinishAt(*placement)) {
    const Duration wait(static_cast<int64_t>(placement->wait_ms_));
    Refuse(kUnavailable,
           "overloaded wait_ms=" + std::to_string(wait.Ms()) +
               " left_ms=" + std::to_string(TimeLeft().Ms()),
           ReturnTime(wait, TimeLeft()));
    return;
  }
  if (!placement->reservations_.empty()) {
    Reserve(*placement);
    return;
  }
  SendTo(*placement);
}

bool Forward::CanFinishAt(const Placement& placement) const {
  return CanFinish(
      TimeOfCaller(),
      WorkLeft{Duration(static_cast<int64_t>(placement.wait_ms_)),
               Duration(static_cast<int64_t>(placement.answer_ms_))});
}

void Forward::SendTo(const Placement& placement) {
  const TimePoint now = gateway_.Now();
  if (!MayUse(placement) || RefuseQuarantined() || !HasLimitPermit(placement)) {
    return;
  }
  if (!ObtainRetryPermit()) {
    ReturnPlacement();
    return;
  }
  retry_permit_until_ = TimePoint();
  const DirectoryEntry* entry =
      gateway_.Registry().Targets().Find(placement.target_);
  Attempt attempt;
  attempt.connection_ = ConnectionTo(entry->target_.address_);
  attempt.target_ = placement.target_;
  attempt.start_ms_ = entry->target_.start_ms_;
  attempt.sent_at_ = now;
  attempt.is_trial_ = gateway_.Parts().OnSent(now, service_.name_, parts_);
  attempt.last_progress_ = now;
  attempt.predicted_ms_ = placement.wait_ms_;
  attempt_ = std::move(attempt);
  last_target_ = placement.target_;
  last_outcome_ = HealthOutcome::kUnknown;
  work_id_ = gateway_.Ledger().Begin(now, placement.work_);
  helper_count_ = placement.helpers_.size();
  ++sent_;
  ++reached_;
  ++may_have_run_;
  Log(EventId::kForwardSent,
      "tries=" + std::to_string(sent_) + " service=" + service_.name_ +
          " candidates=" + std::to_string(placement.candidate_count_) +
          " wait_ms=" + std::to_string(int64_t(placement.wait_ms_)) +
          " limited=" + (gateway_.IsLimited(placement.target_) ? "1" : "0") +
          " helpers=" + std::to_string(placement.helpers_.size()) +
          " readers=" + JoinIds(placement.helpers_) +
          " age_ms=" + std::to_string((now - entry->last_heartbeat_).Ms()) +
          " left_ms=" + std::to_string(TimeLeft().Ms()));
  std::string request = BuildRequest(placement);
  attempt_->request_bytes_ = request.capacity();
  NoteMemory();
  attempt_->connection_->Start(
      std::move(request), request_.method() == http::verb::head, MakeHandler());
}

std::shared_ptr<TargetConnection> Forward::ConnectionTo(
    const std::string& address) {
  const bool was_asked =
      std::find(asked_addresses_.begin(), asked_addresses_.end(), address) !=
      asked_addresses_.end();
  asked_addresses_.push_back(address);
  const bool run_once = !IsRepeatable(route_.kind_, route_.resumable_);
  const Duration longest = run_once ? kMaxIdleRunOnce : kMaxIdleRepeatable;
  return gateway_.Pool().AcquireFor(
      facts_.attempt_, gateway_.Now(), address,
      was_asked ? std::nullopt : std::optional(longest));
}

void Forward::PlaceElsewhere(const TargetId& target, const char* reason) {
  // The target left, asked for a pause or named a limit after it was chosen.
  // The leader may not know yet, so the next placement is made without it.
  Log(EventId::kForwardRetried, std::string("reason=") + reason +
                                    " chosen=" + target.Value() +
                                    " sent=" + std::to_string(sent_));
  tried_.push_back(target);
  EndLeaderRequest();
  ReleaseTickets();
  skip_leader_ = true;
  StartAttempt();
}

std::string Forward::BuildRequest(const Placement& placement) const {
  HttpFields fields = request_.base();
  RemoveHopByHopHeaders(fields);
  fields.erase(http::field::expect);
  ForwardFacts forward;
  forward.time_left_ = TimeLeft();
  forward.target_ = placement.target_;
  forward.customer_ = customer_;
  forward.helpers_ = HelperList(placement);
  forward.last_event_ = events_.LastId();
  if (IsPrompt()) {
    forward.urgency_ =
        static_cast<int>(std::clamp<int64_t>(priority_, 0, kLeastUrgent));
  }
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
    if (entry == nullptr || !gateway_.MaySendTo(helper) ||
        (gateway_.IsLimited(helper) && !placement.IsPermitted(helper))) {
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
  // The target fills the reservations in the order of the list.
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
      [self](unsigned status, HttpFields fields) {
        self->OnHead(status, std::move(fields));
      },
      [self](const std::string& data) { self->OnBody(data); },
      [self](ExchangeEnd end) { self->OnExchangeEnd(end); },
      [self](size_t bytes) { self->OnUnparsed(bytes); }};
}

}  // namespace gv
