#define BOOST_TEST_MODULE store_check
#include "src/jobentry/store_check.h"

#include <boost/test/unit_test.hpp>
#include <deque>

#include "tests/queueing_executor.h"

namespace mimosarail::jobentry {
namespace {

/// A store whose reads the test answers.
class StoreFake final : public ports::RecordStorePort {
 public:
  void Append(const ports::AppendCall& /*call*/, Millis /*timeout*/,
              std::function<void(ports::AppendReply)> /*done*/) override {}
  void ReadNewest(const std::string& table, const std::string& /*after*/,
                  Millis timeout, Callback<ports::NewestPage> done) override {
    BOOST_TEST(table == "leader");
    BOOST_TEST((timeout == Millis(450)));
    reads_.push_back(std::move(done));
  }
  void ReadTail(const std::string& /*table*/, int64_t /*from*/, Millis /*wait*/,
                Millis /*timeout*/,
                Callback<ports::TailReply> /*done*/) override {}

  size_t reads() const { return reads_.size(); }
  void Answer(const Result<ports::NewestPage>& reply) {
    const Callback<ports::NewestPage> done = std::move(reads_.front());
    reads_.pop_front();
    done(reply);
  }

 private:
  std::deque<Callback<ports::NewestPage>> reads_;
};

struct Harness {
  /// Adds the result of a check to `results`, once it is known.
  void Check() {
    check.Run([this](bool served) { results.push_back(served); });
  }
  void Fail() { store.Answer({Errc::kUnavailable, "unavailable"}); }
  void Serve() { store.Answer(ports::NewestPage{}); }

  TimePoint now{Millis(5000)};
  QueueingExecutor executor{now};
  StoreFake store;
  StoreCheckOptions options{.table = "leader"};
  StoreCheck check{executor, store, options};
  std::vector<bool> results;
};

}  // namespace

/// Guards against a read of the store for each call that waits.
BOOST_AUTO_TEST_CASE(CallsShareOneCheck) {
  Harness harness;
  harness.Check();
  harness.Check();
  BOOST_TEST(harness.results.empty());
  BOOST_TEST(harness.store.reads() == 1U);
  harness.Serve();
  BOOST_TEST((harness.results == std::vector{true, true}));
  harness.now += harness.options.max_age - Millis(1);
  harness.Check();
  BOOST_TEST(harness.results.size() == 3U);
  BOOST_TEST(harness.store.reads() == 0U);
  harness.now += Millis(1);
  harness.Check();
  BOOST_TEST(harness.results.size() == 3U);
  BOOST_TEST(harness.store.reads() == 1U);
}

/// Guards against calls that wait for a store which is known to be unavailable,
/// and against a store that counts as unavailable forever.
BOOST_AUTO_TEST_CASE(NoCallWaitsForAnUnavailableStore) {
  Harness harness;
  harness.Check();
  harness.Fail();
  BOOST_TEST((harness.results == std::vector{false}));
  harness.now += harness.options.max_age;
  harness.Check();
  BOOST_TEST((harness.results == std::vector{false, false}));
  BOOST_REQUIRE_EQUAL(harness.store.reads(), 1U);
  harness.Serve();
  BOOST_TEST(harness.results.size() == 2U);
  harness.Check();
  BOOST_TEST((harness.results == std::vector{false, false, true}));
}

}  // namespace mimosarail::jobentry
