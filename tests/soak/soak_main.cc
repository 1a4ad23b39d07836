/** @file soak_main.cc Runs gateways as processes, disturbs them from outside by
 * a seed, and checks what callers, targets and the operator see. */
#include <gflags/gflags.h>
#include <signal.h>

#include <filesystem>
#include <iostream>
#include <thread>

#include "soak/soak_clients.h"
#include "soak/soak_world.h"
#include "transport/steady_clock.h"

DEFINE_uint64(seed, 1, "Of the schedule of faults.");
DEFINE_int32(seconds, 12, "How long faults are injected.");
DEFINE_int32(disks, 3, "Gateways with a disk.");
DEFINE_int32(others, 3, "Gateways without a disk.");
DEFINE_int32(callers, 8, "Callers at the same time.");
DEFINE_string(binary, "build/gooseberryvale", "The program under test.");
DEFINE_string(folder, "", "For data and logs; kept if a promise is broken.");

namespace gv {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStartTime{10000};
constexpr milliseconds kBetween{400};
/** A crash of all gateways, an election and leases, as the users allow. */
constexpr Duration kRecovery = 12_s;
constexpr int kAsksOfCheck = 12;
constexpr int kServedOfCheck = 8;
/** A round fails by chance once in 75, as targets fail one request in eight;
 * with many gateways the time is over after the first ones. */
constexpr int kLeastRounds = 3;

SoakView ViewOf(SoakWorld& world) {
  return SoakView{[&world]() { return world.PickCaller(); },
                  [&world](uint16_t port, TimePoint time) {
                    return world.WasCalm(port, time);
                  },
                  [&world](uint16_t port, TimePoint time) {
                    return world.WasPlanned(port, time);
                  }};
}

/** Runs callers and the operator while the schedule goes on. */
void RunFaults(SoakWorld& world, SoakLedger& ledger, SoakOperator& changer) {
  std::atomic<bool> stop = false;
  std::vector<std::thread> threads;
  threads.emplace_back([&]() { changer.Run(stop); });
  for (int i = 0; i < FLAGS_callers; ++i) {
    threads.emplace_back([&, i]() {
      // Half of the callers keep their connections.
      SoakCaller(ledger, FLAGS_seed * 100 + static_cast<uint64_t>(i),
                 ViewOf(world), i % 2 == 0)
          .Run(stop);
    });
  }
  const TimePoint start = SteadyNow();
  const TimePoint end = start + Duration(int64_t{FLAGS_seconds} * 1000);
  while (SteadyNow() < end) {
    std::cout << (SteadyNow() - start).Ms() << " ms " << world.Disturb()
              << std::endl;
    std::this_thread::sleep_for(kBetween);
  }
  stop = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
}

/** Checks that each gateway serves again and reads what was acknowledged. */
void CheckRecovery(SoakWorld& world, SoakLedger& ledger,
                   SoakOperator& changer) {
  const TimePoint end = SteadyNow() + kRecovery;
  for (const uint16_t port : world.ControlPorts()) {
    bool read = false;
    while (!read && SteadyNow() < end) {
      world.Heal();
      read = changer.Read(port, Promise::kNothingLost);
      std::this_thread::sleep_for(milliseconds(50));
    }
    if (!read) {
      ledger.Break(Promise::kServedAgain, "no read at " + std::to_string(port));
    }
  }
  for (const uint16_t port : world.CallerPorts()) {
    SoakView view = ViewOf(world);
    view.pick_port_ = [port]() { return port; };
    view.was_calm_ = [](uint16_t, TimePoint) { return true; };
    SoakCaller caller(ledger, port, view, false);
    int served = 0;
    int rounds = 0;
    do {
      ++rounds;
      world.Heal();
      served = 0;
      for (int i = 0; i < kAsksOfCheck; ++i) {
        served += caller.AskAny() ? 1 : 0;
      }
    } while (served < kServedOfCheck &&
             (SteadyNow() < end || rounds < kLeastRounds));
    if (served < kServedOfCheck) {
      ledger.Break(Promise::kServedAgain, std::to_string(served) + " of " +
                                              std::to_string(kAsksOfCheck) +
                                              " served");
    }
  }
}

int RunSoak() {
  const std::string folder = FLAGS_folder.empty()
                                 ? (std::filesystem::temp_directory_path() /
                                    ("gv_soak_" + std::to_string(FLAGS_seed)))
                                       .string()
                                 : FLAGS_folder;
  std::filesystem::remove_all(folder);
  SoakLedger ledger;
  {
    SoakWorld world({FLAGS_binary, folder, FLAGS_disks, FLAGS_others, 3},
                    ledger, FLAGS_seed);
    SoakOperator changer(ledger, FLAGS_seed,
                         [&world]() { return world.PickControl(); });
    if (!changer.Change(kStartTime)) {
      ledger.Break(Promise::kServedAgain, "no configuration was accepted");
    }
    RunFaults(world, ledger, changer);
    world.Heal();
    CheckRecovery(world, ledger, changer);
  }
  ledger.CheckRetries();
  ledger.CheckLimits();
  for (const std::string& line : ledger.Broken()) {
    std::cout << "BROKEN " << line << "\n";
  }
  const bool good = ledger.Broken().empty();
  std::cout << "seed " << FLAGS_seed << ": " << ledger.Ended() << " requests, "
            << ledger.Served() << " served, newest configuration "
            << ledger.Accepted() << ", "
            << (good ? "every promise kept" : "logs in " + folder) << "\n";
  if (good) {
    std::filesystem::remove_all(folder);
  }
  return good ? 0 : 1;
}

}  // namespace
}  // namespace gv

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Runs a soak of one seed.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  signal(SIGPIPE, SIG_IGN);
  return gv::RunSoak();
}
