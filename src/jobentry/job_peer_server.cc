#include "src/jobentry/job_peer_server.h"

namespace mimosarail::jobentry {
namespace {

/// Serves a call whose answer comes later.
template <typename Call, typename Reply>
void Serve(rpc::Server& server, Executor& executor, rpc::Method method,
           JobEntry& entry,
           void (JobEntry::*handle)(const Call&, std::function<void(Reply)>)) {
  rpc::HandleTyped<Call, Reply>(
      server, executor, method,
      [&entry, handle](const Call& call, std::function<void(Reply)> reply) {
        (entry.*handle)(call, std::move(reply));
      });
}

/// Serves a call that is answered at once.
template <typename Call, typename Reply>
void ServeNow(rpc::Server& server, Executor& executor, rpc::Method method,
              JobEntry& entry, Reply (JobEntry::*handle)(const Call&)) {
  rpc::HandleTyped<Call, Reply>(
      server, executor, method,
      [&entry, handle](const Call& call, std::function<void(Reply)> reply) {
        reply((entry.*handle)(call));
      });
}

}  // namespace

void ServeJobPeers(rpc::Server& server, Executor& executor, JobEntry& entry) {
  using rpc::Method;
  ServeNow(server, executor, Method::kHeartbeat, entry, &JobEntry::OnHeartbeat);
  ServeNow(server, executor, Method::kAnnounce, entry, &JobEntry::OnAnnounce);
  Serve(server, executor, Method::kSubmitJob, entry, &JobEntry::OnSubmit);
  Serve(server, executor, Method::kJobState, entry, &JobEntry::OnState);
  Serve(server, executor, Method::kCancelJob, entry, &JobEntry::OnCancel);
  Serve(server, executor, Method::kPendingJobs, entry, &JobEntry::OnPending);
  Serve(server, executor, Method::kAdvise, entry, &JobEntry::OnAdvise);
}

}  // namespace mimosarail::jobentry
