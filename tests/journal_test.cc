#define BOOST_TEST_MODULE journal
#include "src/journal/journal.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

#include "tests/jobsim/log_fixture.h"
#include "tests/jobsim/store_fake.h"

namespace mimosarail::jobsim {
namespace {

constexpr const char* kTable = "t";
constexpr uint64_t kSeeds = 200;
uint64_t seeds_with_concurrent_appends = 0;

/// A store with random delays, so that calls and answers overtake each other.
/// It refuses some appends and loses the answers to others.
class FaultyStore final : public ports::RecordStorePort {
 public:
  FaultyStore(sim::ManualClock& clock, StoreFake& store, uint64_t seed)
      : clock_(clock), store_(store), random_(seed) {}

  bool faulty = true;

  void Append(const ports::AppendCall& call, Millis timeout,
              std::function<void(ports::AppendReply)> done) override {
    const uint64_t roll = faulty ? random_() % 100 : 100;
    const Millis call_delay(50 + random_() % 200);
    const Millis reply_delay(50 + random_() % 200);
    if (roll < 8) {
      return clock_.At(clock_.now() + reply_delay, [done] {
        done({.verdict = ports::AppendVerdict::kRefused, .detail = "busy"});
      });
    }
    const bool lost = roll < 20;
    clock_.At(clock_.now() + call_delay, [this, call, lost, reply_delay, done] {
      const ports::AppendReply reply = store_.Append(call);
      if (lost) return;
      clock_.At(clock_.now() + reply_delay, [done, reply] { done(reply); });
    });
    if (!lost) return;
    clock_.At(clock_.now() + timeout, [done] {
      done({.verdict = ports::AppendVerdict::kUnknown, .detail = "lost"});
    });
  }
  void ReadNewest(const std::string&, const std::string&, Millis,
                  Callback<ports::NewestPage>) override {}
  void ReadTail(const std::string&, int64_t, Millis, Millis,
                Callback<ports::TailReply>) override {}

 private:
  sim::ManualClock& clock_;
  StoreFake& store_;
  std::mt19937_64 random_;
};

/// A store that delays each append by the next of the given call delays.
class DelayingStore final : public ports::RecordStorePort {
 public:
  DelayingStore(sim::ManualClock& clock, StoreFake& store,
                std::deque<Millis> call_delays)
      : clock_(clock), store_(store), call_delays_(std::move(call_delays)) {}

  void Append(const ports::AppendCall& call, Millis,
              std::function<void(ports::AppendReply)> done) override {
    const Millis call_delay =
        call_delays_.empty() ? kDefaultDelay : call_delays_.front();
    if (!call_delays_.empty()) call_delays_.pop_front();
    clock_.At(clock_.now() + call_delay, [this, call, done] {
      const ports::AppendReply reply = store_.Append(call);
      clock_.At(clock_.now() + kDefaultDelay, [done, reply] { done(reply); });
    });
  }
  void ReadNewest(const std::string&, const std::string&, Millis,
                  Callback<ports::NewestPage>) override {}
  void ReadTail(const std::string&, int64_t, Millis, Millis,
                Callback<ports::TailReply>) override {}

 private:
  static constexpr Millis kDefaultDelay{2};
  sim::ManualClock& clock_;
  StoreFake& store_;
  std::deque<Millis> call_delays_;
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// The store is slow, loses answers and refuses appends while several appends
/// are in flight and overtake each other. Guards against records that are
/// reported as stored but missing, values overwritten by earlier ones, and a
/// writer that takes its own reordered appends for those of another writer.
BOOST_DATA_TEST_CASE(RecordsAreStoredInOrder,
                     boost::unit_test::data::xrange(kSeeds), seed) {
  sim::ManualClock clock;
  sim::ManualExecutor executor(clock);
  StoreFake fake(clock);
  FaultyStore store(clock, fake, seed);
  std::mt19937_64 random(seed + 1);
  bool lost = false;
  int reported = 0;
  const auto journal = std::make_shared<journal::Journal>(
      executor, store,
      journal::JournalOptions{.table = kTable, .writer = "w", .epoch = 1},
      [&lost] { lost = true; });
  journal->Open([] {});
  constexpr int kPuts = 200;
  size_t max_in_flight = 0;
  const int64_t before = journal->appends();
  for (int i = 1; i <= kPuts; ++i) {
    const std::string key = "k" + std::to_string(random() % 5);
    journal->Put(key, std::to_string(i));
    journal->WhenStored([&fake, &reported, key, i](bool stored) {
      ++reported;
      BOOST_TEST(stored);
      const auto& records = fake.Records(kTable);
      const auto found = records.find(key);
      BOOST_REQUIRE(found != records.end());
      BOOST_TEST(std::stoi(found->second) >= i);
    });
    clock.RunFor(Millis(random() % 40));
    max_in_flight = std::max(max_in_flight, journal->in_flight());
  }
  store.faulty = false;
  clock.RunFor(Millis(20000));
  BOOST_TEST(!lost);
  BOOST_TEST(reported == kPuts);
  BOOST_TEST(journal->appends() > before);
  if (max_in_flight > 1) ++seeds_with_concurrent_appends;
}

/// Guards against fault schedules above that do not test concurrency: most must
/// have several appends in flight at a time.
BOOST_AUTO_TEST_CASE(MostFaultSchedulesHadConcurrentAppends) {
  BOOST_TEST(seeds_with_concurrent_appends > kSeeds * 9 / 10);
}

/// Guards against records that are reported as stored although their append was
/// overtaken by a later one and refused.
BOOST_AUTO_TEST_CASE(OvertakenAppendIsNotReportedAsStored) {
  constexpr Millis kFenceDelay{150};
  constexpr Millis kLongDelay{400};
  constexpr Millis kShortDelay{10};
  sim::ManualClock clock;
  sim::ManualExecutor executor(clock);
  StoreFake fake(clock);
  DelayingStore store(clock, fake, {kFenceDelay, kLongDelay, kShortDelay});
  const auto journal = std::make_shared<journal::Journal>(
      executor, store,
      journal::JournalOptions{.table = kTable, .writer = "w", .epoch = 1},
      [] {});
  journal->Open([] {});
  clock.RunFor(2 * kFenceDelay);
  int reported = 0;
  for (const char* key : {"first", "second"}) {
    journal->Put(key, "value");
    journal->WhenStored([&fake, &reported, key](bool stored) {
      ++reported;
      BOOST_TEST(fake.Records(kTable).count(key) == (stored ? 1U : 0U));
    });
    clock.RunFor(kFenceDelay);
  }
  clock.RunFor(Millis(5000));
  BOOST_TEST(reported == 2);
  // The fence and two appends, one of which overtook the other and was sent
  // again.
  BOOST_TEST(journal->appends() > 3);
  BOOST_TEST(fake.Records(kTable).size() == 2U);
}

/// Another writer takes over while several appends are in flight, and each of
/// them is refused. Guards against a loss that is reported more than once, and
/// against waiting callbacks that are not told that the outcome is in doubt.
BOOST_AUTO_TEST_CASE(LostJournalOwnershipIsReportedOnce) {
  sim::ManualClock clock;
  sim::ManualExecutor executor(clock);
  StoreFake fake(clock);
  FaultyStore store(clock, fake, 1);
  store.faulty = false;
  int lost = 0;
  int in_doubt = 0;
  const auto journal = std::make_shared<journal::Journal>(
      executor, store,
      journal::JournalOptions{.table = kTable, .writer = "w", .epoch = 1},
      [&lost] { ++lost; });
  journal->Open([] {});
  clock.RunFor(Millis(1000));
  for (int i = 0; i < 20; ++i) {
    if (i == 10) {
      fake.Append(
          {.table = kTable, .writer = ports::WriterIdentity{"w", 2, 1}});
    }
    journal->Put("k", std::to_string(i));
    journal->WhenStored(
        [&in_doubt](bool stored) { in_doubt += stored ? 0 : 1; });
    clock.RunFor(Millis(60));
  }
  clock.RunFor(Millis(3000));
  BOOST_TEST(lost == 1);
  BOOST_TEST(in_doubt >= 10);
}

}  // namespace mimosarail::jobsim
