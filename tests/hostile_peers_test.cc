#define BOOST_TEST_MODULE hostile_peers
#include <boost/test/unit_test.hpp>
#include <future>
#include <string>
#include <thread>

#include "jobs_types.h"
#include "src/libs/rpc/client.h"
#include "src/libs/rpc/framing.h"
#include "tests/entry_under_test.h"
#include "tests/scenarios/crowd.h"

namespace mimosarail {
namespace {

using scenarios::Crowd;
using scenarios::CrowdBehavior;

constexpr size_t kSmallCrowd = 20;
constexpr size_t kLargeCrowd = 320;
/// Connections at the port of the entries. 600 entries, the largest
/// deployment, hold two each.
constexpr size_t kMaxPeerConnections = 1536;
constexpr size_t kCrowdOverTheConnectionLimit = 2000;
static_assert(kCrowdOverTheConnectionLimit >
              kMaxPeerConnections + kReservedDescriptors);

/// Frames of this size from a large crowd exceed the memory of the entry.
constexpr uint32_t kLargeFrameBytes = kBytesPerMb;
static_assert(kLargeCrowd * kLargeFrameBytes > kMemoryMb * kBytesPerMb);
constexpr uint32_t kLargestFrameBytes = rpc::kMaxFrameBytes;
/// What each of a small crowd sends of such a frame; all together exceed the
/// memory of the entry.
constexpr size_t kPartOfLargestFrame = 8 * kBytesPerMb;
static_assert(kSmallCrowd * kPartOfLargestFrame > kMemoryMb * kBytesPerMb);
constexpr size_t kBytesOfPings = 16 << 10;
constexpr size_t kBytesOfCalls = 64 << 10;
/// Descriptors that the entry may open besides those of a crowd: of store,
/// upstream and ordinary callers.
constexpr size_t kOtherDescriptors = 10;
static_assert(kSmallCrowd > kOtherDescriptors);

constexpr Millis kSendLimit{20000};
constexpr Millis kCloseLimit{30000};
/// How long a crowd stays before the ordinary calls.
constexpr Millis kCrowdTime{2000};
constexpr Millis kPeerCallTimeout{3000};

std::string LengthPrefix(uint32_t length) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((length >> shift) & 0xFFU));
  }
  return out;
}

std::string PartOfFrame(uint32_t announced, size_t sent) {
  return LengthPrefix(announced) + std::string(sent, 'x');
}

std::string Call(rpc::Method method, std::string body) {
  wire::Frame frame;
  frame.id = 1;
  frame.method = static_cast<int32_t>(method);
  frame.body = std::move(body);
  return rpc::FrameBytes(frame);
}

/// An encoded wire::SubmitJobCall with many steps of one byte each.
std::string SubmissionOfEmptySteps() {
  constexpr uint32_t kSteps = (1 << 18) - 1;
  constexpr char kJobField = 0x1c;    // field 1, a struct
  constexpr char kStepsField = 0x39;  // field 3, a list
  constexpr char kLongListOfStructs = static_cast<char>(0xfc);
  std::string out = {kJobField, kStepsField, kLongListOfStructs};
  uint32_t left = kSteps;
  for (; left > 0x7fU; left >>= 7U) {
    out.push_back(static_cast<char>((left & 0x7fU) | 0x80U));
  }
  out.push_back(static_cast<char>(left));
  constexpr size_t kEndsOfJobAndCall = 2;
  return out + std::string(kSteps + kEndsOfJobAndCall, '\0');
}

/// Another entry, with one connection that it opens again when it is lost.
class OrdinaryPeer {
 public:
  explicit OrdinaryPeer(std::string address)
      : address_(std::move(address)), thread_([this] { io_.run(); }) {}
  ~OrdinaryPeer() {
    io_.stop();
    thread_.join();
  }
  OrdinaryPeer(const OrdinaryPeer&) = delete;
  OrdinaryPeer& operator=(const OrdinaryPeer&) = delete;

  /// Sends heartbeats until one is answered.
  bool IsAnsweredWithin(Millis limit) {
    const TimePoint end = Clock::now() + limit;
    while (!IsAnswered()) {
      if (Clock::now() > end) return false;
      std::this_thread::sleep_for(kRetryInterval);
    }
    return true;
  }

 private:
  bool IsAnswered() {
    std::promise<bool> answered;
    client_.Call(address_, rpc::Method::kHeartbeat,
                 rpc::Encode(wire::HeartbeatCall()), kPeerCallTimeout,
                 [&](const Result<std::string>& reply) {
                   answered.set_value(reply.ok());
                 });
    return answered.get_future().get();
  }

  std::string address_;
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_{
      io_.get_executor()};
  rpc::Client client_{io_};
  std::thread thread_;
};

/// Checks that the entry answers a client and another entry, whose connection
/// may be older than the crowd or not.
void CheckServesAll(EntryUnderTest& entry, OrdinaryPeer& known) {
  entry.CheckServes();
  BOOST_CHECK(known.IsAnsweredWithin(kAnswerLimit));
  OrdinaryPeer newcomer(entry.peer_address());
  BOOST_CHECK(newcomer.IsAnsweredWithin(kAnswerLimit));
}

/// Whether the entry has closed the connections of a crowd within kCloseLimit.
/// A client that never writes doesn't notice it by itself.
bool ClosesConnections(EntryUnderTest& entry, size_t descriptors_before) {
  const TimePoint end = Clock::now() + kCloseLimit;
  while (scenarios::OpenDescriptors(entry.pid()) >
         descriptors_before + kOtherDescriptors) {
    if (Clock::now() > end) return false;
    std::this_thread::sleep_for(kRetryInterval);
  }
  return true;
}

/// Checks the entry beside a crowd that has sent its first bytes.
void CheckServesBeside(size_t clients, CrowdBehavior behavior) {
  EntryUnderTest entry;
  OrdinaryPeer peer(entry.peer_address());
  BOOST_CHECK(peer.IsAnsweredWithin(kAnswerLimit));
  const Crowd crowd(entry.peer_port(), clients, std::move(behavior));
  crowd.WaitUntilSent(kSendLimit);
  std::this_thread::sleep_for(kCrowdTime);
  CheckServesAll(entry, peer);
}

/// Also checks that the entry closes the connections of the crowd.
void CheckCloses(CrowdBehavior behavior) {
  EntryUnderTest entry;
  OrdinaryPeer peer(entry.peer_address());
  BOOST_CHECK(peer.IsAnsweredWithin(kAnswerLimit));
  const size_t descriptors = scenarios::OpenDescriptors(entry.pid());
  const Crowd crowd(entry.peer_port(), kSmallCrowd, std::move(behavior));
  std::this_thread::sleep_for(kCrowdTime);
  CheckServesAll(entry, peer);
  BOOST_CHECK(ClosesConnections(entry, descriptors));
  CheckServesAll(entry, peer);
}

// Guards against memory that unfinished frames take together.
BOOST_AUTO_TEST_CASE(UnfinishedFrames) {
  CheckServesBeside(kLargeCrowd, {.first = PartOfFrame(kLargeFrameBytes,
                                                       kLargeFrameBytes - 1)});
}

// Guards against memory that a few frames of the largest size take.
BOOST_AUTO_TEST_CASE(UnfinishedFramesOfTheLargestSize) {
  CheckServesBeside(kSmallCrowd, {.first = PartOfFrame(kLargestFrameBytes,
                                                       kPartOfLargestFrame)});
}

// Guards against descriptors that connections take which send nothing.
BOOST_AUTO_TEST_CASE(SilentConnectionsOverTheLimit) {
  EntryUnderTest entry;
  OrdinaryPeer peer(entry.peer_address());
  BOOST_CHECK(peer.IsAnsweredWithin(kAnswerLimit));
  const size_t descriptors = scenarios::OpenDescriptors(entry.pid());
  const Crowd crowd(entry.peer_port(), kCrowdOverTheConnectionLimit, {});
  crowd.WaitUntilSent(kSendLimit);
  std::this_thread::sleep_for(kCrowdTime);
  BOOST_CHECK_LE(scenarios::OpenDescriptors(entry.pid()),
                 kMaxPeerConnections + kReservedDescriptors);
  BOOST_CHECK(peer.IsAnsweredWithin(kAnswerLimit));
  BOOST_CHECK(ClosesConnections(entry, descriptors));
  CheckServesAll(entry, peer);
}

// Guards against connections that stay open though they never send a call.
BOOST_AUTO_TEST_CASE(SilentConnections) { CheckCloses({}); }

// Guards against frames that stay open as long as a byte arrives now and then.
BOOST_AUTO_TEST_CASE(FramesInSingleBytes) {
  CheckCloses({.first = LengthPrefix(kLargeFrameBytes),
               .repeated = "x",
               .pause = Millis(500)});
}

// Guards against connections that stay open after a frame over the limit.
BOOST_AUTO_TEST_CASE(FramesOverTheLimit) {
  CheckCloses({.first = PartOfFrame(kLargestFrameBytes + 1, kLargeFrameBytes),
               .repeated = std::string(kBytesOfPings, 'x')});
}

// Guards against connections that stay open after what is no frame.
BOOST_AUTO_TEST_CASE(Garbage) {
  CheckCloses({.first = PartOfFrame(kBytesOfPings, kBytesOfPings),
               .repeated = std::string(kBytesOfPings, 'x')});
}

// Guards against memory that replies take which a peer does not read.
BOOST_AUTO_TEST_CASE(RepliesThatAreNotRead) {
  std::string pings;
  while (pings.size() < kBytesOfPings) pings += Call(rpc::Method::kPing, {});
  CheckServesBeside(
      kSmallCrowd, {.first = pings, .repeated = pings, .reads_answers = false});
}

// Guards against memory of a connection after its large frame was handled.
BOOST_AUTO_TEST_CASE(LargeFramesThatAreWhole) {
  const std::string body(kLargeFrameBytes, 'x');
  CheckServesBeside(kLargeCrowd, {.first = Call(rpc::Method::kReport, body)});
}

// Guards against memory that calls take which arrive faster than they are
// handled.
BOOST_AUTO_TEST_CASE(SubmissionsWithoutEnd) {
  wire::SubmitJobCall call;
  call.job.payload = std::string(kBytesOfCalls, 'x');
  const std::string frame = Call(rpc::Method::kSubmitJob, rpc::Encode(call));
  CheckServesBeside(kSmallCrowd, {.first = frame, .repeated = frame});
}

// Guards against memory that small calls take which arrive faster than they
// are handled.
BOOST_AUTO_TEST_CASE(HeartbeatsWithoutEnd) {
  const std::string call =
      Call(rpc::Method::kHeartbeat, rpc::Encode(wire::HeartbeatCall()));
  std::string calls;
  while (calls.size() < kBytesOfCalls) calls += call;
  CheckServesBeside(kSmallCrowd, {.first = calls, .repeated = calls});
}

// Guards against memory that lists in a call take once decoded.
BOOST_AUTO_TEST_CASE(LongListsOfSteps) {
  CheckServesBeside(kSmallCrowd, {.first = Call(rpc::Method::kSubmitJob,
                                                SubmissionOfEmptySteps())});
}

}  // namespace
}  // namespace mimosarail
