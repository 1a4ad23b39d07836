/** @file caller_listener.h HTTP server for callers, operators, health and
 * metrics. */
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "transport/caller_session.h"

namespace gv {

/** What the listener needs of its process. All functions may be called on
 * traffic threads. */
struct CallerHooks {
  std::function<void(Message)>
      submit_;  ///< To the entry core; null without the entry role.
  std::function<bool()> ready_;           ///< For /readyz.
  std::function<std::string()> metrics_;  ///< For /metrics.
  std::function<HttpReply(const HttpRequest&)>
      operator_call_;  ///< For /rpc; may block; or null.
};

/** Settings of one listener. */
struct CallerListenerSettings {
  std::string address_;            ///< "IP:port".
  CallerBounds bounds_;            ///< Deadlines.
  uint64_t max_body_bytes_ = 0;    ///< Largest body.
  uint32_t max_header_bytes_ = 0;  ///< Largest header.
  Duration idle_timeout_;          ///< For slow and idle callers.
  uint32_t request_prefix_ = 0;    ///< Upper half of the ids of requests.
};

/**
 * Accepts HTTP connections and knows which one waits for which request.
 * Thread safety: all public methods may be called on any thread.
 */
class CallerListener {
 public:
  CallerListener(boost::asio::io_context& traffic,
                 CallerListenerSettings settings, CallerHooks hooks);

  /** Listens. @return Nothing, or Reason::kConnectionLost with the address. */
  Result<void> Listen();
  /** Hands a CallerChunk or CallerEnd to the connection that waits for it. */
  void Deliver(const Message& message);
  /** Stops accepting; open connections end after the request in progress. */
  void StopAccepting();

  const CallerListenerSettings& Settings() const { return settings_; }
  const CallerHooks& Hooks() const { return hooks_; }
  bool Stopping() const { return stopping_; }
  /** @return A new id, and remembers that @p session waits for it. */
  RequestId Register(const std::shared_ptr<CallerSession>& session);
  /** Forgets a request. */
  void Unregister(RequestId request);

 private:
  void Accept();
  void DeliverPart(RequestId request, CallerPart part);

  boost::asio::io_context& traffic_;         ///< Runs all connections.
  CallerListenerSettings settings_;          ///< Never changed.
  CallerHooks hooks_;                        ///< Never changed.
  boost::asio::ip::tcp::acceptor acceptor_;  ///< For connections.
  std::atomic<bool> stopping_{false};        ///< True after StopAccepting.
  std::mutex mutex_;                         ///< Guards the members below.
  uint32_t last_request_ = 0;                ///< Lower half of the last id.
  std::map<RequestId, std::weak_ptr<CallerSession>> waiting_;  ///< By request.
};

}  // namespace gv
