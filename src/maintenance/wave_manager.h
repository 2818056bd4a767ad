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

/// The scheduler's work on hosts, identified by their current upstreams.
/// Control thread only.
class HostWorkload {
 public:
  virtual ~HostWorkload() = default;
  /// Returns no work for an upstream that is not known.
  virtual HostWork WorkOn(const std::string& upstream) = 0;
  /// Free cores, in thousandths, on upstreams that take new work.
  virtual int64_t FreeMillicores() = 0;
  /// Cordons exactly these upstreams: they get no new work from now on.
  virtual void SetCordoned(const std::set<std::string>& upstreams) = 0;
  /// Stops the tasks that may continue elsewhere, with `all` the others as
  /// well. To be called until the upstream is empty.
  virtual void EvictTasks(const std::string& upstream, bool all) = 0;
  /// The upstream ended with all its tasks, and never comes back.
  virtual void OnUpstreamEnded(const std::string& upstream) = 0;
  /// Whether orders may be sent now.
  virtual bool MayOrder() = 0;
};

struct WaveManagerOptions {
  /// Name of this entry, and its term of leadership: the fencing token.
  std::string holder;
  int64_t term = 0;
  /// How long a host is away for its maintenance.
  Millis maintenance_duration{2000};
  /// Calls per second that the platform accepts from all entries together.
  double lists_per_s = 10;
  double orders_per_s = 10;
  /// Orders of two holders to the same host must be at least this far apart;
  /// closer ones count as alternating control. A new leader that finds stored
  /// orders of an earlier leader sends no order until this time has passed.
  Millis host_holder_timeout{3000};
  /// An order without an answer may take effect this much later; after that it
  /// counts as lost. Orders have taken effect at the platform up to 12 s late.
  Millis max_order_delay{15000};
};

/// Carries out maintenance waves for one term of a leader: reads the list of
/// hosts, drains them and orders their maintenance as DecideWave() decides,
/// records each order in the leader's journal before it is sent, and reports
/// the status of a wave to operators. Makes no call at all without an open
/// wave. Control thread only.
class WaveManager final : public std::enable_shared_from_this<WaveManager> {
 public:
  using Waves = std::map<int64_t, ports::WaveRequest>;

  /// The referenced objects must outlive the manager's last callback; there is
  /// none after Close().
  struct Dependencies {
    Executor& executor;
    ports::RecordStorePort& store;
    ports::HostPort& hosts;
    ports::WaveStatusPort& wave_status;
    /// The leader's own journal, which fences earlier leaders.
    std::shared_ptr<journal::Journal> journal;
    HostWorkload& workload;
    metrics::Registry& metrics;
    /// Returns the waves that operators have requested, as known now.
    std::function<const Waves&()> waves;
    /// Called when another leader is detected.
    std::function<void(const std::string& cause)> on_leadership_lost;
  };

  WaveManager(Dependencies deps, WaveManagerOptions options);

  /// Loads a record that an earlier leader stored; false if it does not decode.
  /// Precondition: not started.
  bool Load(const ports::KeyedRecord& record);
  void Start();
  void Close();

 private:
  struct Host {
    HostMaintenancePhase phase = HostMaintenancePhase::kPending;
    /// An order is being stored or sent, or its record is being removed; no
    /// further order is sent to the host.
    bool operation_pending = false;
    /// When the last order without an answer timed out; unset if no order can
    /// take effect later.
    std::optional<TimePoint> unanswered;
    /// No order is sent to the host before this.
    TimePoint retry_at{};
    TimePoint begun_at{};
    /// The upstream that ran on the host at the time of the order.
    std::string upstream;
    /// The journal holds a record of the host.
    bool recorded = false;
    /// `upstream` is proven to have ended.
    bool upstream_ended = false;
    std::optional<TimePoint> draining_since;
  };
  struct Wave {
    ports::WaveRequest request;
    /// The request has been seen; stored records of the wave may be loaded
    /// earlier.
    bool known = false;
    bool announced = false;
    bool complete = false;
    int64_t since_unix_ms = 0;
    std::map<std::string, Host> hosts;
    /// Summary of the last decision, so that only changes are logged.
    std::string logged_summary;
  };
  /// A host according to the last complete reading of the list.
  struct Listed {
    ports::HostEntry entry;
    /// Consecutive readings that did not contain the host.
    int missing = 0;
  };
  struct Reading {
    TimePoint begun{};
    std::map<std::string, ports::HostEntry> hosts;
  };

  void Tick();
  void AdoptNewWaves();
  bool HasOpenWave() const;
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
  /// A higher fencing token was seen: no more orders are sent.
  bool fenced_ = false;
  std::map<int64_t, Wave> waves_;
  std::map<std::string, Listed> listed_;
  bool list_known_ = false;
  bool reading_ = false;
  TimePoint read_at_{};
  TimePoint next_read_{};
  TimePoint next_order_{};
  Millis backoff_{0};
  std::set<std::string> cordoned_;
  std::shared_ptr<journal::Journal> status_;
};

}  // namespace mimosarail::maintenance
