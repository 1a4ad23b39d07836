/** @file change_cmd.cc Sends changes and prints what became of them. */
#include "cli/change_cmd.h"

#include <iostream>
#include <optional>
#include <utility>

#include "cli/client_flags.h"
#include "cli/exit_code.h"
#include "cli/operator_client.h"
#include "state/table/verdict_names.h"
#include "transport/secret.h"

namespace gv {
namespace {

using nlohmann::json;

constexpr const char* kWaitInForce = "in-force";
constexpr const char* kWaitNone = "none";

std::string StateOf(const json& status) { return status.value("state", ""); }

/** @return True if nothing is left to wait for. */
bool IsEnough(const json& status) {
  const std::string state = StateOf(status);
  if (state == "refused" || FLAGS_wait == kWaitNone) {
    return true;
  }
  if (state != "accepted") {
    return false;
  }
  return FLAGS_wait != kWaitInForce || status.value("in_force", false);
}

void PrintStatus(const json& status) {
  if (WantsJson()) {
    std::cout << status.dump() << '\n';
    return;
  }
  std::cout << "change " << status.value("change_id", "") << ": "
            << StateOf(status);
  if (status.contains("revision")) {
    std::cout << ", revision " << status["revision"];
  }
  if (status.contains("in_force")) {
    std::cout << (status["in_force"].get<bool>() ? ", in force everywhere"
                                                 : ", not yet in force");
  }
  for (const json& node : status.value("missing", json::array())) {
    std::cout << "\n  waiting for " << node.get<std::string>();
  }
  for (const json& team : status.value("teams_above_limit", json::array())) {
    std::cout << "\n  waiting for shares of team " << team.get<std::string>();
  }
  if (status.contains("error")) {
    std::cout << "\n  " << status.value("error", "");
  }
  std::cout << '\n';
}

int ExitCodeOfStatus(const json& status) {
  if (StateOf(status) == "refused") {
    return status.value("reason", "") == NameOf(kReasonNames, Reason::kConflict)
               ? kExitConflict
               : kExitRefused;
  }
  return IsEnough(status) ? kExitDone : kExitNotInTime;
}

/** Sends until the change is decided, and waits as --wait says. */
Result<json> SendAndWait(OperatorClient& client, const std::string& method,
                         const json& params) {
  const json ask = {{"change_id", params["change_id"]}};
  auto status = client.Call(method, params);
  while (status && !IsEnough(status.value()) &&
         client.TimeLeft() > Duration()) {
    PauseBetweenCalls();
    status = StateOf(status.value()) == "unknown"
                 ? client.Call(method, params)
                 : client.Call("change.status", ask);
  }
  return status;
}

}  // namespace

int RunChange(const std::string& method, json params) {
  auto settings = ClientSettings();
  if (!settings) {
    return PrintVerdict(settings.error());
  }
  const std::string id =
      FLAGS_change_id.empty() ? RandomHex() : FLAGS_change_id;
  params["change_id"] = id;
  params["reason"] = FLAGS_reason;
  if (FLAGS_base >= 0) {
    params["base"] = FLAGS_base;
  }
  OperatorClient client(settings.value());
  auto status = SendAndWait(client, method, params);
  if (!status) {
    const int code = PrintVerdict(status.error());
    if (code == kExitNoControl || code == kExitNotInTime) {
      std::cerr << "the change may have been accepted; ask again with "
                << "--change_id=" << id << '\n';
      return kExitNotInTime;
    }
    return code;
  }
  PrintStatus(status.value());
  return ExitCodeOfStatus(status.value());
}

int RunQuery(const std::string& method, const json& params,
             void (*print)(const json&)) {
  auto settings = ClientSettings();
  if (!settings) {
    return PrintVerdict(settings.error());
  }
  OperatorClient client(settings.value());
  auto result = client.Call(method, params);
  if (!result) {
    return PrintVerdict(result.error());
  }
  if (WantsJson()) {
    std::cout << result.value().dump() << '\n';
  } else {
    print(result.value());
  }
  return kExitDone;
}

int PrintVerdict(const Verdict& verdict) {
  const auto reason = NameOf(kReasonNames, verdict.reason_);
  if (WantsJson()) {
    std::cout << json{{"reason", reason}, {"error", verdict.detail_}}.dump()
              << '\n';
  } else {
    std::cerr << reason << ": " << verdict.detail_ << '\n';
  }
  return ExitCodeOf(verdict);
}

int PrintUsage(const std::string& problem) {
  std::cerr << problem << "; see --help\n";
  return kExitUsage;
}

}  // namespace gv
