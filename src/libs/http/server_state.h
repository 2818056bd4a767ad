#pragma once

#include <asio.hpp>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <unordered_set>

#include "src/libs/base/connection_list.h"
#include "src/libs/http/refusal_log.h"
#include "src/libs/http/request_memory.h"
#include "src/libs/http/server.h"

namespace mimosarail::http {

class Session;

/// What the connections of a server share. Accessed on the thread of `io` only,
/// but for the atomic members.
struct Server::Private : std::enable_shared_from_this<Server::Private> {
  Private(asio::io_context& io_in, ServerOptions options_in, Handler handler_in)
      : io(io_in),
        options(std::move(options_in)),
        handler(std::move(handler_in)),
        acceptor(io_in),
        accept_retry_timer(io_in),
        request_memory(options.request_memory_bytes > 0
                           ? options.request_memory_bytes
                           : std::numeric_limits<size_t>::max(),
                       options.metrics),
        refusals(options.metrics, options.traffic_kind) {}

  void AcceptNext();
  void StartSession(asio::ip::tcp::socket socket);
  /// Closes the connection that has had its last response for longest. If there
  /// is none, closes the one that has been idle for longest or, if none is idle
  /// or it began much earlier, has been sending its request for longest. If
  /// there is none either, closes one that has sent more than the request that
  /// is handled. Returns whether there is one.
  bool MakeRoom();
  /// Maximum number of connections that are open, or closed and their request
  /// still handled.
  size_t MaxWithClosed() const;
  /// Whether a connection whose client goes on sending is to close with its
  /// next response, so that newcomers find room.
  bool TakeCloseForRoom();
  bool CloseAnswered();
  bool CloseIdle();
  bool CloseUnfinished();
  bool CloseSendingOn();
  void StopAccepting();

  asio::io_context& io;
  ServerOptions options;
  Handler handler;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer accept_retry_timer;
  std::atomic<bool> shutting_down{false};
  std::atomic<int64_t> open_requests{0};
  std::atomic<size_t> connections{0};
  bool accepting_stopped = false;
  /// Newcomers that were closed at the connection limit and for whom no
  /// connection has made room since.
  size_t turned_away = 0;
  RequestMemory request_memory;
  std::unordered_set<Session*> sessions;
  ConnectionList<Session> idle;
  /// Those that have sent a part of a request.
  ConnectionList<Session> receiving;
  /// Those that have had their last response and not closed their side yet.
  ConnectionList<Session> closing;
  /// Those whose request is handled or whose response is written.
  ConnectionList<Session> handling;
  RefusalLog refusals;
};

}  // namespace mimosarail::http
