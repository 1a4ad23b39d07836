/** @file decode_protection_test.cc Prefill of long prompts beside answers of
 * more urgent routes, under the load of a deployment with three priorities. */
#include "coordination/gateway/decode_protection.h"

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <random>

#include "coordination/gateway/engine_model.h"
#include "coordination/gateway/prompt_scheduler.h"
#include "support/gateway_engines.h"

namespace gv {
namespace {

/** @return An engine for transcripts, with the figures of its data sheet. */
EngineProfile TranscriptEngine() {
  EngineProfile engine;
  engine.slots_ = 12;
  engine.memory_tokens_ = 450000;
  engine.step_ms_ = 0.925;
  engine.stream_step_ms_ = 0.00483;
  engine.context_step_ms_ = 0.00254;
  engine.prefill_tokens_per_ms_ = 256;
  engine.pair_ms_per_million_ = 0.0917;
  engine.steps_per_event_ = 52;
  engine.usual_prompt_tokens_ = 15637;
  engine.usual_answer_tokens_ = 1608;
  return engine;
}

Service TranscriptService() {
  Service service{"model", 418, TranscriptEngine()};
  service.ranks_ = {{0, 200_ms}, {1, 500_ms}, {2, 800_ms}};
  return service;
}

TEST_CASE("decode protection: only more urgent answers bound a prefill") {
  const Service service = TranscriptService();
  CHECK_FALSE(LongestPrefillBesideUrgent(service, 0));
  const double beside_first = *LongestPrefillBesideUrgent(service, 1);
  CHECK(beside_first > 60);
  // With the interval it fits in the pause that the most urgent route bears.
  CHECK(beside_first + EventIntervalMs(TranscriptEngine(), 12, 12 * 15637) <
        200);
  CHECK(*LongestPrefillBesideUrgent(service, 2) == beside_first);

  Service equal = service;
  equal.ranks_ = {{1, 200_ms}};
  CHECK_FALSE(LongestPrefillBesideUrgent(equal, 1));
  equal.ranks_ = {{0, Duration()}, {1, 500_ms}};
  CHECK_FALSE(LongestPrefillBesideUrgent(equal, 1));
  // A pause that no engine keeps does not split prompts without end.
  equal.ranks_ = {{0, 1_ms}, {1, 500_ms}};
  CHECK(*LongestPrefillBesideUrgent(equal, 1) > 30);
  CHECK_FALSE(LongestPrefillBesideUrgent(Service{"shop", 1, {}}, 1));
}

/** Prompts of one route. */
struct RouteLoad {
  int64_t rank_ = 0;               ///< Priority of the route.
  double per_s_ = 0;               ///< Arrivals per second.
  int events_ = 0;                 ///< Events of an answer.
  std::array<int64_t, 6> tokens_;  ///< Lengths, in turn.
};

/** What callers of the most urgent route got. */
struct UrgentOutcome {
  int arrived_ = 0;      ///< Prompts of the route.
  int interrupted_ = 0;  ///< Answers with a pause above 200 ms.
  int refused_ = 0;      ///< Refused prompts of all routes.
  int unfinished_ = 0;   ///< Prompts of all routes without a whole answer.
};

/**
 * Simulates 12 s of prompts and the engines that serve them: an engine reads
 * all parts that have come within one pass, in which each answer that it writes
 * gains one event.
 */
class RankedLoad {
 public:
  RankedLoad(Service service, int engines, std::vector<RouteLoad> routes)
      : service_(std::move(service)),
        routes_(std::move(routes)),
        leader_("g0", directory_),
        scheduler_(leader_.placer_) {
    AddEngines(directory_, engines, service_.engine_->slots_);
  }

  UrgentOutcome Run() {
    for (TimePoint now(0); now < TimePoint(27000); now = now + 1_ms) {
      for (auto& [id, engine] : engines_) {
        Advance(now, id, engine);
      }
      if (now.Ms() % 50 == 0) {
        scheduler_.OnTick(now);
      }
      if (now < TimePoint(12000)) {
        Arrive(now);
      }
      HandleReplies(now);
    }
    outcome_.unfinished_ = static_cast<int>(prompts_.size());
    return outcome_;
  }

 private:
  static constexpr double kHarmfulPauseMs = 200;

  /** A prompt in progress. */
  struct Prompt {
    const RouteLoad* route_ = nullptr;
    TargetId owner_;            ///< Writes the answer.
    int open_parts_ = 0;        ///< Not yet read.
    int events_left_ = 0;       ///< Of the answer.
    bool interrupted_ = false;  ///< By a harmful pause.
  };
  /** A part of a prompt at an engine. */
  struct Part {
    uint64_t prompt_ = 0;
    double ms_ = 0;
  };
  struct Engine {
    std::vector<Part> queue_;        ///< For the next pass.
    std::vector<Part> reading_;      ///< In this pass.
    std::vector<uint64_t> writing_;  ///< Prompts whose answers it writes.
    TimePoint pass_end_;
    bool in_pass_ = false;
  };

  void Arrive(TimePoint now) {
    for (const RouteLoad& route : routes_) {
      if (std::uniform_real_distribution<>(0, 1000)(random_) >= route.per_s_) {
        continue;
      }
      const uint64_t id = ++last_id_;
      prompts_[id] = Prompt{&route, {}, 0, route.events_, false};
      outcome_.arrived_ += route.rank_ == 0 ? 1 : 0;
      PromptAsk ask;
      ask.operation_ = OperationId(id);
      ask.service_ = "model";
      ask.prompt_tokens_ = route.tokens_[id % route.tokens_.size()];
      ask.answer_tokens_ = route.events_ * service_.engine_->steps_per_event_;
      ask.time_left_ = ask.latest_ = route.rank_ == 2 ? 15_s : 10_s;
      // Customers have a rank of their own, which is the same for all here.
      ask.rank_ = 1;
      ask.route_rank_ = route.rank_;
      scheduler_.OnPlacementRequest(now, NodeId("g1"), ask, &service_);
    }
  }

  void HandleReplies(TimePoint now) {
    for (const SchedulerReply& reply : scheduler_.TakeReplies()) {
      if (const auto* placed = std::get_if<PromptPlaced>(&reply.body_)) {
        const uint64_t id = placed->operation_.Value();
        Prompt& prompt = prompts_.at(id);
        prompt.owner_ = placed->target_;
        prompt.open_parts_ = 1 + static_cast<int>(placed->helpers_.size());
        const Part part{id, static_cast<double>(placed->part_ms_)};
        engines_[placed->target_].queue_.push_back(part);
        for (const TargetId& helper : placed->helpers_) {
          engines_[helper].queue_.push_back(part);
        }
      } else if (const auto* refused =
                     std::get_if<PromptRefused>(&reply.body_)) {
        ++outcome_.refused_;
        prompts_.erase(refused->operation_.Value());
      }
    }
    for (auto& [id, engine] : engines_) {
      if (!engine.in_pass_) {
        BeginPass(now, engine);
      }
    }
  }

  void Advance(TimePoint now, const TargetId& id, Engine& engine) {
    if (!engine.in_pass_ || now < engine.pass_end_) {
      return;
    }
    engine.in_pass_ = false;
    std::erase_if(engine.writing_, [&](uint64_t prompt) {
      if (--prompts_.at(prompt).events_left_ > 0) {
        return false;
      }
      End(now, id, prompt);
      return true;
    });
    for (const Part& part : engine.reading_) {
      Prompt& prompt = prompts_.at(part.prompt_);
      if (--prompt.open_parts_ == 0) {
        engines_.at(prompt.owner_).writing_.push_back(part.prompt_);
        scheduler_.OnPromptProgress(
            now, NodeId("g1"),
            PromptStep{OperationId(part.prompt_), false, {}, {}});
      }
    }
    engine.reading_.clear();
  }

  void BeginPass(TimePoint now, Engine& engine) {
    if (engine.queue_.empty() && engine.writing_.empty()) {
      return;
    }
    engine.reading_ = std::move(engine.queue_);
    engine.queue_.clear();
    double length_ms = 0;
    for (const Part& part : engine.reading_) {
      length_ms += part.ms_;
    }
    if (!engine.writing_.empty()) {
      const auto streams = static_cast<int64_t>(engine.writing_.size());
      length_ms += EventIntervalMs(*service_.engine_, streams, streams * 8000);
    }
    for (const uint64_t id : engine.writing_) {
      Prompt& prompt = prompts_.at(id);
      prompt.interrupted_ = prompt.interrupted_ || length_ms > kHarmfulPauseMs;
    }
    engine.in_pass_ = true;
    engine.pass_end_ = now + Duration(static_cast<int64_t>(length_ms) + 1);
  }

  void End(TimePoint now, const TargetId& target, uint64_t id) {
    const Prompt& prompt = prompts_.at(id);
    outcome_.interrupted_ +=
        prompt.interrupted_ && prompt.route_->rank_ == 0 ? 1 : 0;
    prompts_.erase(id);
    scheduler_.OnPromptProgress(
        now, NodeId("g1"),
        PromptStep{OperationId(id), true, target, HealthOutcome::kGood});
  }

  Service service_;
  std::vector<RouteLoad> routes_;
  TargetDirectory directory_;
  PlacementFixture leader_;
  PromptScheduler scheduler_;
  std::mt19937_64 random_{1};
  std::map<uint64_t, Prompt> prompts_;  ///< By operation.
  std::map<TargetId, Engine> engines_;
  uint64_t last_id_ = 0;
  UrgentOutcome outcome_;
};

/** @return A day without disruptions: single messages, mailboxes, archives. */
std::vector<RouteLoad> CalmLoad() {
  return {
      {0, 76.5, 33, {1500, 2500, 3500, 4500, 7000, 11000}},
      {1, 12.2, 20, {20000, 28000, 36000, 45000, 58000, 85000}},
      {2, 1.6, 16, {130000, 200000, 260000, 300000, 400000, 520000}},
  };
}

TEST_CASE(
    "decode protection: prompts of 20,000 tokens and more do not interrupt "
    "short answers while engines are free") {
  const UrgentOutcome outcome =
      RankedLoad(TranscriptService(), 60, CalmLoad()).Run();
  CAPTURE(outcome.interrupted_);
  CAPTURE(outcome.arrived_);
  CHECK(outcome.arrived_ > 800);
  CHECK(outcome.refused_ == 0);
  CHECK(outcome.unfinished_ == 0);
  CHECK(outcome.interrupted_ * 20 < outcome.arrived_);
  // The same load interrupts them where all routes have one priority.
  Service equal = TranscriptService();
  equal.ranks_ = {{1, 200_ms}};
  const UrgentOutcome unprotected = RankedLoad(equal, 60, CalmLoad()).Run();
  CHECK(unprotected.interrupted_ * 20 > unprotected.arrived_);
}

TEST_CASE("decode protection: nor do they with a data centre less") {
  const UrgentOutcome outcome =
      RankedLoad(TranscriptService(), 40, CalmLoad()).Run();
  CHECK(outcome.refused_ == 0);
  CHECK(outcome.unfinished_ == 0);
  CHECK(outcome.interrupted_ * 20 < outcome.arrived_);
}

TEST_CASE("decode protection: nor in a burst of archives") {
  std::vector<RouteLoad> load = CalmLoad();
  load[0].per_s_ *= 0.36;
  load[2].per_s_ *= 2.7;
  const UrgentOutcome outcome = RankedLoad(TranscriptService(), 60, load).Run();
  CHECK(outcome.refused_ == 0);
  CHECK(outcome.unfinished_ == 0);
  CHECK(outcome.interrupted_ * 20 < outcome.arrived_);
}

}  // namespace
}  // namespace gv
