#define BOOST_TEST_MODULE large_jobs
#include <boost/test/unit_test.hpp>

#include "src/coordinator/job_table.h"
#include "src/jobs/job.h"
#include "src/libs/rpc/codec.h"
#include "tests/jobsim/job_cluster.h"
#include "tests/jobsim/log_fixture.h"

namespace mimosarail::jobsim {
namespace {

constexpr const char* kJobTable = "jobs";
constexpr JobId kLargeJob = 1;
constexpr int32_t kTasks = 1000;
const std::string kCheckpoint(400, 'c');

TaskId LargeTask(int32_t index) { return {kLargeJob, 0, 0, index}; }

/// Starts a job of 1,000 tasks that run for 10 s with checkpoints, which
/// together are larger than one record. One of the tasks fails after 2.5 s,
/// `failing_runs` times.
void StartLargeJob(JobCluster& cluster, const TaskId& failing,
                   int failing_runs) {
  constexpr Millis kRunTime{10000};
  wire::JobSpec spec = OneStepJob(kLargeJob, kTasks, 10);
  spec.steps[0].memory_mb = 1;
  spec.steps[0].estimate_ms = kRunTime.count();
  spec.steps[0].checkpoints = true;
  for (int32_t i = 0; i < kTasks; ++i) {
    cluster.upstreams().behavior(LargeTask(i)) = {.run_time = kRunTime,
                                                  .checkpoint = kCheckpoint};
  }
  cluster.upstreams().behavior(failing).run_time = Millis(2500);
  cluster.upstreams().behavior(failing).failing_runs = failing_runs;
  cluster.RunFor(Millis(2000));
  cluster.Submit("entry-0", spec);
  cluster.RunFor(Millis(2000));
  BOOST_REQUIRE_EQUAL(cluster.upstreams().starts(), kTasks);
}

int RecordsWithPrefix(JobCluster& cluster, char prefix) {
  int out = 0;
  for (const auto& [key, value] : cluster.store().Records(kJobTable)) {
    if (key[0] == prefix) ++out;
  }
  return out;
}

/// A job whose tasks are done, or have failures, crashes or checkpoints.
Job JobWithTaskStates(const wire::JobSpec& spec) {
  Job out(spec);
  for (int32_t i = 0; i < kTasks; ++i) {
    const TaskId id = LargeTask(i);
    if (i % 3 == 0) out.MutableTask(id).checkpoint = kCheckpoint;
    if (i % 5 == 0) out.CountFailure(id, 100000 + i);
    if (i % 7 == 0) {
      out.MutableTask(id).crashes.Add(
          {.attempt = 200000 + i,
           .upstream = "up-" + std::to_string(i),
           .silent_after = Millis(i % 2 == 0 ? 10 : 1000)});
    }
    if (i % 11 == 0) out.SetPhase(id, TaskPhase::kDone);
  }
  return out;
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

/// Guards against a journal that no job passes any more, because the store does
/// not take the record of one job with many checkpoints.
BOOST_AUTO_TEST_CASE(CheckpointsOfLargeJobDoNotBlockOtherJobs) {
  JobCluster cluster({});
  StartLargeJob(cluster, LargeTask(7), 1);
  cluster.RunFor(Millis(1500));
  cluster.Submit("entry-1", OneStepJob(2, 1, 100));
  BOOST_TEST(cluster.RunUntilFinal(2, Millis(5000)));
  BOOST_TEST(cluster.accepted(2));
  BOOST_TEST(cluster.RunUntilFinal(kLargeJob, Millis(30000)));
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

/// Guards against states of a large job's tasks that are lost with its leader:
/// a failed run that is not counted, or a checkpoint that is not used.
BOOST_AUTO_TEST_CASE(TaskStatesOfLargeJobSurviveTakeover) {
  JobCluster cluster({});
  const TaskId failing = LargeTask(700);
  StartLargeJob(cluster, failing, 2);
  cluster.RunFor(Millis(1500));
  BOOST_TEST(cluster.upstreams().Starts(failing) == 2);
  BOOST_TEST(cluster.upstreams().StartedFrom(failing) == kCheckpoint);
  BOOST_TEST(RecordsWithPrefix(cluster, coordinator::kProgressPartPrefix) > 0);
  for (const std::string& name : cluster.names()) cluster.Restart(name);
  BOOST_TEST(cluster.RunUntilFinal(kLargeJob, Millis(40000)));
  const auto state = cluster.State(kLargeJob);
  BOOST_TEST((state == JobState::kFailed));
  BOOST_TEST(cluster.upstreams().Starts(failing) == 2);
  cluster.RunFor(Millis(2000));
  BOOST_TEST(RecordsWithPrefix(cluster, coordinator::kProgressPartPrefix) == 0);
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

/// Guards against task states that are lost or changed when they are split over
/// several records.
BOOST_AUTO_TEST_CASE(PartsOfProgressRestoreJob) {
  const wire::JobSpec spec = OneStepJob(kLargeJob, kTasks, 10);
  const Job job = JobWithTaskStates(spec);
  wire::ProgressRecord merged = job.Progress();
  BOOST_TEST(merged.tasks.empty());
  for (size_t part = 0; part < job.progress_parts(); ++part) {
    const wire::ProgressRecord record = job.ProgressPart(part);
    BOOST_TEST(rpc::Encode(record).size() < coordinator::kMaxRecordBytes);
    merged.tasks.insert(merged.tasks.end(), record.tasks.begin(),
                        record.tasks.end());
  }
  Job restored(spec);
  restored.Restore(merged);
  BOOST_TEST((restored.Progress() == job.Progress()));
  for (size_t part = 0; part < job.progress_parts(); ++part) {
    BOOST_TEST((restored.ProgressPart(part) == job.ProgressPart(part)));
  }
}

/// Guards against a record that the store never takes: checkpoints are left out
/// before failures are.
BOOST_AUTO_TEST_CASE(OversizedCheckpointsAreLeftOut) {
  wire::ProgressRecord record;
  for (int32_t i = 0; i < 200; ++i) {
    wire::TaskRecord& task = record.tasks.emplace_back();
    task.task = i;
    task.checkpoint = std::string(2000, 'c');
    task.failed_attempts = {100001};
  }
  const std::string key = coordinator::ProgressKey(kLargeJob);
  const std::string value = coordinator::EncodeProgress(key, record);
  BOOST_TEST(coordinator::IsStorable(key, value));
  const auto stored = rpc::Decode<wire::ProgressRecord>(value);
  BOOST_REQUIRE(stored.ok());
  BOOST_REQUIRE_EQUAL(stored.value().tasks.size(), 200);
  BOOST_TEST(stored.value().tasks[199].failed_attempts ==
             std::vector<int64_t>({100001}));
}

/// Guards against a record of a closed upstream that the store never takes, and
/// against one that names only some of the jobs there.
BOOST_AUTO_TEST_CASE(OversizedClosureLeavesUpstreamOpen) {
  wire::UpstreamRecord record;
  record.id = "up-1";
  record.closed = true;
  for (int64_t i = 0; i < 20000; ++i) {
    record.jobs.push_back((int64_t{1} << 60) + i);
    wire::RunRecord& run = record.runs.emplace_back();
    run.task = TaskIdText({static_cast<JobId>(i), 0, 0, 0});
  }
  const std::string value = coordinator::EncodeUpstream(record);
  const std::string key = coordinator::UpstreamKey(record.id);
  BOOST_TEST(coordinator::IsStorable(key, value));
  const auto stored = rpc::Decode<wire::UpstreamRecord>(value);
  BOOST_REQUIRE(stored.ok());
  BOOST_TEST(!stored.value().closed);
  BOOST_TEST(stored.value().jobs.empty());
}

/// Guards against a job that runs on with failures forgotten, or is accepted as
/// a new one, because a part of its progress cannot be read.
BOOST_AUTO_TEST_CASE(JobWithUnreadablePartIsKept) {
  const std::string key = coordinator::ProgressPartKey(kLargeJob, 0);
  JobCluster cluster({});
  cluster.RunFor(Millis(2000));
  cluster.upstreams().behavior(LargeTask(0)).run_time = Millis(4000);
  cluster.Submit("entry-0", OneStepJob(kLargeJob, 1, 100));
  cluster.RunFor(Millis(200));
  BOOST_REQUIRE(cluster.accepted(kLargeJob));
  for (const std::string& name : cluster.names()) cluster.Kill(name);
  cluster.store().Put(kJobTable, key, "malformed");
  for (const std::string& name : cluster.names()) cluster.Restart(name);
  cluster.RunFor(Millis(5000));
  cluster.Submit("entry-1", OneStepJob(kLargeJob, 1, 100));
  cluster.RunFor(Millis(5000));
  BOOST_TEST(cluster.upstreams().starts() == 1);
  BOOST_TEST(cluster.upstreams().DoneRuns(LargeTask(0)) == 0);
  BOOST_TEST(cluster.store().Records(kJobTable).count(key) == 1);
  for (const std::string& what : cluster.Violations()) BOOST_ERROR(what);
}

/// Guards against keys that name another part, or none.
BOOST_AUTO_TEST_CASE(KeysOfProgressPartsAreParsed) {
  using coordinator::ParseProgressPartKey;
  const std::string key = coordinator::ProgressPartKey(0xabc, 12);
  const auto parsed = ParseProgressPartKey(key);
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->first == 0xabc);
  BOOST_TEST(parsed->second == 12);
  const std::string id = JobIdText(1);
  const std::vector<std::string> bad_keys{
      "",
      "n" + id,
      "n" + id + ".",
      "n" + id + ".x",
      "n" + id + ".1x",
      "n" + id + ".-1",
      "n" + id + ".99999999",
      "n.1",
      "p" + id + ".1",
      "n1234.1",
  };
  for (const std::string& bad : bad_keys) {
    BOOST_TEST(!ParseProgressPartKey(bad).has_value(), bad);
  }
}

}  // namespace mimosarail::jobsim
