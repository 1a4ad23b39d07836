/** @file http_reply.cc Builds HTTP answers to callers. */
#include "transport/http_reply.h"

#include <nlohmann/json.hpp>

#include "state/run_promise.h"
#include "state/table/verdict_names.h"
#include "transport/table/http_status.h"

namespace gv {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr unsigned kInternalError = 500;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kHttp11 = 11;
constexpr int64_t kMsPerSecond = 1000;

unsigned StatusOfReason(Reason reason) {
  for (const ReasonStatus& row : kReasonStatuses) {
    if (row.reason_ == reason) {
      return row.status_;
    }
  }
  return kInternalError;
}

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json Completion(RequestId request, const ModelId& model, const char* object) {
  json out;
  out["id"] = "gv-" + std::to_string(request.Value());
  out["object"] = object;
  out["model"] = model.Value();
  return out;
}

std::string Event(const json& value) { return "data: " + Dump(value) + "\n\n"; }

json VerdictJson(const Verdict& verdict) {
  json error;
  error["verdict"] = NameOf(kRunStateNames, verdict.run_state_);
  error["reason"] = NameOf(kReasonNames, verdict.reason_);
  error["message"] = verdict.detail_;
  if (verdict.retry_after_ > 0_ms) {
    error["retry_after_ms"] = verdict.retry_after_.Ms();
  }
  json out;
  out["error"] = std::move(error);
  return out;
}

json EventChoice(RequestId request, const ModelId& model, json delta,
                 json finish_reason) {
  json choice;
  choice["index"] = 0;
  choice["delta"] = std::move(delta);
  choice["finish_reason"] = std::move(finish_reason);
  json out = Completion(request, model, "chat.completion.chunk");
  out["choices"] = json::array({std::move(choice)});
  return out;
}

}  // namespace

unsigned StatusOf(const Verdict& verdict) {
  const unsigned status = StatusOfReason(verdict.reason_);
  const bool is_sure = verdict.run_state_ == RunState::kNotRun;
  return PromisesNotRun(status) && !is_sure ? kBadGateway : status;
}

std::string VerdictBody(const Verdict& verdict) {
  return Dump(VerdictJson(verdict));
}

HttpReply MakeReply(unsigned status, std::string_view content_type,
                    std::string body) {
  HttpReply reply;
  reply.version(kHttp11);
  reply.result(status);
  reply.set(http::field::content_type, content_type);
  reply.body() = std::move(body);
  reply.prepare_payload();
  return reply;
}

HttpReply MakeVerdictReply(const Verdict& verdict, RequestId request) {
  HttpReply reply =
      MakeReply(StatusOf(verdict), "application/json", VerdictBody(verdict));
  reply.set("X-Gooseberryvale-Verdict",
            NameOf(kRunStateNames, verdict.run_state_));
  reply.set("X-Gooseberryvale-Reason", NameOf(kReasonNames, verdict.reason_));
  if (!request.IsNone()) {
    reply.set("X-Gooseberryvale-Request", std::to_string(request.Value()));
  }
  if (verdict.retry_after_ > 0_ms) {
    const int64_t seconds =
        (verdict.retry_after_.Ms() + kMsPerSecond - 1) / kMsPerSecond;
    reply.set(http::field::retry_after, std::to_string(seconds));
  }
  return reply;
}

std::string CompletionBody(RequestId request, const ModelId& model,
                           const std::string& text, int64_t prompt_tokens,
                           int64_t output_tokens) {
  json choice;
  choice["index"] = 0;
  choice["message"]["role"] = "assistant";
  choice["message"]["content"] = text;
  choice["finish_reason"] = "stop";
  json out = Completion(request, model, "chat.completion");
  out["choices"] = json::array({std::move(choice)});
  out["usage"]["prompt_tokens"] = prompt_tokens;
  out["usage"]["completion_tokens"] = output_tokens;
  return Dump(out);
}

std::string CompletionEvent(RequestId request, const ModelId& model,
                            const std::string& text) {
  json delta;
  delta["content"] = text;
  return Event(EventChoice(request, model, std::move(delta), nullptr));
}

std::string CompletionEnd(RequestId request, const ModelId& model) {
  return Event(EventChoice(request, model, json::object(), "stop")) +
         "data: [DONE]\n\n";
}

std::string CompletionFailure(const Verdict& verdict) {
  return Event(VerdictJson(verdict));
}

}  // namespace gv
