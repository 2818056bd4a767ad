#include "src/libs/rpc/session.h"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <system_error>
#include <utility>

namespace mimosarail::rpc {

using asio::ip::tcp;

namespace {

/// A transfer that is late, but may have gone on, is looked at again after this
/// time.
constexpr Millis kOverduePause{100};

/// Memory of a call in flight besides its body: the decoded message, and the
/// handler that is queued for it.
constexpr size_t kCallOverheadBytes = 1 << 10;

/// Counts a call in flight until its responder is destroyed.
class CallCharge {
 public:
  CallCharge(std::shared_ptr<ServerState> server, size_t bytes)
      : server_(std::move(server)), bytes_(bytes) {
    server_->call_bytes += bytes_;
  }
  ~CallCharge() { server_->call_bytes -= bytes_; }
  CallCharge(const CallCharge&) = delete;
  CallCharge& operator=(const CallCharge&) = delete;

 private:
  std::shared_ptr<ServerState> server_;
  size_t bytes_;
};

}  // namespace

Session::Session(tcp::socket socket, std::shared_ptr<ServerState> server)
    : socket_(std::move(socket)),
      server_(std::move(server)),
      idle_(server_->idle, *this),
      receiving_(server_->receiving, *this),
      frame_memory_(server_->frame_memory, [this] { GiveUpFrame(); }) {}

Session::~Session() {
  std::lock_guard lock(server_->mutex);
  idle_.Leave();
  receiving_.Leave();
  frame_memory_.Release();
  --server_->connections;
}

void Session::Start() {
  frame_began_ = Clock::now();
  ArmTimer(server_->options.frame_timeout);
  JoinList();
  ReadNext();
}

void Session::MakeRoom() {
  idle_.Leave();
  receiving_.Leave();
  Post(&Session::CloseUnlessUsed);
}

void Session::GiveUpFrame() {
  frame_given_up_ = true;
  Post(&Session::Close);
}

void Session::Post(void (Session::*method)()) {
  asio::post(socket_.get_executor(), [weak = weak_from_this(), method] {
    if (auto self = weak.lock()) (self.get()->*method)();
  });
}

void Session::ReadNext() {
  AsyncReadFrames(
      socket_, reader_,
      [self = shared_from_this()](wire::Frame frame, size_t bytes) {
        self->CountTraffic(frame.method, metrics::Direction::kIn, bytes);
        self->frame_completed_ = true;
        self->Dispatch(std::move(frame));
      },
      [self = shared_from_this()](const Error& error) {
        if (error.code == Errc::kMalformed) return self->Refuse(error.message);
        if (error.code) return self->Close();
        self->UpdateFrameTime();
        self->JoinList();
        self->ReadOrPause();
      });
}

bool Session::MustPause() const {
  const ServerOptions& options = server_->options;
  return queue_.waiting_bytes() > options.max_unsent_bytes ||
         (call_bytes_ > kFreeCallBytes &&
          server_->call_bytes > options.call_memory_bytes);
}

void Session::ReadOrPause() {
  reading_paused_ = MustPause();
  if (reading_paused_) {
    AwaitError();
  } else {
    ReadNext();
  }
  if (!ChargeMemory()) Close();
}

void Session::AwaitError() {
  if (std::exchange(awaiting_error_, true)) return;
  socket_.async_wait(tcp::socket::wait_error,
                     [self = shared_from_this()](std::error_code) {
                       self->awaiting_error_ = false;
                       if (self->reading_paused_) self->Close();
                     });
}

void Session::ResumeReading() {
  if (!reading_paused_ || MustPause()) return;
  if (frame_began_) frame_began_ = Clock::now();
  ReadOrPause();
}

void Session::Dispatch(wire::Frame frame) {
  if (frame.method == static_cast<int32_t>(Method::kPing)) {
    return Send(frame.id, frame.method, std::string());
  }
  ++calls_in_flight_;
  const size_t bytes = frame.body.size() + kCallOverheadBytes;
  call_bytes_ += bytes;
  Responder respond = [weak = weak_from_this(),
                       executor = socket_.get_executor(), id = frame.id,
                       method = frame.method, bytes,
                       charge = std::make_shared<CallCharge>(server_, bytes)](
                          Result<std::string> reply) {
    asio::post(executor,
               [weak, id, method, bytes, reply = std::move(reply)]() mutable {
                 auto self = weak.lock();
                 if (!self) return;
                 --self->calls_in_flight_;
                 self->call_bytes_ -= bytes;
                 self->Send(id, method, std::move(reply));
                 self->ResumeReading();
               });
  };
  const auto handler = server_->handlers.find(frame.method);
  if (handler == server_->handlers.end()) {
    return respond(Errc::kUnknownMethod);
  }
  handler->second(std::move(frame.body), std::move(respond));
}

void Session::Send(int64_t id, int32_t method, Result<std::string> reply) {
  wire::Frame frame;
  frame.id = id;
  frame.reply = true;
  if (reply.ok()) {
    frame.body = std::move(reply.value());
  } else {
    const std::error_code& code = reply.error().code;
    const bool is_errc = code.category() == ErrorCategory();
    frame.error = is_errc ? code.value() : static_cast<int>(Errc::kUnavailable);
    frame.body = reply.error().message;
  }
  queue_.Push(method, FrameBytes(frame));
  WriteNext();
}

void Session::WriteNext() {
  if (!queue_.CanSend()) return;
  const auto& batch = queue_.TakeBatch();
  write_began_ = Clock::now();
  write_bytes_ = 0;
  for (const SendQueue::Outgoing& frame : batch) {
    write_bytes_ += frame.bytes.size();
    CountTraffic(frame.method, metrics::Direction::kOut, frame.bytes.size());
  }
  ArmTimer(server_->options.frame_timeout);
  asio::async_write(socket_, Buffers(batch),
                    [self = shared_from_this()](std::error_code error, size_t) {
                      if (error) return self->Close();
                      self->OnSent();
                    });
}

void Session::OnSent() {
  queue_.OnSent();
  write_began_.reset();
  write_overdue_ = false;
  WriteNext();
  JoinList();
  ResumeReading();
}

void Session::CountTraffic(int32_t method, metrics::Direction direction,
                           size_t bytes) {
  server_->bytes += static_cast<int64_t>(bytes);
  metrics::Traffic* const traffic = server_->options.traffic;
  if (traffic == nullptr) return;
  const auto name = kMethodNames.Name(static_cast<Method>(method));
  traffic->Count("serve " + std::string(name), direction, bytes);
}

void Session::JoinList() {
  std::lock_guard lock(server_->mutex);
  const bool quiet = socket_.is_open() && !IsBusy();
  const bool unfinished = reader_.unfinished_bytes() > 0;
  if (!quiet || unfinished) idle_.Leave();
  if (!quiet || !unfinished) receiving_.Leave();
  if (!quiet) return;
  (unfinished ? receiving_ : idle_).Join();
}

void Session::UpdateFrameTime() {
  const bool completed = std::exchange(frame_completed_, false);
  if (reader_.unfinished_bytes() == 0) return frame_began_.reset();
  if (completed || !frame_began_) frame_began_ = Clock::now();
  ArmTimer(server_->options.frame_timeout);
}

Millis Session::TimeLeft(TimePoint began, size_t bytes) const {
  constexpr int64_t kMsPerS = 1000;
  const ServerOptions& options = server_->options;
  const Millis extension(static_cast<int64_t>(bytes) * kMsPerS /
                         options.min_bytes_per_s);
  const TimePoint end = began + options.frame_timeout + extension;
  return std::chrono::duration_cast<Millis>(end - Clock::now());
}

void Session::ArmTimer(Millis left) {
  if (std::exchange(timer_armed_, true)) return;
  // What begins later may have less time left.
  timer_.expires_after(std::min(left, server_->options.frame_timeout));
  timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    auto self = weak.lock();
    if (!error && self) self->OnTimer();
  });
}

void Session::OnTimer() {
  timer_armed_ = false;
  if (!socket_.is_open()) return;
  if (frame_began_) CheckFrameTime();
  if (write_began_) CheckWriteTime();
}

void Session::CheckFrameTime() {
  const Millis left = TimeLeft(*frame_began_, reader_.unfinished_bytes());
  if (left > Millis(0)) return ArmTimer(left);
  // After a pause of the process, the timer runs before the pending read.
  if (HasUnreadBytes()) return ArmTimer(kOverduePause);
  Refuse("frame too slow");
}

void Session::CheckWriteTime() {
  const Millis left = TimeLeft(*write_began_, write_bytes_);
  if (left > Millis(0)) return ArmTimer(left);
  // After a pause of the process, the timer runs before the completed write.
  if (!std::exchange(write_overdue_, true)) return ArmTimer(kOverduePause);
  Refuse("replies not read");
}

bool Session::ChargeMemory() {
  std::lock_guard lock(server_->mutex);
  return !frame_given_up_ &&
         frame_memory_.Receive(
             reader_.unfinished_bytes() > 0 ? reader_.capacity() : 0);
}

bool Session::HasUnreadBytes() const {
  std::error_code error;
  return socket_.available(error) > 0 && !error;
}

void Session::CloseUnlessUsed() {
  if (IsBusy() || HasUnreadBytes()) return JoinList();
  Close();
}

void Session::Refuse(const std::string& why) {
  server_->NoteRefusal(why);
  Close();
}

void Session::Close() {
  std::error_code ignored;  // an error on closing has no consequence
  socket_.close(ignored);
  JoinList();
  std::lock_guard lock(server_->mutex);
  frame_memory_.Release();
}

}  // namespace mimosarail::rpc
