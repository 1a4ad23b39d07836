/** @file operator_listener.h Operators' JSON-RPC calls on a traffic thread, and
 * the keys of operators. */
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/settings_messages.h"
#include "state/verdict_type.h"

namespace gv {

/** Names of operators and hashes of their keys. Thread safety: const after
 * Load(). */
class OperatorKeys {
 public:
  /** Reads lines of NAME:SHA256; empty lines and lines that begin with # are
   * skipped. @return Reason::kBadRequest with file, line and reason. */
  static Result<OperatorKeys> Load(const std::string& file);

  /** @return The operator who has @p key, or nothing. Compares with every row
   * in constant time. */
  std::optional<std::string> FindOperator(std::string_view key) const;

 private:
  /** One line of the file. */
  struct Row {
    std::string name_;    ///< Name of the operator.
    std::string sha256_;  ///< Of the key, in lower-case hex.
  };

  std::vector<Row> rows_;  ///< In the order of the file.
};

/**
 * Answers JSON-RPC 2.0 requests through libjsonrpccpp. A call is handed to the
 * control thread; the traffic thread waits for the reply for a bounded time.
 * Thread safety: any thread.
 */
class OperatorRpc {
 public:
  /**
   * @param submit Hands a call to the control thread.
   * @param timeout Longest wait for a reply.
   */
  OperatorRpc(std::function<void(OperatorCall)> submit, Duration timeout);

  /** Answers one HTTP body. @return The JSON-RPC response; it blocks for at
   * most the timeout for each call in the body. */
  std::string Handle(const std::string& body, const std::string& operator_name);

  /** Takes in a reply from the control thread; late ones are dropped. */
  void OnReply(OperatorReply reply);

  /** Calls one method and waits. @return The reply, or nothing after the
   * timeout. */
  std::optional<OperatorReply> Call(OperatorCall call);

 private:
  std::function<void(OperatorCall)> submit_;  ///< To the control thread.
  Duration timeout_;                          ///< Longest wait.
  std::mutex mutex_;                          ///< Guards what follows.
  std::condition_variable replied_;           ///< Signalled by OnReply().
  uint64_t next_ = 1;                         ///< Numbers calls.
  std::map<OperationId, std::optional<OperatorReply>> waiting_;  ///< Calls.
};

}  // namespace gv
