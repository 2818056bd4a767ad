#pragma once

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "src/libs/base/connection_list.h"
#include "src/libs/base/executor.h"
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
  /// Closes the connection since its frame has made room for others.
  /// Thread-safe; precondition: the mutex of the server's state is held.
  void GiveUpFrame();
  /// Runs the method on the strand if the connection still exists. Holds no
  /// shared pointer meanwhile: as the last one, it would run the destructor
  /// while the caller holds the mutex. Thread-safe.
  void Post(void (Session::*method)());
  void ReadNext();
  /// Whether replies have to be taken, or calls to be answered, before more
  /// calls are read.
  bool MustPause() const;
  /// Reads on, or pauses.
  void ReadOrPause();
  void ResumeReading();
  /// Keeps this object while nothing is read, until the connection fails or is
  /// closed.
  void AwaitError();
  /// Passes a call to the handler of its method.
  void Dispatch(wire::Frame frame);
  void Send(int64_t id, int32_t method, Result<std::string> reply);
  void WriteNext();
  void OnSent();
  void CountTraffic(int32_t method, metrics::Direction direction, size_t bytes);
  /// A reply is being sent, or a call was not answered yet.
  bool IsBusy() const { return calls_in_flight_ > 0 || !queue_.empty(); }
  /// Joins the list of the server that the connection belongs to now.
  void JoinList();
  /// Notes which frame is being received after a read.
  void UpdateFrameTime();
  /// Time left for a transfer that began then and has this many bytes.
  Millis TimeLeft(TimePoint began, size_t bytes) const;
  void ArmTimer(Millis left);
  void OnTimer();
  void CheckFrameTime();
  void CheckWriteTime();
  /// Charges the unfinished frame to the memory for all of them. Returns
  /// whether it fits.
  bool ChargeMemory();
  bool HasUnreadBytes() const;
  void CloseUnlessUsed();
  /// Closes the connection since its peer does not behave.
  void Refuse(const std::string& why);
  void Close();

  asio::ip::tcp::socket socket_;
  std::shared_ptr<ServerState> server_;
  FrameReader reader_{server_->options.max_frame_bytes};
  SendQueue queue_;
  /// Since when a frame is being received or, on a new connection, awaited.
  std::optional<TimePoint> frame_began_;
  /// The last read has completed a frame.
  bool frame_completed_ = false;
  /// Since when a batch of replies is being sent, and its size.
  std::optional<TimePoint> write_began_;
  size_t write_bytes_ = 0;
  bool write_overdue_ = false;
  bool reading_paused_ = false;
  bool awaiting_error_ = false;
  /// Checks the time of frames and replies; runs on when they are done.
  asio::steady_timer timer_{socket_.get_executor()};
  bool timer_armed_ = false;
  /// Calls that their handlers have not answered yet. One that a handler drops
  /// keeps the connection from making room for others.
  size_t calls_in_flight_ = 0;
  /// Memory that these take.
  size_t call_bytes_ = 0;
  ConnectionList<Session>::Entry idle_;
  ConnectionList<Session>::Entry receiving_;
  ReceiveBudget::Charge frame_memory_;
  /// The frame being received was closed for others and takes no memory again.
  /// Guarded by the mutex of the server's state.
  bool frame_given_up_ = false;
};

}  // namespace mimosarail::rpc
