#define BOOST_TEST_MODULE pass_reservations
#include "src/scheduling/pass_reservations.h"

#include <boost/test/unit_test.hpp>

namespace mimosarail::scheduling {
namespace {

constexpr TimePoint kReadyAt{Millis(5000)};

wire::StepSpec Gang(int32_t tasks, int32_t millicores) {
  wire::StepSpec out;
  out.tasks = tasks;
  out.millicores = millicores;
  out.gang = true;
  return out;
}

GangPlan Plan(std::map<UpstreamIndex, int32_t> tasks, TimePoint ready_at) {
  return {.tasks_by_upstream = std::move(tasks), .ready_at = ready_at};
}

}  // namespace

/// Guards against gangs that reserve capacity without a limit.
BOOST_AUTO_TEST_CASE(BudgetEndsWithTheGangThatExceedsIt) {
  PassReservations reserved(9000);
  BOOST_TEST(reserved.UseBudget(Gang(2, 4000)));
  BOOST_TEST(reserved.UseBudget(Gang(2, 4000)));
  BOOST_TEST(!reserved.HasBudget());
  BOOST_TEST(!reserved.UseBudget(Gang(2, 4000)));
}

/// Guards against a reservation that covers only one of several gangs, or that
/// begins with the later one.
BOOST_AUTO_TEST_CASE(ReservationsOfSeveralGangsAddUp) {
  PassReservations reserved(0);
  BOOST_TEST(reserved.Find(1) == nullptr);
  reserved.Reserve(Gang(3, 1000), Plan({{1, 2}, {2, 1}}, kReadyAt));
  reserved.Reserve(Gang(1, 500), Plan({{1, 1}}, kReadyAt + Millis(1000)));
  const PassReservation both = reserved.by_upstream().at(1);
  BOOST_TEST(both.amount[Dimension::kCores] == 2500);
  BOOST_TEST((both.needed_at == kReadyAt));
  const PassReservation one = reserved.by_upstream().at(2);
  BOOST_TEST(one.amount[Dimension::kCores] == 1000);
  BOOST_TEST(reserved.Find(2) != nullptr);
  BOOST_TEST(reserved.by_upstream().size() == 2U);
}

}  // namespace mimosarail::scheduling
