/** @file control_operator.h Operator calls: their parameters and answers in
 * JSON. */
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/control_sessions.h"
#include "coordination/control_state.h"
#include "coordination/leadership_view.h"
#include "coordination/replica_type.h"

namespace gv {

/** What stands between a revision and being in force. */
struct InForceStatus {
  bool in_force_ = false;          ///< True if nothing does.
  std::vector<Endpoint> missing_;  ///< Holders that may serve an older one.
  std::vector<TeamId> unsettled_;  ///< Teams with shares above their limit.
  Duration wait_;                  ///< For leases of earlier leaders.
};

/** What an operator call may read. */
struct OperatorContext {
  TimePoint now_;                              ///< Now.
  const ControlState& state_;                  ///< Replicated state.
  const ControlSessions& sessions_;            ///< Sessions of this leader.
  const LeadershipView& view_;                 ///< The replica.
  const std::set<ChangeId>& pending_changes_;  ///< Proposed, not executed.
  std::function<InForceStatus(Revision)> in_force_of_;  ///< Asks for one.
  Revision in_force_;  ///< Newest revision known to be in force.
};

/** What an operator call asks to be proposed. */
struct OperatorProposal {
  std::optional<SettingsChange> change_;        ///< A change of the settings.
  std::optional<MembershipChange> membership_;  ///< A change of the group.
};

/** The one method that every control process answers, also without a leader.
 */
inline constexpr std::string_view kStatusMethod = "control.status";

/** @return The reply that refuses a call. Thread safety: pure. */
OperatorReply RefuseOperatorCall(OperationId operation, const Verdict& verdict);

/** @return True if the method changes something. Thread safety: pure. */
bool IsOperatorChange(const std::string& method);

/**
 * Builds what a changing method proposes.
 * @return The proposal, or the verdict for the operator.
 * @pre IsOperatorChange(call.method_). Thread safety: pure.
 */
Result<OperatorProposal> ReadOperatorChange(const OperatorCall& call,
                                            const SettingsState& settings);

/** Answers a reading method. @return JSON or the verdict for the operator.
 * Thread safety: pure. */
Result<nlohmann::json> AnswerOperatorQuery(const OperatorCall& call,
                                           const OperatorContext& context);

/** @return The JSON form of a decided or pending change. Thread safety: pure.
 */
nlohmann::json DescribeChange(const ChangeId& id, const ChangeResult* result,
                              bool pending);

}  // namespace gv
