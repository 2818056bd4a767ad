/// Crowds of thousands of clients against one entry with the memory and the
/// connection limit of a real machine. Prints a row of a table for each. Not a
/// test of CTest: run it alone, with 5,000 descriptors or more.
#define BOOST_TEST_MODULE client_crowds_trial
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "tests/entry_under_test.h"
#include "tests/hostile_requests.h"
#include "tests/scenarios/crowd.h"

namespace mimosarail {
namespace {

using scenarios::Crowd;
using scenarios::CrowdBehavior;

constexpr EntryLimits kRealLimits{.max_connections = 2000,
                                  .memory_mb = 260,
                                  .head_timeout_ms = 3000,
                                  .idle_timeout_ms = 15000};
constexpr Millis kSendLimit{20000};
constexpr Millis kCrowdTime{8000};

struct CrowdOfAKind {
  std::string name;
  size_t clients = 0;
  CrowdBehavior behavior;
};

std::vector<CrowdOfAKind> Crowds() {
  const std::string over_limit(kBytesPerMb - 1, ' ');
  const std::string legal(kMaxBodyBytes - 1, ' ');
  return {
      {"1 MiB announced, less one byte",
       300,
       {.first = AnnouncedBody(kBytesPerMb, over_limit)}},
      {"256 KiB announced, less one byte",
       1500,
       {.first = AnnouncedBody(kMaxBodyBytes, legal)}},
      {"chunked, short of 256 KiB",
       1200,
       {.first = ChunkedHead() + Chunk(legal)}},
      {"whole bodies of 1 MiB of steps",
       20,
       {.first = WholeBody(ListBody("steps", "{}", kBytesPerMb))}},
      {"idle", 2100, {}},
      {"bodies without end",
       40,
       {.first = ChunkedHead(),
        .repeated = Chunk(std::string(kMaxHeadBytes, ' '))}},
      {"bodies byte by byte",
       100,
       {.first = AnnouncedBody(kMaxBodyBytes, "{"),
        .repeated = " ",
        .pause = Millis(2000)}},
      {"go on sending, read no answers", 1900, UnreadAnswers()},
  };
}

const char* YesOrNo(bool value) { return value ? "yes" : "no"; }

BOOST_AUTO_TEST_CASE(CrowdsInRealProportions) {
  for (const CrowdOfAKind& kind : Crowds()) {
    EntryUnderTest entry(kRealLimits);
    EntryUsage beside;
    bool answers_beside = false;
    {
      const Crowd crowd(entry.port(), kind.clients, kind.behavior);
      crowd.WaitUntilSent(kSendLimit);
      entry.Watch(kCrowdTime);
      beside = entry.usage();
      answers_beside = entry.AnswersWithin(kAnswerLimit);
    }
    const bool answers_after = entry.AnswersWithin(kAnswerLimit);
    const EntryUsage after = entry.usage();
    std::cout << "| " << kind.clients << " | " << kind.name << " | "
              << after.resident_peak_bytes / kBytesPerMb << " | "
              << after.unread_peak_bytes / kBytesPerMb << " | "
              << beside.descriptors << " | " << YesOrNo(answers_beside) << " | "
              << YesOrNo(answers_after) << " |" << std::endl;
    BOOST_CHECK(entry.alive());
  }
}

}  // namespace
}  // namespace mimosarail
