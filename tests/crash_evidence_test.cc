#define BOOST_TEST_MODULE crash_evidence
#include "src/jobs/crash_evidence.h"

#include <boost/test/unit_test.hpp>

namespace mimosarail {
namespace {

constexpr auto kReplaced = UpstreamFate::kReplaced;
constexpr auto kUnknown = UpstreamFate::kUnknown;

/// The crash of an upstream of its own.
SuspectedCrash CrashAfter(int64_t attempt, Millis silent_after,
                          UpstreamFate fate = kReplaced) {
  return {.attempt = attempt,
          .upstream = "up-" + std::to_string(attempt),
          .incarnation = 1,
          .last_seen = silent_after,
          .silent_after = silent_after,
          .fate = fate};
}

bool ShowsCause(const std::vector<SuspectedCrash>& crashes) {
  CrashEvidence evidence;
  for (const SuspectedCrash& crash : crashes) evidence.Add(crash);
  return evidence.ShowsCause(IsConfirmed);
}

}  // namespace

/// Guards against a task that crashes its upstreams and is started without end,
/// and against one that fails for crashes of other causes.
BOOST_AUTO_TEST_CASE(ThreeEarlyCrashesShowTheCause) {
  const SuspectedCrash first = CrashAfter(1, Millis(10));
  const SuspectedCrash second = CrashAfter(2, Millis(290));
  BOOST_TEST(!ShowsCause({first, second}));
  BOOST_TEST(ShowsCause({first, second, CrashAfter(3, Millis(10))}));
  BOOST_TEST(!ShowsCause({first, second, CrashAfter(3, Millis(310))}));
}

/// Guards against a task that takes more upstreams along than is needed to tell
/// that it crashes them.
BOOST_AUTO_TEST_CASE(TwoEarlyCrashesWithoutOtherCauseShowTheCause) {
  SuspectedCrash first = CrashAfter(1, Millis(10));
  SuspectedCrash second = CrashAfter(2, Millis(20));
  first.sole_suspect = true;
  BOOST_TEST(!ShowsCause({first, second}));
  second.sole_suspect = true;
  BOOST_TEST(ShowsCause({first, second}));
}

/// Guards against a job that fails for upstreams whose fate is not known.
BOOST_AUTO_TEST_CASE(UnknownFatesShowNothing) {
  CrashEvidence evidence;
  for (int64_t attempt = 1; attempt <= 4; ++attempt) {
    evidence.Add(CrashAfter(attempt, Millis(10), kUnknown));
  }
  BOOST_TEST(!evidence.ShowsCause(IsConfirmed));
  BOOST_TEST(evidence.ShowsCause([](const SuspectedCrash&) { return true; }));
  for (int attempt = 2; attempt <= 4; ++attempt) {
    evidence.SetFate("up-" + std::to_string(attempt), UpstreamFate::kMissing);
  }
  BOOST_TEST(evidence.ShowsCause(IsConfirmed));
}

/// Guards against a job that fails because upstreams crashed at random times of
/// its runs, and against a task that crashes them late and starts without end.
BOOST_AUTO_TEST_CASE(LateCrashesShowTheCauseOnlyAtTheSameTime) {
  std::vector<SuspectedCrash> same_time;
  std::vector<SuspectedCrash> random_times;
  for (int64_t attempt = 1; attempt <= 4; ++attempt) {
    same_time.push_back(CrashAfter(attempt, Millis(1500 + 90 * attempt)));
    random_times.push_back(CrashAfter(attempt, Millis(700 * attempt)));
  }
  BOOST_TEST(ShowsCause(same_time));
  BOOST_TEST(!ShowsCause(random_times));
  same_time.pop_back();
  BOOST_TEST(!ShowsCause(same_time));
}

/// Guards against a job of long tasks that fails because upstreams crash at
/// regular intervals.
BOOST_AUTO_TEST_CASE(CrashesOfLongRunsAreNoEvidence) {
  CrashEvidence evidence;
  BOOST_TEST(!evidence.Add(CrashAfter(1, CrashEvidence::kHarmlessRunTime)));
  BOOST_TEST(evidence.empty());
}

/// Guards against one run that counts twice.
BOOST_AUTO_TEST_CASE(EachAttemptCountsOnce) {
  const SuspectedCrash crash = CrashAfter(1, Millis(10));
  BOOST_TEST(!ShowsCause({crash, crash, crash}));
}

/// Guards against evidence that stays although its upstream has not crashed.
BOOST_AUTO_TEST_CASE(AnswerOfTheSameIncarnationWithdrawsTheEvidence) {
  CrashEvidence evidence;
  evidence.Add(CrashAfter(1, Millis(10), kUnknown));
  evidence.Add(CrashAfter(2, Millis(10), UpstreamFate::kMissing));
  BOOST_TEST(evidence.NoteAnswer("up-1", 1).size() == 1U);
  BOOST_TEST(evidence.NoteAnswer("up-2", 2).empty());
  BOOST_REQUIRE_EQUAL(evidence.list().size(), 1U);
  BOOST_TEST((evidence.list()[0].fate == kReplaced));
  BOOST_TEST(evidence.NoteAnswer("up-2", 1).empty());
  evidence.Add(CrashAfter(3, Millis(10), kUnknown));
  BOOST_TEST(evidence.NoteAnswer("up-3", 0).size() == 1U);
}

/// Guards against crashes that count against a task which has shown that it
/// does not cause them.
BOOST_AUTO_TEST_CASE(LongerRunRemovesEarlierCrashes) {
  CrashEvidence evidence;
  evidence.Add(CrashAfter(1, Millis(10)));
  evidence.Add(CrashAfter(2, Millis(2000)));
  BOOST_TEST(evidence.RemoveOutlasted(Millis(200)).empty());
  BOOST_TEST(evidence.RemoveOutlasted(Millis(400)).size() == 1U);
  BOOST_TEST(!evidence.suspect());
  BOOST_TEST(evidence.RemoveOutlasted(Millis(2300)).size() == 1U);
  BOOST_TEST(evidence.empty());
}

}  // namespace mimosarail
