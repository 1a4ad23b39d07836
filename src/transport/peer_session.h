/** @file peer_session.h One authenticated connection to another process of the
 * system. */
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "protocol/message.h"
#include "state/clock_type.h"

namespace gv {

/** What both ends of a connection must know to trust each other. */
struct PeerIdentity {
  NodeId self_;          ///< This process.
  std::string cluster_;  ///< Name of the system.
  std::string key_;      ///< Shared key; never sent.
};

/** A message for a peer. */
struct PeerItem {
  Envelope envelope_;  ///< The message, unless it is encoded.
  std::shared_ptr<const std::string> frame_;  ///< Encoded, or null.
};

/** @return The frame of a payload, compressed if that pays. Thread safety:
 * pure. */
std::string MakeFrame(std::string payload);

/**
 * Frames on one TCP connection: four bytes of length, then an encoded envelope.
 * Before any frame both ends prove by HMAC over the other's nonce that they
 * hold the key. Thread safety: Start, Send and Close may be called on any
 * thread; callbacks run on the session's strand.
 */
class PeerSession : public std::enable_shared_from_this<PeerSession> {
 public:
  /** Called by the session; all run on its strand, from handlers of their own,
   * never inside a call of Start, Send or Close. */
  struct Callbacks {
    std::function<void(std::shared_ptr<PeerSession>)>
        ready_;                              ///< The peer is known and trusted.
    std::function<void(Envelope)> deliver_;  ///< A message came.
    std::function<void(std::shared_ptr<PeerSession>)>
        closed_;  ///< Called once, at the end.
  };

  /** @param socket A socket whose executor is a strand.
   * @param most_queued_bytes Bound of what is not yet sent. */
  PeerSession(boost::asio::ip::tcp::socket socket, PeerIdentity identity,
              size_t most_queued_bytes, Callbacks callbacks);

  /** Accepts a connection that the peer opened. */
  void StartAccepted();
  /** Connects first. @param expected The process that must answer. */
  void StartDialled(const std::string& address, NodeId expected);
  /** Queues a message; the session closes itself if the queue grows past its
   * bound. */
  void Send(PeerItem item);
  /** Ends the connection. */
  void Close();
  /** @return When bytes last came from the peer, or the session began. @note
   * On the strand only. */
  TimePoint HeardAt() const { return heard_at_; }
  /** @return The peer. @pre ready_ was called. */
  const NodeId& Peer() const { return peer_; }
  /** @return True after the handshake. @note On the strand or in a callback
   * only. */
  bool Trusted() const { return trusted_; }

 private:
  boost::asio::awaitable<void> Run(std::string address);
  boost::asio::awaitable<void> Authenticate();
  std::string AnswerHello(const std::string& text);
  boost::asio::awaitable<void> ReadLoop();
  boost::asio::awaitable<std::string> ReadFrame(size_t max_bytes);
  boost::asio::awaitable<void> ReadUntil(size_t bytes);
  boost::asio::awaitable<void> WriteFrame(std::string payload);
  void Spawn(const std::string& address);
  void StartWriting();
  boost::asio::awaitable<void> WriteLoop();
  void CloseOnStrand();

  boost::asio::ip::tcp::socket socket_;  ///< The connection.
  boost::asio::steady_timer
      handshake_;             ///< Bounds connecting and the handshake.
  PeerIdentity identity_;     ///< This process.
  size_t most_queued_bytes_;  ///< Bound of queued_bytes_.
  Callbacks callbacks_;       ///< To the network.
  NodeId peer_;               ///< Proven peer; while dialling the expected one.
  bool dialled_ = false;      ///< True if this end connected.
  bool trusted_ = false;      ///< True after the handshake.
  bool writing_ = false;      ///< True while WriteLoop runs.
  bool closed_ = false;       ///< True once closed_ was called.
  std::deque<PeerItem> queue_;  ///< Not yet written.
  std::string input_;           ///< Read, not yet taken as frames.
  size_t queued_bytes_ = 0;     ///< Estimated size of queue_.
  TimePoint heard_at_;          ///< Last bytes of the peer, or the start.
};

}  // namespace gv
