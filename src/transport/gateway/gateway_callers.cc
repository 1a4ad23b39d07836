/** @file gateway_callers.cc Connections of callers: accepting them, and closing
 * some where descriptors or memory run out. */
#include <algorithm>

#include "transport/gateway/gateway.h"

namespace gv {
namespace {

namespace asio = boost::asio;

/** Pause after a failed accept. Without it, a lack of descriptors keeps the
 * thread busy with accepts that fail. */
constexpr std::chrono::milliseconds kAcceptPause{50};
/** Bytes of one read of a connection. */
constexpr size_t kRoomOfRead = 8192;

}  // namespace

void Gateway::AcceptCallers() {
  acceptor_.async_accept(
      [this](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
          return;
        }
        if (error) {
          ++failed_accepts_;
          accept_again_.expires_after(kAcceptPause);
          accept_again_.async_wait([this](boost::system::error_code stopped) {
            if (!stopped) {
              AcceptCallers();
            }
          });
          return;
        }
        // First, as an error while this caller is set up must not end the
        // accepting.
        AcceptCallers();
        if (MakeRoomForCaller()) {
          OnCaller(std::move(socket));
        }
      });
}

bool Gateway::MakeRoomForCaller() {
  if (callers_.size() < shares_.callers_) {
    return true;
  }
  ++closed_callers_;
  std::shared_ptr<GatewayCaller> silent;
  for (const auto& [id, caller] : callers_) {
    if (caller->IsIdle() &&
        (!silent || caller->HeardAt() < silent->HeardAt())) {
      silent = caller;
    }
  }
  if (!silent) {
    return false;
  }
  silent->CloseForRoom();
  return true;
}

void Gateway::OnCaller(asio::ip::tcp::socket socket) {
  const uint64_t id = ++last_caller_;
  const GatewayBounds bounds =
      table_ ? table_->Configuration().bounds_ : GatewayBounds();
  auto caller =
      std::make_shared<GatewayCaller>(std::move(socket), bounds, Now());
  callers_[id] = caller;
  auto current = std::make_shared<std::weak_ptr<Forward>>();
  std::weak_ptr<GatewayCaller> weak = caller;
  auto holder =
      std::make_shared<MemoryHolder>(memory_, HolderKind::kCaller, [weak]() {
        if (const auto connection = weak.lock()) {
          connection->EndForMemory();
        }
      });
  caller->Start(GatewayCallerHooks{
      [this, weak, current](CountedRequest request) {
        auto connection = weak.lock();
        connection->SetNow(Now());
        auto forward =
            std::make_shared<Forward>(*this, connection, std::move(request));
        forwards_[forward.get()] = forward;
        *current = forward;
        forward->Start();
      },
      [current]() {
        if (auto forward = current->lock()) {
          forward->OnCallerGone();
        }
      },
      [this, id]() { callers_.erase(id); },
      [holder](size_t bytes) { holder->Set(bytes); },
      [this]() {
        const bool may_read = memory_.HasRoom(kRoomOfRead);
        reading_put_off_ = reading_put_off_ || !may_read;
        return may_read;
      },
      [this](HeadFault fault) { RecordBadHead("callers", fault); }});
}

std::vector<std::shared_ptr<GatewayCaller>> Gateway::OpenCallers() const {
  std::vector<std::shared_ptr<GatewayCaller>> callers;
  callers.reserve(callers_.size());
  for (const auto& [id, caller] : callers_) {
    callers.push_back(caller);
  }
  return callers;
}

void Gateway::TickCallers(TimePoint now) {
  for (const auto& caller : OpenCallers()) {
    caller->OnTick(now);
  }
}

void Gateway::ResumeReading() {
  if (!std::exchange(reading_put_off_, false)) {
    return;
  }
  for (const auto& caller : OpenCallers()) {
    caller->ResumeReading();
  }
}

void Gateway::ReportClosings() {
  const uint64_t services =
      readiness_.TakeClosed() + control_.TakeClosed() + metrics_.TakeClosed();
  const uint64_t peers = peers_->TakeUnprovenClosed();
  const uint64_t callers = std::exchange(closed_callers_, 0);
  const uint64_t failed = std::exchange(failed_accepts_, 0);
  if (callers + services + peers + failed == 0) {
    return;
  }
  Record(EventId::kConnectionsClosed,
         "callers=" + std::to_string(callers) +
             " services=" + std::to_string(services) +
             " unproven_peers=" + std::to_string(peers) +
             " failed_accepts=" + std::to_string(failed) +
             " open_callers=" + std::to_string(callers_.size()) +
             " most_callers=" + std::to_string(shares_.callers_));
}

void Gateway::OnMemoryExcess(const ExcessHolder& excess) {
  Record(EventId::kMemoryExceeded,
         "holder=" + std::string(NameOf(kHolderKindNames, excess.kind_)) +
             " id=" + std::to_string(excess.id_.Value()) +
             " bytes=" + std::to_string(excess.bytes_) +
             " all_bytes=" + std::to_string(excess.all_bytes_) +
             " limit=" + std::to_string(memory_.Limit()));
}

}  // namespace gv
