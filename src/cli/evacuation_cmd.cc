/** @file evacuation_cmd.cc Calls the control address of a gateway about
 * evacuated data centres. */
#include "cli/evacuation_cmd.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "cli/change_cmd.h"
#include "cli/client_flags.h"
#include "cli/exit_code.h"
#include "coordination/gateway/evacuation_set.h"
#include "transport/gateway/wire_codec.h"
#include "transport/http_client.h"

namespace gv {
namespace {

using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kTooMany = 429;
constexpr unsigned kClientError = 400;
constexpr unsigned kServerError = 500;
/** For one call; a gateway answers within 850 ms. */
constexpr Duration kCallTimeout = 1_s;
/** Pause after the first failed call; it doubles up to the longest. */
constexpr Duration kFirstPause = 100_ms;
constexpr Duration kLongestPause = 1_s;

/** @return True if the same call may succeed later. */
bool IsTemporary(unsigned status) {
  return status >= kServerError || status == kRequestTimeout ||
         status == kTooMany;
}

HttpPost MakeCall(const EvacuationCall& call) {
  HttpPost post;
  post.address_ = FLAGS_at;
  post.path_ = call.path_;
  post.method_ = call.method_;
  post.timeout_ = kCallTimeout;
  return post;
}

/** Repeats a call until it is answered or --timeout_ms is over. */
Result<HttpAnswer> CallUntilAnswered(const EvacuationCall& call) {
  using Clock = std::chrono::steady_clock;
  const HttpPost post = MakeCall(call);
  const auto end = Clock::now() + std::chrono::milliseconds(FLAGS_timeout_ms);
  Duration pause = kFirstPause;
  while (true) {
    auto answer = SendHttpPost(post);
    const bool is_final = answer
                              ? !IsTemporary(answer.value().status_)
                              : answer.error().reason_ == Reason::kBadRequest;
    if (is_final ||
        Clock::now() + std::chrono::milliseconds(pause.Ms()) > end) {
      return answer;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(pause.Ms()));
    pause = std::min(pause + pause, kLongestPause);
  }
}

/** Prints an answer that is not a success. @return The exit code. */
int PrintFailure(const HttpAnswer& answer) {
  std::cerr << FLAGS_at << ": HTTP status " << answer.status_ << ' '
            << answer.body_ << '\n';
  if (IsTemporary(answer.status_)) {
    return kExitNotInTime;
  }
  return answer.status_ >= kClientError ? kExitRefused : kExitFailed;
}

/** @return The answer of a successful call; otherwise the exit code is in
 * @p code. */
std::optional<HttpAnswer> Call(ControlCall call, const std::string& data_centre,
                               int& code) {
  if (FLAGS_at.empty()) {
    code = PrintUsage("--at=IP:PORT names the control address of a gateway");
    return std::nullopt;
  }
  const WireCodec* codec = GetWireCodec();
  if (codec == nullptr) {
    code = PrintUsage("this binary has no codec for gateways");
    return std::nullopt;
  }
  auto answer = CallUntilAnswered(codec->encode_evacuation_(call, data_centre));
  if (!answer) {
    code = PrintVerdict(answer.error());
    if (code == kExitNoControl && call != ControlCall::kListEvacuations) {
      std::cerr << "the order may have been accepted; repeat the command, also "
                   "at another gateway\n";
      code = kExitNotInTime;
    }
    return std::nullopt;
  }
  if (answer.value().status_ != kOk) {
    code = PrintFailure(answer.value());
    return std::nullopt;
  }
  code = kExitDone;
  return std::move(answer.value());
}

}  // namespace

int RunEvacuate(const std::vector<std::string>& args) {
  // A name with other characters would change the path of the call.
  if (args.size() != 1 || !IsDataCentreName(args[0])) {
    return PrintUsage(
        "the name of one data centre is needed: 1 to 64 letters, digits, '-', "
        "'_' and '.'");
  }
  int code = kExitDone;
  const auto answer =
      Call(FLAGS_end ? ControlCall::kEndEvacuation : ControlCall::kEvacuate,
           args[0], code);
  if (answer) {
    if (WantsJson()) {
      std::cout << json{{"data_centre", args[0]}, {"evacuated", !FLAGS_end}}
                << '\n';
    } else {
      std::cout << args[0]
                << (FLAGS_end ? ": the evacuation has ended\n"
                              : ": is evacuated; requests running there finish "
                                "normally\n");
    }
  }
  return code;
}

int RunEvacuations(const std::vector<std::string>& args) {
  if (!args.empty()) {
    return PrintUsage("evacuations has no arguments");
  }
  int code = kExitDone;
  const auto answer = Call(ControlCall::kListEvacuations, "", code);
  if (!answer) {
    return code;
  }
  const json list = json::parse(answer->body_, nullptr, false);
  if (!list.is_object() || !list.contains("evacuated") ||
      !list["evacuated"].is_array()) {
    std::cerr << FLAGS_at << ": the answer cannot be read\n";
    return kExitFailed;
  }
  if (WantsJson()) {
    std::cout << list.dump() << '\n';
    return kExitDone;
  }
  for (const json& name : list["evacuated"]) {
    std::cout << (name.is_string() ? name.get<std::string>() : name.dump())
              << '\n';
  }
  return kExitDone;
}

}  // namespace gv
