/** @file replay_roles.h Trace headers of the three roles, and the replay of a
 * trace by the core of its role. */
#pragma once

#include "coordination/agent_type.h"
#include "coordination/entry_type.h"
#include "coordination/replay_core.h"
#include "coordination/replica_type.h"

namespace gv {

/** @return The header of a control core's trace. Thread safety: pure. */
TraceHeader ControlTraceHeader(const ReplicaSettings& settings,
                               const PersistedReplica& persisted);

/** @return The header of an entry core's trace. Thread safety: pure. */
TraceHeader EntryTraceHeader(const EntrySettings& settings, uint64_t seed);

/** @return The header of an agent core's trace. Thread safety: pure. */
TraceHeader AgentTraceHeader(const AgentSettings& settings, uint64_t seed);

/**
 * Makes the core that a trace's header describes and replays the trace.
 * @return What was found, or Reason::kBadRequest if the role is unknown or its
 * settings cannot be read. Thread safety: pure.
 */
Result<ReplayOutcome> ReplayTrace(const Trace& trace);

}  // namespace gv
