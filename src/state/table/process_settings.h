/** @file process_settings.h One row for each key of a process's settings file.
 */
#pragma once

#include <array>
#include <string_view>
#include <variant>

#include "state/process_settings.h"

namespace gv {

/** Where a value goes; the alternative is its type. */
using ProcessMember =
    std::variant<std::string ProcessSettings::*, int64_t ProcessSettings::*,
                 bool ProcessSettings::*,
                 std::vector<std::string> ProcessSettings::*,
                 double ProcessSettings::*>;

/** Which processes must have a key. */
enum class NeededBy : uint8_t {
  kNobody,
  kAll,
  kEntry,
  kAgent,
  kControl,
  kGateway,
  kCallers,     ///< Entries and gateways.
  kFixedGroup,  ///< All but gateways, which find each other.
};

/** How text is checked. */
enum class TextRule : uint8_t {
  kAny,
  kName,
  kAddress,
  kRole,
  kKind,
  kLevel,
  kMember
};

/** One row. */
struct ProcessKey {
  std::string_view path_;     ///< Key in the file.
  ProcessMember member_;      ///< Where it goes.
  std::string_view default_;  ///< Default as text.
  NeededBy needed_by_;        ///< Who must have it.
  TextRule rule_;             ///< Check for text.
  int64_t min_;               ///< Smallest number.
  int64_t max_;               ///< Largest number.
  std::string_view unit_;     ///< Unit of a number.
  std::string_view doc_;      ///< For people.
};

inline constexpr int64_t kDayMs = 24 * 3600 * 1000;
inline constexpr int64_t kGigabyte = 1 << 30;

using P = ProcessSettings;
using N = NeededBy;
using R = TextRule;

inline constexpr std::array kProcessKeys{
    ProcessKey{"node", &P::node_, "", N::kAll, R::kName, 0, 0, "",
               "Name of this process."},
    ProcessKey{"vm", &P::vm_, "", N::kAll, R::kName, 0, 0, "",
               "Name of its VM."},
    ProcessKey{"data_centre", &P::data_centre_, "", N::kAll, R::kName, 0, 0, "",
               "Name of its data centre."},
    ProcessKey{"cluster", &P::cluster_, "", N::kAll, R::kName, 0, 0, "",
               "Name of the system; the same in all its processes."},
    ProcessKey{
        "key_file", &P::key_file_, "", N::kAll, R::kAny, 0, 0, "",
        "File with the key by which processes of one system know each other."},
    ProcessKey{
        "roles", &P::roles_, "", N::kAll, R::kRole, 0, 0, "",
        "Roles of this process: entry, agent, control; or gateway alone."},
    ProcessKey{"threads", &P::traffic_threads_, "2", N::kNobody, R::kAny, 1, 64,
               "", "Threads for traffic, beside the one for control state."},
    ProcessKey{"listen.peers", &P::listen_peers_, "", N::kAll, R::kAddress, 0,
               0, "", "Where other processes reach this one."},
    ProcessKey{"listen.callers", &P::listen_callers_, "", N::kCallers,
               R::kAddress, 0, 0, "",
               "Where callers reach this entry or gateway."},
    ProcessKey{
        "listen.operators", &P::listen_operators_, "", N::kControl, R::kAddress,
        0, 0, "",
        "Where operators reach this control process; also health and metrics."},
    ProcessKey{"callers.max_body_bytes", &P::max_body_bytes_, "16777216",
               N::kNobody, R::kAny, 1024, kGigabyte, "bytes",
               "Largest body of a request."},
    ProcessKey{"callers.max_header_bytes", &P::max_header_bytes_, "16384",
               N::kNobody, R::kAny, 512, 1048576, "bytes",
               "Largest header of a request."},
    ProcessKey{"callers.idle_timeout_ms", &P::idle_timeout_ms_, "30000",
               N::kNobody, R::kAny, 100, kDayMs, "ms",
               "How long a caller may take for a header, a body or to read."},
    ProcessKey{"callers.default_deadline_ms", &P::default_deadline_ms_, "60000",
               N::kNobody, R::kAny, 1, kDayMs, "ms",
               "Deadline of a request that names none."},
    ProcessKey{"callers.max_deadline_ms", &P::max_deadline_ms_, "3600000",
               N::kNobody, R::kAny, 1, kDayMs, "ms",
               "Longest deadline that a request may name."},
    ProcessKey{"control.members", &P::control_members_, "", N::kFixedGroup,
               R::kMember, 0, 0, "", "The control processes as node=IP:port."},
    ProcessKey{"control.data_folder", &P::data_folder_, "", N::kControl,
               R::kAny, 0, 0, "",
               "Folder for durable state; used by one process only."},
    ProcessKey{"control.bootstrap", &P::bootstrap_, "false", N::kNobody,
               R::kAny, 0, 0, "",
               "True only for the first start of a new control group."},
    ProcessKey{"control.operator_key_file", &P::operator_key_file_, "",
               N::kControl, R::kAny, 0, 0, "",
               "Lines of NAME:SHA256 of the key of each operator."},
    ProcessKey{"target.name", &P::target_, "", N::kAgent, R::kName, 0, 0, "",
               "Name of the target beside this agent."},
    ProcessKey{"target.kind", &P::target_kind_, "engine", N::kNobody, R::kKind,
               0, 0, "", "engine or service."},
    ProcessKey{"target.address", &P::target_address_, "", N::kAgent,
               R::kAddress, 0, 0, "", "Where the target listens."},
    ProcessKey{"target.model", &P::target_model_, "", N::kAgent, R::kName, 0, 0,
               "", "Model, or name of the service."},
    ProcessKey{"target.version", &P::target_version_, "", N::kNobody, R::kAny,
               0, 0, "", "Version of the model."},
    ProcessKey{"target.memory_tokens", &P::target_memory_tokens_, "400000",
               N::kNobody, R::kAny, 1, 100000000, "tokens",
               "KV memory of the engine."},
    ProcessKey{"target.prefill_tokens_per_second", &P::target_prefill_rate_,
               "20000", N::kNobody, R::kAny, 1, 100000000, "tokens/s",
               "Prefill speed of the engine."},
    ProcessKey{"target.decode_tokens_per_second", &P::target_decode_rate_,
               "4000", N::kNobody, R::kAny, 1, 100000000, "tokens/s",
               "Decode speed of the engine over all streams."},
    ProcessKey{"target.max_streams", &P::target_max_streams_, "64", N::kNobody,
               R::kAny, 1, 100000, "streams",
               "Streams or calls at the same time."},
    ProcessKey{"target.checks_fencing", &P::target_checks_fencing_, "false",
               N::kNobody, R::kAny, 0, 0, "",
               "True if the target refuses old fencing tokens itself."},
    ProcessKey{"timeline.file", &P::timeline_file_, "", N::kNobody, R::kAny, 0,
               0, "", "Time line of events; none if empty."},
    ProcessKey{"trace.folder", &P::trace_folder_, "", N::kNobody, R::kAny, 0, 0,
               "", "Folder for traces of inputs; none if empty."},
    ProcessKey{"log.file", &P::log_file_, "", N::kNobody, R::kAny, 0, 0, "",
               "Log file; standard error if empty."},
    ProcessKey{"log.level", &P::log_level_, "info", N::kNobody, R::kLevel, 0, 0,
               "", "debug, info, warning or error."},
    ProcessKey{"listen.readiness", &P::listen_readiness_, "", N::kGateway,
               R::kAddress, 0, 0, "",
               "Where the balancer asks a gateway whether it is ready."},
    ProcessKey{"listen.control", &P::listen_control_, "", N::kGateway,
               R::kAddress, 0, 0, "",
               "Where targets and operators reach a gateway."},
    ProcessKey{"listen.metrics", &P::listen_metrics_, "", N::kNobody,
               R::kAddress, 0, 0, "", "Metrics of a gateway; none if empty."},
    ProcessKey{"gateway.seeds", &P::gateway_seeds_, "", N::kGateway,
               R::kAddress, 0, 0, "",
               "Some gateways, by any of their addresses; the port of "
               "listen.peers is the same on all."},
    ProcessKey{"gateway.data_centres", &P::gateway_data_centres_, "",
               N::kNobody, R::kAny, 0, 0, "",
               "All data centres with targets; an order to evacuate another "
               "one is refused. Empty: any name is accepted."},
    ProcessKey{"gateway.tolerated_losses", &P::gateway_tolerated_losses_, "1",
               N::kNobody, R::kAny, 0, 10, "members",
               "Members of the registry that may be lost at once."},
    ProcessKey{"gateway.revocation_ms", &P::gateway_revocation_ms_, "5000",
               N::kNobody, R::kAny, 1500, kDayMs, "ms",
               "Longest time for which a replaced configuration is used."},
    ProcessKey{"gateway.evacuation_ms", &P::gateway_evacuation_ms_, "0",
               N::kNobody, R::kAny, 0, kDayMs, "ms",
               "Longest time until an acknowledged order to evacuate a data "
               "centre is obeyed by all gateways; 0: that of "
               "gateway.revocation_ms, and retries need no lease."},
    ProcessKey{"gateway.grace_ms", &P::gateway_grace_ms_, "8000", N::kNobody,
               R::kAny, 1000, kDayMs, "ms",
               "Longest planned stop of a gateway."},
    ProcessKey{"gateway.retry_ratio", &P::gateway_retry_ratio_, "0.2",
               N::kNobody, R::kAny, 0, 10, "",
               "Repeats for each request to a service, over all gateways."},
    ProcessKey{"gateway.retry_window_ms", &P::gateway_retry_window_ms_, "10000",
               N::kNobody, R::kAny, 100, kDayMs, "ms",
               "Time in which repeats are counted."},
    ProcessKey{"gateway.retry_slack", &P::gateway_retry_slack_, "20",
               N::kNobody, R::kAny, 0, 1000000, "repeats",
               "Repeats in a window beside the ratio, over all gateways."},
    ProcessKey{"gateway.answer_bytes", &P::gateway_answer_bytes_, "8388608",
               N::kNobody, R::kAny, 1024, kGigabyte, "bytes",
               "Longest answer that is not a stream; a target that sends more "
               "has failed."},
    ProcessKey{"gateway.event_bytes", &P::gateway_event_bytes_, "1048576",
               N::kNobody, R::kAny, 1024, kGigabyte, "bytes",
               "Longest event of a stream; a target that sends more has "
               "failed."},
    ProcessKey{"gateway.memory_mb", &P::gateway_memory_mb_, "0", N::kNobody,
               R::kAny, 0, 1 << 20, "MB",
               "Memory that the process may use; 0 for that of the machine. A "
               "fifth of it may hold requests and answers."},
    ProcessKey{"gateway.max_descriptors", &P::gateway_max_descriptors_, "0",
               N::kNobody, R::kAny, 0, 1 << 20, "descriptors",
               "File descriptors that the process may open; 0 for the limit "
               "of the system. 200 of them are for files, two fifths of the "
               "rest for callers, a twentieth for each other listener."},
    ProcessKey{"stop.announce_ms", &P::stop_announce_ms_, "3000", N::kNobody,
               R::kAny, 0, 600000, "ms",
               "An entry that stops serves on for so long while /readyz says "
               "503, so that the balancer sends its callers elsewhere."},
    ProcessKey{"stop.grace_ms", &P::stop_grace_ms_, "3600000", N::kNobody,
               R::kAny, 0, kDayMs, "ms",
               "Longest planned stop; it ends as soon as nothing is left."},
};

}  // namespace gv
