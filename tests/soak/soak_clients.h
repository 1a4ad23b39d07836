/** @file soak_clients.h The callers and the operator of a soak. */
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "soak/soak_ledger.h"

namespace gv {

/** The answer to one request. */
struct SoakAnswer {
  int status_ = 0;         ///< 0 if the connection ended first.
  bool whole_ = false;     ///< The answer came to its end.
  std::string body_;       ///< Without the chunked coding.
  std::string signature_;  ///< Of the target; or empty.
};

/** @return The signature of a target's answer with @p status. */
std::string SoakSignature(const std::string& attempt, int status);

/** A caller's connection, which is used for as long as it is open. Blocks.
 * Thread safety: one thread. */
class SoakConnection {
 public:
  explicit SoakConnection(uint16_t port) : port_(port) {}
  /** @return The answer to @p request; nothing of it after @p timeout. */
  SoakAnswer Ask(const std::string& request, std::chrono::milliseconds timeout);
  bool IsOpen() const { return stream_.has_value(); }
  uint16_t Port() const { return port_; }

 private:
  uint16_t port_;
  boost::asio::io_context io_;
  std::optional<boost::beast::tcp_stream> stream_;
  boost::beast::flat_buffer buffer_;
};

/** @return The answer of @p port to @p request, on a connection of its own.
 * Blocks for @p timeout at most. */
SoakAnswer AskOnce(uint16_t port, const std::string& request,
                   std::chrono::milliseconds timeout);

/** @return The configuration of a soak under @p version. */
std::string SoakConfiguration(uint64_t version);

/** What a caller asks of the world. */
struct SoakView {
  /** Chooses a gateway. */
  std::function<uint16_t()> pick_port_;
  /** Says whether the gateway of a port was left alone since a time. */
  std::function<bool(uint16_t, TimePoint)> was_calm_;
  /** Says whether nothing but planned stops and reloads has happened to the
   * gateway of a port, and nothing to targets, since a time. */
  std::function<bool(uint16_t, TimePoint)> was_planned_;
};

/** One caller after the other, until it is stopped. */
class SoakCaller {
 public:
  /** @param keeps Uses each connection for as long as it is open. */
  SoakCaller(SoakLedger& ledger, uint64_t seed, SoakView view, bool keeps)
      : ledger_(ledger), random_(seed), view_(std::move(view)), keeps_(keeps) {}
  /** Sends requests until @p stop. */
  void Run(const std::atomic<bool>& stop);
  /** Sends one request. @return True if it was served. */
  bool AskAny();

 private:
  void Check(const std::string& attempt, const SoakAnswer& answer,
             bool is_stream);
  SoakLedger& ledger_;
  std::mt19937_64 random_;
  SoakView view_;
  bool keeps_;
  std::unique_ptr<SoakConnection> connection_;  ///< The latest one.
};

/** Sends growing versions and reads them back, until it is stopped. */
class SoakOperator {
 public:
  SoakOperator(SoakLedger& ledger, uint64_t seed,
               std::function<uint16_t()> pick_port)
      : ledger_(ledger), random_(seed), pick_port_(std::move(pick_port)) {}
  void Run(const std::atomic<bool>& stop);
  /** Sends the next version until one gateway acknowledges it.
   * @return True if one did in @p time. */
  bool Change(std::chrono::milliseconds time);
  /** Reads at one gateway and checks. @return True if there was an answer. */
  bool Read(uint16_t port, Promise promise);

 private:
  SoakLedger& ledger_;
  std::mt19937_64 random_;
  std::function<uint16_t()> pick_port_;
  uint64_t version_ = 0;
};

}  // namespace gv
