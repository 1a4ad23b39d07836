/** @file client_flags.cc Flags through gflags. */
#include "cli/client_flags.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <sstream>

#include "transport/secret.h"

DEFINE_string(control, "", "IP:port for operators of each control process");
DEFINE_string(key_file, "", "file with the operator's key");
DEFINE_string(output, "text", "text or json");
DEFINE_string(wait, "accepted", "none, accepted or in-force");
DEFINE_string(reason, "", "why, for the history");
DEFINE_string(change_id, "", "id of the change; a resend carries the same");
DEFINE_string(share, "", "weight of the team's share");
DEFINE_string(tokens_per_second, "", "limit of the team; 0 for none");
DEFINE_string(concurrent, "", "limit of the team; 0 for none");
DEFINE_string(sha256, "", "SHA-256 of an API key, in lower-case hex");
DEFINE_string(key_of, "", "file whose first line is an API key");
DEFINE_int64(base, -1, "revision that the change builds on");
DEFINE_int64(from, -1, "earlier revision");
DEFINE_int64(to, -1, "later revision");
DEFINE_int64(limit, 20, "most changes to show");
DEFINE_int64(timeout_ms, 10'000, "longest time for the command");
DEFINE_bool(print_table, false, "print the table of settings and end");
DEFINE_string(at, "", "IP:port of the control address of a gateway");
DEFINE_bool(end, false, "the evacuation ends");
DECLARE_bool(help);

namespace gv {
namespace {

std::string FromEnvironment(const std::string& flag, const char* name) {
  if (!flag.empty()) {
    return flag;
  }
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

/** @return True for "--name"; "-5" is an argument. */
bool IsFlag(const std::string& arg) {
  return arg.size() > 2 && arg.starts_with("--");
}

Result<void> SetFlag(const std::string& arg) {
  const size_t equals = arg.find('=');
  std::string name = arg.substr(2, equals - 2);
  std::replace(name.begin(), name.end(), '-', '_');
  gflags::CommandLineFlagInfo info;
  if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
    return NotRun(Reason::kBadRequest, arg + ": no such flag");
  }
  if (equals == std::string::npos && info.type != "bool") {
    return NotRun(Reason::kBadRequest,
                  arg + ": a value is missing, use --" + name + "=VALUE");
  }
  const std::string value =
      equals == std::string::npos ? "true" : arg.substr(equals + 1);
  if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
    return NotRun(Reason::kBadRequest, arg + ": the value cannot be read");
  }
  return boost::outcome_v2::success();
}

}  // namespace

Result<std::vector<std::string>> TakeFlags(
    const std::vector<std::string>& args) {
  std::vector<std::string> rest;
  bool only_arguments = false;
  for (const std::string& arg : args) {
    if (arg == "--") {
      only_arguments = true;
    } else if (only_arguments || !IsFlag(arg)) {
      rest.push_back(arg);
    } else if (auto set = SetFlag(arg); !set) {
      return set.error();
    }
  }
  return rest;
}

bool WantsHelp() { return FLAGS_help; }

bool WantsJson() { return FLAGS_output == "json"; }

Result<OperatorClientSettings> ClientSettings() {
  OperatorClientSettings settings;
  std::istringstream list(
      FromEnvironment(FLAGS_control, "GOOSEBERRYVALE_CONTROL"));
  for (std::string address; std::getline(list, address, ',');) {
    settings.addresses_.push_back(address);
  }
  if (settings.addresses_.empty()) {
    return NotRun(Reason::kBadRequest,
                  "no control process is named: use --control or "
                  "GOOSEBERRYVALE_CONTROL");
  }
  const std::string file =
      FromEnvironment(FLAGS_key_file, "GOOSEBERRYVALE_KEY_FILE");
  if (file.empty()) {
    return NotRun(Reason::kUnauthenticated,
                  "no key is named: use --key_file or GOOSEBERRYVALE_KEY_FILE");
  }
  auto key = ReadKeyFile(file);
  if (!key) {
    return key.error();
  }
  settings.key_ = key.value();
  settings.timeout_ = Duration(FLAGS_timeout_ms);
  return settings;
}

}  // namespace gv
