/** @file refused_and_run_model_test.cc Goes through what targets may answer,
 * over the whole path of a gateway, and compares what the caller was told with
 * what the targets did. */
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

#include "platform/caller_answer.h"
#include "platform/path_requests.h"

namespace gv {
namespace {

constexpr int kLanes = 12;
constexpr int kMostWarmUps = 6;
constexpr std::chrono::milliseconds kLate{50};
constexpr const char* kBody = "own bytes";
constexpr const char* kPrompt = "Gooseberryvale-Token-Usage: 400,40\r\n";
constexpr const char* kAttemptHeader = "Gooseberryvale-Attempt-Id";
constexpr const char* kWarmUp = "warm";  ///< Begins ids of earlier requests.

/** How an answer comes. */
enum class Way : uint8_t {
  kFirst,        ///< As the first on its connection.
  kReused,       ///< After the answer to an earlier request.
  kLateAnswer,   ///< After a while.
  kBrokenOff,    ///< Not to the end of its length.
  kUnframed,     ///< Without a length, to the end of the connection.
  kThenRefused,  ///< The target of the next attempt refuses.
};
constexpr std::array<const char*, 6> kWayNames{
    "first", "reused", "late", "broken off", "unframed", "then refused"};

/** Whose id an answer bears. */
enum class Named : uint8_t { kOwn, kNone, kOther };
constexpr std::array<const char*, 3> kNamedNames{"own id", "no id",
                                                 "other's id"};

/** One answer of all targets of a request. */
struct Case {
  unsigned status_ = 0;
  bool is_signed_ = false;
  bool not_executed_ = false;
  Named named_ = Named::kOwn;
  Way way_ = Way::kFirst;

  bool HasBody() const { return status_ != 204; }
  bool IsRun() const { return !not_executed_ && status_ != 421; }
  bool IsUnnamedRefusal() const { return named_ == Named::kNone && !IsRun(); }
  std::string Name() const {
    return std::to_string(status_) + (is_signed_ ? ", signed" : ", unsigned") +
           (not_executed_ ? ", not executed, " : ", ") +
           kNamedNames.at(static_cast<size_t>(named_)) + ", " +
           kWayNames.at(static_cast<size_t>(way_));
  }
};

/** What a target did with an attempt. */
struct Act {
  Case answer_;
  bool is_own_ = false;  ///< The answer can be told to be the attempt's.
  bool IsWhole() const { return answer_.way_ != Way::kBrokenOff; }
};

/** Both ends of a request. */
struct Outcome {
  Case case_;
  CallerAnswer answer_;
  std::vector<Act> acts_;
  int reused_ = 0;  ///< Attempts over connections with an earlier answer.
};

std::string AnswerText(const Case& one, const std::string& id) {
  std::string text = "HTTP/1.1 " + std::to_string(one.status_) + " Status\r\n";
  if (one.named_ != Named::kNone) {
    text += std::string(kAttemptHeader) + ": " +
            (one.named_ == Named::kOwn ? id : "another") + "\r\n";
  }
  text += one.is_signed_ ? kSigned : "";
  text += one.not_executed_ ? kNotRunHeader : "";
  if (one.way_ == Way::kUnframed) {
    text += "Connection: close\r\n";
  } else if (one.HasBody()) {
    const int missing = one.way_ == Way::kBrokenOff ? 90 : 0;
    text += "Content-Length: " +
            std::to_string(std::string(kBody).size() + missing) + "\r\n";
  }
  return text + "\r\n" + (one.HasBody() ? kBody : "");
}

/** Answers every attempt of one request as its case says. Thread safety: any
 * thread. */
class CaseScript {
 public:
  explicit CaseScript(const Case& one) { outcome_.case_ = one; }

  void Serve(const TargetRequest& request, TargetLine& line) {
    const std::string id = request.Header(kAttemptHeader);
    if (Begins(id, kWarmUp)) {
      const std::scoped_lock lock(mutex_);
      used_.insert(request.connection_);
      line.Send(Answer(request, 200, kSigned));
      return;
    }
    const Case answer = Note(request.connection_);
    if (answer.way_ == Way::kLateAnswer) {
      std::this_thread::sleep_for(kLate);
    }
    line.Send(AnswerText(answer, id));
    if (answer.way_ == Way::kBrokenOff || answer.way_ == Way::kUnframed) {
      line.Close();
    }
  }

  /** @return Connections that have answered a request. */
  size_t Used() {
    const std::scoped_lock lock(mutex_);
    return used_.size();
  }
  /** @return What the targets did so far. */
  Outcome Get() {
    const std::scoped_lock lock(mutex_);
    return outcome_;
  }

 private:
  /** @return The answer to the next attempt. */
  Case Note(uint64_t connection) {
    const std::scoped_lock lock(mutex_);
    Act act{outcome_.case_, false};
    if (act.answer_.way_ == Way::kThenRefused && !outcome_.acts_.empty()) {
      act.answer_ = Case{503, false, true, Named::kOwn, Way::kFirst};
    }
    const bool is_first = used_.insert(connection).second;
    outcome_.reused_ += is_first ? 0 : 1;
    const Named named = act.answer_.named_;
    act.is_own_ = named == Named::kOwn || (named == Named::kNone && is_first);
    outcome_.acts_.push_back(act);
    return act.answer_;
  }

  std::mutex mutex_;         ///< Guards all below.
  Outcome outcome_;          ///< What the targets did.
  std::set<uint64_t> used_;  ///< Connections that have answered a request.
};

std::vector<Case> AllCases(bool repeatable) {
  std::vector<Case> all;
  for (const unsigned status :
       {200, 204, 301, 400, 404, 408, 409, 413, 421, 425, 429, 431, 500, 501,
        502, 503, 504, 507, 599}) {
    for (const bool is_signed : {true, false}) {
      for (const bool not_executed : {false, true}) {
        for (const Named named : {Named::kOwn, Named::kNone, Named::kOther}) {
          for (size_t way = 0; way < kWayNames.size(); ++way) {
            const Case one{status, is_signed, not_executed, named,
                           static_cast<Way>(way)};
            const bool is_possible =
                (one.HasBody() || one.way_ != Way::kBrokenOff) &&
                (repeatable || one.way_ != Way::kThenRefused);
            if (is_possible) {
              all.push_back(one);
            }
          }
        }
      }
    }
  }
  return all;
}

/** A route of kConfiguration, with a service of its own for each lane. */
std::string LanesOf(const std::string& name, bool resumable) {
  using nlohmann::json;
  json all = json::parse(kConfiguration);
  const auto find = [&all](const char* list, const json& wanted) {
    return *std::find_if(
        all[list].begin(), all[list].end(),
        [&wanted](const json& item) { return item["name"] == wanted; });
  };
  json route = find("routes", name);
  json service = find("services", route["service"]);
  all["routes"] = json::array();
  all["services"] = json::array();
  for (int lane = 0; lane < kLanes; ++lane) {
    const std::string number = std::to_string(lane);
    route["name"] = name + number;
    route["pathPrefix"] = "/" + number + "/";
    route["service"] = service["name"] = "s" + number;
    if (!resumable) {
      route.erase("resumable");
    }
    all["routes"].push_back(route);
    all["services"].push_back(service);
  }
  return all.dump();
}

/** Requests of one lane, each with two targets of its own at the same two
 * addresses; thousands of addresses would use up the system's ports. Thread
 * safety: one thread. */
class Lane {
 public:
  Lane(const GatewayRig& rig, int number)
      : rig_(rig),
        name_(std::to_string(number)),
        first_([this](const TargetRequest& request, TargetLine& line) {
          Serve(request, line);
        }),
        second_([this](const TargetRequest& request, TargetLine& line) {
          Serve(request, line);
        }) {}

  Outcome Run(const Case& one) {
    const auto script = std::make_shared<CaseScript>(one);
    SetScript(script);
    const std::string id = name_ + "-" + std::to_string(++count_);
    Register("a" + id, first_);
    Register("b" + id, second_);
    if (one.way_ == Way::kReused) {
      for (int i = 0; i < kMostWarmUps && script->Used() < 2; ++i) {
        AskWhole(rig_, RequestOf(kWarmUp + id + "-" + std::to_string(i)));
      }
    }
    const CallerAnswer answer = AskWhole(rig_, RequestOf(id));
    rig_.Control("DELETE", "/v1/instances/a" + id, "");
    rig_.Control("DELETE", "/v1/instances/b" + id, "");
    // Ends the connections that the gateway keeps.
    first_.BreakConnections();
    second_.BreakConnections();
    Outcome outcome = script->Get();
    outcome.answer_ = answer;
    return outcome;
  }

 private:
  void SetScript(std::shared_ptr<CaseScript> script) {
    const std::scoped_lock lock(mutex_);
    script_ = std::move(script);
  }

  void Serve(const TargetRequest& request, TargetLine& line) {
    std::shared_ptr<CaseScript> script;
    {
      const std::scoped_lock lock(mutex_);
      script = script_;
    }
    script->Serve(request, line);
  }

  void Register(const std::string& id, const ScriptedTarget& target) {
    const std::string answer = rig_.Control(
        "PUT", "/v1/instances/" + id,
        R"({"service":"s)" + name_ + R"(","address":")" + target.Address() +
            R"(","zone":"d1","version":"v1","slots":16,"state":"ready",)" +
            R"("remainingMs":0,"born":1,"sequence":1})");
    if (!Begins(answer, "HTTP/1.1 200")) {
      FAIL_CHECK("a registration was not accepted: " << answer);
    }
  }

  /** @return A request with an id and a path of its own. */
  std::string RequestOf(const std::string& id) const {
    std::string request = Request("/" + name_ + "/" + id, kPrompt);
    return request.replace(request.find("Id: a1"), 6, "Id: " + id);
  }

  const GatewayRig& rig_;
  std::string name_;
  int count_ = 0;                       ///< Of requests.
  std::mutex mutex_;                    ///< Guards script_.
  std::shared_ptr<CaseScript> script_;  ///< Of the present case.
  ScriptedTarget first_;
  ScriptedTarget second_;
};

std::vector<Outcome> RunAll(const std::string& route, bool resumable,
                            const std::vector<Case>& cases) {
  GatewayRig rig(LanesOf(route, resumable), nullptr, ", retry_slack: 1000000");
  std::vector<Outcome> outcomes(cases.size());
  std::atomic<size_t> next = 0;
  std::vector<std::thread> lanes;
  lanes.reserve(kLanes);
  for (int number = 0; number < kLanes; ++number) {
    lanes.emplace_back([&, number]() {
      Lane lane(rig, number);
      for (size_t i = next++; i < cases.size(); i = next++) {
        outcomes[i] = lane.Run(cases[i]);
      }
    });
  }
  for (std::thread& lane : lanes) {
    lane.join();
  }
  return outcomes;
}

void CheckPassedOn(const Outcome& outcome) {
  const CallerAnswer& got = outcome.answer_;
  const bool is_success = got.status_ < 300;
  const auto is_source = [&got, is_success](const Act& act) {
    const bool is_whole_success = act.IsWhole() && act.answer_.is_signed_;
    return act.is_own_ && act.answer_.status_ == got.status_ &&
           act.answer_.is_signed_ == got.is_signed_ &&
           (!is_success || is_whole_success);
  };
  const bool has_source =
      std::any_of(outcome.acts_.begin(), outcome.acts_.end(), is_source);
  if (is_success) {
    CHECK(got.is_signed_);
    CHECK(got.body_ == (outcome.case_.HasBody() ? kBody : ""));
  }
  // A signature or a body of a target comes with that target's status.
  if (is_success || got.is_signed_ || got.body_ == kBody) {
    CHECK(has_source);
  }
}

void CheckBothEnds(const Outcome& outcome, bool repeatable) {
  const CallerAnswer& got = outcome.answer_;
  CHECK(got.ended_);
  CHECK(got.is_one_);
  CHECK(!outcome.acts_.empty());
  const auto runs =
      std::count_if(outcome.acts_.begin(), outcome.acts_.end(),
                    [](const Act& act) { return act.answer_.IsRun(); });
  if (runs > 0) {
    CHECK_FALSE(IsPromise(got.status_));
  }
  if (!repeatable) {
    CHECK(runs <= 1);
  }
  const bool all_refused = std::all_of(
      outcome.acts_.begin(), outcome.acts_.end(), [](const Act& act) {
        return !act.answer_.IsRun() && act.is_own_ && act.IsWhole() &&
               act.answer_.status_ >= 400;
      });
  if (all_refused) {
    CHECK(IsPromise(got.status_));
  }
  CheckPassedOn(outcome);
}

/** A route of kConfiguration. */
struct TestedRoute {
  const char* name_ = nullptr;
  bool resumable_ = false;
  bool repeatable_ = false;
};
constexpr TestedRoute kUnsafe{"pay", false, false};
constexpr TestedRoute kSafe{"look", false, true};
constexpr TestedRoute kStream{"read", true, true};
constexpr TestedRoute kRunOnceStream{"read", false, false};

void CheckRoute(const TestedRoute& route, bool unnamed_refusals) {
  std::vector<Case> cases = AllCases(route.repeatable_);
  std::erase_if(cases, [unnamed_refusals](const Case& one) {
    return one.IsUnnamedRefusal() != unnamed_refusals;
  });
  int reused = 0;
  for (const Outcome& outcome : RunAll(route.name_, route.resumable_, cases)) {
    const std::string name = outcome.case_.Name();
    std::string acts;
    for (const Act& act : outcome.acts_) {
      acts += "[" + act.answer_.Name() + "]";
    }
    CAPTURE(name);
    CAPTURE(acts);
    CAPTURE(outcome.answer_.status_);
    CheckBothEnds(outcome, route.repeatable_);
    reused += outcome.case_.way_ == Way::kReused ? outcome.reused_ : 0;
  }
  CHECK(reused > 0);
}

TEST_CASE("refused and run: answers on an unsafe route") {
  CheckRoute(kUnsafe, false);
}

TEST_CASE("refused and run: answers on a safe route") {
  CheckRoute(kSafe, false);
}

TEST_CASE("refused and run: answers on a stream route") {
  CheckRoute(kStream, false);
}

TEST_CASE("refused and run: answers on a stream route without resumption") {
  CheckRoute(kRunOnceStream, false);
}

TEST_CASE("refused and run: refusals without an id") {
  for (const TestedRoute& route : {kUnsafe, kSafe, kStream, kRunOnceStream}) {
    CAPTURE(route.name_);
    CAPTURE(route.resumable_);
    CheckRoute(route, true);
  }
}

}  // namespace
}  // namespace gv
