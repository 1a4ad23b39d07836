/** @file held_memory.h Bytes that a process holds for requests, and who has to
 * give them back first. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "state/clock_type.h"
#include "state/enum_names.h"
#include "state/ids_type.h"

namespace gv {

/** What holds memory. */
enum class HolderKind : uint8_t {
  kRequest,         ///< A request in progress, with its answer.
  kCaller,          ///< A connection of a caller.
  kControlRequest,  ///< A connection of a target or an operator.
};

/** Retry-After of a caller whose request was not read for lack of memory, so
 * that its deadline is not known; by then slow peers have ended. */
inline constexpr Duration kRetryAfterMemory = 1_s;

/** Names of holders in log lines. */
inline constexpr std::array<EnumName<HolderKind>, 3> kHolderKindNames{{
    {HolderKind::kRequest, "request"},
    {HolderKind::kCaller, "caller"},
    {HolderKind::kControlRequest, "control-request"},
}};

/** A holder that has to give its memory back. */
struct ExcessHolder {
  HolderId id_;           ///< Which one.
  HolderKind kind_{};     ///< What it is.
  size_t bytes_ = 0;      ///< How much it holds.
  size_t all_bytes_ = 0;  ///< How much all hold.
};

/**
 * Adds up what all holders hold. Beyond a limit the one that holds most has to
 * end, so that peers that send without end take no memory from others.
 * Load pattern: hundreds of answers or bodies that grow to just below the bound
 * of a single one and then drip on until their deadline. Thread safety: owned
 * by one thread.
 */
class HeldMemory {
 public:
  /** @param limit Bytes that all may hold together. */
  explicit HeldMemory(size_t limit) : limit_(limit) {}

  /** @return The id of a new holder of nothing. */
  HolderId Add(HolderKind kind);
  /** Sets what a holder holds. @pre @p id was added and not removed. */
  void Set(HolderId id, size_t bytes);
  /** Forgets a holder. Ignores unknown ids. */
  void Remove(HolderId id);
  /**
   * @return The holder of most, if all together are over the limit. It counts
   * as ended until its next Set(), so that repeated calls name others.
   */
  std::optional<ExcessHolder> TakeExcess();
  /** @return True if all together are over the limit. */
  bool IsOver() const { return total_ > limit_; }
  /** @return Bytes of all holders. */
  size_t Total() const { return total_; }
  /** @return Bytes that all may hold together. */
  size_t Limit() const { return limit_; }

 private:
  /** One holder. */
  struct Holder {
    HolderKind kind_{};  ///< What it is.
    size_t bytes_ = 0;   ///< What it holds.
  };

  size_t limit_;
  size_t total_ = 0;  ///< Sum over holders_.
  HolderId last_;     ///< Id of the newest holder.
  std::map<HolderId, Holder> holders_;
};

}  // namespace gv
