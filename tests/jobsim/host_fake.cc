#include "tests/jobsim/host_fake.h"

#include <algorithm>
#include <memory>

#include "src/libs/rpc/codec.h"

namespace mimosarail::jobsim {
namespace {

using ports::HostState;
using ports::HostVerdict;

constexpr const char* kStatusTable = "status";
/// Small, so that a listing takes several pages.
constexpr size_t kPageHosts = 4;

std::string StatusKey(int64_t wave) { return "wave/" + std::to_string(wave); }

}  // namespace

void HostsFake::Add(const std::string& host, const std::string& upstream,
                    const wire::UpstreamRecord& record) {
  hosts_[host].upstream = upstream;
  hosts_[host].record = record;
}

void HostsFake::RequestWave(const ports::WaveRequest& wave) {
  waves_[wave.wave] = wave;
  store_.RequestWave(wave);
}

void HostsFake::TerminateUpstream(Host& host) {
  if (host.upstream.empty()) return;
  upstreams_.TerminateUpstream(host.upstream);
  store_.Put(kUpstreamTable, host.upstream, "");
  host.upstream.clear();
  ++host.incarnation;
}

void HostsFake::StartUpstream(const std::string& name, int incarnation) {
  const auto found = hosts_.find(name);
  if (found == hosts_.end() || found->second.incarnation != incarnation) return;
  Host& host = found->second;
  host.state = HostState::kUp;
  host.maintenance_wave = 0;
  wire::UpstreamRecord record = host.record;
  if (upstreams_.restarts_under_same_id()) {
    upstreams_.Restart(record.id);
    record.incarnation = upstreams_.Incarnation(record.id);
  } else {
    record.id = name + "-life" + std::to_string(incarnation);
    record.address = record.id + ":1";
    upstreams_.Add(record.id, record.millicores, record.memory_mb);
  }
  host.upstream = record.id;
  store_.Put(kUpstreamTable, host.upstream, rpc::Encode(record));
}

void HostsFake::Crash(const std::string& host,
                      std::optional<Millis> back_after) {
  const auto found = hosts_.find(host);
  if (found == hosts_.end() || found->second.state != HostState::kUp) return;
  TerminateUpstream(found->second);
  found->second.state = HostState::kDown;
  if (!back_after) return;
  clock_.At(clock_.now() + *back_after,
            [this, host, incarnation = found->second.incarnation] {
              StartUpstream(host, incarnation);
            });
}

void HostsFake::Leave(const std::string& host) {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return;
  TerminateUpstream(found->second);
  hosts_.erase(found);
}

std::string HostsFake::UpstreamOf(const std::string& host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? "" : found->second.upstream;
}

ports::HostPage HostsFake::List(const std::string& after) const {
  ports::HostPage out;
  for (auto at = hosts_.upper_bound(after); at != hosts_.end(); ++at) {
    if (out.hosts.size() == kPageHosts) {
      out.next_page_token = out.hosts.back().host;
      break;
    }
    if (faults_.unlisted.count(at->first) > 0) continue;
    out.hosts.push_back({.host = at->first,
                         .pool = at->second.record.pool,
                         .state = at->second.state,
                         .upstream = at->second.upstream});
  }
  return out;
}

void HostsFake::CheckHolder(Host& host, const ports::MaintenanceOrder& order,
                            TimePoint sent) {
  if (order.fence == host.fence && order.holder != host.holder) {
    violations_.push_back("two holders with the same fencing token: " +
                          order.host);
  }
  if (order.holder == host.holder) return;
  const bool alternates = order.holder == host.previous_holder &&
                          sent - host.holder_since < kHolderLease;
  if (alternates) violations_.push_back("holders alternate: " + order.host);
  host.previous_holder = host.holder;
  host.holder = order.holder;
  host.holder_since = sent;
}

ports::HostReply HostsFake::Begin(const ports::MaintenanceOrder& order,
                                  Millis transit_delay) {
  const bool late = transit_delay > Millis(0);
  const auto found = hosts_.find(order.host);
  if (found == hosts_.end()) return {.verdict = HostVerdict::kNoSuchHost};
  Host& host = found->second;
  const auto wave = waves_.find(order.wave);
  if (order.fence < host.fence) {
    const auto before = host.refused_tokens.find(order.holder);
    const bool reused =
        before != host.refused_tokens.end() && before->second == order.fence;
    if (reused && !late) {
      violations_.push_back("refused fencing token reused: " + order.host);
    }
    host.refused_tokens[order.holder] = order.fence;
    return {.verdict = HostVerdict::kFenced};
  }
  CheckHolder(host, order, clock_.now() - transit_delay);
  host.fence = order.fence;
  const auto includes_host = [&](const ports::WaveRequest& request) {
    return std::find(request.hosts.begin(), request.hosts.end(), order.host) !=
           request.hosts.end();
  };
  if (wave == waves_.end() || !includes_host(wave->second)) {
    return {.verdict = HostVerdict::kNotInWave};
  }
  if (host.begun.count(order.wave) > 0) return {.verdict = HostVerdict::kDone};
  if (host.state != HostState::kUp) return {.verdict = HostVerdict::kBusy};
  const auto away =
      std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& other) {
        return other.second.state == HostState::kMaintenance &&
               other.second.maintenance_wave == order.wave;
      });
  if (static_cast<size_t>(away) >= wave->second.max_unavailable) {
    violations_.push_back("too many hosts in maintenance at once: " +
                          order.host);
  }
  if (!late) {
    upstreams_.CheckTerminationAllowed(host.upstream);
    upstreams_.DropUnacknowledgedCompletions(host.upstream);
    if (upstreams_.Running(host.upstream) > 0) {
      violations_.push_back("maintenance began while tasks ran on the host: " +
                            order.host);
    }
  }
  ++begins_;
  host.begun.insert(order.wave);
  TerminateUpstream(host);
  host.state = HostState::kMaintenance;
  host.maintenance_wave = order.wave;
  clock_.At(clock_.now() + kMaintenanceTime + faults_.maintenance_overrun,
            [this, name = order.host, incarnation = host.incarnation] {
              StartUpstream(name, incarnation);
            });
  return {.verdict = HostVerdict::kDone};
}

std::set<std::string> HostsFake::Begun(int64_t wave) const {
  std::set<std::string> out;
  for (const auto& [name, host] : hosts_) {
    if (host.begun.count(wave) > 0) out.insert(name);
  }
  return out;
}

std::string HostsFake::Status(int64_t wave) {
  const auto& records = store_.Records(kStatusTable);
  const auto found = records.find(StatusKey(wave));
  return found == records.end() ? "" : found->second;
}

void HostsFake::CheckStatus() {
  for (const auto& [number, wave] : waves_) {
    if (Status(number) != "complete") continue;
    for (const std::string& name : wave.hosts) {
      const auto host = hosts_.find(name);
      if (host == hosts_.end() || host->second.begun.count(number) > 0) {
        continue;
      }
      violations_.push_back("wave reported complete without host " + name);
    }
  }
}

void HostClientFake::ListHosts(const std::string& after, Millis timeout,
                               Callback<ports::HostPage> done) {
  HostApiFaults& faults = hosts_.faults();
  hosts_.RecordCall(true);
  if (faults.down) {
    return executor_.RunAfter(timeout, [done] {
      done(Result<ports::HostPage>(Errc::kTimeout, "no answer"));
    });
  }
  if (faults.throttled_calls > 0) {
    --faults.throttled_calls;
    return executor_.RunAfter(faults.latency, [done] {
      done(Result<ports::HostPage>(Errc::kUnavailable, "answers 429"));
    });
  }
  // The reply shows the list as it was when the call arrived.
  auto page = std::make_shared<ports::HostPage>();
  hosts_.clock().At(hosts_.clock().now() + faults.latency / 2,
                    [this, after, page] { *page = hosts_.List(after); });
  executor_.RunAfter(faults.latency, [done, page] { done(*page); });
}

void HostClientFake::BeginMaintenance(
    const ports::MaintenanceOrder& order, Millis timeout,
    std::function<void(ports::HostReply)> done) {
  HostApiFaults& faults = hosts_.faults();
  hosts_.RecordCall(false);
  const auto time_out = [&] {
    executor_.RunAfter(timeout, [done] {
      done({.verdict = HostVerdict::kUnknown, .detail = "no answer"});
    });
  };
  if (faults.down) return time_out();
  if (faults.throttled_calls > 0) {
    --faults.throttled_calls;
    return executor_.RunAfter(faults.latency, [done] {
      done({.verdict = HostVerdict::kRefused, .detail = "429"});
    });
  }
  if (faults.delayed_orders > 0) {
    --faults.delayed_orders;
    hosts_.clock().At(hosts_.clock().now() + faults.execution_delay,
                      [this, order, transit_delay = faults.execution_delay] {
                        hosts_.Begin(order, transit_delay);
                      });
    return time_out();
  }
  const bool reply_dropped = faults.drop_replies > 0;
  if (reply_dropped) --faults.drop_replies;
  auto reply = std::make_shared<ports::HostReply>();
  hosts_.clock().At(hosts_.clock().now() + faults.latency / 2,
                    [this, order, reply] { *reply = hosts_.Begin(order); });
  if (reply_dropped) return time_out();
  executor_.RunAfter(faults.latency, [done, reply] { done(*reply); });
}

std::string HostClientFake::status_table() const { return kStatusTable; }

ports::KeyedRecord HostClientFake::EncodeStatus(
    int64_t wave, ports::WaveStatus status) const {
  return {StatusKey(wave), std::string(ports::kWaveStatusNames.Name(status))};
}

}  // namespace mimosarail::jobsim
