/** @file agent_core.h The agent: the only way to its target. */
#pragma once

#include <concepts>
#include <string>
#include <utility>

#include "coordination/agent_work.h"
#include "coordination/settings_session.h"

namespace gv {

/** What an agent needs of its settings session. */
template <class T>
concept AgentSession = requires(T session, const T& view, TimePoint now,
                                const Envelope& in, Outbox& out) {
  { session.OnMessage(now, in, out) } -> std::same_as<bool>;
  { view.HasLease(now) } -> std::same_as<bool>;
  { view.Leader() } -> std::convertible_to<NodeId>;
  { view.Tree().Flag(std::string()) } -> std::same_as<bool>;
};

/**
 * Joins an agent's duties with its settings session. Thread safety: owned by
 * the control thread.
 * @tparam Session Holds the settings lease.
 */
template <AgentSession Session>
class AgentCoreOf {
 public:
  /** @param seed Spreads periodic messages of many agents over time. */
  AgentCoreOf(AgentSettings settings, Session session, uint64_t seed)
      : drain_path_("targets." + settings.target_.target_.Value() + ".drain"),
        session_(std::move(session)),
        work_(std::move(settings), seed) {}

  /** Handles one message. */
  void OnMessage(TimePoint now, const Envelope& in, Outbox& out) {
    if (session_.OnMessage(now, in, out)) {
      draining_ = session_.Tree().Flag(drain_path_);
      return;
    }
    if (std::holds_alternative<Tick>(in.body_)) {
      draining_ = session_.Tree().Flag(drain_path_);
    }
    work_.OnMessage(
        now, in,
        AgentView{session_.HasLease(now), session_.Leader(), draining_}, out);
  }

  /** @return The duties, for status and tests. */
  const AgentWork& Work() const { return work_; }
  Session& GetSession() { return session_; }

 private:
  std::string drain_path_;  ///< Setting that drains the target.
  Session session_;         ///< Settings lease.
  AgentWork work_;          ///< The duties.
  bool draining_ = false;   ///< Value of the setting.
};

/** The agent as processes run it. Thread safety: owned by the control thread.
 */
class AgentCore : public AgentCoreOf<SettingsSession> {
 public:
  /** @param seed Spreads periodic messages of many agents over time.
   * @pre @p settings names at least one control process. */
  AgentCore(const AgentSettings& settings, uint64_t seed)
      : AgentCoreOf(settings, SettingsSession(IdentityOf(settings)), seed) {}

 private:
  static SessionIdentity IdentityOf(const AgentSettings& settings) {
    return SessionIdentity{settings.incarnation_, "agent",
                           settings.vm_,          settings.data_centre_,
                           settings.address_,     settings.control_nodes_};
  }
};

}  // namespace gv
