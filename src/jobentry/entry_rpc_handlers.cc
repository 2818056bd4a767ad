#include "src/jobentry/entry_rpc_handlers.h"

namespace mimosarail::jobentry {
namespace {

/// Registers a handler that replies asynchronously.
template <typename Call, typename Reply>
void ServeAsync(rpc::Server& server, Executor& executor, rpc::Method method,
                JobEntry& entry,
                void (JobEntry::*handle)(const Call&,
                                         std::function<void(Reply)>)) {
  rpc::HandleTyped<Call, Reply>(
      server, executor, method,
      [&entry, handle](const Call& call, std::function<void(Reply)> reply) {
        (entry.*handle)(call, std::move(reply));
      });
}

/// Registers a handler that returns its reply.
template <typename Call, typename Reply>
void ServeSync(rpc::Server& server, Executor& executor, rpc::Method method,
               JobEntry& entry, Reply (JobEntry::*handle)(const Call&)) {
  rpc::HandleTyped<Call, Reply>(
      server, executor, method,
      [&entry, handle](const Call& call, std::function<void(Reply)> reply) {
        reply((entry.*handle)(call));
      });
}

}  // namespace

void RegisterEntryHandlers(rpc::Server& server, Executor& executor,
                           JobEntry& entry) {
  using rpc::Method;
  ServeSync(server, executor, Method::kHeartbeat, entry,
            &JobEntry::OnHeartbeat);
  ServeSync(server, executor, Method::kAnnounce, entry, &JobEntry::OnAnnounce);
  rpc::HandleTimed<wire::SubmitJobCall, wire::SubmitJobReply>(
      server, executor, Method::kSubmitJob,
      [&entry](wire::SubmitJobCall call, TimePoint received,
               std::function<void(wire::SubmitJobReply)> reply) {
        entry.OnSubmit(std::move(call), received, std::move(reply));
      });
  ServeAsync(server, executor, Method::kJobState, entry,
             &JobEntry::OnQueryState);
  ServeAsync(server, executor, Method::kCancelJob, entry, &JobEntry::OnCancel);
  ServeAsync(server, executor, Method::kPendingJobs, entry,
             &JobEntry::OnCountPending);
  ServeAsync(server, executor, Method::kAdvise, entry, &JobEntry::OnAdvise);
}

}  // namespace mimosarail::jobentry
