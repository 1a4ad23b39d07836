/** @file timeline_cmd.cc Reads, merges and prints time lines. */
#include "cli/timeline_cmd.h"

#include <charconv>
#include <ctime>
#include <iostream>
#include <optional>
#include <string_view>

#include "state/event_func.h"
#include "state/timeline_codec.h"
#include "state/timeline_merge.h"
#include "transport/timeline_file.h"

namespace gv {
namespace {

constexpr int kExitDone = 0;
constexpr int kExitBadLine = 1;
constexpr int kExitUsage = 2;

constexpr std::string_view kUsage =
    "usage: gooseberryvale timeline FILE... [OPTION...]\n"
    "Merges the time line files of all processes into one causal order.\n"
    "  --request=ID --team=NAME --target=NAME --revision=NUMBER\n"
    "                        only events of these\n"
    "  --from=MS --to=MS     wall clock in milliseconds since the epoch\n"
    "  --output=text|json|html\n"
    "  --events              print the catalogue of events and stop\n"
    "Exit codes: 0 done, 1 some lines could not be read, 2 wrong arguments.\n";

/** The parsed arguments. */
struct TimelineArguments {
  std::vector<std::string> files_;  ///< Files to read.
  TimelineFilter filter_;           ///< Events to show.
  std::string output_ = "text";     ///< Form of the output.
  bool help_ = false;               ///< Show the usage and stop.
  bool catalogue_ = false;          ///< Print the catalogue and stop.
};

std::optional<int64_t> ParseNumber(std::string_view text) {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<uint64_t> ParseId(std::string_view text) {
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value == 0) {
    return std::nullopt;
  }
  return value;
}

bool TakeNameOption(std::string_view key, const std::string& value,
                    TimelineArguments& arguments) {
  if (key == "--team") {
    arguments.filter_.team_ = TeamId(value);
  } else if (key == "--target") {
    arguments.filter_.target_ = TargetId(value);
  } else if (key == "--output") {
    arguments.output_ = value;
    return value == "text" || value == "json" || value == "html";
  } else {
    return false;
  }
  return !value.empty();
}

bool TakeNumberOption(std::string_view key, const std::string& value,
                      TimelineArguments& arguments) {
  const auto id = ParseId(value);
  const auto number = ParseNumber(value);
  if (key == "--request" && id) {
    arguments.filter_.request_ = RequestId(*id);
  } else if (key == "--revision" && id) {
    arguments.filter_.revision_ = Revision(*id);
  } else if (key == "--from" && number) {
    arguments.filter_.from_ = number;
  } else if (key == "--to" && number) {
    arguments.filter_.before_ = *number + 1;
  } else {
    return false;
  }
  return true;
}

/** @return True if the arguments are good; else the bad one is printed. */
bool ParseArguments(const std::vector<std::string>& args,
                    TimelineArguments& arguments) {
  for (const std::string& arg : args) {
    if (arg == "--help" || arg == "--events") {
      arguments.help_ = arg == "--help";
      arguments.catalogue_ = arg == "--events";
      return true;
    }
    if (arg.rfind("--", 0) != 0) {
      arguments.files_.push_back(arg);
      continue;
    }
    const size_t equals = std::min(arg.find('='), arg.size());
    const std::string key = arg.substr(0, equals);
    const std::string value =
        equals < arg.size() ? arg.substr(equals + 1) : std::string();
    if (!TakeNameOption(key, value, arguments) &&
        !TakeNumberOption(key, value, arguments)) {
      std::cerr << "gooseberryvale timeline: bad option " << arg << "\n";
      return false;
    }
  }
  return !arguments.files_.empty();
}

void PrintEvents(const std::vector<Event>& events, const std::string& output) {
  if (output == "html") {
    std::cout << TimelinePage(events);
    return;
  }
  for (const Event& event : events) {
    std::cout << (output == "json" ? EventToLine(event) : TimelineText(event))
              << "\n";
  }
}

std::string WallText(int64_t wall_ms) {
  const std::time_t seconds = wall_ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const std::string thousandths = std::to_string(1000 + wall_ms % 1000);
  return std::string(text.data(), length) + "." + thousandths.substr(1) + "Z";
}

}  // namespace

std::string TimelineText(const Event& event) {
  std::string line = WallText(event.hlc_.wall_ms_);
  line += "+" + std::to_string(event.hlc_.counter_);
  line += " " + event.node_.Value();
  line += " " + std::to_string(static_cast<int>(event.id_)) + " ";
  line += EventName(event.id_);
  if (!event.request_.IsNone()) {
    line += " request=" + std::to_string(event.request_.Value());
  }
  if (!event.team_.IsNone()) {
    line += " team=" + event.team_.Value();
  }
  if (!event.target_.IsNone()) {
    line += " target=" + event.target_.Value();
  }
  if (!event.revision_.IsNone()) {
    line += " revision=" + std::to_string(event.revision_.Value());
  }
  return event.detail_.empty() ? line : line + " " + event.detail_;
}

int RunTimeline(const std::vector<std::string>& args) {
  TimelineArguments arguments;
  if (!ParseArguments(args, arguments)) {
    std::cerr << kUsage;
    return kExitUsage;
  }
  if (arguments.help_ || arguments.catalogue_) {
    std::cout << (arguments.help_ ? std::string(kUsage) : EventCataloguePage());
    return kExitDone;
  }
  std::vector<Event> events;
  int exit_code = kExitDone;
  for (const std::string& path : arguments.files_) {
    TimelineFile file = ReadTimelineFile(path);
    events.insert(events.end(), file.events_.begin(), file.events_.end());
    for (const std::string& fault : file.faults_) {
      std::cerr << fault << "\n";
      exit_code = kExitBadLine;
    }
  }
  PrintEvents(MergeTimeline(std::move(events), arguments.filter_),
              arguments.output_);
  return exit_code;
}

}  // namespace gv
