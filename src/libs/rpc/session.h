#pragma once

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "src/libs/base/result.h"
#include "src/libs/metrics/traffic.h"
#include "src/libs/rpc/framing.h"
#include "src/libs/rpc/server_state.h"

namespace mimosarail::rpc {

/// A connection that a server has accepted. All methods run on its strand.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket, std::shared_ptr<ServerState> server)
      : socket_(std::move(socket)), server_(std::move(server)) {}
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void ReadNext();

 private:
  /// Passes a call to the handler of its method.
  void Dispatch(wire::Frame frame);
  void Send(int64_t id, int32_t method, Result<std::string> reply);
  void WriteNext();
  void CountTraffic(int32_t method, metrics::Direction direction, size_t bytes);
  void Close();

  asio::ip::tcp::socket socket_;
  std::shared_ptr<ServerState> server_;
  FrameReader reader_;
  SendQueue queue_;
};

}  // namespace mimosarail::rpc
