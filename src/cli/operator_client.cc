/** @file operator_client.cc JSON-RPC calls over HTTP with retries. */
#include "cli/operator_client.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "cli/exit_code.h"
#include "state/table/verdict_names.h"
#include "transport/http_client.h"

namespace gv {
namespace {

using nlohmann::json;

constexpr Duration kOneCallTimeout(2'000);
constexpr std::chrono::milliseconds kPause(50);
constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpUnauthorized = 401;

TimePoint SteadyNow() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

/** Reads the error member of a JSON-RPC response. */
Verdict ReadError(const json& error) {
  Verdict verdict = NotRun(Reason::kInternal, error.value("message", ""));
  const auto data = error.find("data");
  if (data != error.end() && data->is_object()) {
    verdict.reason_ = ValueOf(kReasonNames, data->value("reason", ""))
                          .value_or(Reason::kInternal);
  }
  return verdict;
}

Result<json> ReadResponse(const std::string& address,
                          const HttpAnswer& answer) {
  if (answer.status_ == kHttpUnauthorized) {
    return NotRun(Reason::kUnauthenticated, address + ": unknown key");
  }
  const json response = json::parse(answer.body_, nullptr, false);
  if (answer.status_ != kHttpOk || !response.is_object()) {
    return NotRun(Reason::kInternal,
                  address + ": HTTP status " + std::to_string(answer.status_));
  }
  if (const auto error = response.find("error"); error != response.end()) {
    return ReadError(*error);
  }
  return response.value("result", json::object());
}

bool IsWorthRetry(const Verdict& verdict) {
  return verdict.reason_ == Reason::kNotLeader ||
         verdict.reason_ == Reason::kConnectionLost ||
         verdict.reason_ == Reason::kDeadline;
}

}  // namespace

OperatorClient::OperatorClient(OperatorClientSettings settings)
    : settings_(std::move(settings)),
      deadline_(SteadyNow() + settings_.timeout_) {}

Duration OperatorClient::TimeLeft() const {
  return std::max(Duration(), deadline_ - SteadyNow());
}

Result<json> OperatorClient::CallOne(const std::string& address,
                                     const std::string& method,
                                     const json& params) const {
  const json request = {
      {"jsonrpc", "2.0"}, {"id", 1}, {"method", method}, {"params", params}};
  HttpPost post;
  post.address_ = address;
  post.path_ = "/rpc";
  post.bearer_ = settings_.key_;
  post.body_ = request.dump();
  post.timeout_ = std::min(kOneCallTimeout, TimeLeft());
  auto answer = SendHttpPost(post);
  if (!answer) {
    return answer.error();
  }
  return ReadResponse(address, answer.value());
}

Result<json> OperatorClient::Call(const std::string& method,
                                  const json& params) {
  while (true) {
    auto result = CallOne(settings_.addresses_[next_], method, params);
    if (result || !IsWorthRetry(result.error())) {
      return result;
    }
    next_ = (next_ + 1) % settings_.addresses_.size();
    if (TimeLeft() == Duration()) {
      return result;
    }
    PauseBetweenCalls();
  }
}

std::vector<std::pair<std::string, Result<json>>> OperatorClient::CallEach(
    const std::string& method, const json& params) {
  std::vector<std::pair<std::string, Result<json>>> results;
  for (const std::string& address : settings_.addresses_) {
    results.emplace_back(address, CallOne(address, method, params));
  }
  return results;
}

void PauseBetweenCalls() { std::this_thread::sleep_for(kPause); }

int ExitCodeOf(const Verdict& verdict) {
  switch (verdict.reason_) {
    case Reason::kBadRequest:
    case Reason::kForbidden:
      return kExitRefused;
    case Reason::kConflict:
      return kExitConflict;
    case Reason::kNotLeader:
    case Reason::kConnectionLost:
      return kExitNoControl;
    case Reason::kDeadline:
      return kExitNotInTime;
    case Reason::kUnauthenticated:
      return kExitUnauthenticated;
    default:
      return kExitFailed;
  }
}

}  // namespace gv
