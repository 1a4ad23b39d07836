/** @file ids_type.h The ids and names of all concepts that more than one module
 * uses. */
#pragma once

#include "state/typed_id.h"

namespace gv {

using NodeId = TypedName<struct NodeTag>;  ///< One process of the system.
using VmId = TypedName<struct VmTag>;      ///< One VM.
using TargetId =
    TypedName<struct TargetTag>;  ///< One model engine or plain service.
using TeamId = TypedName<struct TeamTag>;              ///< One team (customer).
using DataCentreId = TypedName<struct DataCentreTag>;  ///< One data centre.
using ModelId =
    TypedName<struct ModelTag>;  ///< A model, or the name of a plain service.
using ChangeId =
    TypedName<struct ChangeTag>;  ///< Chosen by an operator for one change.
using PromptPartId =
    TypedName<struct PromptPartTag>;  ///< A part that several prompts share.
using IdempotencyKey =
    TypedName<struct IdempotencyTag>;  ///< Chosen by a caller for one request.

using RequestId =
    TypedId<struct RequestTag>;  ///< Unique over all entries and restarts.
using AttemptNumber =
    TypedId<struct AttemptTag>;  ///< Counts the dispatches of one request.
using Incarnation =
    TypedId<struct IncarnationTag>;  ///< Grows each time a process starts.
using LogIndex =
    TypedId<struct LogIndexTag>;       ///< Position in the replicated log.
using Term = TypedId<struct TermTag>;  ///< Election term.
using Revision =
    TypedId<struct RevisionTag>;  ///< Revision of the settings tree.
using FencingToken =
    TypedId<struct FencingTag>;  ///< Grows with each new owner of a target.
using LeaseId = TypedId<struct LeaseTag>;  ///< One lease on streams or memory.
using OperationId =
    TypedId<struct OperationTag>;  ///< Matches a reply to its request.
using HolderId = TypedId<struct HolderTag>;  ///< Holds memory in one process.

}  // namespace gv
