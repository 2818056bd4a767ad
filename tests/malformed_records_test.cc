// Tests whole entry instances that read malformed records of an external writer
// from the store, or get malformed messages from a peer.

#define BOOST_TEST_MODULE malformed_records
#include <boost/test/unit_test.hpp>

#include "src/libs/rpc/codec.h"
#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

constexpr const char* kJobTable = "jobs";
constexpr const char* kLeaderTable = "leaders";
constexpr const char* kLeaderKey = "leader";
/// First letters of the keys in the job table, by the kind of record.
constexpr char kSpecPrefix = 's';
constexpr char kProgressPrefix = 'p';
constexpr char kUpstreamPrefix = 'u';
constexpr char kUnknownKindPrefix = 'x';
const std::string kMalformedBytes = "\xff\xfe\x01";

/// Whether the leader has counted `count` malformed records of this kind.
bool HasMalformedRecordCount(JobCluster& cluster, const std::string& kind,
                             int count) {
  const std::string line =
      "bad_entries{of=\"" + kind + "\"} " + std::to_string(count) + "\n";
  return cluster.Metrics(cluster.Leader()).find(line) != std::string::npos;
}

void KillAll(JobCluster& cluster) {
  for (const auto& name : cluster.names()) cluster.Kill(name);
}

void RestartAll(JobCluster& cluster) {
  for (const auto& name : cluster.names()) cluster.Restart(name);
}

int64_t ConfigVersion(JobCluster& cluster) {
  return cluster.entry(cluster.Leader())->OnHeartbeat({}).config_version;
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// An external writer repeatedly puts unreadable records into the upstream list
/// while jobs run. The jobs continue, the upstreams named by these records are
/// not called, and each record is reported once, although the list is read four
/// times a second and one of the records is written again for each job.
BOOST_AUTO_TEST_CASE(MalformedListEntriesDoNotAffectOthers) {
  JobCluster cluster({});
  cluster.store().Put(kUpstreamTable, "up-bad", kMalformedBytes);
  cluster.store().Put(kUpstreamTable, kMalformedBytes, kMalformedBytes);
  cluster.RunFor(Millis(2000));
  for (JobId id = 1; id <= 8; ++id) {
    cluster.Submit("entry-1", OneStepJob(id, 2, 2000));
    cluster.store().Put(kUpstreamTable, "up-bad", kMalformedBytes);
    cluster.RunFor(Millis(300));
  }
  for (JobId id = 1; id <= 8; ++id) {
    BOOST_TEST(cluster.RunUntilFinal(id, Millis(10000)));
  }
  BOOST_TEST(!cluster.upstreams().WasCalled("up-bad"));
  BOOST_TEST(HasMalformedRecordCount(cluster, "upstream list", 2));
  cluster.store().DropHistory();
  cluster.RunFor(Millis(1000));
  BOOST_TEST(HasMalformedRecordCount(cluster, "upstream list", 2));
  BOOST_TEST(cluster.Violations().empty());
}

/// The list entry of an upstream that runs a task becomes malformed. The task
/// is neither lost nor run a second time. Nothing new starts on the upstream
/// until a readable entry follows; then the upstream is used again.
BOOST_AUTO_TEST_CASE(UpstreamKeepsTasksWhenItsListEntryBecomesMalformed) {
  JobCluster cluster({.upstreams = 1});
  cluster.RunFor(Millis(2000));
  cluster.upstreams().behavior({1, 0, 0, 0}).run_time = Millis(9000);
  cluster.Submit("entry-1", OneStepJob(1, 1, 1000));
  cluster.RunFor(Millis(500));
  BOOST_TEST(cluster.upstreams().UpstreamRunning({1, 0, 0, 0}) == "up-0");
  cluster.store().Put(kUpstreamTable, "up-0", kMalformedBytes);
  cluster.RunFor(Millis(500));
  cluster.Submit("entry-1", OneStepJob(2, 1, 1000));
  // Longer than any lease: the lease of the running task must be renewed.
  cluster.RunFor(Millis(8000));
  BOOST_TEST(cluster.accepted(2));
  BOOST_TEST(!cluster.upstreams().HasRun(2));
  BOOST_TEST(cluster.upstreams().UpstreamRunning({1, 0, 0, 0}) == "up-0");
  BOOST_TEST(cluster.RunUntilFinal(1, Millis(5000)));
  BOOST_TEST(cluster.upstreams().DoneRuns({1, 0, 0, 0}) == 1);
  BOOST_TEST(!cluster.upstreams().HasRun(2));
  cluster.store().Put(kUpstreamTable, "up-0",
                      rpc::Encode(cluster.ListEntry(0)));
  BOOST_TEST(cluster.RunUntilFinal(2, Millis(5000)));
  BOOST_TEST(cluster.upstreams().starts() == 2);
  BOOST_TEST(cluster.Violations().empty());
}

/// The list entry of an upstream that runs a task becomes malformed, and then
/// all entry instances restart. The new leader takes the upstream's address
/// from the registry of upstreams and learns from the upstream that the task
/// runs; a cancel reaches the task.
BOOST_AUTO_TEST_CASE(NewLeaderFindsUpstreamWithMalformedListEntry) {
  JobCluster cluster({.upstreams = 1});
  cluster.RunFor(Millis(2000));
  cluster.upstreams().behavior({1, 0, 0, 0}).run_time = Millis(20000);
  cluster.Submit("entry-1", OneStepJob(1, 1, 1000));
  cluster.RunFor(Millis(500));
  cluster.store().Put(kUpstreamTable, "up-0", kMalformedBytes);
  cluster.RunFor(Millis(300));
  RestartAll(cluster);
  cluster.RunFor(Millis(9000));
  BOOST_TEST(cluster.upstreams().UpstreamRunning({1, 0, 0, 0}) == "up-0");
  BOOST_TEST(cluster.upstreams().starts() == 1);
  cluster.Submit("entry-1", OneStepJob(2, 1, 1000));
  cluster.RunFor(Millis(1000));
  BOOST_TEST(!cluster.upstreams().HasRun(2));
  cluster.Cancel("entry-0", 1);
  cluster.RunFor(Millis(2000));
  BOOST_TEST(cluster.cancelled(1));
  BOOST_TEST(cluster.upstreams().UpstreamRunning({1, 0, 0, 0}) == "");
  BOOST_TEST(cluster.Violations().empty());
}

/// The upstream list contains an entry of a pool that neither a job nor the
/// configuration names. Calling it would mean calling an unrelated service, and
/// a new leader would wait 6 s for its inventory. The upstream is used once a
/// job or the configuration names its pool.
BOOST_AUTO_TEST_CASE(UpstreamOfUnreferencedPoolIsNotCalled) {
  JobCluster cluster({.upstreams = 2});
  wire::UpstreamRecord unreferenced = cluster.ListEntry(7);
  unreferenced.pool = "strange";
  cluster.upstreams().Add(unreferenced.id, 8000, 16000);
  cluster.store().Put(kUpstreamTable, unreferenced.id,
                      rpc::Encode(unreferenced));
  cluster.RunFor(Millis(3000));
  BOOST_TEST(!cluster.upstreams().WasCalled(unreferenced.id));
  BOOST_TEST(HasMalformedRecordCount(cluster, "upstream list", 1));
  wire::JobSpec job = OneStepJob(1, 1, 1000);
  job.queue.pool = "strange";
  cluster.Submit("entry-1", job);
  BOOST_TEST(cluster.RunUntilFinal(1, Millis(5000)));
  BOOST_TEST(cluster.upstreams().WasCalled(unreferenced.id));
  BOOST_TEST(cluster.Violations().empty());
}

/// An unreadable configuration follows the active one, and another arrives in
/// the same read as a valid one. The last valid configuration stays active, and
/// a later valid one is applied.
BOOST_AUTO_TEST_CASE(MalformedConfigurationKeepsCurrentOne) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  BOOST_TEST(ConfigVersion(cluster) == 1);
  for (int i = 0; i < 5; ++i) {
    cluster.store().Put(kConfigTable, "config", kMalformedBytes);
    cluster.RunFor(Millis(500));
  }
  BOOST_TEST(ConfigVersion(cluster) == 1);
  BOOST_TEST(HasMalformedRecordCount(cluster, "configuration", 1));
  cluster.store().Put(kConfigTable, "config", "2");
  cluster.store().Put(kConfigTable, "config", kMalformedBytes);
  cluster.RunFor(Millis(500));
  BOOST_TEST(ConfigVersion(cluster) == 2);
  cluster.store().Put(kConfigTable, "config", "3");
  cluster.RunFor(Millis(500));
  BOOST_TEST(ConfigVersion(cluster) == 3);
  for (const auto& name : cluster.names()) {
    BOOST_TEST(cluster.entry(name)->Ready());
  }
}

/// An external writer overwrites the record of the current leader. The leader
/// continues in its term and rewrites its record.
BOOST_AUTO_TEST_CASE(LeaderRewritesItsOverwrittenRecord) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  const std::string leader = cluster.Leader();
  const int64_t term = cluster.entry(leader)->leadership().term();
  cluster.store().Put(kLeaderTable, kLeaderKey, kMalformedBytes);
  cluster.RunFor(Millis(3000));
  BOOST_TEST(cluster.Leader() == leader);
  BOOST_TEST(cluster.entry(leader)->leadership().term() == term);
  BOOST_TEST(cluster.store().Records(kLeaderTable).at(kLeaderKey) !=
             kMalformedBytes);
  BOOST_TEST(HasMalformedRecordCount(cluster, "leaders", 1));
}

/// All entries lose power, and when they restart, the leader record is
/// unreadable or names an invalid leader. If the next leader started again from
/// the first term, it would be fenced once for each earlier term. If the record
/// were not tolerated, no entry would claim leadership at all. The next
/// leader's term must be above all earlier terms at once, and the job must
/// continue.
BOOST_AUTO_TEST_CASE(ElectionSucceedsDespiteMalformedLeaderRecord) {
  const auto record = [](int64_t term, const std::string& address) {
    wire::AnnounceCall out;
    out.term = term;
    out.leader.name = "stranger";
    out.leader.address = address;
    return rpc::Encode(out);
  };
  for (const std::string& bad :
       {kMalformedBytes, std::string("x"), record(0, "stranger:1"),
        record(-3, "stranger:1"), record(INT64_MAX, "stranger:1"),
        record(1LL << 53, "stranger:1"), record(1000000, "stranger:1"),
        record(3, "")}) {
    JobCluster cluster({});
    cluster.RunFor(Millis(2000));
    // Several terms, so that the first one is far below the last.
    for (int i = 0; i < 8; ++i) {
      cluster.Restart(cluster.Leader());
      cluster.RunFor(Millis(2500));
    }
    const int64_t before = cluster.entry(cluster.Leader())->leadership().term();
    cluster.upstreams().behavior({1, 0, 0, 0}).run_time = Millis(4000);
    cluster.Submit("entry-1", OneStepJob(1, 1, 1000));
    cluster.RunFor(Millis(300));
    KillAll(cluster);
    cluster.store().Put(kLeaderTable, kLeaderKey, bad);
    RestartAll(cluster);
    cluster.RunFor(Millis(2500));
    BOOST_TEST_CONTEXT("record of " << bad.size() << " bytes") {
      BOOST_REQUIRE(!cluster.Leader().empty());
      BOOST_TEST(cluster.entry(cluster.Leader())->leadership().term() > before);
      BOOST_TEST(cluster.RunUntilFinal(1, Millis(9000)));
      BOOST_TEST(cluster.upstreams().DoneRuns({1, 0, 0, 0}) == 1);
      BOOST_TEST(cluster.Violations().empty());
    }
  }
}

/// A record of an accepted job, or of its progress, was written in a form that
/// this version can't read. The job is not run, not dropped, and not accepted
/// as new when its caller submits it again. Its records stay unchanged, and the
/// other jobs run.
BOOST_AUTO_TEST_CASE(JobWithMalformedRecordIsNeitherLostNorRunTwice) {
  const JobId bad_id = 1;
  const JobId good_id = 2;
  wire::JobSpec empty;
  empty.id = static_cast<int64_t>(bad_id);
  wire::JobSpec other = OneStepJob(9, 1, 1000);
  wire::JobSpec huge = OneStepJob(bad_id, 1, 1000);
  huge.steps[0].estimate_ms = INT64_MAX;
  wire::ProgressRecord unknown_state;
  unknown_state.state = 77;
  wire::ProgressRecord unknown_task;
  unknown_task.tasks.emplace_back().task = 5;
  struct Row {
    char key_prefix;
    std::string value;
  };
  for (const Row& row :
       {Row{kSpecPrefix, kMalformedBytes}, Row{kSpecPrefix, rpc::Encode(empty)},
        Row{kSpecPrefix, rpc::Encode(other)},
        Row{kSpecPrefix, rpc::Encode(huge)},
        Row{kProgressPrefix, kMalformedBytes},
        Row{kProgressPrefix, rpc::Encode(unknown_state)},
        Row{kProgressPrefix, rpc::Encode(unknown_task)}}) {
    JobCluster cluster({});
    cluster.RunFor(Millis(2000));
    for (const JobId id : {bad_id, good_id}) {
      cluster.upstreams().behavior({id, 0, 0, 0}).run_time = Millis(1500);
      cluster.Submit("entry-1", OneStepJob(id, 1, 1000));
    }
    cluster.RunFor(Millis(300));
    BOOST_TEST(cluster.accepted(bad_id));
    KillAll(cluster);
    const std::string key = row.key_prefix + JobIdText(bad_id);
    cluster.store().Put(kJobTable, key, row.value);
    RestartAll(cluster);
    cluster.RunFor(Millis(3000));
    cluster.Submit("entry-2", OneStepJob(bad_id, 1, 1000));
    cluster.Cancel("entry-3", bad_id);
    BOOST_TEST_CONTEXT(row.key_prefix << " of " << row.value.size()
                                      << " bytes") {
      BOOST_TEST(cluster.RunUntilFinal(good_id, Millis(9000)));
      cluster.RunFor(Millis(5000));
      BOOST_TEST(cluster.upstreams().DoneRuns({good_id, 0, 0, 0}) == 1);
      BOOST_TEST(cluster.upstreams().starts() == 2);
      BOOST_TEST(cluster.answered(bad_id));
      BOOST_TEST(!cluster.refused(bad_id));
      BOOST_TEST(!cluster.cancelled(bad_id));
      BOOST_TEST(!cluster.State(bad_id).has_value());
      BOOST_TEST(cluster.store().Records(kJobTable).at(key) == row.value);
      BOOST_TEST(HasMalformedRecordCount(cluster, "jobs", 1));
      BOOST_TEST(cluster.Violations().empty());
    }
  }
}

/// A task ends while there is no leader, and afterwards the record of its job
/// is unreadable. The upstream discards the result once it has been
/// acknowledged, so a version that can read the record again must know the
/// result; otherwise it runs the task a second time. A task that still runs is
/// stopped, because the resources that it uses are unknown.
BOOST_AUTO_TEST_CASE(TaskEndsOfJobWithMalformedRecordAreKept) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  const TaskId ends{1, 0, 0, 0};
  const TaskId keeps_running{1, 0, 0, 1};
  const TaskId fails{1, 0, 0, 2};
  cluster.upstreams().behavior(ends).run_time = Millis(600);
  cluster.upstreams().behavior(keeps_running).run_time = Millis(20000);
  cluster.upstreams().behavior(fails) = {.run_time = Millis(600),
                                         .failing_runs = 1};
  cluster.Submit("entry-1", OneStepJob(1, 3, 1000));
  cluster.RunFor(Millis(300));
  BOOST_TEST(cluster.upstreams().starts() == 3);
  KillAll(cluster);
  cluster.RunFor(Millis(1000));
  const std::string key = kSpecPrefix + JobIdText(1);
  const std::string record = cluster.store().Records(kJobTable).at(key);
  cluster.store().Put(kJobTable, key, kMalformedBytes);
  RestartAll(cluster);
  cluster.RunFor(Millis(12000));
  BOOST_TEST(cluster.upstreams().UpstreamRunning(keeps_running) == "");
  BOOST_TEST(cluster.upstreams().starts() == 3);
  KillAll(cluster);
  cluster.store().Put(kJobTable, key, record);
  cluster.upstreams().behavior(keeps_running).run_time = Millis(500);
  RestartAll(cluster);
  BOOST_TEST(cluster.RunUntilFinal(1, Millis(20000)));
  BOOST_TEST(cluster.upstreams().DoneRuns(ends) == 1);
  BOOST_TEST(cluster.upstreams().DoneRuns(keeps_running) == 1);
  BOOST_TEST(cluster.upstreams().DoneRuns(fails) == 1);
  BOOST_TEST(cluster.upstreams().starts() == 5);
  BOOST_TEST(cluster.Violations().empty());
}

/// The job table contains a record of a kind that this version does not know.
/// The record is reported and left unchanged; the job runs.
BOOST_AUTO_TEST_CASE(RecordOfUnknownKindIsLeftUnchanged) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  cluster.upstreams().behavior({1, 0, 0, 0}).run_time = Millis(1500);
  cluster.Submit("entry-1", OneStepJob(1, 1, 1000));
  cluster.RunFor(Millis(300));
  KillAll(cluster);
  const std::string key = kUnknownKindPrefix + JobIdText(1);
  cluster.store().Put(kJobTable, key, kMalformedBytes);
  cluster.store().Put(kJobTable, std::string(1, kSpecPrefix), kMalformedBytes);
  RestartAll(cluster);
  BOOST_TEST(cluster.RunUntilFinal(1, Millis(9000)));
  BOOST_TEST(cluster.upstreams().DoneRuns({1, 0, 0, 0}) == 1);
  BOOST_TEST(cluster.store().Records(kJobTable).at(key) == kMalformedBytes);
  BOOST_TEST(HasMalformedRecordCount(cluster, "jobs", 2));
  BOOST_TEST(cluster.Violations().empty());
}

/// The registry record of an upstream that runs a task is unreadable, the
/// upstream is unreachable, and its list entry has expired. A new leader that
/// relied on the rest of the registry would start the task a second time while
/// its lease is still valid on that upstream.
BOOST_AUTO_TEST_CASE(NewLeaderWaitsOutLeasesOnMalformedRegistryRecord) {
  JobCluster cluster({.upstreams = 2});
  cluster.RunFor(Millis(2000));
  cluster.upstreams().behavior({1, 0, 0, 0}).run_time = Millis(20000);
  cluster.Submit("entry-1", OneStepJob(1, 1, 1000));
  cluster.RunFor(Millis(500));
  const std::string where = cluster.upstreams().UpstreamRunning({1, 0, 0, 0});
  BOOST_REQUIRE(!where.empty());
  KillAll(cluster);
  cluster.upstreams().faults(where).unreachable = true;
  cluster.store().Put(kUpstreamTable, where, "");
  cluster.store().Put(kJobTable, kUpstreamPrefix + where, kMalformedBytes);
  RestartAll(cluster);
  cluster.RunFor(Millis(9000));
  BOOST_TEST(cluster.upstreams().starts() == 2);
  BOOST_TEST(cluster.upstreams().UpstreamRunning({1, 0, 0, 0}) != where);
  BOOST_TEST(cluster.upstreams().UpstreamRunning({1, 0, 0, 0}) != "");
  BOOST_TEST(cluster.Violations().empty());
}

/// A peer sends impossible terms, submits invalid jobs, and answers with
/// unknown verdicts and states.
BOOST_AUTO_TEST_CASE(InvalidPeerMessagesAreIgnored) {
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  const std::string leader = cluster.Leader();
  jobentry::JobEntry& entry = *cluster.entry(leader);
  const int64_t term = entry.leadership().term();
  for (const int64_t invalid_term :
       {INT64_MIN, int64_t{-1}, int64_t{1} << 53, INT64_MAX}) {
    wire::HeartbeatCall heartbeat;
    heartbeat.term = invalid_term;
    entry.OnHeartbeat(heartbeat);
    wire::AnnounceCall call;
    call.term = invalid_term;
    call.leader.address = "stranger:1";
    for (const auto& name : cluster.names()) {
      cluster.entry(name)->OnAnnounce(call);
    }
  }
  wire::SubmitJobCall job;
  int32_t verdict = -1;
  entry.OnSubmit(
      job, cluster.clock().now(),
      [&](const wire::SubmitJobReply& reply) { verdict = reply.verdict; });
  BOOST_TEST(verdict ==
             static_cast<int32_t>(coordinator::JobVerdict::kRefused));
  wire::AdviseCall advise;
  advise.timeout_ms = INT64_MIN;
  entry.OnAdvise(advise, [](const wire::AdviseReply&) {});
  cluster.RunFor(Millis(2000));
  BOOST_TEST(cluster.Leader() == leader);
  BOOST_TEST(entry.leadership().term() == term);
  BOOST_TEST((coordinator::ToJobVerdict(99) ==
              coordinator::JobVerdict::kOutcomeUnknown));
  BOOST_TEST(
      (coordinator::ToJobVerdict(0) == coordinator::JobVerdict::kConfirmed));
}

}  // namespace mimosarail::jobsim
