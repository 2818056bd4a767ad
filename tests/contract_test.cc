// Contracts of the platform interfaces, numbered as in docs/PLATFORM.md, and
// the reaction of a session to each fault. A new adapter must pass the same
// tables.

#define BOOST_TEST_MODULE contract
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>

#include "src/control/controller.h"
#include "src/libs/base/digest.h"
#include "tests/sim/checker.h"
#include "tests/sim/cluster.h"
#include "tests/sim/manual_executor.h"

namespace mimosarail::sim {
namespace {

using fakes::LogServerFake;
using fakes::UpstreamServerFake;

wire::ListedInstance ListedUpstream() {
  wire::ListedInstance listed;
  listed.name = "up";
  listed.role = wire::ListedRole::kUpstream;
  listed.address = "up";
  listed.rack = "rack";
  listed.capacity.millicores = 4000;
  listed.capacity.memory_mb = 8000;
  listed.capacity.connections = 16;
  listed.slots = 4;
  return listed;
}

wire::TaskSpec MakeTask(const std::string& id, int64_t run_ms) {
  wire::TaskSpec task;
  task.task_id = id;
  task.request_id = id;
  task.size.millicores = 1000;
  task.run_ms = run_ms;
  return task;
}

/// One fake upstream and shorthands to call it.
struct UpstreamFixture {
  ManualClock clock;
  ManualExecutor executor{clock};
  fakes::History history;
  UpstreamServerFake upstream{executor, history, ListedUpstream()};

  wire::AttachReply Attach(const std::string& controller, int64_t term) {
    wire::AttachCall call;
    call.upstream = "up";
    call.controller = controller;
    call.term = term;
    wire::AttachReply out;
    upstream.Attach(call, [&](const wire::AttachReply& r) { out = r; });
    return out;
  }
  wire::StartReply Start(int64_t term, const std::string& id, int64_t run_ms) {
    wire::StartCall call;
    call.term = term;
    call.lease_ms = 1000;
    call.task = MakeTask(id, run_ms);
    wire::StartReply out;
    upstream.Start(call, [&](const wire::StartReply& r) { out = r; });
    return out;
  }
  wire::RenewReply Renew(int64_t term, int64_t seen,
                         const std::vector<std::string>& release = {}) {
    wire::RenewCall call;
    call.term = term;
    call.lease_ms = 1000;
    call.seen = seen;
    call.release = release;
    wire::RenewReply out;
    upstream.Renew(call, [&](const wire::RenewReply& r) { out = r; });
    clock.RunFor(Millis(1));
    return out;
  }
  int Starts() const {
    int starts = 0;
    for (const auto& e : history.events()) starts += e["event"] == "start";
    return starts;
  }
};

struct UpstreamContract {
  const char* name;
  bool (*holds)(UpstreamFixture&);
};

std::ostream& operator<<(std::ostream& out, const UpstreamContract& c) {
  return out << c.name;
}

using wire::CallStatus;

const std::vector<UpstreamContract> kUpstreamContracts{
    {"P1 a higher term takes control",
     [](UpstreamFixture& b) {
       b.Attach("a", 1);
       return b.Attach("b", 2).status == CallStatus::kOk;
     }},
    {"P1 an equal or lower term is refused with the current term",
     [](UpstreamFixture& b) {
       b.Attach("a", 5);
       const auto reply = b.Attach("b", 5);
       return reply.status == CallStatus::kStaleTerm && reply.term == 5;
     }},
    {"P2 a start of an older term has no effect",
     [](UpstreamFixture& b) {
       b.Attach("a", 1);
       b.Attach("b", 2);
       return b.Start(1, "t", 10).status == CallStatus::kStaleTerm &&
              b.Starts() == 0;
     }},
    {"P2 a renewal of an older term extends nothing",
     [](UpstreamFixture& b) {
       b.Attach("a", 1);
       b.Start(1, "t", 10000);
       b.Attach("b", 2);
       b.clock.RunFor(Millis(700));
       b.Renew(1, 0);
       b.clock.RunFor(Millis(700));
       const auto inventory = b.Attach("b", 3).inventory;
       return inventory.at(0).state == wire::TaskState::kLapsed;
     }},
    {"P3 the inventory lists running tasks",
     [](UpstreamFixture& b) {
       b.Attach("a", 1);
       b.Start(1, "t", 10000);
       const auto inventory = b.Attach("b", 2).inventory;
       return inventory.size() == 1 && inventory[0].spec.task_id == "t";
     }},
    {"P4 a repeated start runs once",
     [](UpstreamFixture& b) {
       b.Attach("a", 1);
       b.Start(1, "t", 10);
       return b.Start(1, "t", 10).status == CallStatus::kOk && b.Starts() == 1;
     }},
    {"P4 a start repeated after the release of its result runs once",
     [](UpstreamFixture& b) {
       b.Attach("a", 1);
       b.Start(1, "t", 10);
       b.clock.RunFor(Millis(50));
       b.Renew(1, 0, {"t"});
       b.Start(1, "t", 10);
       return b.Starts() == 1;
     }},
    {"P5 the lease of a task without renewal expires",
     [](UpstreamFixture& b) {
       b.Attach("a", 1);
       b.Start(1, "t", 10000);
       b.clock.RunFor(Millis(1100));
       return b.Renew(1, 0).ended.at(0).state == wire::TaskState::kLapsed;
     }},
    {"P5 a paused upstream runs no task past its lease",
     [](UpstreamFixture& b) {
       b.Attach("a", 1);
       b.Start(1, "t", 1500);
       b.executor.Pause();
       b.clock.RunFor(Millis(5000));
       b.executor.Resume();
       b.clock.RunFor(Millis(50));
       return b.Renew(1, 0).ended.at(0).state == wire::TaskState::kLapsed;
     }},
    {"P6 a result is repeated until acknowledged and stored until released",
     [](UpstreamFixture& b) {
       b.Attach("a", 1);
       b.Start(1, "t", 10);
       b.clock.RunFor(Millis(50));
       const auto first = b.Renew(1, 0);
       const auto again = b.Renew(1, 0);
       const auto seen = b.Renew(1, again.ended.at(0).sequence);
       const bool kept = b.Attach("b", 2).inventory.size() == 1;
       b.Renew(2, 0, {"t"});
       return first.ended.size() == 1 && again.ended.size() == 1 &&
              seen.ended.empty() && kept && b.Attach("c", 3).inventory.empty();
     }},
    {"P6 a release does not affect a running task",
     [](UpstreamFixture& b) {
       b.Attach("a", 1);
       b.Start(1, "t", 10000);
       b.Renew(1, 0, {"t"});
       return b.Attach("b", 2).inventory.size() == 1;
     }},
};

struct LogContract {
  const char* name;
  bool (*holds)(ManualClock&, LogServerFake&);
};

std::ostream& operator<<(std::ostream& out, const LogContract& c) {
  return out << c.name;
}

std::optional<int64_t> Append(ManualClock& clock, LogServerFake& log,
                              const std::string& data) {
  wire::AppendCall call;
  call.stream = "s";
  call.records.push_back(data);
  std::optional<int64_t> out;
  log.Append(call, [&](const wire::AppendReply& r) { out = r.first_offset; });
  clock.RunFor(Millis(1));
  return out;
}

std::optional<wire::ReadReply> Read(ManualClock& clock, LogServerFake& log,
                                    int64_t start, int64_t wait_ms = 0) {
  wire::ReadCall call;
  call.stream = "s";
  call.start = start;
  call.max_records = 10;
  call.wait_ms = wait_ms;
  std::optional<wire::ReadReply> out;
  log.Read(call, [&](const wire::ReadReply& r) { out = r; });
  clock.RunFor(Millis(wait_ms + 1));
  return out;
}

const std::vector<LogContract> kLogContracts{
    {"P7 offsets increase by one and reads return records in order",
     [](ManualClock& c, LogServerFake& log) {
       Append(c, log, "a");
       Append(c, log, "b");
       const auto read = Read(c, log, 0);
       return read->records.size() == 2 && read->records[1].offset == 1 &&
              read->records[1].data == "b" && read->upper == 2;
     }},
    {"P7 an append without a reply may have taken effect",
     [](ManualClock& c, LogServerFake& log) {
       log.faults().drop_append_replies = 1;
       const bool answered = Append(c, log, "a").has_value();
       return !answered && Read(c, log, 0)->records.size() == 1;
     }},
    {"P8 first_retained shows which records were trimmed",
     [](ManualClock& c, LogServerFake& log) {
       Append(c, log, "a");
       c.RunFor(Millis(2000));
       Append(c, log, "b");
       const auto read = Read(c, log, 0);
       return read->first_retained == 1 && read->records.size() == 1;
     }},
    {"P9 a read waits for a record and returns empty after its wait",
     [](ManualClock& c, LogServerFake& log) {
       const auto read = Read(c, log, 0, 300);
       return read.has_value() && read->records.empty();
     }},
    {"P10 calls during an outage get no reply and no record is lost",
     [](ManualClock& c, LogServerFake& log) {
       Append(c, log, "a");
       log.faults().down = true;
       const bool no_reply = !Read(c, log, 0) && !Append(c, log, "b");
       log.faults().down = false;
       return no_reply && Read(c, log, 0)->records.size() == 1;
     }},
};

/// Records the events of a session.
struct Listener : control::SessionListener {
  bool OnFound(const std::string&, const wire::TaskSpec& t) override {
    Note("found", t);
    return keep;
  }
  void OnEnded(const std::string&, const wire::TaskStatus& s) override {
    Note("ended", s.spec);
    answer = s.answer;
  }
  void OnNotStarted(const std::string&, const wire::TaskSpec& t,
                    const std::string&) override {
    Note("not started", t);
  }
  void OnLost(const std::string&, const wire::TaskSpec& t) override {
    Note("lost", t);
  }
  void OnLeaseAssumedExpired(const std::string&,
                             const wire::TaskSpec& t) override {
    Note("lapse assumed", t);
  }
  void OnControlMoved(const std::string&, const wire::TaskSpec& t,
                      bool began) override {
    Note(began ? "moved, had begun" : "moved", t);
  }
  void OnCapacityChanged() override {}
  void Note(const std::string& what, const wire::TaskSpec& task) {
    events += what + " " + task.task_id + ";";
  }
  std::string events;
  std::string answer;
  bool keep = true;
};

/// A port with scripted replies that counts the calls.
struct ScriptedPort : ports::UpstreamPort {
  explicit ScriptedPort(ManualClock& c) : executor(c) {}
  template <typename Reply>
  void Answer(Callback<Reply> done, Result<Reply> reply) {
    executor.RunAfter(Millis(1), [done, reply] { done(reply); });
  }
  void Attach(const std::string&, const wire::AttachCall& call,
              Callback<wire::AttachReply> done) override {
    ++attaches;
    if (unresponsive) return Answer<wire::AttachReply>(done, Errc::kTimeout);
    wire::AttachReply reply = attach;
    if (call.term <= lowest_term) {
      reply.status = CallStatus::kStaleTerm;
      reply.term = lowest_term;
    } else {
      lowest_term = call.term;
    }
    Answer<wire::AttachReply>(done, reply);
  }
  void Start(const std::string&, const wire::StartCall&,
             Callback<wire::StartReply> done) override {
    ++starts;
    Answer<wire::StartReply>(done, start);
  }
  void Renew(const std::string&, const wire::RenewCall&,
             Callback<wire::RenewReply> done) override {
    order += "renew;";
    if (renewals-- <= 0) return;
    Answer<wire::RenewReply>(done, renew);
  }
  void Steer(const std::string&, const wire::SteerCall&,
             Callback<wire::SteerReply> done) override {
    order += "stop;";
    Answer<wire::SteerReply>(done, wire::SteerReply());
  }
  void Inventory(const std::string&, const wire::InventoryCall&,
                 Callback<wire::InventoryReply>) override {}
  void Usage(const std::string&, const wire::UsageCall&,
             Callback<wire::UsageReply>) override {}
  void Collect(const std::string&, const wire::CollectCall&,
               Callback<wire::CollectReply> done) override {
    ++collects;
    Answer<wire::CollectReply>(done, collect);
  }
  ManualExecutor executor;
  wire::AttachReply attach;
  Result<wire::StartReply> start{wire::StartReply()};
  wire::RenewReply renew;
  wire::CollectReply collect;
  bool unresponsive = false;
  int64_t lowest_term = 0;
  int renewals = 0;
  int attaches = 0;
  int starts = 0;
  int collects = 0;
  std::string order;
};

/// A session over a scripted port.
struct SessionFixture {
  SessionFixture() {
    port.attach.capacity = ListedUpstream().capacity;
    port.attach.slots = 4;
  }
  void Open() {
    session = std::make_shared<control::UpstreamSession>(
        executor, port, capacity, listener,
        control::SessionOptions{.controller = "me"}, ListedUpstream());
    session->SetPreferred(true);
    clock.RunFor(Millis(20));
  }
  void StartOneTask(Millis span = Millis(3)) {
    capacity.Reserve(session->capacity_index(),
                     placement::TaskAmount(MakeTask("t", 1).size),
                     control::UpstreamSession::GroupOf(MakeTask("t", 1)));
    session->Start(MakeTask("t", 1));
    clock.RunFor(span);
  }
  bool AllCapacityFree() {
    return capacity.upstream(session->capacity_index()).free ==
           capacity.upstream(session->capacity_index()).capacity;
  }
  ManualClock clock;
  ManualExecutor executor{clock};
  ScriptedPort port{clock};
  placement::CapacityTable capacity;
  Listener listener;
  std::shared_ptr<control::UpstreamSession> session;
};

struct SessionFault {
  const char* name;
  bool (*holds)(SessionFixture&);
};

std::ostream& operator<<(std::ostream& out, const SessionFault& c) {
  return out << c.name;
}

wire::TaskStatus Status(wire::TaskState::type state, const std::string& answer,
                        int64_t length) {
  wire::TaskStatus status;
  status.spec = MakeTask("t", 1);
  status.state = state;
  status.answer = answer;
  status.answer_length = length;
  status.answer_digest = Digest("whole answer");
  status.sequence = 1;
  return status;
}

const std::vector<SessionFault> kSessionFaults{
    {"the inventory is adopted before any task starts",
     [](SessionFixture& b) {
       b.port.attach.inventory.push_back(
           Status(wire::TaskState::kRunning, "", 0));
       b.Open();
       return b.capacity.upstream(b.session->capacity_index())
                      .free[placement::Dimension::kCores] == 3000 &&
              b.listener.events == "found t;";
     }},
    {"a session attaches with a higher term than the reported one",
     [](SessionFixture& b) {
       b.port.lowest_term = 41;
       b.Open();
       return b.session->term() == 42 && b.session->usable();
     }},
    {"a refused start is reported as not started and releases its capacity",
     [](SessionFixture& b) {
       b.Open();
       wire::StartReply refused;
       refused.status = CallStatus::kRefused;
       b.port.start = refused;
       b.StartOneTask();
       return b.listener.events == "not started t;" && b.AllCapacityFree();
     }},
    {"a start without reply keeps its capacity until an attach resolves it",
     [](SessionFixture& b) {
       b.Open();
       b.port.start = Result<wire::StartReply>(Errc::kTimeout);
       b.StartOneTask(Millis(1));
       const bool reserved = !b.AllCapacityFree() && b.listener.events.empty();
       b.clock.RunFor(Millis(50));
       return reserved && b.listener.events == "not started t;" &&
              b.AllCapacityFree() && b.port.starts == 1;
     }},
    {"a start without reply that took effect is found and not repeated",
     [](SessionFixture& b) {
       b.Open();
       b.port.start = Result<wire::StartReply>(Errc::kDisconnected);
       b.port.attach.inventory.push_back(
           Status(wire::TaskState::kRunning, "", 0));
       b.StartOneTask();
       b.clock.RunFor(Millis(50));
       return b.listener.events == "found t;" && b.port.starts == 1 &&
              !b.AllCapacityFree();
     }},
    {"the lease of a start without reply is never assumed to have expired",
     [](SessionFixture& b) {
       b.Open();
       b.port.start = Result<wire::StartReply>(Errc::kTimeout);
       b.port.unresponsive = true;
       b.StartOneTask();
       b.clock.RunFor(Millis(60000));
       const bool reserved = !b.AllCapacityFree();
       b.port.unresponsive = false;
       b.clock.RunFor(Millis(10000));
       return reserved && b.listener.events == "moved t;not started t;" &&
              b.AllCapacityFree();
     }},
    {"at an unresponsive upstream, expiry is assumed only after the lease",
     [](SessionFixture& b) {
       b.Open();
       b.StartOneTask();
       b.port.unresponsive = true;
       b.port.start = Result<wire::StartReply>(Errc::kTimeout);
       b.capacity.Reserve(b.session->capacity_index(),
                          placement::TaskAmount(MakeTask("u", 1).size),
                          control::UpstreamSession::GroupOf(MakeTask("u", 1)));
       b.session->Start(MakeTask("u", 1));
       b.clock.RunFor(Millis(9000));
       const bool early = b.listener.events.empty();
       b.clock.RunFor(Millis(6000));
       return early && b.listener.events == "lapse assumed t;moved u;";
     }},
    {"a start that was never sent is reported as not started",
     [](SessionFixture& b) {
       b.Open();
       b.port.start = Result<wire::StartReply>(Errc::kUnavailable);
       b.StartOneTask();
       return b.listener.events == "not started t;";
     }},
    {"a stale term hands over every task",
     [](SessionFixture& b) {
       b.Open();
       b.StartOneTask();
       wire::StartReply stale;
       stale.status = CallStatus::kStaleTerm;
       stale.term = 9;
       b.port.start = stale;
       b.capacity.Reserve(b.session->capacity_index(),
                          placement::TaskAmount(MakeTask("u", 1).size),
                          control::UpstreamSession::GroupOf(MakeTask("u", 1)));
       b.session->Start(MakeTask("u", 1));
       b.clock.RunFor(Millis(5));
       return b.listener.events == "not started u;moved, had begun t;" &&
              b.AllCapacityFree() && !b.session->usable();
     }},
    {"a truncated answer is collected until it is complete",
     [](SessionFixture& b) {
       b.port.collect.found = true;
       b.port.collect.answer = "whole answer";
       b.port.attach.inventory.push_back(
           Status(wire::TaskState::kFinished, "whole", 12));
       b.Open();
       return b.listener.answer == "whole answer" && b.port.collects == 1;
     }},
    {"an answer that stays truncated is never passed on",
     [](SessionFixture& b) {
       b.port.collect.found = true;
       b.port.collect.answer = "whole ansWer";
       b.port.attach.inventory.push_back(
           Status(wire::TaskState::kFinished, "whole", 12));
       b.Open();
       b.clock.RunFor(Millis(50));
       return b.listener.answer != "whole ansWer" && b.port.collects == 3;
     }},
    {"an unwanted task is stopped before any renewal",
     [](SessionFixture& b) {
       b.listener.keep = false;
       b.port.attach.inventory.push_back(
           Status(wire::TaskState::kRunning, "", 0));
       b.Open();
       return b.port.order == "stop;renew;";
     }},
    {"a leaving upstream gets no new tasks",
     [](SessionFixture& b) {
       b.Open();
       wire::ListedInstance leaving = ListedUpstream();
       leaving.state = wire::ListedState::kLeaving;
       b.session->Update(leaving);
       return !b.session->usable() &&
              !b.capacity.Reserve(b.session->capacity_index(),
                                  placement::TaskAmount(MakeTask("t", 1).size));
     }},
};

}  // namespace

BOOST_DATA_TEST_CASE(upstream_contract,
                     boost::unit_test::data::make(kUpstreamContracts), c) {
  UpstreamFixture fixture;
  BOOST_TEST(c.holds(fixture));
}

BOOST_DATA_TEST_CASE(log_contract, boost::unit_test::data::make(kLogContracts),
                     c) {
  ManualClock clock;
  ManualExecutor executor(clock);
  LogServerFake log(executor, Millis(1000));
  BOOST_TEST(c.holds(clock, log));
}

BOOST_DATA_TEST_CASE(session_faults,
                     boost::unit_test::data::make(kSessionFaults), c) {
  SessionFixture fixture;
  BOOST_TEST(c.holds(fixture));
}

// The instance list reports a leaving upstream with a delay (P11).
BOOST_AUTO_TEST_CASE(list_contract) {
  ManualClock clock;
  ManualExecutor executor(clock);
  fakes::InstanceListFake list(executor, {ListedUpstream()});
  list.SetLag(Millis(500));
  list.SetState("up", wire::ListedState::kLeaving);
  clock.RunFor(Millis(400));
  BOOST_TEST((list.Fetch(0).instances[0].state == wire::ListedState::kLive));
  clock.RunFor(Millis(200));
  BOOST_TEST((list.Fetch(0).instances[0].state == wire::ListedState::kLeaving));
}

// A keyed request is sent to two entries. The owner counts it and its cost. If
// the entry that forwards the answer counted it too, the team would be billed
// twice.
BOOST_AUTO_TEST_CASE(cost_of_a_forwarded_key_is_counted_once) {
  Cluster cluster({.seed = 3});
  BOOST_REQUIRE(cluster.WaitUntilReady());
  wire::RequestSpec spec = MakeSpec("part-check", 50);
  spec.keyed = true;
  spec.id = "part";
  const auto first = cluster.Submit(0, spec);
  const auto second = cluster.Submit(1, spec);
  BOOST_REQUIRE(cluster.RunUntil(
      [&] { return first->answered && second->answered; }, Millis(20000)));
  BOOST_TEST(first->outcome.answer == second->outcome.answer);
  int counted = 0;
  for (int i = 0; i < cluster.entry_count(); ++i) {
    const std::string text = cluster.entry_process(i).metrics->Text();
    counted += text.find("requests_total") != std::string::npos ? 1 : 0;
  }
  BOOST_TEST(counted == 1);
}

}  // namespace mimosarail::sim

namespace mimosarail::sim {
namespace {

/// Returns the entry with the most attached upstreams.
instance::Instance& EntryWithMostUpstreams(Cluster& cluster) {
  int best = 0;
  for (int i = 1; i < cluster.entry_count(); ++i) {
    const auto attached = [&](int n) {
      return cluster.entry_process(n).instance->controller().Attached().size();
    };
    if (attached(i) > attached(best)) best = i;
  }
  return *cluster.entry_process(best).instance;
}

/// Returns the upstream where the request has started last.
std::string UpstreamOfLastStart(const Cluster& cluster,
                                const std::string& request) {
  std::string out;
  for (const auto& event : cluster.history().events()) {
    if (event["event"] != "start" || event["request"] != request) continue;
    out = event["upstream"].get<std::string>();
  }
  return out;
}

wire::PlaceCall MakePlaceCall(const std::string& id, int32_t attempt) {
  wire::PlaceCall call;
  call.context.spec = MakeSpec("late", 50);
  call.context.spec.id = id;
  call.context.owner = "entry-9";
  call.attempt = attempt;
  call.indices = {0};
  call.heartbeat_seen = INT64_MAX / 1000000;
  return call;
}

}  // namespace

// A repeatable request crashes each upstream that starts it; the upstream
// restarts after a second. The request must not crash one upstream after
// another.
BOOST_AUTO_TEST_CASE(request_that_crashes_upstreams_is_abandoned) {
  Cluster cluster({.seed = 6});
  BOOST_REQUIRE(cluster.WaitUntilReady());
  wire::RequestSpec spec = MakeSpec("part-check", 50);
  spec.repeatable = true;
  spec.payload = "crash=1";
  const auto submission = cluster.Submit(0, spec);
  cluster.Run(Millis(60000));
  int starts = 0;
  for (const auto& e : cluster.history().events()) {
    starts += e["event"] == "start";
  }
  BOOST_TEST(submission->answered);
  BOOST_TEST(starts >= 2);
  // Three upstreams have crashed while running it by then.
  BOOST_TEST(starts <= 3);
}

// Guards against a request that is given up as the cause of lost upstreams
// although each of them was only paused and answers again.
BOOST_AUTO_TEST_CASE(paused_upstreams_are_not_counted_as_crashed) {
  Cluster cluster({.seed = 9});
  BOOST_REQUIRE(cluster.WaitUntilReady());
  const auto submission = cluster.Submit(0, MakeSpec("long", 20000));
  constexpr int kPauses = 4;
  for (int started = 1; started <= kPauses; ++started) {
    const auto starts = [&] {
      return StartsOf(cluster.history().events(), submission->id);
    };
    BOOST_REQUIRE(cluster.RunUntil(
        [&] { return starts() == started || submission->answered; },
        Millis(60000)));
    if (submission->answered) break;
    cluster.Run(Millis(500));
    const std::string upstream = UpstreamOfLastStart(cluster, submission->id);
    cluster.upstream_executor(upstream).Pause();
    cluster.RunUntil([&] { return starts() > started || submission->answered; },
                     Millis(60000));
    cluster.upstream_executor(upstream).Resume();
  }
  BOOST_REQUIRE(
      cluster.RunUntil([&] { return submission->answered; }, Millis(60000)));
  BOOST_TEST(submission->outcome.reason == "");
  BOOST_TEST((submission->outcome.verdict == wire::Verdict::kDone));
}

// Guards against a request that is given up as the cause of lost upstreams
// although each of them has drained and left as planned.
BOOST_AUTO_TEST_CASE(drained_upstreams_are_not_counted_as_crashed) {
  Cluster cluster({.seed = 9});
  BOOST_REQUIRE(cluster.WaitUntilReady());
  const auto submission = cluster.Submit(0, MakeSpec("long", 20000));
  constexpr int kLeaves = 3;
  for (int started = 1; started <= kLeaves; ++started) {
    BOOST_REQUIRE(cluster.RunUntil(
        [&] {
          return StartsOf(cluster.history().events(), submission->id) ==
                     started ||
                 submission->answered;
        },
        Millis(60000)));
    if (submission->answered) break;
    const std::string upstream = UpstreamOfLastStart(cluster, submission->id);
    cluster.list().SetState(upstream, wire::ListedState::kLeaving);
    cluster.Run(Millis(3000));
    cluster.upstream(upstream).Crash();
    cluster.list().Remove(upstream);
  }
  BOOST_REQUIRE(
      cluster.RunUntil([&] { return submission->answered; }, Millis(60000)));
  BOOST_TEST(submission->outcome.reason == "");
  BOOST_TEST((submission->outcome.verdict == wire::Verdict::kDone));
}

// An owner has resolved an attempt as never started and has started the next
// one elsewhere. If its delayed placement call were accepted now, both attempts
// would run.
BOOST_AUTO_TEST_CASE(fenced_attempt_is_never_accepted) {
  Cluster cluster({.seed = 4});
  BOOST_REQUIRE(cluster.WaitUntilReady());
  instance::Instance& entry = EntryWithMostUpstreams(cluster);
  wire::FindCall fence;
  fence.request_id = "late";
  fence.fence_below = 1001;
  entry.OnFind(fence, [](const wire::FindReply&) {});
  BOOST_TEST((entry.OnPlace(MakePlaceCall("late", 1000)).status ==
              wire::PlaceStatus::kFenced));
  BOOST_TEST((entry.OnPlace(MakePlaceCall("late", 1001)).status ==
              wire::PlaceStatus::kAccepted));
}

// A placement call was delayed for longer than its owner waits before it
// resolves the attempt. The heartbeat number in the call shows its age, and it
// must be refused.
BOOST_AUTO_TEST_CASE(placement_call_that_is_too_old_is_refused) {
  Cluster cluster({.seed = 5});
  BOOST_REQUIRE(cluster.WaitUntilReady());
  instance::Instance& entry = EntryWithMostUpstreams(cluster);
  wire::PlaceCall call = MakePlaceCall("old", 1000);
  call.heartbeat_seen = entry.members().sequence();
  cluster.Run(Millis(10000));
  BOOST_TEST((entry.OnPlace(call).status == wire::PlaceStatus::kNotReady));
  call.heartbeat_seen = entry.members().sequence();
  BOOST_TEST((entry.OnPlace(call).status == wire::PlaceStatus::kAccepted));
}

}  // namespace mimosarail::sim

namespace mimosarail::sim {
namespace {

/// Fills every upstream with tasks of one core.
void FillCluster(Cluster& cluster, int64_t run_ms) {
  for (int i = 0; i < 24; ++i) {
    wire::RequestSpec spec = MakeSpec("filler", run_ms);
    spec.urgent = true;  // also uses the reserve
    cluster.Submit(i % 3, spec);
  }
}

}  // namespace

// The owner of a waiting keyed request is partitioned from the other entries,
// but not from the upstreams. The caller submits the key to another entry,
// which considers the owner dead and finds the task nowhere. If that entry
// reclaimed the key, the owner would start the request too as soon as capacity
// is released.
BOOST_AUTO_TEST_CASE(key_is_not_reclaimed_from_partitioned_owner) {
  Cluster cluster({.seed = 6});
  BOOST_REQUIRE(cluster.WaitUntilReady());
  FillCluster(cluster, 25000);
  cluster.Run(Millis(500));
  wire::RequestSpec spec = MakeSpec("contested", 3000);
  spec.keyed = true;
  spec.id = "contested";
  cluster.Submit(2, spec);
  cluster.Run(Millis(500));
  for (const int other : {0, 1}) {
    cluster.network().BlockLink(Cluster::EntryName(2),
                                Cluster::EntryName(other));
    cluster.network().BlockLink(Cluster::EntryName(other),
                                Cluster::EntryName(2));
  }
  cluster.Run(Millis(6000));
  cluster.Submit(0, spec);
  cluster.Run(Millis(60000));
  for (const auto& event : cluster.history().events()) {
    if (event["event"] != "start" || event["request"] != "contested") continue;
    BOOST_TEST(event["attempt"].get<int>() < 2000);
  }
}

// Guards against the verdict "unknown" for a request whose owner was
// partitioned from the entry that its key was submitted to, and answers again.
BOOST_DATA_TEST_CASE(reclaim_is_abandoned_when_the_owner_answers_again,
                     boost::unit_test::data::xrange(10, 16), seed) {
  Cluster cluster({.seed = static_cast<uint64_t>(seed)});
  BOOST_REQUIRE(cluster.WaitUntilReady());
  FillCluster(cluster, 60000);
  cluster.Run(Millis(500));
  wire::RequestSpec spec = MakeSpec("contested", 3000);
  spec.size.millicores = 4000;
  spec.keyed = true;
  spec.id = "contested";
  const auto first = cluster.Submit(2, spec);
  cluster.Run(Millis(500));
  for (const int other : {0, 1}) {
    cluster.network().BlockLink(Cluster::EntryName(2),
                                Cluster::EntryName(other));
    cluster.network().BlockLink(Cluster::EntryName(other),
                                Cluster::EntryName(2));
  }
  cluster.Run(Millis(6000));
  const auto second = cluster.Submit(0, spec);
  cluster.Run(Millis(4000));
  cluster.network().UnblockAllLinks();
  cluster.RunUntil([&] { return first->answered && second->answered; },
                   Millis(120000));
  for (const auto& submission : {first, second}) {
    BOOST_TEST(submission->outcome.reason == "");
    BOOST_TEST((submission->outcome.verdict == wire::Verdict::kDone));
  }
  BOOST_TEST(StartsOf(cluster.history().events(), "contested") == 1);
}

// A request fails once and then waits for its next attempt until its deadline.
// The verdict "not run" would tell the caller that it had no effect.
BOOST_AUTO_TEST_CASE(request_that_failed_is_not_reported_as_not_run) {
  Cluster cluster({.seed = 7});
  BOOST_REQUIRE(cluster.WaitUntilReady());
  wire::RequestSpec spec = MakeSpec("fails", 10);
  spec.size.millicores = 4000;
  spec.payload = "fail=1";
  spec.deadline_ms = 5000;
  const auto submission = cluster.Submit(0, spec);
  BOOST_REQUIRE(cluster.RunUntil(
      [&] { return StartsOf(cluster.history().events(), submission->id) > 0; },
      Millis(5000)));
  FillCluster(cluster, 20000);
  BOOST_REQUIRE(
      cluster.RunUntil([&] { return submission->answered; }, Millis(15000)));
  BOOST_TEST((submission->outcome.verdict == wire::Verdict::kUnknown));
}

}  // namespace mimosarail::sim

namespace mimosarail::sim {

// No entry can reach entry-2, which can reach all upstreams and considers the
// other entries dead. If it kept attaching their upstreams, no entry could
// confirm all upstreams at once, and callers would get the verdict "unknown".
BOOST_AUTO_TEST_CASE(isolated_entry_stops_contesting_upstreams) {
  Cluster cluster({.seed = 8});
  BOOST_REQUIRE(cluster.WaitUntilReady());
  cluster.network().BlockLink(Cluster::EntryName(0), Cluster::EntryName(2));
  cluster.network().BlockLink(Cluster::EntryName(1), Cluster::EntryName(2));
  cluster.Run(Millis(8000));
  const size_t before = cluster.history().events().size();
  cluster.Run(Millis(20000));
  int contests = 0;
  for (size_t i = before; i < cluster.history().events().size(); ++i) {
    const auto& event = cluster.history().events()[i];
    contests += event["event"] == "attach" && event["holder"] == "entry-2";
  }
  BOOST_TEST(contests == 0);
}

}  // namespace mimosarail::sim
