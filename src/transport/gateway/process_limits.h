/** @file process_limits.h What a gateway may use of its machine, and how its
 * listeners share it. */
#pragma once

#include <cstddef>

#include "state/process_settings.h"

namespace gv {

/** @return Bytes that requests, answers and connections may hold together.
 * Thread safety: any thread. */
size_t MemoryLimit(const ProcessSettings& settings);

/** Descriptors by use. What no row names is left for targets and for peers that
 * are known. */
struct DescriptorShares {
  size_t callers_ = 0;   ///< Connections of callers.
  size_t service_ = 0;   ///< Of the readiness, control or metrics port, each.
  size_t unproven_ = 0;  ///< Connections at the peers' port before the proof.
};

/** @return The shares of @p descriptors, of which 200 are reserved for files.
 * Thread safety: pure. */
DescriptorShares ShareDescriptors(size_t descriptors);

/** @return Descriptors that the process may open: what the settings name, and
 * no more than the system allows. Thread safety: any thread. */
size_t DescriptorLimit(const ProcessSettings& settings);

/** Makes the allocator return large freed blocks to the system at once. Its
 * thresholds otherwise rise with the largest block that was ever freed, and
 * the memory of a crowd stays with the process. Call once, at the start. */
void ReturnFreedMemory();

}  // namespace gv
