/** @file entry_core.h The core of the entry role: a settings session and the
 * desk that serves callers under it. */
#pragma once

#include <concepts>
#include <utility>
#include <vector>

#include "coordination/entry_desk.h"
#include "coordination/settings_session.h"

namespace gv {

/** The settings lease that an entry serves under. */
template <class T>
concept SettingsLease = requires(T session, TimePoint now, const Envelope& in,
                                 Outbox& out) {
  { session.OnMessage(now, in, out) } -> std::convertible_to<bool>;
  { session.HasLease(now) } -> std::convertible_to<bool>;
  { session.Applied() } -> std::convertible_to<Revision>;
  { session.Leader() } -> std::convertible_to<NodeId>;
  session.SetTargetsVersion(uint64_t{});
  session.Tree().Teams();
};

/**
 * The entry role.
 * @tparam Session Holds the settings lease.
 * @note Thread safety: control thread only.
 */
template <SettingsLease Session>
class EntryCoreOf {
 public:
  /** @param settings Where the entry runs. @param session Its session.
   * @param seed Seed of all random choices. */
  EntryCoreOf(EntrySettings settings, Session session, uint64_t seed)
      : session_(std::move(session)), desk_(std::move(settings), seed) {}

  /** Handles one input. */
  void OnMessage(TimePoint now, const Envelope& in, Outbox& out) {
    const bool consumed = session_.OnMessage(now, in, out);
    if (!read_teams_ || session_.Applied() != applied_) {
      ReadTeams();
    }
    if (consumed) {
      return;
    }
    const SessionView control{session_.HasLease(now), session_.Leader()};
    desk_.OnMessage(now, in, control, out);
    session_.SetTargetsVersion(desk_.TargetsVersion());
  }

  const EntryDesk& Desk() const { return desk_; }
  Session& GetSession() { return session_; }
  const Session& GetSession() const { return session_; }

 private:
  void ReadTeams() {
    std::vector<TeamSettings> teams;
    for (const TeamId& team : session_.Tree().Teams()) {
      if (const TeamSettings* settings = session_.Tree().Team(team)) {
        teams.push_back(*settings);
      }
    }
    desk_.SetTeams(std::move(teams));
    applied_ = session_.Applied();
    read_teams_ = true;
  }

  Session session_;          ///< The settings lease.
  EntryDesk desk_;           ///< The requests.
  Revision applied_;         ///< Revision of the desk's teams.
  bool read_teams_ = false;  ///< The teams were read once.
};

/** The entry role under its real settings session. */
class EntryCore : public EntryCoreOf<SettingsSession> {
 public:
  /** @param settings Where the entry runs. @param seed Seed of all random
   * choices. @pre settings.control_nodes_ is not empty. */
  EntryCore(const EntrySettings& settings, uint64_t seed)
      : EntryCoreOf(settings,
                    SettingsSession(SessionIdentity{
                        settings.incarnation_, "entry", settings.vm_,
                        settings.data_centre_, settings.address_,
                        settings.control_nodes_}),
                    seed) {}
};

}  // namespace gv
