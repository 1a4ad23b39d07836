/** @file runtime.cc Starts the process that a settings file describes. */
#include "transport/runtime.h"

#include <csignal>
#include <iostream>

#include "transport/gateway/gateway.h"
#include "transport/process.h"
#include "transport/process_settings_file.h"

namespace gv {
namespace {

constexpr int kExitStartFailed = 1;
constexpr int kExitBadSettings = 2;

}  // namespace

int RunProcess(const std::string& settings_file) {
  const auto settings = LoadProcessSettings(settings_file);
  if (!settings.has_value()) {
    std::cerr << settings.error().detail_ << "\n";
    return kExitBadSettings;
  }
  std::signal(SIGPIPE, SIG_IGN);
  if (settings.value().HasRole("gateway")) {
    return RunGateway(settings.value(), settings_file);
  }
  ConfigureLog(settings.value().log_file_, settings.value().log_level_);
  Process process(settings.value());
  const auto opened = process.Open();
  if (!opened.has_value()) {
    std::cerr << settings_file << ": " << opened.error().detail_ << "\n";
    return kExitStartFailed;
  }
  process.Run();
  return 0;
}

}  // namespace gv
