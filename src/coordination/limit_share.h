/** @file limit_share.h An entry's leased shares of team limits. */
#pragma once

#include <string>
#include <unordered_map>

#include "protocol/outbox.h"
#include "state/team_base.h"

namespace gv {

/** Whether a limit lets a request start. */
enum class LimitAnswer : uint8_t {
  kYes,      ///< It may start; the share was charged.
  kWait,     ///< No share is known yet; ask again when a grant arrives.
  kRefused,  ///< The share is used up.
};

/**
 * Spends the shares of team limits that control leased to this entry. A share
 * is spent only within its lease, counted from when it was asked for. A start
 * needs a positive balance and is charged whole, so a request may leave a debt
 * that later seconds pay. Thread safety: control thread only.
 */
class LimitShares {
 public:
  /**
   * Asks whether a request may start, and charges it if so.
   * @param tokens Prompt and output tokens.
   * @param arrived_at When the request came. It is refused only under a grant
   * that was asked for after that, and waits for such a grant otherwise.
   */
  LimitAnswer Start(TimePoint now, const TeamSettings& team, int64_t tokens,
                    TimePoint arrived_at);

  /** A request ended: frees its place and gives back tokens that it did not
   * use. */
  void End(const TeamId& team, int64_t unused_tokens);

  /** @return When a refused request may come back. */
  Duration RetryAfter(TimePoint now, const TeamSettings& team) const;

  /** Applies a grant; one that answers an older request is ignored. */
  void OnGrant(TimePoint now, const ShareGrant& grant);

  /** Sends the requests for shares that are due. */
  void OnTick(TimePoint now, const NodeId& leader, Outbox& out);

  static bool IsLimited(const TeamSettings& team) {
    return team.tokens_per_second_ > 0 || team.concurrent_ > 0;
  }

 private:
  struct Share {
    bool has_rate_ = false;        ///< The team has a token limit.
    bool has_concurrent_ = false;  ///< The team has a request limit.
    ShareGrant grant_;             ///< The newest grant.
    TimePoint valid_until_;        ///< End of its lease.
    double balance_ = 0;           ///< Tokens that may be spent; may be debt.
    TimePoint filled_at_;          ///< When balance_ was brought up to date.
    int64_t in_progress_ = 0;      ///< Requests in progress.
    int64_t demand_tokens_ = 0;    ///< Tokens asked for in this period.
    int64_t refused_ = 0;          ///< Requests refused in this period.
    double demand_rate_ = 0;       ///< Smoothed demand, tokens a second.
    TimePoint period_start_;       ///< Start of the demand period.
    TimePoint used_at_;            ///< Last request of the team.
    TimePoint asked_at_;           ///< Last ShareRequest.
    bool urgent_ = false;          ///< Ask at the next tick.
  };

  void Fill(TimePoint now, Share& share);
  void Ask(TimePoint now, const TeamId& team, Share& share,
           const NodeId& leader, Outbox& out);

  std::unordered_map<TeamId, Share> shares_;  ///< Limited teams seen here.
};

}  // namespace gv
