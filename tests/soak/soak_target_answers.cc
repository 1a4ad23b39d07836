/** @file soak_target_answers.cc What targets answer. */
#include <array>
#include <chrono>

#include "soak/soak_clients.h"
#include "soak/soak_targets.h"

namespace gv {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t kPercent = 100;
/** Time after the acknowledgement of a departure from which a target gets no
 * requests. */
constexpr Duration kDrain = 2_s;

/** @return The line and the fields that all answers have. */
std::string Head(int status, const std::string& attempt,
                 const std::string& fields) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nGooseberryvale-Attempt-Id: " + attempt + "\r\n" + fields;
}

std::string WholeAnswer(int status, const std::string& attempt,
                        const std::string& fields, const std::string& body) {
  return Head(status, attempt, fields) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string SignedLine(int status, const std::string& attempt) {
  return "Gooseberryvale-Response-Signature: " +
         SoakSignature(attempt, status) + "\r\n";
}

}  // namespace

void SoakTargets::Serve(const Target& target, const TargetRequest& request,
                        TargetLine& line) {
  const std::string attempt = request.Header("Gooseberryvale-Attempt-Id");
  if (target.life_->is_ended_) {
    line.Reset();
    return;
  }
  const bool is_expected =
      request.Header("Gooseberryvale-Expect-Instance") == target.id_;
  if (is_expected) {
    CheckLeft(*target.life_, attempt);
  }
  ledger_.OnArrival(attempt[0] == 'r' ? "model" : "shop", attempt);
  if (!is_expected) {
    TurnAway(421, attempt, "", line);
    return;
  }
  const double limit = target.id_.back() == '0' ? limit_.load() : 0;
  ledger_.OnLimited(target.id_, attempt.substr(attempt.find('-') + 1),
                    limit > 0 ? std::optional<double>(limit) : std::nullopt);
  const std::string named =
      limit > 0 ? "Server-Limit: " + std::to_string(limit) + "\r\n" : "";
  constexpr uint64_t kRefuse = 3;
  constexpr uint64_t kRefuseMost = 70;
  if (Luck(attempt) < (refusing_ ? kRefuseMost : kRefuse)) {
    TurnAway(503, attempt, named, line);
    return;
  }
  ledger_.OnRun(attempt, attempt[0] == 'p');
  Work(*target.life_, request, named, line);
}

void SoakTargets::TurnAway(int status, const std::string& attempt,
                           const std::string& named, TargetLine& line) {
  const std::string answer = WholeAnswer(
      status, attempt, "Gooseberryvale-Not-Executed: true\r\n" + named, "");
  line.Send(answer);
  constexpr uint64_t kTwice = 40;
  const uint64_t luck = Luck(attempt, "twice");
  if (luck < kTwice) {
    // It comes where the answer to the next request is expected.
    std::this_thread::sleep_for(milliseconds(luck / 2));
    line.Send(answer);
  }
}

void SoakTargets::FailAfterRun(int status, const std::string& attempt,
                               const std::string& named, TargetLine& line) {
  const bool is_signed = Luck(attempt, "signed") % 2 == 0;
  if (line.Send(
          WholeAnswer(status, attempt,
                      named + (is_signed ? SignedLine(status, attempt) : ""),
                      "failure of " + attempt))) {
    ledger_.OnAnswered(attempt);
  }
}

void SoakTargets::Work(const Life& life, const TargetRequest& request,
                       const std::string& named, TargetLine& line) {
  const std::string attempt = request.Header("Gooseberryvale-Attempt-Id");
  const uint64_t luck = Luck(attempt);
  constexpr uint64_t kReset = 6;
  constexpr uint64_t kHang = 8;
  if (luck < kReset) {
    line.Reset();
    return;
  }
  // Its work lasts longer while it drains, so that some is left at its end.
  constexpr milliseconds kLong{1200};
  if ((luck < kHang || life.is_draining_) && !Lasts(life, kLong)) {
    FailAfterRun(503, attempt, named, line);
    line.Close();
    return;
  }
  constexpr std::array<int, 5> kOwnFailures{503, 429, 408, 500, 504};
  if (luck >= kPercent - kOwnFailures.size()) {
    FailAfterRun(kOwnFailures[kPercent - 1 - luck], attempt, named, line);
    return;
  }
  if (attempt[0] == 'r') {
    SendEvents(life, request, named, line);
    return;
  }
  if (line.Send(WholeAnswer(200, attempt, named + SignedLine(200, attempt),
                            "answer to " + attempt))) {
    ledger_.OnAnswered(attempt);
  }
}

void SoakTargets::SendEvents(const Life& life, const TargetRequest& request,
                             const std::string& named, TargetLine& line) {
  const std::string attempt = request.Header("Gooseberryvale-Attempt-Id");
  constexpr int kEvents = 6;
  const std::string last = request.Header("Last-Event-Id");
  line.Send(Head(200, attempt, named + SignedLine(200, attempt)) +
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
  for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= kEvents;
       ++event) {
    std::this_thread::sleep_for(milliseconds(30));
    line.SendEvent(event, attempt);
    constexpr uint64_t kBreak = 14;
    if (life.is_ended_ ||
        (Luck(attempt) < kBreak && last.empty() && event == 3)) {
      line.Reset();
      return;
    }
  }
  if (line.Send("0\r\n\r\n")) {
    ledger_.OnAnswered(attempt);
  }
}

uint64_t SoakTargets::Luck(const std::string& attempt,
                           const std::string& of) const {
  return std::hash<std::string>()(attempt.substr(0, attempt.find('-')) + of +
                                  std::to_string(seed_)) %
         kPercent;
}

bool SoakTargets::Lasts(const Life& life, milliseconds time) {
  const TimePoint end = SteadyNow() + Duration(time.count());
  while (!life.is_ended_ && SteadyNow() < end) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  return !life.is_ended_;
}

void SoakTargets::CheckLeft(const Life& life, const std::string& attempt) {
  const int64_t left_ms = life.left_ms_;
  const TimePoint now = SteadyNow();
  if (left_ms == 0 || now - TimePoint(left_ms) <= kDrain) {
    return;
  }
  const std::string port = attempt.substr(attempt.find('-') + 1);
  const TimePoint since(left_ms);
  if (view_.is_told_(static_cast<uint16_t>(std::stoi(port)), since) &&
      WasCalm(since)) {
    ledger_.Break(Promise::kLeavingIsKnown,
                  attempt + " came " + std::to_string((now - since).Ms()) +
                      " ms after the departure");
  }
}

}  // namespace gv
