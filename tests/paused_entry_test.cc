// Tests with a real process that is paused by signals.

#define BOOST_TEST_MODULE paused_entry
#include <boost/test/unit_test.hpp>

#include "tests/entry_under_test.h"

namespace mimosarail {
namespace {

constexpr JobId kJob = 0xabc00;
/// Longer than PauseDetector::kMinPause.
constexpr Millis kPause{1500};

std::string PathOf(JobId id) { return kPrefix + JobIdText(id); }

std::string SubmissionText(JobId id) {
  const std::string body = JobBody();
  return "POST " + PathOf(id) + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// Sends the submission and closes the connection without waiting for an
/// answer.
void SubmitAndLeave(int port, JobId id) {
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::make_address("127.0.0.1"),
                  static_cast<asio::ip::port_type>(port)});
  asio::write(socket, asio::buffer(SubmissionText(id)));
}

}  // namespace

/// Guards against an entry that passes on a submission that it reads after a
/// pause, although its client has left and may have cancelled the job
/// elsewhere.
BOOST_AUTO_TEST_CASE(SubmissionOfClientThatLeftDuringPauseIsDropped) {
  EntryUnderTest entry;
  kill(entry.pid(), SIGSTOP);
  SubmitAndLeave(entry.port(), kJob);
  std::this_thread::sleep_for(kPause);
  kill(entry.pid(), SIGCONT);
  // A job that is submitted later is accepted, so the first one would have been
  // by then.
  BOOST_REQUIRE(entry.AnswersWithin(kAnswerLimit));
  BOOST_TEST(entry.Status("GET", PathOf(kJob)) == 410);
}

/// Guards against a job that runs although its cancellation was acknowledged
/// before its submission arrived.
BOOST_AUTO_TEST_CASE(SubmissionAfterItsCancellationIsCancelled) {
  EntryUnderTest entry;
  BOOST_TEST(entry.Status("DELETE", PathOf(kJob)) == 410);
  BOOST_TEST(entry.Status("GET", PathOf(kJob)) == 410);
  BOOST_TEST(entry.Status("POST", PathOf(kJob), JobBody()) == 200);
  BOOST_TEST(entry.Body("GET", PathOf(kJob)) == R"({"state":"canceled"})");
  BOOST_TEST(entry.Status("DELETE", PathOf(kJob)) == 200);
}

}  // namespace mimosarail
