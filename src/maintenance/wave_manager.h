#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/journal/journal.h"
#include "src/libs/metrics/metrics.h"
#include "src/maintenance/wave_plan.h"
#include "src/maintenance/wave_records.h"
#include "src/ports/host_port.h"

namespace mimosarail::maintenance {

/// What the scheduler runs on hosts, by the upstreams that they are now.
/// Control thread only.
class HostWorkload {
 public:
  virtual ~HostWorkload() = default;
  /// Nothing runs on an upstream that is not known.
  virtual HostWork WorkOn(const std::string& upstream) = 0;
  /// Free cores, in thousandths, on upstreams that take new work.
  virtual int64_t FreeMillicores() = 0;
  /// From now on exactly these get no new work.
  virtual void SetCordoned(const std::set<std::string>& upstreams) = 0;
  /// Stops what may go on elsewhere, or with `all` what may not as well; to be
  /// called until the upstream is empty.
  virtual void EvictTasks(const std::string& upstream, bool all) = 0;
  /// The upstream ended with all that ran there, and never comes back.
  virtual void OnUpstreamEnded(const std::string& upstream) = 0;
  /// Whether orders may be given now.
  virtual bool MayOrder() = 0;
};

struct WaveManagerOptions {
  /// Name of this entry, and the number of its office: the fencing token.
  std::string holder;
  int64_t term = 0;
  /// How long a host is away for its upkeep.
  Millis maintenance_duration{2000};
  /// Calls a second that the platform takes from all entries together.
  double lists_per_s = 10;
  double orders_per_s = 10;
  /// Two holders that order one host within this count as taking turns: a new
  /// leader that finds orders of an earlier one gives none before it.
  Millis previous_holder_timeout{3000};
  /// An order without an answer may act this much later; beyond it, it is
  /// taken for lost. The platform's orders were seen up to 12 s late.
  Millis max_order_delay{15000};
};

/// Carries out maintenance waves for one term of a leader: reads the list of
/// hosts, drains and sends them as DecideWave() says, keeps what it ordered in
/// the leader's journal before each order, and tells operators how far a wave
/// is. Without an open wave it makes no call at all. Control thread only.
class WaveManager final : public std::enable_shared_from_this<WaveManager> {
 public:
  using Waves = std::map<int64_t, ports::WaveRequest>;

  /// All outlive the keeper's last callback; after Close() there is none.
  struct Dependencies {
    Executor& executor;
    ports::RecordStorePort& store;
    ports::HostPort& hosts;
    ports::WaveStatusPort& wave_status;
    /// The leader's own, which fences earlier leaders.
    std::shared_ptr<journal::Journal> journal;
    HostWorkload& workload;
    metrics::Registry& metrics;
    /// The waves that operators ask for, as known now.
    std::function<const Waves&()> waves;
    /// Another leader was found.
    std::function<void(const std::string& cause)> on_leadership_lost;
  };

  WaveManager(Dependencies deps, WaveManagerOptions options);

  /// Takes over what an earlier leader kept; false if it does not decode.
  /// Precondition: not started.
  bool Load(const ports::KeyedRecord& record);
  void Start();
  void Close();

 private:
  struct Host {
    HostMaintenancePhase progress = HostMaintenancePhase::kPending;
    bool in_flight = false;
    /// When an order without an answer was last given up; nothing if no order
    /// can act later.
    std::optional<TimePoint> unanswered;
    /// Nothing is sent before this.
    TimePoint retry_at{};
    TimePoint begun_at{};
    /// The upstream that it was when it was ordered.
    std::string upstream;
    /// The journal holds a record of it.
    bool recorded = false;
    /// The upstream that it was when it was ordered has surely ended.
    bool upstream_ended = false;
    std::optional<TimePoint> draining_since;
  };
  struct Wave {
    ports::WaveRequest request;
    /// The request has been seen; what was kept of it may be loaded earlier.
    bool known = false;
    bool announced = false;
    bool complete = false;
    int64_t since_unix_ms = 0;
    std::map<std::string, Host> hosts;
    /// The last decision, so that only changes are logged.
    std::string logged;
  };
  /// A host as the last whole reading of the list told it.
  struct Listed {
    ports::HostEntry entry;
    /// Readings in a row that did not hold it.
    int missing = 0;
  };
  struct Reading {
    TimePoint begun{};
    std::map<std::string, ports::HostEntry> hosts;
  };

  void Tick();
  void TakeWaves();
  bool AnyOpen() const;
  void ReadListIfDue();
  bool ListDue() const;
  void ReadPage(const std::string& after, std::shared_ptr<Reading> reading);
  void OnPage(const ports::HostPage& page, std::shared_ptr<Reading> reading);
  void OnList(const Reading& reading);
  void RecordReturned(Wave& wave, TimePoint read_from);
  void RecordUpstreamEnded(const std::string& name, Host& host);
  const Listed* FindListed(const std::string& host) const;

  WaveView View(const Wave& wave) const;
  HostView ViewOf(const std::string& name, const Host& host) const;
  void SetCordoned(const std::set<std::string>& upstreams);
  void ForgetLostOrders(Wave& wave);
  void ApplyDecision(Wave& wave, std::set<std::string>& cordoned);
  void Drain(Wave& wave, const WaveDecision& decision,
             std::set<std::string>& cordoned);
  void Log(Wave& wave, const WaveView& view, const WaveDecision& decision);
  void Order(Wave& wave, const std::string& name);
  void Send(int64_t wave, const std::string& name);
  void OnReply(int64_t wave, const std::string& name,
               const ports::HostReply& reply);
  void Release(int64_t wave, const std::string& name);
  void BackOff();
  void Announce(Wave& wave);
  void Complete(Wave& wave);
  journal::Journal& StatusWriter();
  HostRecord RecordOf(const Wave& wave, const std::string& name) const;

  Dependencies deps_;
  WaveManagerOptions options_;
  bool closed_ = false;
  /// A higher fencing token was seen: nothing is ordered any more.
  bool fenced_ = false;
  std::map<int64_t, Wave> waves_;
  std::map<std::string, Listed> listed_;
  bool list_known_ = false;
  bool reading_ = false;
  TimePoint read_at_{};
  TimePoint next_read_{};
  TimePoint next_order_{};
  Millis pause_{0};
  std::set<std::string> cordoned_;
  std::shared_ptr<journal::Journal> status_;
};

}  // namespace mimosarail::maintenance
