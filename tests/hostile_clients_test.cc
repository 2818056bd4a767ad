#define BOOST_TEST_MODULE hostile_clients
#include <boost/test/unit_test.hpp>
#include <list>
#include <string>
#include <vector>

#include "src/jobs/job_state.h"
#include "tests/entry_under_test.h"
#include "tests/hostile_requests.h"
#include "tests/scenarios/crowd.h"

namespace mimosarail {
namespace {

using scenarios::Crowd;
using scenarios::CrowdBehavior;

constexpr size_t kSmallCrowd = 20;
constexpr size_t kMediumCrowd = 80;
/// Bodies of legal size from this many clients exceed the memory of the entry.
constexpr size_t kLargeCrowd = 320;
static_assert(kLargeCrowd * kMaxBodyBytes > kMemoryMb * kBytesPerMb);

constexpr Millis kSendLimit{20000};
constexpr Millis kCloseLimit{30000};
/// How long a crowd stays before the ordinary request.
constexpr Millis kCrowdTime{2000};
/// How long answers may take to fill the buffers of a crowd that reads none.
constexpr Millis kFillTime{8000};

/// Headers that take 4 bytes each on the wire, in at most `bytes`.
std::string TinyHeaders(size_t bytes) {
  std::string out;
  for (size_t i = 0; i < bytes / 4; ++i) out += "a:\r\n";
  return out;
}

/// Checks the entry beside a crowd that has sent its first bytes.
void CheckServesBeside(size_t clients, CrowdBehavior behavior) {
  EntryUnderTest entry;
  const Crowd crowd(entry.port(), clients, std::move(behavior));
  crowd.WaitUntilSent(kSendLimit);
  entry.Watch(kCrowdTime);
  entry.CheckServes();
}

/// Also checks that the entry closes the connections of clients that never end
/// what they send.
void CheckEndsEndless(CrowdBehavior behavior) {
  EntryUnderTest entry;
  const Crowd crowd(entry.port(), kSmallCrowd, std::move(behavior));
  entry.Watch(kCrowdTime);
  entry.CheckServes();
  BOOST_CHECK_EQUAL(crowd.WaitUntilClosed(kCloseLimit), 0u);
  entry.CheckServes();
}

/// Checks an entry whose connections are all taken by the crowd.
void CheckServesAtTheConnectionLimit(CrowdBehavior behavior) {
  constexpr size_t kFewConnections = 50;
  EntryUnderTest entry({.max_connections = kFewConnections});
  const Crowd crowd(entry.port(), kFewConnections, std::move(behavior));
  entry.Watch(kCrowdTime);
  entry.CheckServes();
}

// Guards against limits that refuse a request within the operator's limits.
BOOST_AUTO_TEST_CASE(LargestLegalRequestIsServedInCalm) {
  EntryUnderTest entry;
  std::string body = JobBody();
  body.append(kMaxBodyBytes - body.size(), ' ');
  BOOST_CHECK(entry.AnswersWithin(kAnswerLimit, body));
}

// Guards against limits on decoding that refuse the largest legal job.
BOOST_AUTO_TEST_CASE(JobWithMostStepsIsServedInCalm) {
  EntryUnderTest entry;
  std::string body = JobBody(kMaxJobSteps);
  body.append(kMaxBodyBytes - body.size(), ' ');
  BOOST_CHECK(entry.AnswersWithin(kAnswerLimit, body));
}

// Guards against memory that heads over the limit take.
BOOST_AUTO_TEST_CASE(HeadsOverTheLimit) {
  CheckServesBeside(
      kLargeCrowd, {.first = RequestLine("GET") + "X-Filler: " +
                             std::string(8 * kMaxHeadBytes, 'x') + "\r\n\r\n"});
}

// Guards against connections that stay open for heads without an end.
BOOST_AUTO_TEST_CASE(HeadsWithoutEnd) {
  CheckEndsEndless(
      {.first = RequestLine("GET"),
       .repeated = "X-Filler: " + std::string(kMaxHeadBytes, 'x') + "\r\n"});
}

// Guards against heads that stay open as long as a byte arrives now and then.
BOOST_AUTO_TEST_CASE(HeadsInSingleBytes) {
  CheckEndsEndless({.first = RequestLine("GET") + "X-Filler: ",
                    .repeated = "x",
                    .pause = Millis(500)});
}

// Guards against connections that stay open for empty lines without an end.
BOOST_AUTO_TEST_CASE(EmptyLinesWithoutEnd) {
  std::string lines;
  while (lines.size() < kMaxHeadBytes) lines += "\r\n";
  CheckEndsEndless({.first = lines, .repeated = lines});
}

// Guards against connections that stay open for a chunk extension without an
// end.
BOOST_AUTO_TEST_CASE(ChunkExtensionsWithoutEnd) {
  CheckEndsEndless({.first = ChunkedHead() + "1;",
                    .repeated = std::string(kMaxHeadBytes, 'x')});
}

// Guards against memory that announced bodies over the limit take.
BOOST_AUTO_TEST_CASE(AnnouncedBodiesOverTheLimit) {
  const std::string body(kBytesPerMb - 1, ' ');
  CheckServesBeside(kLargeCrowd,
                    {.first = AnnouncedBody(body.size() + 1, body)});
}

// Guards against memory that bodies sent to the readiness endpoint take.
BOOST_AUTO_TEST_CASE(UnfinishedBodiesAtTheReadinessEndpoint) {
  const std::string body(kBytesPerMb - 1, ' ');
  EntryUnderTest entry;
  const Crowd crowd(entry.ready_port(), kMediumCrowd,
                    {.first = AnnouncedBody(body.size() + 1, body)});
  crowd.WaitUntilSent(kSendLimit);
  entry.Watch(kCrowdTime);
  entry.CheckServes();
}

// Guards against a server that reads on after it has refused a body.
BOOST_AUTO_TEST_CASE(BodiesWithoutEnd) {
  const std::string chunk = Chunk(std::string(kMaxHeadBytes, ' '));
  CheckEndsEndless({.first = ChunkedHead(), .repeated = chunk});
}

// Guards against memory that unfinished bodies of legal size take together.
BOOST_AUTO_TEST_CASE(UnfinishedLegalBodies) {
  const std::string body(kMaxBodyBytes - 1, ' ');
  CheckServesBeside(kLargeCrowd, {.first = AnnouncedBody(kMaxBodyBytes, body)});
}

// Guards against memory that unfinished chunked bodies of legal size take
// together.
BOOST_AUTO_TEST_CASE(UnfinishedChunkedBodies) {
  const std::string body(kMaxBodyBytes - 1, ' ');
  CheckServesBeside(kLargeCrowd, {.first = ChunkedHead() + Chunk(body)});
}

// Guards against memory and time that large lists of steps take once decoded.
BOOST_AUTO_TEST_CASE(LargeStepLists) {
  CheckServesBeside(kSmallCrowd,
                    {.first = WholeBody(ListBody("steps", "{}", kBytesPerMb))});
}

// Guards against memory and time that legal lists of steps take once decoded.
BOOST_AUTO_TEST_CASE(LegalStepLists) {
  CheckServesBeside(
      kMediumCrowd,
      {.first = WholeBody(ListBody("steps", "{}", kMaxBodyBytes))});
}

// Guards against memory and time that ignored fields take once decoded.
BOOST_AUTO_TEST_CASE(IgnoredListsOfEmptyLists) {
  CheckServesBeside(
      kMediumCrowd,
      {.first = WholeBody(ListBody("ignored", "[]", kBytesPerMb))});
}

// Guards against a parser that ends the process on deep nesting.
BOOST_AUTO_TEST_CASE(DeeplyNestedLists) {
  CheckServesBeside(kSmallCrowd, {.first = WholeBody(NestedBody())});
}

// Guards against memory that legal heads of many small headers take together.
BOOST_AUTO_TEST_CASE(HeadsOfTinyHeaders) {
  const std::string begin = RequestLine("POST") + "Content-Length: 2\r\n";
  CheckServesBeside(
      kLargeCrowd,
      {.first =
           begin + TinyHeaders(kMaxHeadBytes - begin.size() - 2) + "\r\n{"});
}

// Guards against memory that small trailers behind small chunks take together.
BOOST_AUTO_TEST_CASE(TinyTrailersBehindSmallChunks) {
  constexpr size_t kChunks = 8000;
  std::string chunks;
  for (size_t i = 0; i < kChunks; ++i) chunks += Chunk(" ");
  CheckServesBeside(kLargeCrowd, {.first = ChunkedHead() + chunks + "0\r\n" +
                                           TinyHeaders(3 * kMaxHeadBytes)});
}

// Guards against idle connections that keep ordinary callers out.
BOOST_AUTO_TEST_CASE(IdleConnectionsUpToTheLimit) {
  CheckServesAtTheConnectionLimit({});
}

// Guards against bodies that stay open as long as a byte arrives now and then.
BOOST_AUTO_TEST_CASE(BodiesInSingleBytes) {
  CheckEndsEndless({.first = AnnouncedBody(kMaxBodyBytes, "{"),
                    .repeated = " ",
                    .pause = Millis(500)});
}

// Guards against bytes that wait in the kernel behind answers that are not
// read.
BOOST_AUTO_TEST_CASE(BytesBehindUnreadAnswers) {
  EntryUnderTest entry({.memory_mb = 40});
  const Crowd crowd(entry.port(), kLargeCrowd, UnreadAnswers());
  entry.Watch(kFillTime);
  entry.CheckServes();
}

// Guards against bytes that wait in the kernel behind metrics that are not
// read.
BOOST_AUTO_TEST_CASE(BytesBehindUnreadMetrics) {
  EntryUnderTest entry;
  const Crowd crowd(entry.metrics_port(), kMediumCrowd, UnreadAnswers());
  entry.Watch(kFillTime);
  entry.CheckServes();
}

// Guards against bytes that wait in the kernel behind readiness answers that
// are not read.
BOOST_AUTO_TEST_CASE(BytesBehindUnreadReadiness) {
  EntryUnderTest entry;
  const Crowd crowd(entry.ready_port(), kMediumCrowd, UnreadAnswers());
  entry.Watch(kFillTime);
  entry.CheckServes();
}

// Guards against clients that keep ordinary callers out by sending requests
// without an end.
BOOST_AUTO_TEST_CASE(RequestsWithoutEndUpToTheLimit) {
  const std::string request = WholeBody(std::string(kMaxHeadBytes, ' '));
  CheckServesAtTheConnectionLimit({.first = request,
                                   .repeated = Repeat(request, kMaxBodyBytes),
                                   .pause = Millis(0)});
}

// Guards against clients that keep ordinary callers out by sending requests
// without an end and connecting again whenever they are closed.
BOOST_AUTO_TEST_CASE(ReconnectingClientsUpToTheLimit) {
  const std::string request = WholeBody(std::string(kMaxHeadBytes, ' '));
  CheckServesAtTheConnectionLimit({.first = request,
                                   .repeated = Repeat(request, kMaxBodyBytes),
                                   .pause = Millis(0),
                                   .reconnects = true});
}

// Guards against clients that keep ordinary callers out by not reading their
// answers.
BOOST_AUTO_TEST_CASE(UnreadAnswersUpToTheLimit) {
  CheckServesAtTheConnectionLimit(UnreadAnswers());
}

// Guards against clients that keep ordinary callers out by reading their
// answers slowly.
BOOST_AUTO_TEST_CASE(SlowlyReadAnswersUpToTheLimit) {
  CheckServesAtTheConnectionLimit(SlowlyReadAnswers());
}

// Guards against memory that answers take which clients do not read.
BOOST_AUTO_TEST_CASE(AnswersThatAreNotRead) {
  const std::string requests = PipelinedRequests();
  CheckServesBeside(
      kSmallCrowd,
      {.first = requests, .repeated = requests, .reads_answers = false});
}

/// One crowd of each kind that this file knows.
std::vector<CrowdBehavior> AllKinds() {
  const std::string over_limit(kBytesPerMb - 1, ' ');
  const std::string unfinished(kMaxBodyBytes - 1, ' ');
  const std::string filler(kMaxHeadBytes, 'x');
  const std::string request = WholeBody(std::string(kMaxHeadBytes, ' '));
  return {
      {},
      UnreadAnswers(),
      SlowlyReadAnswers(),
      {.first = RequestLine("GET") + "X-Filler: " +
                std::string(8 * kMaxHeadBytes, 'x') + "\r\n\r\n"},
      {.first = RequestLine("GET"), .repeated = "X-Filler: " + filler + "\r\n"},
      {.first = RequestLine("GET") + "X-Filler: ",
       .repeated = "x",
       .pause = Millis(500)},
      {.first = "\r\n", .repeated = Repeat("\r\n", kMaxHeadBytes)},
      {.first = ChunkedHead() + "1;", .repeated = filler},
      {.first = AnnouncedBody(kBytesPerMb, over_limit)},
      {.first = ChunkedHead(),
       .repeated = Chunk(std::string(kMaxHeadBytes, ' '))},
      {.first = AnnouncedBody(kMaxBodyBytes, unfinished)},
      {.first = ChunkedHead() + Chunk(unfinished)},
      {.first = AnnouncedBody(kMaxBodyBytes, "{"),
       .repeated = " ",
       .pause = Millis(500)},
      {.first = WholeBody(ListBody("steps", "{}", kBytesPerMb))},
      {.first = WholeBody(ListBody("steps", "{}", kMaxBodyBytes))},
      {.first = WholeBody(ListBody("ignored", "[]", kMaxBodyBytes))},
      {.first = WholeBody(NestedBody())},
      {.first = request,
       .repeated = Repeat(request, kMaxBodyBytes),
       .pause = Millis(0)},
  };
}

// Guards against bounds that hold for one kind of crowd and not for all of them
// together.
BOOST_AUTO_TEST_CASE(AllKindsTogether) {
  EntryUnderTest entry;
  std::list<Crowd> crowds;
  for (const CrowdBehavior& behavior : AllKinds()) {
    crowds.emplace_back(entry.port(), kSmallCrowd, behavior);
  }
  for (const int port : {entry.ready_port(), entry.metrics_port()}) {
    crowds.emplace_back(port, kSmallCrowd, UnreadAnswers());
  }
  crowds.emplace_back(entry.port(), kMaxConnections, CrowdBehavior{});
  entry.Watch(kFillTime);
  entry.CheckServes();
}

// Guards against memory and descriptors that clients of the metrics endpoint
// take.
BOOST_AUTO_TEST_CASE(UnfinishedBodiesAtTheMetricsEndpoint) {
  const std::string body(kBytesPerMb - 1, ' ');
  EntryUnderTest entry;
  const Crowd crowd(entry.metrics_port(), kMediumCrowd,
                    {.first = AnnouncedBody(body.size() + 1, body)});
  crowd.WaitUntilSent(kSendLimit);
  entry.Watch(kCrowdTime);
  entry.CheckServes();
}

// Guards against clients of the metrics endpoint that keep collectors out.
BOOST_AUTO_TEST_CASE(IdleConnectionsAtTheMetricsEndpoint) {
  EntryUnderTest entry;
  const Crowd crowd(entry.metrics_port(), kMediumCrowd, {});
  entry.Watch(kCrowdTime);
  entry.CheckServes();
  BOOST_CHECK(entry.AnswersAtWithin(entry.metrics_port(), kAnswerLimit));
}

// Guards against clients that keep load balancers and collectors out by sending
// requests without an end.
BOOST_AUTO_TEST_CASE(RequestsWithoutEndAtTheOtherEndpoints) {
  const std::string request = RequestLine("GET") + "\r\n";
  EntryUnderTest entry;
  for (const int port : {entry.ready_port(), entry.metrics_port()}) {
    const Crowd crowd(port, kMediumCrowd,
                      {.first = request,
                       .repeated = Repeat(request, kMaxHeadBytes),
                       .pause = Millis(0)});
    entry.Watch(kCrowdTime);
    entry.CheckServes();
    BOOST_CHECK(entry.AnswersAtWithin(port, kAnswerLimit));
  }
}

}  // namespace
}  // namespace mimosarail
