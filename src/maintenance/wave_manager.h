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

/// The part of the scheduler that maintenance needs: the tasks on hosts, each
/// host identified by its current upstream. Control thread only.
class HostWorkload {
 public:
  virtual ~HostWorkload() = default;
  /// Returns a HostWork with `known` false for an unknown upstream.
  virtual HostWork WorkOn(const std::string& upstream) = 0;
  /// Free cores, in thousandths, on upstreams that take new tasks.
  virtual int64_t FreeMillicores() = 0;
  /// Cordons exactly these upstreams, which get no new tasks from now on, and
  /// uncordons all others.
  virtual void SetCordoned(const std::set<std::string>& upstreams) = 0;
  /// Stops the tasks that may continue elsewhere; with `all`, the others as
  /// well. Must be called repeatedly until no task is left on the upstream.
  virtual void EvictTasks(const std::string& upstream, bool all) = 0;
  /// The upstream has ended with all its tasks. It never comes back under this
  /// id, unless upstreams report their incarnation.
  virtual void OnUpstreamEnded(const std::string& upstream) = 0;
  /// Whether maintenance orders may be sent now.
  virtual bool MayOrderMaintenance() = 0;
};

struct WaveManagerOptions {
  /// Name of this entry, sent with each order.
  std::string holder;
  /// Term of this leader; serves as the fencing token of its orders.
  int64_t term = 0;
  /// How long a host is away for its maintenance.
  Millis maintenance_duration{2000};
  /// Rates of list calls and of orders that the platform accepts from all
  /// entries together.
  double lists_per_s = 10;
  double orders_per_s = 10;
  /// Minimum time between orders of two holders to the same host; closer ones
  /// count as alternating control. A new leader that finds stored orders of an
  /// earlier leader sends no order until this time has passed.
  Millis host_holder_timeout{3000};
  /// Time after which an order without an answer counts as lost. The platform
  /// has carried out orders up to 12 s late.
  Millis max_order_delay{15000};
};

/// Carries out maintenance waves for one term of a leader. It reads the list of
/// hosts, and drains hosts and orders their maintenance as DecideWave()
/// decides. Each order is recorded in the leader's journal before it is sent,
/// and the status of a wave is reported to operators. Sends nothing to the
/// platform while no wave is open. Control thread only.
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
    /// Called when a later leader is detected.
    std::function<void(const std::string& cause)> on_leadership_lost;
  };

  WaveManager(Dependencies deps, WaveManagerOptions options);

  /// Loads a record that an earlier leader stored; returns false if it is
  /// malformed. Precondition: not started.
  bool Load(const ports::KeyedRecord& record);
  void Start();
  void Close();

 private:
  struct Host {
    HostMaintenancePhase phase = HostMaintenancePhase::kPending;
    /// An order is being stored or sent, or its record is being removed; no
    /// further order is sent to the host.
    bool operation_pending = false;
    /// When the newest order without an answer timed out; unset if no order in
    /// doubt can still take effect.
    std::optional<TimePoint> unanswered_at;
    /// No order is sent to the host before this.
    TimePoint retry_at{};
    TimePoint begun_at{};
    /// The upstream that ran on the host at the time of the order.
    std::string upstream;
    /// The journal contains a record of the host.
    bool has_record = false;
    /// The host list has proven that `upstream` has ended.
    bool upstream_ended = false;
    std::optional<TimePoint> draining_since;
  };
  struct Wave {
    ports::WaveRequest request;
    /// `request` is set. Stored records of the wave may be loaded earlier.
    bool requested = false;
    /// The status "running" is, or is being, reported to operators.
    bool running_reported = false;
    bool complete = false;
    int64_t first_seen_unix_ms = 0;
    std::map<std::string, Host> hosts;
    /// Summary of the last decision, so that only changes are logged.
    std::string logged_summary;
  };
  /// A host as it was last listed, or a host of a wave that is not listed.
  struct ListedHost {
    ports::HostEntry entry;
    /// Number of consecutive complete readings without the host, up to the
    /// last one.
    int missed_readings = 0;
  };
  /// One reading of the list, page by page.
  struct ListReading {
    TimePoint begun_at{};
    std::map<std::string, ports::HostEntry> hosts;
  };

  void Tick();
  void AdoptRequestedWaves();
  bool HasOpenWave() const;
  void ReadListIfDue();
  bool IsListReadDue() const;
  void ReadPage(const std::string& after, std::shared_ptr<ListReading> reading);
  void OnPage(const ports::HostPage& page,
              std::shared_ptr<ListReading> reading);
  void OnList(const ListReading& reading);
  void RecordCompletedMaintenance(Wave& wave, TimePoint read_begun_at);
  void RecordUpstreamEnded(const std::string& name, Host& host);
  const ListedHost* FindListed(const std::string& host) const;
  bool IsRemoved(const ListedHost& listed) const;

  WaveView BuildWaveView(const Wave& wave) const;
  HostView BuildHostView(const std::string& name, const Host& host) const;
  void SetCordoned(const std::set<std::string>& upstreams);
  void ResetLostOrders(Wave& wave);
  void ApplyDecision(Wave& wave, std::set<std::string>& cordoned);
  void ApplyDrains(Wave& wave, const WaveDecision& decision,
                   std::set<std::string>& cordoned);
  void LogDecision(Wave& wave, const WaveView& view,
                   const WaveDecision& decision);
  void OrderMaintenance(Wave& wave, const std::string& name);
  void SendOrder(int64_t wave, const std::string& name);
  void OnOrderReply(int64_t wave, const std::string& name,
                    const ports::HostReply& reply);
  void ResetToPending(int64_t wave, const std::string& name);
  void IncreaseBackoff();
  void ReportRunning(Wave& wave);
  void ReportComplete(Wave& wave);
  journal::Journal& StatusJournal();
  HostRecord RecordOf(const Wave& wave, const std::string& name) const;

  Dependencies deps_;
  WaveManagerOptions options_;
  bool closed_ = false;
  /// A higher fencing token was seen: no more orders are sent.
  bool fenced_ = false;
  std::map<int64_t, Wave> waves_;
  std::map<std::string, ListedHost> listed_hosts_;
  bool list_read_once_ = false;
  bool list_read_in_progress_ = false;
  /// When the last complete reading ended.
  TimePoint list_read_at_{};
  TimePoint next_list_read_at_{};
  TimePoint next_order_at_{};
  Millis backoff_{0};
  /// Upstreams that this manager has cordoned.
  std::set<std::string> cordoned_;
  /// Writes the statuses for operators; null until the first one.
  std::shared_ptr<journal::Journal> status_journal_;
};

}  // namespace mimosarail::maintenance
