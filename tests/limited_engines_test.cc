/** @file limited_engines_test.cc Placement of prompts on engines that name a
 * limit of requests. */
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>

#include "coordination/gateway/prompt_scheduler.h"
#include "support/gateway_engines.h"

namespace gv {
namespace {

constexpr Duration kAnswerTime = 2_s;
constexpr Duration kTick = 50_ms;

/** What became of the prompts of a run. */
struct Outcome {
  int64_t arrived_ = 0;
  int64_t refused_ = 0;
  int64_t refused_late_ = 0;  ///< Later than a tick after their arrival.
  int64_t told_no_wait_ = 0;  ///< Refused without a time to return.
  std::map<TargetId, int64_t> placed_;          ///< By engine, parts included.
  std::map<TargetId, int64_t> most_in_window_;  ///< In four seconds.
};

/** A leader with engines of which some name a limit, on a virtual clock. */
class LimitedEngines {
 public:
  LimitedEngines(int engines, int limited, double per_second)
      : service_{"model", 398, ReferenceEngine()},
        leader_("g0", directory_),
        scheduler_(leader_.placer_) {
    AddEngines(directory_, engines);
    leader_.limits_.SetGranting(TimePoint(0), true);
    for (int i = 0; i < limited; ++i) {
      leader_.limits_.OnNamed(
          TimePoint(0), TargetId("engine-" + std::to_string(i)), per_second);
    }
  }

  /** Prompts of @p tokens arrive for @p time. */
  Outcome Run(Duration time, Duration period, int64_t tokens, Duration latest) {
    const TimePoint end = now_ + time;
    for (; now_ < end; now_ = now_ + 1_ms) {
      FinishAnswers();
      if (now_.Ms() % kTick.Ms() == 0) {
        scheduler_.OnTick(now_);
      }
      if (now_.Ms() % period.Ms() == 0) {
        Ask(tokens, latest);
      }
      TakeReplies();
    }
    return outcome_;
  }

 private:
  void Ask(int64_t tokens, Duration latest) {
    PromptAsk ask;
    ask.operation_ = OperationId(++last_operation_);
    ask.service_ = "model";
    ask.prompt_tokens_ = tokens;
    ask.answer_tokens_ = 400;
    ask.latest_ = latest;
    ++outcome_.arrived_;
    arrived_[last_operation_] = now_;
    scheduler_.OnPlacementRequest(now_, NodeId("g1"), ask, &service_);
  }

  void FinishAnswers() {
    while (!running_.empty() && running_.front().first <= now_) {
      scheduler_.OnPromptProgress(
          now_, NodeId("g1"),
          PromptStep{running_.front().second, true, {}, HealthOutcome::kGood});
      running_.pop_front();
    }
  }

  void OnArrival(const TargetId& engine) {
    ++outcome_.placed_[engine];
    std::deque<TimePoint>& recent = recent_[engine];
    recent.push_back(now_);
    while (recent.front() <= now_ - 4_s) {
      recent.pop_front();
    }
    int64_t& most = outcome_.most_in_window_[engine];
    most = std::max(most, static_cast<int64_t>(recent.size()));
  }

  void TakeReplies() {
    for (const SchedulerReply& reply : scheduler_.TakeReplies()) {
      if (const auto* placed = std::get_if<PromptPlaced>(&reply.body_)) {
        OnArrival(placed->target_);
        for (const TargetId& helper : placed->helpers_) {
          OnArrival(helper);
        }
        running_.emplace_back(now_ + kAnswerTime, placed->operation_);
        scheduler_.OnPromptProgress(
            now_, NodeId("g1"), PromptStep{placed->operation_, false, {}, {}});
      } else if (const auto* refused =
                     std::get_if<PromptRefused>(&reply.body_)) {
        ++outcome_.refused_;
        outcome_.refused_late_ +=
            now_ - arrived_[refused->operation_.Value()] > kTick ? 1 : 0;
        outcome_.told_no_wait_ += refused->wait_ <= Duration() ? 1 : 0;
      }
    }
  }

  Service service_;
  TargetDirectory directory_;
  PlacementFixture leader_;
  PromptScheduler scheduler_;
  TimePoint now_{1000};
  std::map<uint64_t, TimePoint> arrived_;  ///< By operation.
  std::map<TargetId, std::deque<TimePoint>> recent_;
  std::deque<std::pair<TimePoint, OperationId>> running_;
  Outcome outcome_;
  uint64_t last_operation_ = 0;
};

TEST_CASE("limited engines: their limit is used, the rest goes to others") {
  // Guards against engines that get requests as if they had named no limit, and
  // against engines that get none as long as others are free.
  const Outcome outcome =
      LimitedEngines(6, 4, 1).Run(10_s, 60_ms, 4960, 1400_ms);
  CHECK(outcome.refused_ == 0);
  for (int i = 0; i < 4; ++i) {
    const TargetId engine("engine-" + std::to_string(i));
    CAPTURE(engine.Value());
    CHECK(outcome.most_in_window_.at(engine) <= 5);
    CHECK(outcome.placed_.at(engine) >= 8);
  }
}

TEST_CASE(
    "limited engines: what they cannot start in time is refused at once") {
  // Twenty prompts a second, and engines that take six.
  const Outcome outcome =
      LimitedEngines(6, 6, 1).Run(10_s, 50_ms, 4960, 1400_ms);
  int64_t placed = 0;
  for (const auto& item : outcome.placed_) {
    CAPTURE(item.first.Value());
    CHECK(outcome.most_in_window_.at(item.first) <= 5);
    placed += item.second;
  }
  CHECK(placed >= 48);
  CHECK(outcome.refused_ >= outcome.arrived_ - 6 * 11 - 10);
  CHECK(outcome.refused_late_ * 10 <= outcome.refused_);
  CHECK(outcome.told_no_wait_ == 0);
}

TEST_CASE("limited engines: parts of long prompts count as requests") {
  // An engine alone takes 3 s for such a prompt.
  const Outcome outcome =
      LimitedEngines(6, 6, 1).Run(10_s, 500_ms, 154000, 6_s);
  for (const auto& item : outcome.most_in_window_) {
    CAPTURE(item.first.Value());
    CHECK(item.second <= 5);
  }
  CHECK(outcome.placed_.size() == 6);
}

TEST_CASE("limited engines: none of them holds memory for others") {
  // Reservations would need orders to the engine beside its requests.
  LimitedEngines engines(8, 4, 1);
  const Outcome outcome = engines.Run(2_s, 1_s, 400000, 20_s);
  for (int i = 0; i < 4; ++i) {
    CHECK_FALSE(
        outcome.placed_.contains(TargetId("engine-" + std::to_string(i))));
  }
}

}  // namespace
}  // namespace gv
