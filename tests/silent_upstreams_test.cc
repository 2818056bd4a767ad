#define BOOST_TEST_MODULE silent_upstreams
#include "src/scheduling/silent_upstreams.h"

#include <boost/test/unit_test.hpp>

namespace mimosarail::scheduling {
namespace {

using Names = std::vector<std::string>;

constexpr TimePoint kSilentSince{Millis(5000)};
constexpr TimePoint kMissingFrom = kSilentSince + SilentUpstreams::kMissingTime;
const TaskId kTask{1, 0, 0, 0};
const TaskId kOtherTask{2, 0, 0, 0};

bool NoneIsListed(const std::string&) { return false; }

}  // namespace

/// Guards against an upstream that is assumed to have crashed too soon, or
/// twice.
BOOST_AUTO_TEST_CASE(MissingUpstreamIsAssumedToHaveCrashedOnce) {
  SilentUpstreams silent;
  silent.Add("up-1", kTask, kSilentSince);
  BOOST_TEST(silent.AwaitsFate("up-1"));
  BOOST_TEST(
      silent.AssumeCrashes(NoneIsListed, kMissingFrom - Millis(1)).empty());
  BOOST_TEST(silent.AwaitsFate("up-1"));
  BOOST_TEST(silent.AssumeCrashes(NoneIsListed, kMissingFrom) == Names{"up-1"});
  BOOST_TEST(!silent.AwaitsFate("up-1"));
  BOOST_TEST(silent.AssumeCrashes(NoneIsListed, kMissingFrom).empty());
  BOOST_TEST(silent.Contains("up-1"));
}

/// Guards against a crash that is assumed of an upstream which is still listed.
BOOST_AUTO_TEST_CASE(ListedUpstreamAwaitsItsFate) {
  SilentUpstreams silent;
  silent.Add("up-1", kTask, kSilentSince);
  silent.Add("up-2", kTask, kSilentSince);
  const auto is_listed = [](const std::string& upstream) {
    return upstream == "up-1";
  };
  BOOST_TEST(silent.AssumeCrashes(is_listed, kMissingFrom) == Names{"up-2"});
  BOOST_TEST(silent.AwaitsFate("up-1"));
  BOOST_TEST(silent.AssumeCrashes(NoneIsListed, kMissingFrom).empty());
  const TimePoint later = kMissingFrom + SilentUpstreams::kMissingTime;
  BOOST_TEST(silent.AssumeCrashes(NoneIsListed, later - Millis(1)).empty());
  BOOST_TEST(silent.AssumeCrashes(NoneIsListed, later) == Names{"up-1"});
}

/// Guards against a task that is held back forever because a further crash of
/// its upstream is never decided.
BOOST_AUTO_TEST_CASE(FurtherCrashAwaitsItsOwnFate) {
  SilentUpstreams silent;
  silent.Add("up-1", kTask, kSilentSince);
  BOOST_TEST(silent.AssumeCrashes(NoneIsListed, kMissingFrom) == Names{"up-1"});
  silent.Add("up-1", kOtherTask, kMissingFrom);
  BOOST_TEST(silent.AwaitsFate("up-1"));
  const TimePoint later = kMissingFrom + SilentUpstreams::kMissingTime;
  BOOST_TEST(silent.AssumeCrashes(NoneIsListed, later) == Names{"up-1"});
}

/// Guards against a wait that starts again with each further suspected task.
BOOST_AUTO_TEST_CASE(FurtherTaskDoesNotProlongTheWait) {
  SilentUpstreams silent;
  silent.Add("up-1", kTask, kSilentSince);
  silent.Add("up-1", kOtherTask, kSilentSince + Millis(1000));
  BOOST_TEST((silent.TasksOf("up-1") == std::set{kTask, kOtherTask}));
  BOOST_TEST(silent.AssumeCrashes(NoneIsListed, kMissingFrom) == Names{"up-1"});
}

/// Guards against upstreams that are kept forever after no task is suspected.
BOOST_AUTO_TEST_CASE(UpstreamWithoutSuspectedTasksIsRemoved) {
  SilentUpstreams silent;
  silent.Add("up-1", kTask, kSilentSince);
  silent.Add("up-2", kTask, kSilentSince);
  silent.Add("up-2", kOtherTask, kSilentSince);
  silent.RemoveTasks([](const TaskId& id) { return id == kTask; });
  BOOST_TEST(!silent.Contains("up-1"));
  BOOST_TEST(!silent.AwaitsFate("up-1"));
  BOOST_TEST((silent.TasksOf("up-2") == std::set{kOtherTask}));
  silent.Remove("up-2");
  BOOST_TEST(silent.empty());
  BOOST_TEST(silent.TasksOf("up-2").empty());
}

}  // namespace mimosarail::scheduling
