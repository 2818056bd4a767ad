#pragma once

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "src/libs/base/connection_list.h"
#include "src/libs/base/result.h"
#include "src/libs/metrics/traffic.h"
#include "src/libs/rpc/framing.h"
#include "src/libs/rpc/server_state.h"

namespace mimosarail::rpc {

/// A connection that a server has accepted and admitted. Methods run on its
/// strand unless they say otherwise.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket, std::shared_ptr<ServerState> server);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start();
  /// Closes the connection soon, unless a call arrives on it just now.
  /// Thread-safe; precondition: the mutex of the server's state is held.
  void MakeRoom();

 private:
  void ReadNext();
  /// Passes a call to the handler of its method.
  void Dispatch(wire::Frame frame);
  void Send(int64_t id, int32_t method, Result<std::string> reply);
  void WriteNext();
  void CountTraffic(int32_t method, metrics::Direction direction, size_t bytes);
  /// A reply is being sent, or a call was not answered yet.
  bool IsBusy() const { return calls_in_flight_ > 0 || !queue_.empty(); }
  /// Joins the list of the server that the connection belongs to now.
  void JoinList();
  void CloseUnlessUsed();
  void Close();

  asio::ip::tcp::socket socket_;
  std::shared_ptr<ServerState> server_;
  FrameReader reader_;
  SendQueue queue_;
  /// Calls that their handlers have not answered yet. One that a handler drops
  /// keeps the connection from making room for others.
  size_t calls_in_flight_ = 0;
  ConnectionList<Session>::Entry idle_;
  ConnectionList<Session>::Entry receiving_;
};

}  // namespace mimosarail::rpc
