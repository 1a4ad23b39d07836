/** @file replay_roles.cc Makes the cores that traces describe. */
#include "coordination/replay_roles.h"

#include <nlohmann/json.hpp>

#include "coordination/agent_core.h"
#include "coordination/control_core.h"
#include "coordination/entry_core.h"
#include "state/field_codec.h"

namespace gv {
namespace {

using nlohmann::json;

constexpr const char* kControlRole = "control";
constexpr const char* kEntryRole = "entry";
constexpr const char* kAgentRole = "agent";

std::string Dump(const json& settings) {
  return settings.dump(-1, ' ', false, json::error_handler_t::replace);
}

template <class Settings>
Settings ReadSettings(const json& text) {
  Settings settings;
  FromJsonField(text, settings);
  return settings;
}

ReplayOutcome ReplayControl(const Trace& trace, const json& settings) {
  const auto replica = ReadSettings<ReplicaSettings>(settings.at(0));
  const auto persisted = ReadSettings<PersistedReplica>(settings.at(1));
  ControlCore core(replica.self_, ReplicaCore(replica, persisted));
  return Replay(trace, core);
}

ReplayOutcome ReplayEntry(const Trace& trace, const json& settings) {
  EntryCore core(ReadSettings<EntrySettings>(settings), trace.header_.seed_);
  return Replay(trace, core);
}

ReplayOutcome ReplayAgent(const Trace& trace, const json& settings) {
  const auto agent = ReadSettings<AgentSettings>(settings);
  SettingsSession session(SessionIdentity{
      agent.incarnation_, kAgentRole, agent.vm_, agent.data_centre_,
      agent.address_, agent.control_nodes_});
  AgentCoreOf<SettingsSession> core(agent, std::move(session),
                                    trace.header_.seed_);
  return Replay(trace, core);
}

}  // namespace

TraceHeader ControlTraceHeader(const ReplicaSettings& settings,
                               const PersistedReplica& persisted) {
  json both = json::array();
  both.push_back(ToJsonField(settings));
  both.push_back(ToJsonField(persisted));
  return TraceHeader{kControlRole, Endpoint{settings.self_, Port::kControl},
                     settings.seed_, Dump(both)};
}

TraceHeader EntryTraceHeader(const EntrySettings& settings, uint64_t seed) {
  return TraceHeader{kEntryRole, Endpoint{settings.self_, Port::kEntry}, seed,
                     Dump(ToJsonField(settings))};
}

TraceHeader AgentTraceHeader(const AgentSettings& settings, uint64_t seed) {
  return TraceHeader{kAgentRole, Endpoint{settings.self_, Port::kAgent}, seed,
                     Dump(ToJsonField(settings))};
}

Result<ReplayOutcome> ReplayTrace(const Trace& trace) {
  const std::string& role = trace.header_.role_;
  try {
    const json settings = json::parse(trace.header_.settings_);
    if (role == kControlRole) {
      return ReplayControl(trace, settings);
    }
    if (role == kEntryRole) {
      return ReplayEntry(trace, settings);
    }
    if (role == kAgentRole) {
      return ReplayAgent(trace, settings);
    }
  } catch (const std::exception& error) {
    return NotRun(Reason::kBadRequest,
                  std::string("settings of the trace: ") + error.what());
  }
  return NotRun(Reason::kBadRequest, "unknown role \"" + role + "\"");
}

}  // namespace gv
