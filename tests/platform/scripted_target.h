/** @file scripted_target.h A target over real sockets whose answers a test
 * writes. */
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gv {

/** What a scripted target got. */
struct TargetRequest {
  std::string line_;         ///< First line.
  std::string head_;         ///< Headers as they came.
  std::string body_;         ///< All of it.
  uint64_t connection_ = 0;  ///< No other one in the process has this number.
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
 * thread for each request in progress, which ends with it, as a sanitizer's
 * runtime has room for few threads. */
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
  /** An open connection. */
  struct Connection {
    uint64_t number_;
    boost::asio::ip::tcp::socket socket_;
    std::string input_ = {};  ///< Read, not yet taken.
  };

  /** Accepts connections, and starts a thread for each one with input. */
  void Watch();
  void Accept();
  /** Joins the threads that are done. */
  void JoinFinished();
  /** Takes connections with input out of idle_ and starts their threads.
   * @param has_input For the first ones of idle_. */
  void StartThreads(const std::vector<bool>& has_input);
  /** Serves the requests that have come. */
  void Serve(Connection connection);
  /** @return True if the connection is kept. */
  bool ServeRequest(Connection& connection);
  void WakeWatcher() const;
  void Forget(uint64_t connection);

  Script script_;                                   ///< Answers.
  boost::asio::io_context io_;                      ///< For blocking calls.
  boost::asio::ip::tcp::acceptor acceptor_;         ///< Listens.
  std::mutex mutex_;                                ///< Guards the vectors.
  std::vector<TargetRequest> requests_;             ///< Everything that came.
  std::map<std::thread::id, std::thread> threads_;  ///< Under mutex_.
  std::vector<std::thread::id> finished_;           ///< Under mutex_.
  std::vector<Connection> idle_;  ///< Under mutex_; without input.
  int wake_;                      ///< An eventfd for the watcher.
  /** Descriptors by connection; under mutex_. An entry goes before its
   * descriptor is closed, as another socket may get the same number then. */
  std::map<uint64_t, int> open_;
  std::string address_;                 ///< "127.0.0.1:PORT".
  std::atomic<bool> stopping_ = false;  ///< The test is over.
  std::atomic<bool> crashed_ = false;   ///< By Crash().
  std::thread watcher_;                 ///< Runs Watch().
};

}  // namespace gv
