/** @file soak_clients.h The callers and the operator of a soak. */
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "soak/soak_ledger.h"

namespace gv {

/** The answer to one request. */
struct SoakAnswer {
  int status_ = 0;      ///< 0 if the connection ended first.
  bool whole_ = false;  ///< The answer came to its end.
  std::string body_;    ///< Without the chunked coding.
};

/** @return The answer of @p port to @p request. Blocks for @p timeout at most.
 */
SoakAnswer AskOnce(uint16_t port, const std::string& request,
                   std::chrono::milliseconds timeout);

/** @return The configuration of a soak under @p version. */
std::string SoakConfiguration(uint64_t version);

/** One caller after the other, until it is stopped. */
class SoakCaller {
 public:
  /** @param pick_port Chooses a gateway. @param was_calm Says whether the
   * gateway of a port was left alone since a time. */
  SoakCaller(SoakLedger& ledger, uint64_t seed,
             std::function<uint16_t()> pick_port,
             std::function<bool(uint16_t, TimePoint)> was_calm)
      : ledger_(ledger),
        random_(seed),
        pick_port_(std::move(pick_port)),
        was_calm_(std::move(was_calm)) {}
  /** Sends requests until @p stop. */
  void Run(const std::atomic<bool>& stop);
  /** Sends one request. @return True if it was served. */
  bool AskAny();

 private:
  void Check(const std::string& attempt, const SoakAnswer& answer,
             bool is_stream);
  SoakLedger& ledger_;
  std::mt19937_64 random_;
  std::function<uint16_t()> pick_port_;
  std::function<bool(uint16_t, TimePoint)> was_calm_;
};

/** Sends growing versions and reads them back, until it is stopped. */
class SoakOperator {
 public:
  SoakOperator(SoakLedger& ledger, uint64_t seed,
               std::function<uint16_t()> pick_port)
      : ledger_(ledger), random_(seed), pick_port_(std::move(pick_port)) {}
  void Run(const std::atomic<bool>& stop);
  /** Sends the next version until one gateway acknowledges it.
   * @return True if one did in @p time. */
  bool Change(std::chrono::milliseconds time);
  /** Reads at one gateway and checks. @return True if there was an answer. */
  bool Read(uint16_t port, Promise promise);

 private:
  SoakLedger& ledger_;
  std::mt19937_64 random_;
  std::function<uint16_t()> pick_port_;
  uint64_t version_ = 0;
};

}  // namespace gv
