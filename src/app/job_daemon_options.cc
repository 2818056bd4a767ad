#include "src/app/job_daemon_options.h"

#include <algorithm>

#include "src/coordinator/memory_budget.h"
#include "src/leadership/leader_fitness.h"

namespace mimosarail::app {
namespace {

using settings::JobSettings;

/// Fractional settings are stored as hundredths of their unit.
constexpr double kHundredthsPerUnit = 100;
constexpr int64_t kMsPerCentisecond = 10;
constexpr int64_t kBytesPerMb = 1 << 20;
/// 0.01 Mbit in bytes.
constexpr int64_t kBytesPerCentiMbit = 1250;
/// Time reserved at shutdown for the last answers to reach callers.
constexpr Millis kLastAnswerTime{700};

scheduling::SchedulerOptions MakeSchedulerOptions(const JobSettings& s) {
  return {.queue_order = scheduling::kQueueOrderNames.Find(s.queue_order)
                             .value_or(scheduling::QueueOrder::kPriority),
          .priority_price = static_cast<double>(s.priority_price_percent) /
                            kHundredthsPerUnit,
          .upstream_speed_spread =
              static_cast<double>(s.upstream_speed_spread_percent) /
              kHundredthsPerUnit};
}

int64_t MemoryBytes(const JobSettings& s) {
  const int64_t memory_mb =
      s.memory_mb > 0 ? s.memory_mb : coordinator::kDefaultMemoryMb;
  return memory_mb * kBytesPerMb;
}

/// Memory that the frames of other entries may take while they are received.
size_t FrameMemoryBytes(const JobSettings& s) {
  constexpr int64_t kDivisor = 8;
  return static_cast<size_t>(MemoryBytes(s) / kDivisor);
}

}  // namespace

jobentry::JobEntryOptions MakeJobEntryOptions(const JobSettings& s) {
  jobentry::JobEntryOptions out;
  out.leadership.member.name = s.name;
  out.leadership.member.address = s.peer_address;
  out.leadership.member.memory_mb = static_cast<int32_t>(s.memory_mb);
  out.leadership.seeds = s.seeds;
  out.leadership.heartbeat_interval = Millis(s.heartbeat_interval_ms);
  out.leadership.leader_suspect_after = Millis(s.leader_suspect_after_ms);
  out.leadership.renew_period = Millis(s.renew_ms);
  out.leadership.election_timeout = Millis(s.election_timeout_ms);
  out.leadership.store_unreachable_after = Millis(s.store_unreachable_after_ms);
  out.leadership.leader_lease = Millis(s.leader_lease_ms);
  out.leadership.member.fitness = leadership::LeaderFitness(
      s.cpu_percent,
      static_cast<double>(s.link_centi_mbps) / kHundredthsPerUnit);
  out.coordinator.scheduler = MakeSchedulerOptions(s);
  out.coordinator.admission =
      coordinator::kAdmissionPolicyNames.Find(s.admission)
          .value_or(coordinator::AdmissionPolicy::kCapacity);
  out.coordinator.link_kb_per_s = LinkBytesPerS(s) / 1000;
  out.coordinator.task_leases = {
      .lease = Millis(std::min(s.lease_ms, s.max_lease_ms)),
      .max_lease = Millis(s.max_lease_ms),
      .max_call_delay = Millis(s.max_call_delay_ms)};
  out.coordinator.upstream_list_period = Millis(s.upstream_list_period_ms);
  out.coordinator.maintenance_duration =
      Millis(s.maintenance_duration_centis * kMsPerCentisecond);
  out.coordinator.host_lists_per_s =
      static_cast<double>(s.host_lists_per_100_s) / kHundredthsPerUnit;
  out.coordinator.host_orders_per_s =
      static_cast<double>(s.host_orders_per_100_s) / kHundredthsPerUnit;
  out.coordinator.host_holder_timeout = Millis(s.holder_lease_ms);
  out.coordinator.max_jobs = static_cast<size_t>(s.max_jobs);
  out.access.revocation_timeout = Millis(s.revocation_timeout_ms);
  out.leader_wait_timeout = Millis(s.leader_wait_timeout_ms);
  out.shutdown_reply_timeout = Millis(s.shutdown_ms) - kLastAnswerTime;
  return out;
}

rpc::ServerOptions MakePeerServerOptions(const JobSettings& s,
                                         metrics::Traffic& traffic,
                                         metrics::Registry& metrics) {
  // Twice the largest body that operators may allow for a submission.
  constexpr size_t kMaxFrameBytes = 8 << 20;
  // Four times the steps of a job; advice is asked about 100 upstreams at a
  // time.
  constexpr int32_t kMaxListElements = 4096;
  // The buffer of a frame is up to twice as large.
  const size_t frame_memory_bytes = FrameMemoryBytes(s);
  return {.traffic = &traffic,
          .metrics = &metrics,
          .send_buffer_bytes = SendBufferBytes(s),
          .call_memory_bytes = frame_memory_bytes,
          .max_frame_bytes = static_cast<uint32_t>(
              std::min(kMaxFrameBytes, frame_memory_bytes / 2)),
          .max_list_elements = kMaxListElements,
          .frame_memory_bytes = frame_memory_bytes};
}

int64_t LinkBytesPerS(const JobSettings& s) {
  return s.link_centi_mbps * kBytesPerCentiMbit;
}

int SendBufferBytes(const JobSettings& s) {
  constexpr int64_t kBufferTimeMs = 50;
  constexpr int64_t kMinBytes = 16 << 10;
  constexpr int64_t kMaxBytes = 128 << 10;
  const int64_t bytes = LinkBytesPerS(s) * kBufferTimeMs / 1000;
  if (bytes == 0 || bytes > kMaxBytes) return 0;
  return static_cast<int>(std::max(bytes, kMinBytes));
}

size_t RequestMemoryBytes(const JobSettings& s) {
  constexpr int64_t kDefaultDivisor = 8;
  if (s.request_memory_mb > 0) {
    return static_cast<size_t>(s.request_memory_mb * kBytesPerMb);
  }
  return static_cast<size_t>(MemoryBytes(s) / kDefaultDivisor);
}

int ReceiveBufferBytes(const JobSettings& s) {
  constexpr int64_t kDefaultDivisor = 8;
  constexpr int64_t kMinBytes = 4 << 10;
  constexpr int64_t kMaxBytes = 64 << 10;
  constexpr int64_t kBytesPerKb = 1 << 10;
  if (s.receive_buffer_kb > 0) {
    return static_cast<int>(s.receive_buffer_kb * kBytesPerKb);
  }
  const int64_t bytes = MemoryBytes(s) / kDefaultDivisor / s.max_connections;
  return static_cast<int>(std::clamp(bytes, kMinBytes, kMaxBytes));
}

}  // namespace mimosarail::app
