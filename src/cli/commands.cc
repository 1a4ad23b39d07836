/** @file commands.cc Chooses the subcommand and prints its help. */
#include "cli/commands.h"

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

#include "cli/change_cmd.h"
#include "cli/client_flags.h"
#include "cli/command_type.h"
#include "cli/control_cmd.h"
#include "cli/evacuation_cmd.h"
#include "cli/exit_code.h"
#include "cli/explain_cmd.h"
#include "cli/replay_cmd.h"
#include "cli/run_cmd.h"
#include "cli/settings_cmd.h"
#include "cli/timeline_cmd.h"

namespace gv {
namespace {

constexpr std::string_view kClientFlags =
    "  --control=IP:PORT,...  control processes (or GOOSEBERRYVALE_CONTROL)\n"
    "  --key_file=FILE        operator's key (or GOOSEBERRYVALE_KEY_FILE)\n"
    "  --timeout_ms=10000     longest time for the command\n"
    "  --output=text|json     form of the result\n";
constexpr std::string_view kChangeFlags =
    "  --wait=accepted        none, accepted or in-force\n"
    "  --reason=TEXT          why, for the history\n"
    "  --base=N               refuse unless N is the newest revision\n"
    "  --change_id=ID         id of the change; a resend carries the same\n";
constexpr std::string_view kAddFlags =
    "  --share=N              weight of the team's share\n";
constexpr std::string_view kLimitFlags =
    "  --tokens_per_second=N  limit over all entries; 0 for none\n"
    "  --concurrent=N         requests in progress; 0 for none\n";
constexpr std::string_view kKeyFlags =
    "  --sha256=HEX           hash of the API key\n"
    "  --key_of=FILE          file with the API key; only its hash is sent\n"
    "  (neither: the key is removed)\n";
constexpr std::string_view kDiffFlags =
    "  --from=N --to=N        revisions; the newest change if not given\n";
constexpr std::string_view kHistoryFlags =
    "  --limit=20             most changes to show\n";

constexpr std::string_view kEvacuateFlags =
    "  --at=IP:PORT           control address of any gateway\n"
    "  --end                  requests may be sent there again\n"
    "  --timeout_ms=10000     longest time for the command\n"
    "  --output=text|json     form of the result\n";
constexpr std::string_view kEvacuationsFlags =
    "  --at=IP:PORT           control address of any gateway\n"
    "  --timeout_ms=10000     longest time for the command\n"
    "  --output=text|json     form of the result\n";

/** A subcommand and which common flags it has. */
struct CommandRow {
  Command command_;         ///< The subcommand.
  bool is_client_ = false;  ///< Has kClientFlags.
  bool is_change_ = false;  ///< Has kChangeFlags.
};

constexpr auto kCommands = std::to_array<CommandRow>({
    {{"run", "", "  --settings=FILE        settings file of the process\n",
      "Starts one process with the roles that its settings name.",
      &RunProcessCommand}},
    {{"check-settings", "FILE",
      "  --print_table          print the table of all settings\n",
      "Checks a settings file and starts nothing.", &RunCheckSettings}},
    {{"settings get", "[PATH]", "",
      "Prints settings: all, one path, or all below a path.", &RunSettingsGet},
     true},
    {{"settings set", "PATH VALUE...", "",
      "Changes settings; all of the pairs or none.", &RunSettingsSet},
     true,
     true},
    {{"settings unset", "PATH...", "", "Returns settings to their defaults.",
      &RunSettingsUnset},
     true,
     true},
    {{"settings diff", "", kDiffFlags, "Compares two revisions.",
      &RunSettingsDiff},
     true},
    {{"settings history", "[PATH]", kHistoryFlags,
      "Prints accepted changes, the newest first.", &RunSettingsHistory},
     true},
    {{"settings undo", "REVISION", "",
      "Makes a new change that takes one back.", &RunSettingsUndo},
     true,
     true},
    {{"team add", "TEAM", kAddFlags, "Creates a team.", &RunTeamAdd},
     true,
     true},
    {{"team share", "TEAM N", "", "Sets the weight of a team's share.",
      &RunTeamShare},
     true,
     true},
    {{"team limit", "TEAM", kLimitFlags, "Sets a team's limits.",
      &RunTeamLimit},
     true,
     true},
    {{"team key", "TEAM NAME", kKeyFlags, "Adds or removes an API key.",
      &RunTeamKey},
     true,
     true},
    {{"target list", "", "", "Lists targets.", &RunTargetList}, true},
    {{"target drain", "TARGET", "", "Gives a target no new work.",
      &RunTargetDrain},
     true,
     true},
    {{"target undrain", "TARGET", "", "Gives a target work again.",
      &RunTargetUndrain},
     true,
     true},
    {{"status", "", "",
      "Shows leader, replicas, sessions, and the revisions accepted and in "
      "force.",
      &RunStatus},
     true},
    {{"evacuate", "DATA_CENTRE", kEvacuateFlags,
      "Lets gateways send no further requests to the targets of a data "
      "centre.",
      &RunEvacuate}},
    {{"evacuations", "", kEvacuationsFlags, "Lists evacuated data centres.",
      &RunEvacuations}},
    {{"control add", "NODE", "", "Adds a control process as a learner.",
      &RunControlAdd},
     true},
    {{"control promote", "NODE", "",
      "Makes a learner that has caught up a voter.", &RunControlPromote},
     true},
    {{"control remove", "NODE", "", "Removes a control process.",
      &RunControlRemove},
     true},
});

/** Subcommands that read files only and parse their own flags. */
constexpr auto kFileCommands = std::to_array<CommandRow>({
    {{"timeline", "FILE...",
      "  --request=N --team=NAME --target=NAME --revision=N\n"
      "  --from=MS --to=MS      wall time in milliseconds since 1970\n"
      "  --output=text|json|html\n",
      "Merges the time lines of all processes in causal order.", &RunTimeline}},
    {{"explain", "ID [FILE...]", "",
      "Tells what became of a request from the logs of gateways, and why.",
      &RunExplain}},
    {{"replay", "TRACE...", "",
      "Feeds recorded inputs to the same cores and compares their actions.",
      &RunReplay}},
});

void PrintCommands(std::ostream& out) {
  out << "usage: gooseberryvale COMMAND [ARGUMENT...] [--FLAG=VALUE...]\n\n";
  for (const CommandRow& row : kCommands) {
    out << "  " << row.command_.name_ << ' ' << row.command_.arguments_
        << "\n      " << row.command_.doc_ << '\n';
  }
  for (const CommandRow& row : kFileCommands) {
    out << "  " << row.command_.name_ << ' ' << row.command_.arguments_
        << "\n      " << row.command_.doc_ << '\n';
  }
  out << "\nCOMMAND --help prints its flags. Exit codes: 0 done, 1 failed, "
         "2 wrong usage,\n3 refused, 4 conflict, 5 no control process serves, "
         "6 not in time,\n7 unauthenticated.\n";
}

void PrintHelp(const CommandRow& row) {
  std::cout << "usage: gooseberryvale " << row.command_.name_ << ' '
            << row.command_.arguments_ << "\n"
            << row.command_.doc_ << '\n'
            << row.command_.flags_ << (row.is_change_ ? kChangeFlags : "")
            << (row.is_client_ ? kClientFlags : "");
}

/** Removes the words of a subcommand from the arguments, if they are there. */
bool TakeName(std::string_view name, std::vector<std::string>& args) {
  const size_t space = name.find(' ');
  const size_t words = space == std::string_view::npos ? 1 : 2;
  if (args.size() < words) {
    return false;
  }
  const std::string have = words == 1 ? args[0] : args[0] + " " + args[1];
  if (have != name) {
    return false;
  }
  args.erase(args.begin(), args.begin() + static_cast<ptrdiff_t>(words));
  return true;
}

}  // namespace

int RunCommandLine(int argc, char** argv) {
  std::vector<std::string> given(argv + 1, argv + argc);
  for (const CommandRow& row : kFileCommands) {
    if (!TakeName(row.command_.name_, given)) {
      continue;
    }
    if (given == std::vector<std::string>{"--help"}) {
      PrintHelp(row);
      return kExitDone;
    }
    return row.command_.run_(given);
  }
  auto taken = TakeFlags(given);
  if (!taken) {
    return PrintUsage(taken.error().detail_);
  }
  std::vector<std::string> args = std::move(taken.value());
  const auto* row = std::find_if(
      kCommands.begin(), kCommands.end(), [&args](const CommandRow& candidate) {
        return TakeName(candidate.command_.name_, args);
      });
  if (row == kCommands.end()) {
    PrintCommands(WantsHelp() ? std::cout : std::cerr);
    return WantsHelp() ? kExitDone : kExitUsage;
  }
  if (WantsHelp()) {
    PrintHelp(*row);
    return kExitDone;
  }
  return row->command_.run_(args);
}

}  // namespace gv
