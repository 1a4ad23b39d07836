/** @file gateway_parts.cc Tells crashed targets from broken connections, for
 * the quarantine of requests and parts of prompts. */
#include "transport/gateway/gateway.h"

namespace gv {
namespace {

namespace asio = boost::asio;

/** The host of a crashed target refuses at once; without an answer in this time
 * nothing is known of the target. */
constexpr Duration kProbeTimeout = 450_ms;

}  // namespace

void Gateway::OnAttemptBroken(const TargetId& target,
                              const std::string& address,
                              const std::string& service,
                              const std::vector<PromptPartId>& parts,
                              TimePoint sent) {
  const TimePoint now = Now();
  const auto found = crash_probes_.find(target);
  if (found != crash_probes_.end()) {
    found->second.crash_.prompts_.push_back(CrashedPrompt{parts, now - sent});
    return;
  }
  const auto endpoint = EndpointOf(address);
  if (!endpoint) {
    return;
  }
  CrashProbe& probe = crash_probes_[target];
  probe.broken_ = now;
  probe.crash_.target_ = target;
  probe.crash_.service_ = service;
  probe.crash_.prompts_.push_back(CrashedPrompt{parts, now - sent});
  probe.socket_ = std::make_shared<asio::ip::tcp::socket>(io_);
  probe.socket_->async_connect(
      *endpoint,
      [this, target, socket = probe.socket_](boost::system::error_code error) {
        if (error != asio::error::operation_aborted) {
          OnCrashProbe(target, error == asio::error::connection_refused);
        }
      });
}

void Gateway::OnCrashProbe(const TargetId& target, bool refused) {
  const auto found = crash_probes_.find(target);
  if (found == crash_probes_.end()) {
    return;
  }
  const TimePoint now = Now();
  EngineCrash crash = std::move(found->second.crash_);
  crash.age_ = now - found->second.broken_;
  crash_probes_.erase(found);
  if (refused) {
    Outbox out(Endpoint{self_, Port::kControl});
    registry_.ReportCrash(now, std::move(crash), out);
    CarryOut(out);
  }
}

void Gateway::TickCrashProbes(TimePoint now) {
  std::erase_if(crash_probes_, [now](const auto& item) {
    const bool is_late = now - item.second.broken_ > kProbeTimeout;
    if (is_late) {
      boost::system::error_code ignored;
      item.second.socket_->close(ignored);
    }
    return is_late;
  });
}

void Gateway::OnAnswerBegun(const std::string& service,
                            const std::vector<PromptPartId>& parts) {
  Outbox out(Endpoint{self_, Port::kControl});
  registry_.OnAnswerBegun(Now(), service, parts, out);
  CarryOut(out);
}

}  // namespace gv
