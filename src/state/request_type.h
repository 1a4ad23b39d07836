/** @file request_type.h Small types of requests and targets that every layer
 * uses. */
#pragma once

#include <cstdint>

namespace gv {

/** How urgent a request is; smaller is more urgent. */
enum class Priority : uint8_t { kInteractive, kNormal, kBatch };

/** What a target is. */
enum class TargetKind : uint8_t { kEngine, kService };

/** Where a target is in its life. */
enum class TargetState : uint8_t { kJoining, kServing, kDraining, kGone };

}  // namespace gv
