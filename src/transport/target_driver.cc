/** @file target_driver.cc HTTP calls to the target beside an agent. */
#include "transport/target_driver.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "coordination/agent_type.h"
#include "state/table/request_names.h"
#include "state/table/verdict_names.h"
#include "transport/target_events.h"
#include "transport/target_exchange.h"

namespace gv {
namespace {

using nlohmann::json;

constexpr uint32_t kFirstErrorStatus = 400;
constexpr std::string_view kNotRunName = "not-run";

/** One call in progress. */
struct Call {
  TargetKind kind_ = TargetKind::kEngine;     ///< How to read the answer.
  std::shared_ptr<TargetExchange> exchange_;  ///< Its connection.
  CompletionEvents events_;                   ///< Of an engine.
  std::string body_;                          ///< Of a service, or an error.
  bool done_ = false;                         ///< The end mark arrived.
  std::string failure_;                       ///< Reported by the engine.
};

Verdict RefusalVerdict(const ExchangeResult& result) {
  const Reason reason =
      ValueOf(kReasonNames, result.reason_).value_or(Reason::kTargetFailed);
  return NotRun(reason,
                "the target refused with " + std::to_string(result.status_));
}

/** @return The verdict of a call without a whole answer. */
Verdict BrokenVerdict(const ExchangeResult& result) {
  if (!result.sent_any_) {
    return NotRun(Reason::kConnectionLost,
                  "the target can't be reached: " + result.error_);
  }
  const Reason reason =
      result.timed_out_ ? Reason::kDeadline : Reason::kConnectionLost;
  return MayHaveRun(reason, "the call broke: " + result.error_);
}

}  // namespace

/** The driver's state; all members are used on its strand only. */
class TargetDriver::Calls : public std::enable_shared_from_this<Calls> {
 public:
  Calls(boost::asio::io_context& io, TargetDriverSettings settings,
        std::function<void(Message)> deliver)
      : strand_(boost::asio::make_strand(io)),
        settings_(std::move(settings)),
        deliver_(std::move(deliver)) {}

  void Post(Message message) {
    boost::asio::post(
        strand_, [self = shared_from_this(), message = std::move(message)]() {
          std::visit([&self](const auto& body) { self->Take(body); }, message);
        });
  }

  void Close() {
    boost::asio::post(strand_, [self = shared_from_this()]() {
      self->deliver_ = nullptr;
      for (auto& [key, call] : self->calls_) {
        call.exchange_->Abort();
      }
      self->calls_.clear();
    });
  }

 private:
  template <class Other>
  void Take(const Other& /*message*/) {}

  void Take(const TargetCall& call) {
    const Dispatch& dispatch = call.dispatch_;
    const AttemptKey key{dispatch.spec_.request_, dispatch.attempt_};
    if (calls_.contains(key)) {
      return;
    }
    Call& started = calls_[key];
    started.kind_ = dispatch.spec_.kind_;
    started.exchange_ = std::make_shared<TargetExchange>(
        strand_, CallRequest(key, call),
        [self = shared_from_this(), key](std::string_view bytes) {
          self->OnCallBody(key, bytes);
        },
        [self = shared_from_this(), key](const ExchangeResult& result) {
          self->OnCallDone(key, result);
        });
    const auto exchange = started.exchange_;
    exchange->Start(settings_.address_);
  }

  void Take(const TargetControl& control) {
    const AttemptKey key{control.request_, control.attempt_};
    const char* action = control.paused_ ? "pause" : "resume";
    if (control.cancel_) {
      action = "cancel";
      const auto it = calls_.find(key);
      if (it != calls_.end()) {
        it->second.exchange_->Abort();
        calls_.erase(it);
      }
    }
    if (settings_.kind_ == TargetKind::kEngine) {
      Order("/gv/control", json{{"name", StreamName(key)}, {"action", action}},
            FencingToken(), nullptr);
    }
  }

  void Take(const TargetRelease& release) {
    Order("/gv/release", json{{"name", release.name_}}, release.token_,
          nullptr);
  }

  void Take(const TargetReserve& reserve) {
    Order("/gv/reserve",
          json{{"name", reserve.name_}, {"tokens", reserve.tokens_}},
          reserve.token_,
          [self = shared_from_this(),
           name = reserve.name_](const ExchangeResult& result) {
            const bool held =
                result.whole_ && result.status_ < kFirstErrorStatus;
            self->Deliver(TargetReserved{name, held});
          });
  }

  void Take(const TargetProbe& probe) {
    if (std::exchange(probing_, true)) {
      return;
    }
    const bool engine = settings_.kind_ == TargetKind::kEngine;
    ExchangeRequest request;
    request.post_ = false;
    request.path_ = engine ? "/gv/status" : "/healthz";
    request.timeout_ = settings_.probe_timeout_;
    auto text = std::make_shared<std::string>();
    Run(
        std::move(request),
        [text](std::string_view bytes) { text->append(bytes); },
        [self = shared_from_this(), text, engine,
         sequence = probe.sequence_](const ExchangeResult& result) {
          self->probing_ = false;
          const bool good = result.whole_ && result.status_ < kFirstErrorStatus;
          TargetStatus status;
          if (good && engine) {
            status = ParseEngineStatus(*text);
          }
          status.sequence_ = sequence;
          status.reachable_ = good && (status.reachable_ || !engine);
          self->Deliver(std::move(status));
        });
  }

  ExchangeRequest CallRequest(const AttemptKey& key, const TargetCall& call) {
    const Dispatch& dispatch = call.dispatch_;
    const RequestSpec& spec = dispatch.spec_;
    ExchangeRequest request;
    request.timeout_ = dispatch.time_left_;
    request.headers_ = {
        {"X-Gooseberryvale-Stream", StreamName(key)},
        {"X-Gooseberryvale-Token", std::to_string(call.token_.Value())},
        {"X-Deadline-Ms", std::to_string(dispatch.time_left_.Ms())},
        {"X-Priority", std::string(NameOf(kPriorityNames, spec.priority_))}};
    if (!spec.key_.IsNone()) {
      request.headers_.emplace_back("Idempotency-Key", spec.key_.Value());
    }
    if (spec.kind_ == TargetKind::kService) {
      request.path_ = spec.path_.empty() ? "/" : spec.path_;
      request.body_ = spec.body_;
      return request;
    }
    request.path_ = "/v1/chat/completions";
    request.body_ = CompletionBody(dispatch);
    if (!dispatch.group_lease_.IsNone()) {
      request.headers_.emplace_back("X-Gooseberryvale-Group",
                                    GroupName(dispatch.group_lease_));
    }
    if (dispatch.resume_after_ > 0) {
      request.headers_.emplace_back("X-Gooseberryvale-Resume-After",
                                    std::to_string(dispatch.resume_after_));
    }
    return request;
  }

  void OnCallBody(const AttemptKey& key, std::string_view bytes) {
    const auto it = calls_.find(key);
    if (it == calls_.end()) {
      return;
    }
    Call& call = it->second;
    if (call.kind_ == TargetKind::kService) {
      call.body_.append(bytes);
      return;
    }
    TargetChunk chunk{key.request_, key.attempt_, {}, 0};
    for (const CompletionEvent& event : call.events_.Feed(bytes)) {
      if (call.done_ || !call.failure_.empty()) {
        break;
      }
      call.done_ = event.done_;
      if (event.failed_) {
        call.failure_ = event.error_.empty() ? "failed" : event.error_;
      }
      chunk.text_ += event.text_;
      chunk.tokens_ += event.tokens_;
    }
    if (!chunk.text_.empty()) {
      Deliver(std::move(chunk));
    }
  }

  void OnCallDone(const AttemptKey& key, const ExchangeResult& result) {
    const auto it = calls_.find(key);
    if (it == calls_.end()) {
      return;
    }
    Call call = std::move(it->second);
    calls_.erase(it);
    TargetEnd end;
    end.request_ = key.request_;
    end.attempt_ = key.attempt_;
    end.http_status_ = result.status_;
    if (result.whole_ && result.verdict_ == kNotRunName) {
      end.verdict_ = RefusalVerdict(result);
    } else if (call.kind_ == TargetKind::kService) {
      EndService(key, result, call, end);
    } else {
      EndEngine(result, call, end);
    }
    Deliver(std::move(end));
  }

  void EndService(const AttemptKey& key, const ExchangeResult& result,
                  Call& call, TargetEnd& end) {
    end.ok_ = result.whole_;
    if (!result.whole_) {
      end.verdict_ = BrokenVerdict(result);
      return;
    }
    Deliver(TargetChunk{key.request_, key.attempt_, std::move(call.body_), 0});
  }

  static void EndEngine(const ExchangeResult& result, const Call& call,
                        TargetEnd& end) {
    end.ok_ = call.done_ && result.status_ < kFirstErrorStatus;
    if (end.ok_) {
      return;
    }
    if (!call.failure_.empty()) {
      end.verdict_ = MayHaveRun(Reason::kTargetFailed, call.failure_);
    } else if (result.status_ >= kFirstErrorStatus) {
      end.verdict_ =
          MayHaveRun(Reason::kTargetFailed,
                     "the engine answered " + std::to_string(result.status_));
    } else if (result.whole_) {
      end.verdict_ = MayHaveRun(Reason::kConnectionLost,
                                "the answer ended without its end mark");
    } else {
      end.verdict_ = BrokenVerdict(result);
    }
  }

  void Order(const std::string& path, const json& body, FencingToken token,
             TargetExchange::OnDone on_done) {
    ExchangeRequest request;
    request.path_ = path;
    request.body_ = body.dump();
    request.timeout_ = settings_.probe_timeout_;
    if (!token.IsNone()) {
      request.headers_.emplace_back("X-Gooseberryvale-Token",
                                    std::to_string(token.Value()));
    }
    Run(std::move(request), nullptr, std::move(on_done));
  }

  void Run(ExchangeRequest request, TargetExchange::OnBody on_body,
           TargetExchange::OnDone on_done) {
    std::make_shared<TargetExchange>(strand_, std::move(request),
                                     std::move(on_body), std::move(on_done))
        ->Start(settings_.address_);
  }

  void Deliver(Message message) {
    if (deliver_) {
      deliver_(std::move(message));
    }
  }

  boost::asio::strand<boost::asio::io_context::executor_type>
      strand_;                            ///< Serializes all work.
  TargetDriverSettings settings_;         ///< How to reach the target.
  std::function<void(Message)> deliver_;  ///< To the agent core.
  std::map<AttemptKey, Call> calls_;      ///< In progress.
  bool probing_ = false;                  ///< A probe is in progress.
};

TargetDriver::TargetDriver(boost::asio::io_context& io,
                           TargetDriverSettings settings,
                           std::function<void(Message)> deliver)
    : calls_(std::make_shared<Calls>(io, std::move(settings),
                                     std::move(deliver))) {}

TargetDriver::~TargetDriver() { calls_->Close(); }

void TargetDriver::Submit(Message message) { calls_->Post(std::move(message)); }

}  // namespace gv
