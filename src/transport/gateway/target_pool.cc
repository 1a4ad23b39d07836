/** @file target_pool.cc Gives out and takes back connections. */
#include "transport/gateway/target_pool.h"

#include <algorithm>

namespace gv {
namespace {

/** A connection in one region takes some 10 ms; one lost packet costs 200. */
constexpr Duration kConnectTimeout = 450_ms;
/** Kept below the time after which the target closes, so that no request meets
 * a connection that is being closed. */
constexpr Duration kKeepMargin = 700_ms;
constexpr Duration kLongestIdle = 20_s;
/** Targets that say nothing of idle connections keep them for this long. */
constexpr Duration kDefaultKeepAlive = 5_s;

}  // namespace

std::shared_ptr<TargetConnection> TargetPool::Acquire(
    TimePoint now, const std::string& address, Duration most_idle,
    const std::optional<std::string>& id) {
  auto& idle = idle_[address];
  while (!idle.empty()) {
    const Idle last = idle.back();
    const bool is_ambiguous = id && last.connection_->ExchangeId() == *id;
    if (now - last.since_ > most_idle || is_ambiguous) {
      break;
    }
    idle.pop_back();
    if (last.connection_->IsReusable() && now < last.until_) {
      return last.connection_;
    }
    last.connection_->Cancel();
  }
  return Open(now, address);
}

std::shared_ptr<TargetConnection> TargetPool::AcquireFor(
    const std::string& id, TimePoint now, const std::string& address,
    std::optional<Duration> most_idle) {
  auto connection = most_idle && !id.empty()
                        ? Acquire(now, address, *most_idle, id)
                        : Open(now, address);
  connection->SetExchangeId(id);
  return connection;
}

std::shared_ptr<TargetConnection> TargetPool::Open(TimePoint now,
                                                   const std::string& address) {
  auto connection = std::make_shared<TargetConnection>(
      io_, address, [this](TargetConnection& closed) { OnClosed(closed); });
  open_[connection.get()] = connection;
  ++opened_;
  connection->Open(now);
  return connection;
}

void TargetPool::Release(TimePoint now,
                         const std::shared_ptr<TargetConnection>& connection,
                         std::optional<Duration> keep_alive) {
  if (!connection->IsReusable()) {
    return;
  }
  const Duration most = std::min(
      kLongestIdle, keep_alive.value_or(kDefaultKeepAlive) - kKeepMargin);
  if (most <= Duration()) {
    connection->Cancel();
    return;
  }
  idle_[connection->Address()].push_back(Idle{connection, now, now + most});
}

std::vector<std::shared_ptr<TargetConnection>> TargetPool::OpenOnes() const {
  std::vector<std::shared_ptr<TargetConnection>> open;
  for (const auto& [key, weak] : open_) {
    if (auto connection = weak.lock()) {
      open.push_back(std::move(connection));
    }
  }
  return open;
}

void TargetPool::OnTick(TimePoint now) {
  std::vector<std::shared_ptr<TargetConnection>> ended;
  for (auto& [address, idle] : idle_) {
    std::erase_if(idle, [&](const Idle& item) {
      if (now < item.until_ && item.connection_->IsReusable()) {
        return false;
      }
      ended.push_back(item.connection_);
      return true;
    });
  }
  for (const auto& connection : ended) {
    connection->Cancel();
  }
  for (const auto& connection : OpenOnes()) {
    connection->CheckConnecting(now, kConnectTimeout);
  }
}

void TargetPool::OnClosed(TargetConnection& connection) {
  open_.erase(&connection);
}

void TargetPool::Close() {
  for (const auto& connection : OpenOnes()) {
    connection->Cancel();
  }
  idle_.clear();
}

}  // namespace gv
