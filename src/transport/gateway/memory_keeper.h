/** @file memory_keeper.h Ends connections and requests that hold too much
 * memory. */
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>

#include "coordination/gateway/held_memory.h"

namespace gv {

/** Gives the memory of an empty buffer back, unless it is small. Thread safety:
 * that of @p buffer. */
void ShrinkIfEmpty(std::string& buffer);

/** Keeps what all holders hold together below a limit. Thread safety: owned by
 * one thread. */
class MemoryKeeper {
 public:
  /** @param limit Bytes. Holders are ended from seven eighths of it on, so that
   * reading stops before the limit is reached and not after. @param on_excess
   * Called before a holder is ended. */
  MemoryKeeper(boost::asio::io_context& io, size_t limit,
               std::function<void(const ExcessHolder&)> on_excess)
      : io_(io),
        limit_(limit),
        held_(limit - limit / kEndingDivisor),
        on_excess_(std::move(on_excess)) {}

  /** @param end Gives memory back; called later, never within Set(). */
  HolderId Add(HolderKind kind, std::function<void()> end);
  /** Sets what a holder holds, in bytes. @pre It was added and not removed. */
  void Set(HolderId id, size_t bytes);
  /** Forgets a holder. */
  void Remove(HolderId id);
  /** @return Bytes of all holders. */
  size_t Total() const { return held_.Total(); }
  /** @return Bytes that all may hold together. */
  size_t Limit() const { return limit_; }
  /** @return True if @p bytes more stay within the limit. */
  bool HasRoom(size_t bytes) const { return Total() + bytes <= Limit(); }

 private:
  void EndExcess();

  /** Part of the limit that is kept for what is under way. */
  static constexpr size_t kEndingDivisor = 8;

  boost::asio::io_context& io_;
  size_t limit_;  ///< In bytes.
  HeldMemory held_;
  std::function<void(const ExcessHolder&)> on_excess_;
  std::map<HolderId, std::function<void()>> ends_;
  bool ending_ = false;  ///< EndExcess() is about to run.
};

/** One holder, for as long as this object lives. Thread safety: as the keeper.
 */
class MemoryHolder {
 public:
  /** @param keeper Outlives the holder. @param end See MemoryKeeper::Add(). */
  MemoryHolder(MemoryKeeper& keeper, HolderKind kind, std::function<void()> end)
      : keeper_(keeper), id_(keeper.Add(kind, [this, end = std::move(end)]() {
          bytes_ = 0;
          end();
        })) {}
  ~MemoryHolder() { keeper_.Remove(id_); }
  MemoryHolder(const MemoryHolder&) = delete;
  MemoryHolder& operator=(const MemoryHolder&) = delete;

  /** Sets what it holds, in bytes. Small differences are left out. */
  void Set(size_t bytes);

 private:
  MemoryKeeper& keeper_;
  HolderId id_;
  size_t bytes_ = 0;  ///< As the keeper knows it.
};

}  // namespace gv
