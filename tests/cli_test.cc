/** @file cli_test.cc Subcommands give the documented exit codes, and the
 * printed table has every row. */
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "cli/commands.h"
#include "cli/exit_code.h"
#include "cli/operator_client.h"
#include "cli/settings_cmd.h"
#include "state/table/settings.h"

namespace gv {
namespace {

int Run(std::vector<std::string> args) {
  args.insert(args.begin(), "gooseberryvale");
  std::vector<char*> argv;
  argv.reserve(args.size());
  for (std::string& arg : args) {
    argv.push_back(arg.data());
  }
  return RunCommandLine(static_cast<int>(argv.size()), argv.data());
}

TEST_CASE("cli: wrong usage gives the documented exit code") {
  CHECK(Run({}) == kExitUsage);
  CHECK(Run({"settings"}) == kExitUsage);
  CHECK(Run({"settings", "set", "teams.a.share"}) == kExitUsage);
  CHECK(Run({"settings", "get", "--nothing=1"}) == kExitUsage);
  CHECK(Run({"settings", "undo", "x"}) == kExitUsage);
  CHECK(Run({"settings", "get", "--base"}) == kExitUsage);
}

// A name with other characters would call another path of the gateway.
TEST_CASE("cli: evacuations need an address and a sound name") {
  CHECK(Run({"evacuate"}) == kExitUsage);
  CHECK(Run({"evacuate", "west"}) == kExitUsage);
  CHECK(Run({"evacuate", "a/b", "--at=127.0.0.1:1"}) == kExitUsage);
  CHECK(Run({"evacuate", "a", "b", "--at=127.0.0.1:1"}) == kExitUsage);
  CHECK(Run({"evacuations", "a", "--at=127.0.0.1:1"}) == kExitUsage);
  CHECK(Run({"evacuations", "--at="}) == kExitUsage);
}

TEST_CASE("cli: a verdict has one exit code") {
  CHECK(ExitCodeOf(NotRun(Reason::kBadRequest, "")) == kExitRefused);
  CHECK(ExitCodeOf(NotRun(Reason::kConflict, "")) == kExitConflict);
  CHECK(ExitCodeOf(NotRun(Reason::kNotLeader, "")) == kExitNoControl);
  CHECK(ExitCodeOf(NotRun(Reason::kDeadline, "")) == kExitNotInTime);
  CHECK(ExitCodeOf(NotRun(Reason::kUnauthenticated, "")) ==
        kExitUnauthenticated);
  CHECK(ExitCodeOf(NotRun(Reason::kInternal, "")) == kExitFailed);
}

TEST_CASE("cli: the table has one line for each setting") {
  const std::string table = SettingsTable();
  for (const SettingRow& row : kSettingRows) {
    CHECK(table.find("| `" + std::string(row.pattern_) + "` |") !=
          std::string::npos);
  }
}

}  // namespace
}  // namespace gv
