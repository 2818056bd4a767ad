#pragma once

#include <array>
#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "src/libs/base/connection_list.h"
#include "src/libs/http/parser.h"
#include "src/libs/http/read_deadline.h"
#include "src/libs/http/request_memory.h"
#include "src/libs/http/server_state.h"

namespace mimosarail::http {

/// A response that ends a connection before the handler sees the request.
struct Refusal {
  int status = 0;
  const char* why = "";
};

/// An accepted connection; its requests are handled one after the other. All
/// methods run on the thread of the server's `io`.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket,
          std::shared_ptr<Server::Private> server);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start();
  /// Whether the connection has sent nothing that is still to be read.
  bool IsSilent() const { return !HasUnreadBytes(); }
  /// Whether the client has sent more than the request that is handled.
  bool SendsOn() const;
  void Close();
  /// If the connection is waiting for its next request, shortens the wait to
  /// that for requests that were sent before the server stopped accepting.
  void OnAcceptingStopped();

 private:
  class PendingResponse;

  static constexpr size_t kReadBufferBytes = 16 << 10;

  void ReadNext();
  void OnReadable(std::error_code error);
  void UpdateLimits();
  Millis TimeLeftToRead();
  void ArmTimer(Millis limit);
  /// Cancels the timer and makes a time-out that is already due ineffective.
  void DisarmTimer();
  void OnTimeout();
  void OnBytes(std::string_view bytes);
  /// Continues with `unparsed_`: handles one request, or reads on.
  void ParseNext();
  /// Memory that a request takes until its answer.
  size_t MemoryToHandle(const ParsedMessage& message) const;
  void OnRequest(ParsedMessage message);
  void Refuse(Refusal refusal);
  /// Refuses a request that has not been handled.
  void RefuseForMemory();
  void Write(const Response& response, bool counted_as_open);
  void OnWritten();
  void CountTraffic(metrics::Direction direction, size_t bytes,
                    int64_t messages);
  /// Whether the connection is to close with this response, since the next
  /// request may have waited for too long behind others.
  bool TakeCloseForWait();
  /// Whether the socket has received bytes that have not been read.
  bool HasUnreadBytes() const;
  /// Whether the peer has closed its sending side or the whole connection, and
  /// everything that it sent has been read.
  bool ClosedByPeer();
  /// Closes the connection after its last response. Shuts down only the sending
  /// side at first: closing a socket with unread bytes would reset the
  /// connection and could discard the response in transit.
  void CloseAfterResponse();
  /// Discards received bytes until the peer closes the connection or a limit is
  /// reached.
  void DiscardInput();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  /// Incremented each time the timer is armed or disarmed, so that earlier
  /// time-outs are recognized as outdated.
  uint64_t timer_generation_ = 0;
  std::shared_ptr<Server::Private> server_;
  Parser parser_;
  /// Limits of the request that is being received, or of the next one.
  ServerLimits limits_;
  ReadDeadline deadline_;
  ConnectionList<Session>::Entry idle_;
  ConnectionList<Session>::Entry receiving_;
  ConnectionList<Session>::Entry closing_;
  ConnectionList<Session>::Entry handling_;
  RequestMemory::Charge memory_{server_->request_memory, [this] { Close(); }};
  bool keep_alive_ = true;
  /// A read of the socket is pending.
  bool reading_ = false;
  /// A write of a response is pending.
  bool writing_ = false;
  /// The pending read was cancelled because the request took too long.
  bool timed_out_ = false;
  /// Whether there has been something to handle or to read since
  /// `sending_on_since_`. All requests that were read later may have been sent
  /// since then.
  bool sends_on_ = false;
  TimePoint sending_on_since_{};
  /// Received after the last response.
  size_t discarded_bytes_ = 0;
  std::string out_;
  std::array<char, kReadBufferBytes> buffer_{};
  /// The part of `buffer_` that follows the request being handled. Requests
  /// that the peer sends ahead are parsed one by one: parsed, they take many
  /// times the memory.
  std::string_view unparsed_;
};

}  // namespace mimosarail::http
