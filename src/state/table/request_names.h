/** @file request_names.h Names of priorities and of target kinds and states. */
#pragma once

#include "state/enum_names.h"
#include "state/request_type.h"

namespace gv {

inline constexpr std::array<EnumName<Priority>, 3> kPriorityNames{{
    {Priority::kInteractive, "interactive"},
    {Priority::kNormal, "normal"},
    {Priority::kBatch, "batch"},
}};

inline constexpr std::array<EnumName<TargetKind>, 2> kTargetKindNames{{
    {TargetKind::kEngine, "engine"},
    {TargetKind::kService, "service"},
}};

inline constexpr std::array<EnumName<TargetState>, 4> kTargetStateNames{{
    {TargetState::kJoining, "joining"},
    {TargetState::kServing, "serving"},
    {TargetState::kDraining, "draining"},
    {TargetState::kGone, "gone"},
}};

}  // namespace gv
