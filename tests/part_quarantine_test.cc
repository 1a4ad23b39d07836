/** @file part_quarantine_test.cc Tests of the quarantine of prompt parts that
 * crash engines. */
#include "coordination/gateway/part_quarantine.h"

#include <doctest/doctest.h>

#include <random>

#include "support/registry_group.h"

namespace gv {
namespace {

using Parts = std::vector<PromptPartId>;
constexpr const char* kService = "model";
/** Longer than reports of one crash take. */
constexpr Duration kSettle = 300_ms;

Parts PartsOf(const std::string& letters) {
  Parts parts;
  for (const char letter : letters) {
    parts.emplace_back(std::string(1, letter));
  }
  return parts;
}

/** @param prompts Letters of the parts of each prompt.
 * @param running From the sending of the prompts to the crash. */
EngineCrash CrashOf(int engine, const std::vector<std::string>& prompts,
                    Duration running = 50_ms) {
  EngineCrash crash;
  crash.target_ = TargetId("i-" + std::to_string(engine));
  crash.service_ = kService;
  for (const std::string& letters : prompts) {
    crash.prompts_.push_back(CrashedPrompt{PartsOf(letters), running});
  }
  return crash;
}

/** One gateway on a virtual clock. */
class Gateway {
 public:
  void Crash(const std::vector<std::string>& prompts,
             Duration running = 50_ms) {
    parts_.OnCrash(now_, CrashOf(++engine_, prompts, running));
    Run(kSettle);
  }
  void Answer(const std::string& letters) {
    parts_.OnAnswer(now_, kService, PartsOf(letters));
  }
  bool MaySend(const std::string& letters) const {
    return !parts_.UntilTrial(now_, kService, PartsOf(letters));
  }
  void Run(Duration duration) {
    now_ = now_ + duration;
    parts_.OnTick(now_);
  }

  TimePoint now_{100000};
  PartQuarantine parts_;
  int engine_ = 0;
};

TEST_CASE("part quarantine: three crashes in a row keep a part away") {
  Gateway gateway;
  gateway.Crash({"ax", "b", "c"});
  gateway.Crash({"ax", "d"});
  CHECK(gateway.MaySend("ax"));
  gateway.Crash({"ax", "b"});
  CHECK_FALSE(gateway.MaySend("ax"));
  // Neither their other part nor what ran beside them is to blame.
  CHECK(gateway.MaySend("a"));
  CHECK(gateway.MaySend("b"));
  CHECK(gateway.MaySend("d"));
  CHECK(gateway.MaySend("x"));
  // Either part alone may still be the cause; an answer tells them apart.
  gateway.Answer("a");
  CHECK(gateway.MaySend("a"));
  CHECK_FALSE(gateway.MaySend("x"));
  CHECK_FALSE(gateway.MaySend("bx"));
}

TEST_CASE("part quarantine: other parts differ from prompt to prompt") {
  Gateway gateway;
  gateway.Crash({"ax"});
  gateway.Crash({"xb", "a"});
  gateway.Crash({"cxd"});
  CHECK_FALSE(gateway.MaySend("x"));
  CHECK_FALSE(gateway.MaySend("ex"));
  CHECK(gateway.MaySend("abcd"));
}

/** @return The part of a whole request with @p body. */
PromptPartId Whole(const std::string& body) {
  return WholeRequestPart("GET a.example/look", "k1", "", body);
}

/** A crash of a target with calls that ran there, by their bodies. */
EngineCrash CallCrashOf(int target, const std::vector<std::string>& bodies) {
  EngineCrash crash = CrashOf(target, {});
  for (const std::string& body : bodies) {
    crash.prompts_.push_back(CrashedPrompt{{Whole(body)}, 50_ms});
  }
  return crash;
}

TEST_CASE("part quarantine: two crashes in a row keep a whole request away") {
  Gateway gateway;
  const auto may_send = [&gateway](const std::string& body) {
    return !gateway.parts_.UntilTrial(gateway.now_, kService, {Whole(body)});
  };
  gateway.parts_.OnCrash(gateway.now_, CallCrashOf(1, {"bad", "x"}));
  gateway.Run(kSettle);
  CHECK(may_send("bad"));
  gateway.parts_.OnCrash(gateway.now_, CallCrashOf(2, {"y", "bad"}));
  gateway.Run(kSettle);
  CHECK_FALSE(may_send("bad"));
  // Calls of the same caller on the same path go on.
  CHECK(may_send("x"));
  CHECK(may_send("y"));
  CHECK(may_send("z"));
  gateway.parts_.OnAnswer(gateway.now_, kService, {Whole("bad")});
  CHECK(may_send("bad"));
}

TEST_CASE("part quarantine: what runs beside each crash hides no request") {
  Gateway gateway;
  for (int i = 0; i < 3; ++i) {
    gateway.parts_.OnCrash(gateway.now_, CallCrashOf(i, {"bad", "popular"}));
    gateway.Run(kSettle);
    gateway.parts_.OnAnswer(gateway.now_, kService, {Whole("popular")});
    gateway.Run(kSettle);
  }
  CHECK(gateway.parts_.UntilTrial(gateway.now_, kService, {Whole("bad")}));
  CHECK_FALSE(
      gateway.parts_.UntilTrial(gateway.now_, kService, {Whole("popular")}));
}

TEST_CASE("part quarantine: a whole request is told by all that it holds") {
  const PromptPartId part = WholeRequestPart("a", "k", "p:1", "b");
  CHECK(part == WholeRequestPart("a", "k", "p:1", "b"));
  CHECK(part != WholeRequestPart("a2", "k", "p:1", "b"));
  CHECK(part != WholeRequestPart("a", "k2", "p:1", "b"));
  CHECK(part != WholeRequestPart("a", "k", "p:2", "b"));
  CHECK(part != WholeRequestPart("a", "k", "p:1", "b2"));
  CHECK(part != WholeRequestPart("ak", "", "p:1", "b"));
}

TEST_CASE("part quarantine: engines that are lost together count once") {
  Gateway gateway;
  for (int i = 0; i < 8; ++i) {
    gateway.parts_.OnCrash(gateway.now_,
                           CrashOf(i, {"ab", "ac", "ab"}, 800_ms));
    gateway.now_ = gateway.now_ + 40_ms;
  }
  gateway.Run(kSettle);
  CHECK(gateway.MaySend("ab"));
  CHECK(gateway.MaySend("ac"));
}

TEST_CASE("part quarantine: an answer between crashes clears a part") {
  Gateway gateway;
  for (int i = 0; i < 20; ++i) {
    gateway.Crash({"a", "b"});
    gateway.Answer("a");
    gateway.Run(2_s);
  }
  CHECK(gateway.MaySend("a"));
}

TEST_CASE("part quarantine: all reports of a crash are taken together") {
  // The report about the prompt that is the cause arrives last.
  Gateway gateway;
  for (int i = 0; i < 3; ++i) {
    gateway.parts_.OnCrash(gateway.now_, CrashOf(i, {"a"}));
    gateway.Run(50_ms);
    EngineCrash late = CrashOf(i, {"ax"});
    late.age_ = 50_ms;
    gateway.parts_.OnCrash(gateway.now_, late);
    gateway.Run(kSettle);
  }
  CHECK(gateway.MaySend("a"));
  CHECK_FALSE(gateway.MaySend("ax"));
}

TEST_CASE("part quarantine: one prompt at a time tries a part again") {
  Gateway gateway;
  const auto crash_thrice = [&gateway]() {
    for (int i = 0; i < 3; ++i) {
      gateway.Crash({"x"});
    }
  };
  crash_thrice();
  gateway.Run(58_s);
  CHECK_FALSE(gateway.MaySend("x"));
  gateway.Run(3_s);
  REQUIRE(gateway.MaySend("x"));
  CHECK(gateway.parts_.OnSent(gateway.now_, kService, PartsOf("x")));
  CHECK_FALSE(gateway.MaySend("x"));
  // The trial crashes too: twice the time.
  gateway.Crash({"x"});
  gateway.Run(110_s);
  CHECK_FALSE(gateway.MaySend("x"));
  gateway.Run(10_s);
  REQUIRE(gateway.MaySend("x"));
  CHECK(gateway.parts_.OnSent(gateway.now_, kService, PartsOf("x")));
  gateway.Answer("x");
  CHECK(gateway.MaySend("x"));
  CHECK_FALSE(gateway.parts_.OnSent(gateway.now_, kService, PartsOf("x")));
}

TEST_CASE("part quarantine: a quarantine that nobody asks for is forgotten") {
  Gateway gateway;
  for (int i = 0; i < 3; ++i) {
    gateway.Crash({"x"});
  }
  CHECK(gateway.parts_.Digest() != 0);
  gateway.Run(130_s);
  CHECK(gateway.parts_.Digest() == 0);
  CHECK(gateway.MaySend("x"));
}

TEST_CASE("part quarantine: services have parts of their own") {
  Gateway gateway;
  for (int i = 0; i < 3; ++i) {
    gateway.Crash({"x"});
  }
  CHECK(!gateway.parts_.UntilTrial(gateway.now_, "other", PartsOf("x")));
}

TEST_CASE(
    "part quarantine: all gateways know it, restarted and joined ones too") {
  RegistryGroup group(3, 4, 1);
  group.Run(5_s);
  const auto is_known = [&group](const std::string& name) {
    return group.Core(name)
        .Parts()
        .UntilTrial(group.now_, kService, PartsOf("ax"))
        .has_value();
  };
  group.Isolate("e4", true);
  for (int i = 0; i < 3; ++i) {
    group.ReportCrash("e1", CrashOf(i, {"ax"}));
    group.ReportCrash("e2", CrashOf(i, {"a"}));
    group.Run(kSettle);
  }
  group.Run(kSettle);
  for (const std::string name : {"d1", "d2", "d3", "e1", "e2", "e3"}) {
    CHECK_MESSAGE(is_known(name), name);
  }
  CHECK_FALSE(is_known("e4"));
  group.Isolate("e4", false);
  group.Crash("e3");
  group.Start("e3");
  group.Crash("d1");
  group.Start("d1");
  group.Run(3_s);
  for (const std::string name : {"d1", "e3", "e4"}) {
    CHECK_MESSAGE(is_known(name), name);
  }
  // So is the answer that ends it, by those that were away.
  group.Isolate("e4", true);
  group.BeginAnswer("e2", kService, PartsOf("ax"));
  group.Run(100_ms);
  group.Isolate("e4", false);
  group.Run(4_s);
  for (const auto& item : group.hosts_) {
    CHECK_MESSAGE(!is_known(item.first), item.first);
  }
}

/** Engines, gateways and callers, of which some send prompts with the part "x".
 * Prompts wait for their first event for a while, and an engine crashes when
 * that of a prompt with "x" is due. */
class TaintedFleet {
 public:
  explicit TaintedFleet(uint64_t seed)
      : random_(seed), group_(3, 1 + Below(5), seed) {
    LinkFaults& faults = group_.link_.faults_;
    faults.delay_max_ = Duration(static_cast<int64_t>(3 + Below(30)));
    faults.loss_ = Below(3) == 0 ? 0.05 : 0;
    tainted_share_ = 1 + Below(30);
    group_.Run(5_s);
  }

  void Run() {
    for (int step = 0; step < 3000; ++step) {
      group_.Run(kStep);
      if (Below(4) > 0) {
        Arrive();
      }
      AdvanceEngines();
      if (Below(600) == 0) {
        const std::string name = AnyGateway();
        group_.Crash(name);
        group_.Start(name);
        in_touch_[name] = group_.now_ + kContact;
        std::erase_if(open_,
                      [&name](const Open& open) { return open.at_ == name; });
      }
    }
  }

  int sent_late_ = 0;    ///< With "x", 3 s after the fifth crash.
  int sound_asked_ = 0;  ///< With the same first part, from 6 s on.
  int sound_sent_ = 0;   ///< Of them, sent to an engine.

 private:
  static constexpr Duration kStep = 10_ms;
  static constexpr Duration kContact = 3_s;
  static constexpr uint64_t kEngines = 20;
  /** A prompt at an engine, without an event. */
  struct Open {
    std::string at_;  ///< Gateway.
    uint64_t engine_ = 0;
    std::string letters_;
    TimePoint sent_;
    TimePoint due_;
  };

  uint64_t Below(uint64_t bound) { return random_() % bound; }
  std::string AnyGateway() {
    auto host = group_.hosts_.begin();
    std::advance(host,
                 static_cast<std::ptrdiff_t>(Below(group_.hosts_.size())));
    return host->first;
  }
  bool IsInTouch(const std::string& gateway) {
    return group_.now_ >= in_touch_[gateway];
  }
  bool IsLater(Duration time) const {
    return fifth_crash_ != TimePoint() && group_.now_ - fifth_crash_ > time;
  }

  void Arrive() {
    // Ten first parts; prompts with "x" have the first of them.
    const bool tainted = Below(100) < tainted_share_;
    const std::string first(1, static_cast<char>('a' + Below(10)));
    const std::string letters = tainted ? "ax" : first;
    const std::string at = AnyGateway();
    const bool counts =
        letters == "a" && IsLater(kContact * 2) && IsInTouch(at);
    sound_asked_ += counts ? 1 : 0;
    Send(at, letters, counts);
  }

  void Send(const std::string& at, const std::string& letters, bool counts) {
    PartQuarantine& parts = group_.Core(at).Parts();
    if (parts.UntilTrial(group_.now_, kService, PartsOf(letters))) {
      return;
    }
    parts.OnSent(group_.now_, kService, PartsOf(letters));
    sound_sent_ += counts ? 1 : 0;
    sent_late_ += letters == "ax" && IsLater(kContact) && IsInTouch(at) ? 1 : 0;
    const Duration prefill(static_cast<int64_t>(20 + Below(300)));
    open_.push_back(
        Open{at, Below(kEngines), letters, group_.now_, group_.now_ + prefill});
  }

  void AdvanceEngines() {
    std::vector<Open> due;
    for (const Open& open : open_) {
      if (open.due_ <= group_.now_) {
        due.push_back(open);
      }
    }
    for (const Open& open : due) {
      if (open.letters_ == "ax") {
        CrashEngine(open.engine_);
      } else if (std::erase_if(open_, [&open](const Open& other) {
                   return other.at_ == open.at_ && other.sent_ == open.sent_ &&
                          other.engine_ == open.engine_;
                 }) > 0) {
        group_.BeginAnswer(open.at_, kService, PartsOf(open.letters_));
      }
    }
  }

  void CrashEngine(uint64_t engine) {
    std::map<std::string, EngineCrash> reports;
    std::vector<Open> broken;
    std::erase_if(open_, [&](const Open& open) {
      if (open.engine_ == engine) {
        broken.push_back(open);
      }
      return open.engine_ == engine;
    });
    if (broken.empty()) {
      return;
    }
    ++crashes_;
    fifth_crash_ = crashes_ == 5 ? group_.now_ : fifth_crash_;
    for (const Open& open : broken) {
      EngineCrash& report = reports[open.at_];
      report.target_ = TargetId("i-" + std::to_string(engine));
      report.start_ms_ = 0;
      report.service_ = kService;
      report.prompts_.push_back(
          CrashedPrompt{PartsOf(open.letters_), group_.now_ - open.sent_});
    }
    for (const auto& [at, report] : reports) {
      group_.ReportCrash(at, report);
    }
    // One retry each.
    for (const Open& open : broken) {
      Send(open.at_, open.letters_, false);
    }
  }

  std::mt19937_64 random_;
  RegistryGroup group_;
  uint64_t tainted_share_ = 0;  ///< In percent.
  std::vector<Open> open_;
  std::map<std::string, TimePoint> in_touch_;  ///< Again, after a restart.
  int crashes_ = 0;
  TimePoint fifth_crash_;
};

TEST_CASE("part quarantine: a random fleet keeps the part away, and no other") {
  // The users' bounds: three requests later than 3 s after the fifth crash, and
  // sound ones with the same first part served at least half as often.
  constexpr uint64_t kSeeds = 100;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    TaintedFleet fleet(seed);
    fleet.Run();
    CHECK(fleet.sent_late_ <= 3);
    CHECK(fleet.sound_sent_ * 2 >= fleet.sound_asked_);
  }
}

}  // namespace
}  // namespace gv
