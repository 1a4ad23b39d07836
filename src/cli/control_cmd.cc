/** @file control_cmd.cc Subcommands on targets and on the control group. */
#include "cli/control_cmd.h"

#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/change_cmd.h"
#include "cli/client_flags.h"
#include "cli/exit_code.h"
#include "cli/operator_client.h"

namespace gv {
namespace {

using nlohmann::json;

void PrintTargets(const json& result) {
  for (const json& target : result["targets"]) {
    std::cout << target.value("target", "") << "  " << target.value("state", "")
              << "  " << target.value("kind", "") << " "
              << target.value("model", "") << "  "
              << target.value("data_centre", "") << "  token "
              << target["token"] << '\n';
  }
}

void PrintReplica(const json& replica) {
  std::cout << "  replica " << replica.value("node", "")
            << (replica.value("voter", false) ? "" : " (learner)")
            << (replica.value("active", false) ? "" : " silent")
            << (replica.value("disk_lost", false) ? " disk lost" : "")
            << " lag " << replica["lag"] << '\n';
}

void PrintSession(const json& session) {
  std::cout << "  session " << session.value("node", "") << " ("
            << session.value("roles", "") << ") serves revision "
            << session["confirmed"]
            << (session.value("has_lease", false) ? "" : ", no lease") << '\n';
}

void PrintControlStatus(const json& status) {
  const std::string leader = status.value("leader", "");
  std::cout << "leader " << (leader.empty() ? "unknown" : leader) << ", term "
            << status["term"] << ", commit index " << status["commit_index"]
            << '\n'
            << "revision accepted " << status["accepted_revision"]
            << ", in force " << status["in_force_revision"] << '\n';
  for (const json& node : status["newest"]["missing"]) {
    std::cout << "  newest revision waits for " << node.get<std::string>()
              << '\n';
  }
  for (const json& team : status["newest"]["teams_above_limit"]) {
    std::cout << "  newest revision waits for shares of team "
              << team.get<std::string>() << '\n';
  }
  for (const json& replica : status["replicas"]) {
    PrintReplica(replica);
  }
  for (const json& session : status["sessions"]) {
    PrintSession(session);
  }
}

int RunMembership(const std::string& method,
                  const std::vector<std::string>& args) {
  if (args.size() != 1) {
    return PrintUsage("the subcommand takes one control process");
  }
  return RunQuery(method, {{"node", args[0]}}, [](const json& result) {
    std::cout << result.value("state", "")
              << "; gooseberryvale status shows the members\n";
  });
}

int RunDrain(const std::string& method, const std::vector<std::string>& args) {
  if (args.size() != 1) {
    return PrintUsage("the subcommand takes one target");
  }
  return RunChange(method, {{"target", args[0]}});
}

}  // namespace

int RunTargetList(const std::vector<std::string>& args) {
  if (!args.empty()) {
    return PrintUsage("target list takes no argument");
  }
  return RunQuery("target.list", json::object(), &PrintTargets);
}

int RunTargetDrain(const std::vector<std::string>& args) {
  return RunDrain("target.drain", args);
}

int RunTargetUndrain(const std::vector<std::string>& args) {
  return RunDrain("target.undrain", args);
}

int RunStatus(const std::vector<std::string>& args) {
  if (!args.empty()) {
    return PrintUsage("status takes no argument");
  }
  auto settings = ClientSettings();
  if (!settings) {
    return PrintVerdict(settings.error());
  }
  OperatorClient client(settings.value());
  json answer = {{"processes", json::array()}};
  bool serves = false;
  Verdict failure;
  for (auto& [address, result] :
       client.CallEach("control.status", json::object())) {
    if (!result) {
      failure = result.error();
      std::cerr << address << ": " << failure.detail_ << '\n';
      continue;
    }
    const bool leads = result.value().value("serves", false);
    if (!WantsJson() && leads) {
      PrintControlStatus(result.value());
    }
    serves = serves || leads;
    answer["processes"].push_back(std::move(result.value()));
  }
  if (WantsJson()) {
    std::cout << answer.dump() << '\n';
  }
  if (answer["processes"].empty()) {
    return PrintVerdict(failure);
  }
  if (!serves) {
    std::cerr << "no control process serves now\n";
  }
  return serves ? kExitDone : kExitNoControl;
}

int RunControlAdd(const std::vector<std::string>& args) {
  return RunMembership("control.add", args);
}

int RunControlPromote(const std::vector<std::string>& args) {
  return RunMembership("control.promote", args);
}

int RunControlRemove(const std::vector<std::string>& args) {
  return RunMembership("control.remove", args);
}

}  // namespace gv
