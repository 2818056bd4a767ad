#include "src/leadership/member_list.h"

#include <algorithm>

namespace mimosarail::leadership {

void MemberChanges::Join(const wire::Member& member) {
  const auto known = numbers_.find(member.name);
  if (known != numbers_.end() && changes_.at(known->second) == member) return;
  AddChange(member);
}

void MemberChanges::Leave(const std::string& name) {
  const auto known = numbers_.find(name);
  if (known == numbers_.end()) return;
  wire::Member removed = changes_.at(known->second);
  if (removed.removed) return;
  removed.removed = true;
  AddChange(removed);
}

void MemberChanges::AddChange(const wire::Member& member) {
  const auto known = numbers_.find(member.name);
  if (known != numbers_.end()) changes_.erase(known->second);
  numbers_[member.name] = ++last_number_;
  changes_.emplace(last_number_, member);
}

void MemberChanges::Clear() {
  last_number_ = 0;
  changes_.clear();
  numbers_.clear();
}

std::vector<wire::Member> MemberChanges::After(int64_t& known) const {
  std::vector<wire::Member> out;
  for (auto at = changes_.upper_bound(known);
       at != changes_.end() && out.size() < kMaxChangesPerReply; ++at) {
    out.push_back(at->second);
    known = at->first;
  }
  return out;
}

void KnownMembers::BeginTerm() {
  last_number_ = 0;
  for (auto& [name, known] : by_name_) known.reported_in_term = false;
}

void KnownMembers::Apply(const std::vector<wire::Member>& changes,
                         int64_t number) {
  last_number_ = std::max(last_number_, number);
  if (changes.empty()) return;
  for (const wire::Member& member : changes) {
    if (member.removed) {
      by_name_.erase(member.name);
    } else {
      by_name_[member.name] = {.member = member, .reported_in_term = true};
    }
  }
  Refresh();
}

void KnownMembers::RemoveFromEarlierTerms() {
  const size_t dropped = std::erase_if(by_name_, [](const auto& entry) {
    return !entry.second.reported_in_term;
  });
  if (dropped > 0) Refresh();
}

void KnownMembers::Assign(const std::vector<wire::Member>& members) {
  by_name_.clear();
  for (const wire::Member& member : members) {
    by_name_[member.name] = {.member = member};
  }
  Refresh();
}

void KnownMembers::Refresh() {
  all_.clear();
  for (const auto& [name, known] : by_name_) all_.push_back(known.member);
}

}  // namespace mimosarail::leadership
