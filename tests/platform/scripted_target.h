/** @file scripted_target.h A target over real sockets whose answers a test
 * writes. */
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gv {

/** What a scripted target got. */
struct TargetRequest {
  std::string line_;  ///< First line.
  std::string head_;  ///< Headers as they came.
  std::string body_;  ///< All of it.
  /** @return The value of a header, or empty. */
  std::string Header(const std::string& name) const;
};

/** A connection at a target. Blocks; used on the thread of its request. */
class TargetLine {
 public:
  /** @param closing Called before the socket is closed. */
  explicit TargetLine(boost::asio::ip::tcp::socket& socket,
                      std::function<void()> closing = nullptr)
      : socket_(socket), closing_(std::move(closing)) {}
  /** Sends bytes as they are. @return False if the peer has closed. */
  bool Send(const std::string& bytes);
  /** Begins an event stream without a length. @param more Further headers. */
  void BeginEvents(const TargetRequest& request, const std::string& more = "");
  /** Sends one event with an id. @param data Its line, or "e" and the id. */
  void SendEvent(int id, const std::string& data = "");
  /** @return True if the peer closes within the time. */
  bool PeerClosesWithin(std::chrono::milliseconds time);
  /** Breaks the connection. */
  void Reset();
  /** Closes the connection after all that was sent. */
  void Close();

 private:
  void CloseSocket();

  boost::asio::ip::tcp::socket& socket_;  ///< The connection.
  std::function<void()> closing_;         ///< May be empty.
};

/** A target whose answers a test writes. Thread safety: the script runs on one
 * thread for each connection. */
class ScriptedTarget {
 public:
  using Script = std::function<void(const TargetRequest&, TargetLine&)>;
  explicit ScriptedTarget(Script script);
  ~ScriptedTarget();
  ScriptedTarget(const ScriptedTarget&) = delete;
  ScriptedTarget& operator=(const ScriptedTarget&) = delete;
  /** Breaks all connections and takes no new ones, like a crashed process.
   * Thread safety: any thread. */
  void Crash();
  /** Breaks all connections and goes on taking new ones. Thread safety: any
   * thread. */
  void BreakConnections();
  /** @return "127.0.0.1:PORT". */
  std::string Address() const { return address_; }
  /** @return Requests so far. */
  std::vector<TargetRequest> Requests();

 private:
  void Serve(uint64_t connection, boost::asio::ip::tcp::socket socket);
  void ServeRequests(boost::asio::ip::tcp::socket& socket,
                     const std::function<void()>& closing);
  void Forget(uint64_t connection);

  Script script_;                            ///< Answers.
  boost::asio::io_context io_;               ///< For blocking calls.
  boost::asio::ip::tcp::acceptor acceptor_;  ///< Listens.
  std::mutex mutex_;                         ///< Guards the vectors.
  std::vector<TargetRequest> requests_;      ///< Everything that came.
  std::vector<std::thread> threads_;         ///< One for each connection.
  /** Descriptors by connection; under mutex_. An entry goes before its
   * descriptor is closed, as another socket may get the same number then. */
  std::map<uint64_t, int> open_;
  uint64_t last_connection_ = 0;        ///< Under mutex_.
  std::string address_;                 ///< "127.0.0.1:PORT".
  std::atomic<bool> stopping_ = false;  ///< The test is over.
  std::atomic<bool> crashed_ = false;   ///< By Crash().
  std::thread accepting_;               ///< Runs the acceptor.
};

}  // namespace gv
