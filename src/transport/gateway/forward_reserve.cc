/** @file forward_reserve.cc Reserves memory for a prompt at several engines,
 * all or nothing, and releases it. */
#include <utility>

#include "transport/gateway/forward.h"
#include "transport/gateway/gateway.h"

namespace gv {
namespace {

constexpr unsigned kReserveGranted = 200;
/** Lifetime of a reservation that is not renewed. It bounds how long memory
 * stays reserved after a gateway crashes, and is below the time after which
 * unused memory counts as lost. */
constexpr Duration kTicketLifetime = 3500_ms;
/** Period of renewals; a reservation outlives one lost renewal. */
constexpr Duration kTicketRenewalPeriod = 1200_ms;

}  // namespace

void Forward::Reserve(const Placement& placement) {
  if (!MayUse(placement)) {
    return;
  }
  for (const ReservationPlan& plan : placement.reservations_) {
    if (gateway_.IsLimited(plan.target_)) {
      PlaceElsewhere(plan.target_, kTargetLimit);
      return;
    }
  }
  pending_placement_ = placement;
  tickets_.clear();
  for (const ReservationPlan& plan : placement.reservations_) {
    const DirectoryEntry* entry =
        gateway_.Registry().Targets().Find(plan.target_);
    if (entry != nullptr) {
      tickets_.push_back(Ticket{facts_.attempt_ + "-" + std::to_string(sent_) +
                                    "-" + std::to_string(tickets_.size()),
                                entry->target_.address_, plan.target_,
                                plan.tokens_, false});
    }
  }
  tickets_pending_ = tickets_.size();
  next_renewal_ = gateway_.Now() + kTicketRenewalPeriod;
  const auto self = shared_from_this();
  for (size_t i = 0; i < tickets_.size(); ++i) {
    const Ticket& ticket = tickets_[i];
    gateway_.SendOrder(ticket.address_,
                       gateway_.Codec().encode_reserve_(
                           ticket.name_, ticket.tokens_, kTicketLifetime),
                       [self, i](unsigned status) {
                         self->OnReserved(i, status == kReserveGranted);
                       });
  }
}

void Forward::OnReserved(size_t index, bool granted) {
  if (ended_ || !pending_placement_ || index >= tickets_.size()) {
    return;
  }
  tickets_[index].held_ = granted;
  Log(granted ? EventId::kReservationMade : EventId::kReservationRefused,
      "ticket=" + tickets_[index].name_ +
          " holder=" + tickets_[index].target_.Value() +
          " tokens=" + std::to_string(tickets_[index].tokens_));
  --tickets_pending_;
  if (tickets_pending_ > 0) {
    return;
  }
  const Placement placement = std::move(*pending_placement_);
  pending_placement_.reset();
  for (const Ticket& ticket : tickets_) {
    if (!ticket.held_) {
      ReleaseTickets();
      FinishWithoutRetry(AttemptEnd{RunState::kNotRun, false}, "no-memory");
      return;
    }
  }
  SendTo(placement);
}

void Forward::RenewTickets(TimePoint now) {
  if (tickets_.empty() || now < next_renewal_) {
    return;
  }
  next_renewal_ = now + kTicketRenewalPeriod;
  for (const Ticket& ticket : tickets_) {
    if (ticket.held_) {
      gateway_.RenewTicket(ticket.target_, ticket.address_,
                           gateway_.Codec().encode_reserve_(
                               ticket.name_, ticket.tokens_, kTicketLifetime));
    }
  }
}

void Forward::ReleaseTickets() {
  pending_placement_.reset();
  for (const Ticket& ticket : std::exchange(tickets_, {})) {
    gateway_.ReleaseTicket(ticket.target_, ticket.address_, ticket.name_);
  }
}

}  // namespace gv
