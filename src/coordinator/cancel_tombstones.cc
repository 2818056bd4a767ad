#include "src/coordinator/cancel_tombstones.h"

#include <algorithm>
#include <utility>

#include "src/coordinator/job_table.h"
#include "src/libs/rpc/codec.h"
#include "tombstones_types.h"

namespace mimosarail::coordinator {
namespace {

/// Rooms beside those of the accounts: for queues whose calls need no key, and
/// for operators.
constexpr size_t kOtherRooms = 2;

/// Longest name of an account that fits into a record with others.
constexpr size_t kMaxAccountBytes = 64 << 10;
/// Most bytes that an id, and an account besides its name, take in a record.
constexpr size_t kEncodedIdBytes = 10;
constexpr size_t kEncodedAccountBytes = 16;

size_t NameBytes(const CancelTombstones::CallAccount& account) {
  return account ? account->size() : 0;
}

size_t GroupBytes(const CancelTombstones::CallAccount& account) {
  return kTombstoneGroupBytes + NameBytes(account);
}

Millis Since(TimePoint then, TimePoint now) {
  return std::chrono::duration_cast<Millis>(now - then);
}

}  // namespace

void CancelTombstones::SetLimits(size_t bytes, size_t accounts) {
  const size_t rooms = accounts == 0 ? 1 : accounts + kOtherRooms;
  room_bytes_ = bytes / rooms;
}

bool CancelTombstones::HasRoom(const CallAccount& account) const {
  if (NameBytes(account) > kMaxAccountBytes) return false;
  const auto found = accounts_.find(account);
  const size_t used = found == accounts_.end() ? 0 : found->second.bytes;
  return used + kTombstoneBytes + GroupBytes(account) <= room_bytes_;
}

Millis CancelTombstones::TimeToRoom(const CallAccount& account,
                                    TimePoint now) const {
  const auto oldest = std::find_if(
      records_.begin(), records_.end(),
      [&](const Record& record) { return record.ids.count(account) > 0; });
  if (oldest == records_.end()) return options_.retention;
  return std::max(Millis(0),
                  options_.retention - Since(oldest->last_added, now));
}

CancelTombstones::Record& CancelTombstones::OpenRecord(TimePoint now) {
  const bool open = last_is_open_ && !records_.empty() &&
                    now - records_.back().opened < options_.record_span &&
                    records_.back().encoded_bytes < options_.full_record_bytes;
  if (open) return records_.back();
  const int64_t number = LastNumber() + 1;
  records_.push_back({.key = TombstoneKey(options_.term, number),
                      .opened = now,
                      .last_added = now});
  last_is_open_ = true;
  return records_.back();
}

void CancelTombstones::AddToLast(JobId id, const CallAccount& account) {
  AccountTombstones& of_account = accounts_[account];
  const auto [newest, is_new] = of_account.records.emplace(id, LastNumber());
  if (!is_new && newest->second == LastNumber()) return;
  newest->second = LastNumber();
  Record& record = records_.back();
  const auto [group, is_new_group] = record.ids.try_emplace(account);
  group->second.push_back(id);
  record.encoded_bytes += kEncodedIdBytes;
  size_t bytes = kTombstoneBytes;
  if (is_new_group) {
    record.encoded_bytes += kEncodedAccountBytes + NameBytes(account);
    bytes += GroupBytes(account);
  }
  of_account.bytes += bytes;
  bytes_ += bytes;
  ++size_;
}

ports::KeyedRecord CancelTombstones::Add(JobId id, const CallAccount& account,
                                         TimePoint now) {
  Record& record = OpenRecord(now);
  record.last_added = now;
  AddToLast(id, account);
  wire::TombstoneRecord stored;
  for (const auto& [of_account, ids] : record.ids) {
    wire::CancelledJobs& jobs = stored.accounts.emplace_back();
    if (of_account) jobs.__set_account(*of_account);
    jobs.ids.assign(ids.begin(), ids.end());
  }
  return {.key = record.key, .value = rpc::Encode(stored)};
}

const CancelTombstones::Record* CancelTombstones::FindRecord(
    const AccountTombstones& tombstones, JobId id) const {
  const auto number = tombstones.records.find(id);
  if (number == tombstones.records.end()) return nullptr;
  return &records_[static_cast<size_t>(number->second - first_number_)];
}

std::optional<Millis> CancelTombstones::AgeOf(JobId id,
                                              const std::string& account,
                                              TimePoint now) const {
  for (const auto& [cancelled_by, tombstones] : accounts_) {
    const bool may_cancel =
        !cancelled_by || account.empty() || *cancelled_by == account;
    if (!may_cancel) continue;
    const Record* record = FindRecord(tombstones, id);
    if (record != nullptr) return Since(record->opened, now);
  }
  return std::nullopt;
}

bool CancelTombstones::Load(const ports::KeyedRecord& record, TimePoint now) {
  const auto stored = rpc::Decode<wire::TombstoneRecord>(record.value);
  if (!stored.ok()) return false;
  records_.push_back({.key = record.key, .opened = now, .last_added = now});
  last_is_open_ = false;
  for (const wire::CancelledJobs& jobs : stored.value().accounts) {
    const CallAccount account =
        jobs.__isset.account ? CallAccount(jobs.account) : std::nullopt;
    for (const int64_t id : jobs.ids) {
      AddToLast(static_cast<JobId>(id), account);
    }
  }
  return true;
}

void CancelTombstones::DropFirst() {
  for (const auto& [account, ids] : records_.front().ids) {
    AccountTombstones& of_account = accounts_.at(account);
    for (const JobId id : ids) {
      const auto newest = of_account.records.find(id);
      if (newest->second == first_number_) of_account.records.erase(newest);
    }
    const size_t bytes = ids.size() * kTombstoneBytes + GroupBytes(account);
    of_account.bytes -= bytes;
    bytes_ -= bytes;
    size_ -= ids.size();
    if (of_account.bytes == 0) accounts_.erase(account);
  }
  records_.pop_front();
  ++first_number_;
}

std::vector<std::string> CancelTombstones::DropExpired(TimePoint now) {
  std::vector<std::string> keys;
  while (!records_.empty() &&
         now - records_.front().last_added > options_.retention) {
    keys.push_back(records_.front().key);
    DropFirst();
  }
  return keys;
}

}  // namespace mimosarail::coordinator
