/** @file gateway_calls.cc Answers the balancer, targets and operators. */
#include <prometheus/text_serializer.h>

#include "state/enum_names.h"
#include "state/event_func.h"
#include "transport/gateway/gateway.h"
#include "transport/steady_clock.h"

namespace gv {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

HttpReply JsonReply(unsigned status, std::string body) {
  return MakeReply(status, "application/json", std::move(body));
}

/** Buckets of the histogram of first events, in milliseconds. */
const prometheus::Histogram::BucketBoundaries kFirstEventBuckets{
    10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000, 50000};

}  // namespace

void Gateway::OnReadiness(const CountedRequest& request,
                          const HttpService::Respond& done) {
  const auto path = request.target();
  if (std::string_view(path.data(), path.size()) != codec_.readiness_path_) {
    done(MakeReply(kNotFound, "text/plain", "not found\n"));
    return;
  }
  done(IsReady() ? MakeReply(kOk, "text/plain", "ready\n")
                 : MakeReply(kUnavailable, "text/plain", "not ready\n"));
}

void Gateway::OnControl(const CountedRequest& request,
                        const RequestOrigin& origin,
                        HttpService::Respond done) {
  const auto method = request.method_string();
  const auto path = request.target();
  const ControlRequest call = codec_.read_control_(
      {method.data(), method.size()}, {path.data(), path.size()});
  switch (call.call_) {
    case ControlCall::kRegister:
      OnRegister(call.id_, request, done);
      return;
    case ControlCall::kDepart:
      OnDepart(call.id_, origin, done);
      return;
    case ControlCall::kPutConfiguration:
      OnPutConfiguration(request, std::move(done));
      return;
    case ControlCall::kGetConfiguration:
      OnGetConfiguration(std::move(done));
      return;
    case ControlCall::kEvacuate:
    case ControlCall::kEndEvacuation:
      OnEvacuationOrder(
          EvacuationOrder{DataCentreId(call.id_),
                          call.call_ == ControlCall::kEndEvacuation},
          origin, done);
      return;
    case ControlCall::kListEvacuations:
      OnListEvacuations(done);
      return;
    case ControlCall::kUnknown:
      done(JsonReply(kNotFound, "{}"));
      return;
  }
}

void Gateway::OnRegister(const std::string& id, const CountedRequest& request,
                         const HttpService::Respond& done) {
  const auto target = codec_.decode_registration_(id, request.body());
  if (!target.has_value()) {
    Event event;
    event.id_ = EventId::kBadInput;
    event.target_ = TargetId(id);
    event.detail_ = target.error().detail_;
    Record(event);
    done(JsonReply(kBadRequest, "{}"));
    return;
  }
  if (!registry_.HasRecentStatus(Now())) {
    done(JsonReply(kUnavailable, "{}"));
    return;
  }
  Outbox out(Endpoint{self_, Port::kControl});
  const std::optional<OperationId> leaving =
      registry_.RegisterTarget(Now(), CheckWarmUp(target.value()), out);
  if (leaving) {
    AnswerWhenAccepted(*leaving, done);
  }
  CarryOut(out);
  if (!leaving) {
    done(JsonReply(kOk, "{}"));
  }
}

TargetRegistration Gateway::CheckWarmUp(TargetRegistration target) {
  if (target.warm_up_ == kUnreadableWarmUp) {
    Event event;
    event.id_ = EventId::kBadInput;
    event.target_ = target.id_;
    event.detail_ = "registration: the remaining cold time is not usable";
    Record(event);
    target.warm_up_ = kUnstatedWarmUp;
  }
  const Service* service =
      table_ ? table_->FindService(target.service_) : nullptr;
  if (target.warm_up_ == kUnstatedWarmUp && service != nullptr &&
      registry_.Targets().Find(target.id_) == nullptr) {
    // This gateway may be newer than the target. Starts that are older than
    // this are over, whatever the difference between the two clocks.
    constexpr Duration kClockDifference = 10_s;
    const int64_t age_ms = WallMs() - static_cast<int64_t>(target.start_ms_);
    if (age_ms > (service->cold_start_ + kClockDifference).Ms()) {
      target.warm_up_ = Duration();
    }
  }
  return target;
}

void Gateway::AnswerWhenAccepted(OperationId operation,
                                 const HttpService::Respond& done) {
  operations_[operation] = [done](const OperationResult& end) {
    const bool accepted = end.state_ == OperationState::kAccepted;
    done(JsonReply(accepted ? kOk : kUnavailable, "{}"));
  };
}

void Gateway::OnDepart(const std::string& id, const RequestOrigin& origin,
                       const HttpService::Respond& done) {
  if (origin.has_left_()) {
    Event event;
    event.id_ = EventId::kDepartureOutdated;
    event.target_ = TargetId(id);
    event.detail_ = "the target has closed its connection";
    Record(event);
    done(JsonReply(kUnavailable, "{}"));
    return;
  }
  if (!registry_.HasRecentStatus(Now())) {
    done(JsonReply(kUnavailable, "{}"));
    return;
  }
  Outbox out(Endpoint{self_, Port::kControl});
  const TimePoint issued = pauses_.SentAfter(Now(), origin.arrived_after_);
  AnswerWhenAccepted(registry_.Depart(Now(), issued, TargetId(id),
                                      static_cast<uint64_t>(WallMs()), out),
                     done);
  CarryOut(out);
}

void Gateway::OnPutConfiguration(const CountedRequest& request,
                                 HttpService::Respond done) {
  auto configuration =
      codec_.decode_configuration_(request.body(), known_routes_);
  Event event;
  event.id_ = EventId::kConfigurationRefused;
  if (!configuration.has_value()) {
    event.detail_ = configuration.error().detail_;
    Record(event);
    done(JsonReply(kBadRequest, "{}"));
    return;
  }
  const uint64_t version = configuration.value().version_;
  event.revision_ = Revision(version);
  const auto table = RoutingTable::Build(std::move(configuration.value()));
  if (!table.has_value()) {
    event.detail_ = table.error().detail_;
    Record(event);
    done(JsonReply(kBadRequest, "{}"));
    return;
  }
  Outbox out(Endpoint{self_, Port::kControl});
  const OperationId id =
      registry_.SubmitChange(Now(), version, request.body(), out);
  operations_[id] = [this, version,
                     done = std::move(done)](const OperationResult& end) {
    const bool accepted = end.state_ == OperationState::kAccepted;
    if (accepted) {
      Event accepted_event;
      accepted_event.id_ = EventId::kConfigurationAccepted;
      accepted_event.revision_ = Revision(version);
      Record(accepted_event);
    }
    done(JsonReply(accepted ? kOk : kUnavailable, "{}"));
  };
  CarryOut(out);
}

void Gateway::OnGetConfiguration(HttpService::Respond done) {
  Outbox out(Endpoint{self_, Port::kControl});
  const OperationId id = registry_.ConfirmVersion(Now(), out);
  operations_[id] = [this, done = std::move(done)](const OperationResult& end) {
    const ConfigurationStore& served = registry_.ServedConfiguration();
    const bool known = end.state_ == OperationState::kConfirmed &&
                       served.Version() >= end.version_ && served.Version() > 0;
    done(known ? JsonReply(kOk, served.Text()) : JsonReply(kUnavailable, "{}"));
  };
  CarryOut(out);
}

std::string Gateway::MetricsText() {
  auto& gauges = prometheus::BuildGauge()
                     .Name("gooseberryvale_state")
                     .Help("What the gateway knows now")
                     .Register(metrics_registry_);
  const auto set = [&gauges](const char* name, double value) {
    gauges.Add({{"what", name}}).Set(value);
  };
  set("requests", static_cast<double>(forwards_.size()));
  set("callers", static_cast<double>(callers_.size()));
  set("target_connections", static_cast<double>(pool_.OpenCount()));
  set("target_connections_opened", static_cast<double>(pool_.Opened()));
  set("targets", static_cast<double>(registry_.Targets().All().size()));
  set("gateways", static_cast<double>(registry_.NodeCount()));
  set("configuration",
      static_cast<double>(registry_.ServedConfiguration().Version()));
  set("lease", registry_.HasLease(Now()) ? 1 : 0);
  set("evacuated_data_centres",
      static_cast<double>(registry_.Evacuations().DataCentres().size()));
  set("cold_targets", static_cast<double>(registry_.Limits().ColdCount(Now())));
  set("held_bytes", static_cast<double>(memory_.Total()));
  set("log_lines_dropped", static_cast<double>(log_.Dropped()));
  return prometheus::TextSerializer().Serialize(metrics_registry_.Collect());
}

void Gateway::Record(const Event& event) {
  log_.Write(Now(), event);
  events_.Add({{"event", std::string(EventName(event.id_))}}).Increment();
}

void Gateway::Record(EventId id, std::string detail) {
  Event event;
  event.id_ = id;
  event.detail_ = std::move(detail);
  Record(event);
}

void Gateway::RecordBadHead(const std::string& listener, HeadFault fault) {
  Record(EventId::kBadInput,
         "listener=" + listener + " request refused: " + HeadFaultText(fault));
}

void Gateway::Count(RouteKind kind, const char* outcome) {
  requests_
      .Add({{"kind", std::string(NameOf(kRouteKindNames, kind))},
            {"outcome", outcome}})
      .Increment();
}

void Gateway::CountRefusal(RouteKind kind, bool was_sent) {
  refusals_
      .Add({{"kind", std::string(NameOf(kRouteKindNames, kind))},
            {"after", was_sent ? "attempt" : "nothing-sent"}})
      .Increment();
}

void Gateway::ObserveFirstEvent(RouteKind kind, Duration time) {
  first_events_
      .Add({{"kind", std::string(NameOf(kRouteKindNames, kind))}},
           kFirstEventBuckets)
      .Observe(static_cast<double>(time.Ms()));
}

void Gateway::OnAnswerFacts(const TargetId& target, uint64_t start_ms,
                            const AnswerFacts& facts) {
  if (facts.is_leaving_) {
    Outbox out(Endpoint{self_, Port::kControl});
    registry_.MarkLeaving(target, start_ms, out);
    CarryOut(out);
  }
  if (facts.pause_) {
    health_.OnPause(Now(), target, *facts.pause_);
    Event event;
    event.id_ = EventId::kTargetPaused;
    event.target_ = target;
    event.detail_ = "pause_ms=" + std::to_string(facts.pause_->Ms());
    Record(event);
  }
}

bool Gateway::MaySendTo(const TargetId& target) const {
  return registry_.Targets().IsReady(target) &&
         !health_.IsPaused(Now(), target);
}

void Gateway::OnOutcome(const TargetId& target, HealthOutcome outcome) {
  if (!health_.OnOutcome(Now(), target, outcome)) {
    return;
  }
  Event event;
  const bool suspected = health_.IsSuspected(Now(), target);
  event.id_ = suspected ? EventId::kTargetSuspected : EventId::kTargetTrusted;
  event.target_ = target;
  event.detail_ = "failure_rate=" + std::to_string(health_.FailureRate(target));
  Record(event);
}

}  // namespace gv
