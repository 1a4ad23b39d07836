/** @file operator_client.h Calls the control processes for an operator. */
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "state/clock_type.h"
#include "state/verdict_type.h"

namespace gv {

/** How to reach the control processes. */
struct OperatorClientSettings {
  std::vector<std::string> addresses_;  ///< "IP:port" for operators of each.
  std::string key_;                     ///< The operator's key.
  Duration timeout_;                    ///< For each command as a whole.
};

/** Finds the control process that serves and calls it. Thread safety: none. */
class OperatorClient {
 public:
  explicit OperatorClient(OperatorClientSettings settings);

  /**
   * Calls a method at the control processes in turn until one serves.
   * @return The result, or the verdict of the process that serves, or
   * Reason::kNotLeader or kConnectionLost when the time is over.
   */
  Result<nlohmann::json> Call(const std::string& method,
                              const nlohmann::json& params);

  /** Calls a method once at each process. @return All results, by address. */
  std::vector<std::pair<std::string, Result<nlohmann::json>>> CallEach(
      const std::string& method, const nlohmann::json& params);

  /** @return Time left for the command. */
  Duration TimeLeft() const;

 private:
  Result<nlohmann::json> CallOne(const std::string& address,
                                 const std::string& method,
                                 const nlohmann::json& params) const;

  OperatorClientSettings settings_;  ///< As given.
  TimePoint deadline_;               ///< On the steady clock.
  size_t next_ = 0;                  ///< Address to try next.
};

/** Waits between two calls. Thread safety: any; it blocks. */
void PauseBetweenCalls();

/** @return The exit code that belongs to a verdict. Thread safety: pure. */
int ExitCodeOf(const Verdict& verdict);

}  // namespace gv
