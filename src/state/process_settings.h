/** @file process_settings.h The settings file of one process: what it is and
 * where it listens. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "state/address_func.h"
#include "state/ids_type.h"
#include "state/verdict_type.h"

namespace gv {

/** One member of the control group and where its peers reach it. */
struct ControlMember {
  NodeId node_;          ///< The process.
  std::string address_;  ///< "IP:port".
};

/** Everything that a process reads from its settings file;
 * table/process_settings.h has the docs. */
struct ProcessSettings {
  std::string node_;         ///< Name of the process.
  std::string vm_;           ///< Name of the VM.
  std::string data_centre_;  ///< Name of the data centre.
  std::string cluster_;      ///< Name of the system, the same in all processes.
  std::string key_file_;     ///< Shared key of all processes.
  std::vector<std::string> roles_;  ///< "entry", "agent", "control".
  int64_t traffic_threads_ = 0;     ///< Threads for traffic.
  std::string listen_peers_;        ///< "IP:port" for other processes.
  std::string listen_callers_;      ///< "IP:port" for callers.
  std::string
      listen_operators_;  ///< "IP:port" for operators, health and metrics.
  int64_t max_body_bytes_ = 0;       ///< Largest request body of a caller.
  int64_t max_header_bytes_ = 0;     ///< Largest request header of a caller.
  int64_t idle_timeout_ms_ = 0;      ///< For slow and idle callers.
  int64_t default_deadline_ms_ = 0;  ///< If the caller gives none.
  int64_t max_deadline_ms_ = 0;  ///< Longest deadline that a caller may give.
  std::vector<std::string> control_members_;  ///< "node=IP:port" of each.
  std::string data_folder_;                   ///< Folder for durable state.
  bool bootstrap_ = false;            ///< May start a new control group.
  std::string operator_key_file_;     ///< Operators and hashes of their keys.
  std::string target_;                ///< Name of the target.
  std::string target_kind_;           ///< "engine" or "service".
  std::string target_address_;        ///< "IP:port" of the target.
  std::string target_model_;          ///< Model or service name.
  std::string target_version_;        ///< Version of the model.
  int64_t target_memory_tokens_ = 0;  ///< KV memory, in tokens.
  int64_t target_prefill_rate_ = 0;   ///< Prefill tokens per second.
  int64_t target_decode_rate_ =
      0;  ///< Decode tokens per second over all streams.
  int64_t target_max_streams_ = 0;  ///< Streams at the same time.
  bool target_checks_fencing_ =
      false;  ///< The target refuses old fencing tokens itself.
  std::string timeline_file_;     ///< Time line file; empty for none.
  std::string trace_folder_;      ///< Folder for input traces; empty for none.
  std::string log_file_;          ///< Log file; empty for standard error.
  std::string log_level_;         ///< "debug", "info", "warning" or "error".
  std::string listen_readiness_;  ///< "IP:port" for the balancer.
  std::string listen_control_;    ///< "IP:port" for targets and operators.
  std::string listen_metrics_;    ///< "IP:port" for monitoring; may be empty.
  std::vector<std::string> gateway_seeds_;         ///< "IP:port" of gateways.
  std::vector<std::string> gateway_data_centres_;  ///< With targets.
  int64_t gateway_tolerated_losses_ = 0;  ///< Members that may be lost.
  int64_t gateway_revocation_ms_ = 0;     ///< Longest use of a revoked key.
  int64_t gateway_evacuation_ms_ = 0;     ///< Until an order is obeyed.
  int64_t gateway_grace_ms_ = 0;          ///< Longest planned stop.
  double gateway_retry_ratio_ = 0;        ///< Repeats for each request.
  int64_t gateway_retry_window_ms_ = 0;   ///< In which repeats are counted.
  double gateway_retry_slack_ = 0;        ///< Repeats beside the ratio.
  int64_t gateway_answer_bytes_ = 0;      ///< Largest whole answer.
  int64_t gateway_event_bytes_ = 0;       ///< Largest event of a stream.
  int64_t gateway_memory_mb_ = 0;  ///< Memory of the process; 0: the machine's.
  int64_t gateway_max_descriptors_ = 0;  ///< Of files and sockets; 0: system's.
  int64_t stop_announce_ms_ = 0;  ///< Not ready for so long before a stop.
  int64_t stop_grace_ms_ = 0;     ///< Longest planned stop.

  /** @return True if the process has this role. Thread safety: const. */
  bool HasRole(std::string_view role) const;
  /** @return The control group, in the order of the file. @pre Parsed without
   * error. */
  std::vector<ControlMember> ControlMembers() const;
};

/**
 * Reads and checks the settings of a process.
 * @param file Name for messages.
 * @param text The YAML text.
 * @return The settings, or Reason::kBadRequest with file, line, key and reason
 * of each problem, one a line. Thread safety: pure.
 */
Result<ProcessSettings> ParseProcessSettings(const std::string& file,
                                             const std::string& text);

/** @return The table of all keys as a Markdown table. Thread safety: pure. */
std::string ProcessSettingsTable();

}  // namespace gv
