/** @file gateway_evacuations.cc Orders of operators about data centres. */
#include <algorithm>

#include "transport/gateway/gateway.h"

namespace gv {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

HttpReply TextReply(unsigned status, std::string text) {
  return MakeReply(status, "text/plain", std::move(text));
}

}  // namespace

bool Gateway::KnowsDataCentre(const DataCentreId& data_centre) const {
  const std::vector<std::string>& known = settings_.gateway_data_centres_;
  // Without names in the settings, targets of other data centres may not have
  // registered yet. An evacuation can be withdrawn when its targets are gone.
  if (known.empty() || data_centre.Value() == settings_.data_centre_ ||
      registry_.Evacuations().Contains(data_centre) ||
      std::find(known.begin(), known.end(), data_centre.Value()) !=
          known.end()) {
    return true;
  }
  const auto& targets = registry_.Targets().All();
  return std::any_of(targets.begin(), targets.end(), [&](const auto& item) {
    return item.second.target_.data_centre_ == data_centre;
  });
}

void Gateway::OnEvacuationOrder(const EvacuationOrder& order,
                                const RequestOrigin& origin,
                                const HttpService::Respond& done) {
  const std::string& name = order.data_centre_.Value();
  if (!IsDataCentreName(name)) {
    Record(EventId::kEvacuationRefused,
           "the name of the data centre is malformed");
    done(TextReply(kBadRequest,
                   "a data centre has 1 to 64 letters, digits, '-', '_' or "
                   "'.' in its name\n"));
    return;
  }
  if (!KnowsDataCentre(order.data_centre_)) {
    Record(EventId::kEvacuationRefused,
           "data_centre=" + name + " is not known");
    done(TextReply(kNotFound, "data centre " + name + " is not known\n"));
    return;
  }
  if (origin.has_left_()) {
    Record(EventId::kEvacuationOutdated,
           "data_centre=" + name + " the operator has closed its connection");
    done(TextReply(kUnavailable, "the connection was closed\n"));
    return;
  }
  Outbox out(Endpoint{self_, Port::kControl});
  const TimePoint issued = pauses_.SentAfter(Now(), origin.arrived_after_);
  AnswerWhenAccepted(registry_.SubmitEvacuation(Now(), issued, order, out),
                     done);
  CarryOut(out);
}

void Gateway::OnListEvacuations(const HttpService::Respond& done) {
  if (!registry_.HasLease(Now())) {
    done(MakeReply(kUnavailable, "application/json", "{}"));
    return;
  }
  std::string names;
  for (const DataCentreId& id : registry_.Evacuations().DataCentres()) {
    names += names.empty() ? "\"" : ",\"";
    names += id.Value() + "\"";
  }
  done(MakeReply(kOk, "application/json", "{\"evacuated\":[" + names + "]}"));
}

}  // namespace gv
