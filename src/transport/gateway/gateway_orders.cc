/** @file gateway_orders.cc Posts orders to targets, and releases reservations
 * until the target has said that they are gone. */
#include "state/container_func.h"
#include "transport/gateway/gateway.h"

namespace gv {
namespace {

constexpr Duration kOrderTimeout = 500_ms;
constexpr Duration kOrderIdle = 5_s;
constexpr Duration kReleaseRetry = 400_ms;
constexpr int kMostReleases = 4;

std::string OrderText(const std::string& address, const TargetOrder& order) {
  return "POST " + order.path_ + " HTTP/1.1\r\nHost: " + address +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(order.body_.size()) + "\r\n\r\n" + order.body_;
}

}  // namespace

void Gateway::SendOrder(const std::string& address, const TargetOrder& order,
                        std::function<void(unsigned)> done) {
  const uint64_t id = ++last_order_;
  OpenOrder open;
  open.connection_ = pool_.Acquire(Now(), address, kOrderIdle);
  open.until_ = Now() + kOrderTimeout;
  open.done_ = std::move(done);
  const auto connection = open.connection_;
  orders_.emplace(id, std::move(open));
  connection->Start(
      OrderText(address, order), false,
      ExchangeHandler{[this, id](unsigned status, const HttpFields& fields) {
                        const auto found = orders_.find(id);
                        if (found != orders_.end()) {
                          found->second.status_ = status;
                          found->second.keep_alive_ =
                              codec_.read_answer_(status, fields).keep_alive_;
                        }
                      },
                      [](const std::string& /*data*/) {},
                      [this, id](ExchangeEnd end) { FinishOrder(id, end); }});
}

void Gateway::FinishOrder(uint64_t id, ExchangeEnd end) {
  const auto found = orders_.find(id);
  if (found == orders_.end()) {
    return;
  }
  const OpenOrder order = std::move(found->second);
  orders_.erase(found);
  pool_.Release(Now(), order.connection_, order.keep_alive_);
  order.done_(end == ExchangeEnd::kComplete ? order.status_ : 0);
}

void Gateway::RenewTicket(const TargetId& target, const std::string& address,
                          const TargetOrder& order) {
  const auto ignore = [](unsigned /*status*/) {};
  if (!IsLimited(target)) {
    SendOrder(address, order, ignore);
  } else if (IsLeaderAvailable()) {
    AskForLimitPermit({target}, Duration(),
                      [this, address, order, ignore](const LimitReply& reply) {
                        if (reply.granted_) {
                          SendOrder(address, order, ignore);
                        }
                      });
  }
}

void Gateway::ReleaseTicket(const TargetId& target, const std::string& address,
                            const std::string& ticket) {
  if (IsLimited(target)) {
    Record(EventId::kReservationReleased,
           "ticket=" + ticket + " by=its-lifetime holder=" + target.Value());
    return;
  }
  const uint64_t id = ++last_order_;
  releases_.emplace(id, OpenRelease{address, ticket, 0, TimePoint()});
  SendRelease(Now(), id);
}

void Gateway::SendRelease(TimePoint now, uint64_t id) {
  const auto found = releases_.find(id);
  if (found == releases_.end() || now < found->second.next_) {
    return;
  }
  OpenRelease& release = found->second;
  if (release.tries_ >= kMostReleases) {
    releases_.erase(found);
    return;
  }
  ++release.tries_;
  release.next_ = now + kReleaseRetry;
  SendOrder(release.address_, codec_.encode_release_(release.ticket_),
            [this, id](unsigned status) {
              if (status != 0) {
                releases_.erase(id);
              }
            });
}

void Gateway::TickOrders(TimePoint now) {
  // All late orders are taken out before the first callback, which may send,
  // finish and release other orders.
  const auto is_late = [now](const OpenOrder& order) {
    return now >= order.until_;
  };
  for (const auto& late : TakeIf(orders_, is_late)) {
    late.mapped().connection_->Cancel();
    late.mapped().done_(0);
  }
  for (const uint64_t id : KeysOf(releases_)) {
    SendRelease(now, id);
  }
}

}  // namespace gv
