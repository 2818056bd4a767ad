#define BOOST_TEST_MODULE final_states
#include "src/jobentry/final_states.h"

#include <boost/test/unit_test.hpp>

namespace mimosarail::jobentry {

/// Guards against an account that learns the state of another account's job.
BOOST_AUTO_TEST_CASE(StateIsFoundOnlyForItsAccount) {
  FinalStates states(10);
  states.Add(1, "red", JobState::kFailed);
  BOOST_TEST((states.Find(1, "red") == JobState::kFailed));
  BOOST_TEST(!states.Find(1, "blue"));
  BOOST_TEST(!states.Find(1, std::nullopt));
  BOOST_TEST(!states.Find(2, "red"));
}

/// Guards against a cache that grows without a limit.
BOOST_AUTO_TEST_CASE(OldestStateIsRemoved) {
  FinalStates states(2);
  states.Add(1, std::nullopt, JobState::kComplete);
  states.Add(2, std::nullopt, JobState::kFailed);
  states.Add(1, std::nullopt, JobState::kComplete);
  states.Add(3, std::nullopt, JobState::kCancelled);
  BOOST_TEST(!states.Find(1, std::nullopt));
  BOOST_TEST((states.Find(2, std::nullopt) == JobState::kFailed));
  BOOST_TEST((states.Find(3, std::nullopt) == JobState::kCancelled));
}

}  // namespace mimosarail::jobentry
