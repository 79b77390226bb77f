#include "member_table.h"

#include <algorithm>
#include <utility>

namespace plantain {
namespace {

// Clocks of two VMs differ by less than this. An incarnation further ahead is invalid; accepting it would make all
// heartbeats of the real member look old.
constexpr std::chrono::microseconds kMaxClockLead = std::chrono::minutes(10);
// Sequences increase at most once per interval, apart from a few increments caused by questions. A sequence further
// ahead is invalid; accepting it would make the member's real heartbeats look old.
constexpr Duration kMinSequenceInterval = std::chrono::milliseconds(10);
constexpr uint64_t kSequenceSlack = 20;
// A live member is relayed at least this often even if nothing changes, so that observers that only know it through
// relays can detect its silence.
constexpr Duration kRelayRenewalInterval = std::chrono::minutes(2);
// Time without a heartbeat after which a member known through others becomes suspect although no observer claims so.
constexpr Duration kIndirectSuspect = 5 * kRelayRenewalInterval;
constexpr Duration kIndirectDead = 10 * kRelayRenewalInterval;

// Returns whether a limit changed by more than half, so that it is relayed before the next renewal.
bool IsLimitChanged(uint32_t before, uint32_t after) {
  const uint32_t larger = std::max(before, after);
  const uint32_t smaller = std::min(before, after);
  return larger - smaller > larger / 2;
}

}  // namespace

MemberTable::MemberTable(const Clock& clock, MemberTableOptions options)
    : m_clock(clock), m_options(std::move(options)) {}

void MemberTable::SetTimeouts(Duration suspect, Duration dead) {
  m_options.suspect = suspect;
  m_options.dead = dead;
}

void MemberTable::SetVmList(const std::vector<VmListRow>& rows) {
  for (auto& [vm, record] : m_records) record.is_listed = false;
  for (const VmListRow& row : rows) {
    Record& record = m_records[row.vm];
    MemberInfo& info = record.info;
    info.vm = row.vm;
    record.is_listed = true;
    const bool is_same = info.zone == row.zone && info.region == row.region && info.pool == row.pool &&
                         info.kind == row.kind && info.address == row.address;
    if (row.is_leaving && !record.is_listed_leaving) record.leaving_since = m_clock.GetWallTime();
    if (!is_same || row.is_leaving != record.is_listed_leaving) m_pending_change = PendingChange::kState;
    record.is_listed_leaving = row.is_leaving;
    info.zone = row.zone;
    info.region = row.region;
    info.pool = row.pool;
    info.kind = row.kind;
    info.address = row.address;
    // Tick updates the other members, because it also marks their changes for relaying.
    if (!record.has_heartbeat) UpdateState(record);
  }
  RemoveUnlisted();
  Tick();
}

void MemberTable::RemoveUnlisted() {
  for (auto it = m_records.begin(); it != m_records.end();) {
    const Record& record = it->second;
    const bool is_gone = !record.is_listed && !record.has_heartbeat;
    if (is_gone) m_pending_change = PendingChange::kState;
    it = is_gone ? m_records.erase(it) : std::next(it);
  }
}

void MemberTable::SetZoneSummaries(std::vector<ZoneSummaryInfo> zones) {
  m_zones = std::move(zones);
  m_pending_change = PendingChange::kState;
}

void MemberTable::SetSeedAddress(const VmId& vm, const IpAddress& address) {
  const auto found = m_records.find(vm);
  if (found == m_records.end() || found->second.is_listed || found->second.info.address == address) return;
  found->second.info.address = address;
  m_pending_change = PendingChange::kState;
}

const MemberInfo* MemberTable::FindMember(const VmId& vm) const {
  const auto found = m_records.find(vm);
  return found == m_records.end() ? nullptr : &found->second.info;
}

void MemberTable::SetSelf(const MemberHeartbeat& self) {
  Record& record = m_records[m_options.self];
  record.info.vm = m_options.self;
  if (record.info.address.IsEmpty()) record.info.address = m_options.address;
  Merge(self, m_options.self, record);
}

HeartbeatVerdict MemberTable::HandleHeartbeat(const MemberHeartbeat& heartbeat, const VmId& from) {
  const bool is_claim = heartbeat.state == MemberState::kSuspect || heartbeat.state == MemberState::kDead;
  if (heartbeat.is_question || is_claim) return HandleClaim(heartbeat, from);
  if (heartbeat.vm == m_options.self) return HeartbeatVerdict::kRefusedSelf;
  const auto latest = m_clock.GetWallTime().time_since_epoch() + kMaxClockLead;
  if (heartbeat.incarnation.Get() > static_cast<uint64_t>(latest.count())) return HeartbeatVerdict::kRefusedFuture;
  const auto found = m_records.find(heartbeat.vm);
  if (found == m_records.end() && m_unlisted_count >= m_options.max_unlisted) return HeartbeatVerdict::kRefusedFull;
  if (found == m_records.end()) {
    ++m_unlisted_count;
    m_records[heartbeat.vm].info.vm = heartbeat.vm;
  }
  Record& record = m_records[heartbeat.vm];
  if (record.has_heartbeat && !IsNewer(heartbeat, record)) return HeartbeatVerdict::kStale;
  if (!IsSequencePlausible(heartbeat, record)) return HeartbeatVerdict::kRefusedFuture;
  return Merge(heartbeat, from, record);
}

bool MemberTable::IsNewer(const MemberHeartbeat& heartbeat, const Record& record) const {
  return std::pair(heartbeat.incarnation, heartbeat.sequence) >
         std::pair(record.last_heartbeat.incarnation, record.last_heartbeat.sequence);
}

bool MemberTable::IsSequencePlausible(const MemberHeartbeat& heartbeat, const Record& record) const {
  if (!record.has_heartbeat || heartbeat.incarnation != record.last_heartbeat.incarnation) return true;
  const auto elapsed = static_cast<uint64_t>((m_clock.GetNow() - record.last_heartbeat_at) / kMinSequenceInterval);
  return heartbeat.sequence <= record.last_heartbeat.sequence + kSequenceSlack + elapsed;
}

HeartbeatVerdict MemberTable::HandleClaim(const MemberHeartbeat& claim, const VmId& from) {
  if (claim.vm == m_options.self) return HeartbeatVerdict::kNeedsAnswer;
  const auto found = m_records.find(claim.vm);
  if (found == m_records.end() || !found->second.has_heartbeat) return HeartbeatVerdict::kStale;
  Record& record = found->second;
  if (std::pair(claim.incarnation, claim.sequence) <
      std::pair(record.last_heartbeat.incarnation, record.last_heartbeat.sequence)) {
    return HeartbeatVerdict::kNeedsAnswer;
  }
  // A claim about an unknown incarnation is either invalid or will be followed by that incarnation's heartbeat.
  const bool is_current_incarnation =
      claim.incarnation == record.last_heartbeat.incarnation && IsSequencePlausible(claim, record);
  if (claim.is_question || !is_current_incarnation || record.is_direct) return HeartbeatVerdict::kStale;
  // Of two claims about the same heartbeat the more severe one is kept, so that a late relay of the earlier one has no
  // effect.
  const std::pair known(record.claim_sequence, record.claim.value_or(MemberState::kUnknown));
  if (record.claim.has_value() && std::pair(claim.sequence, claim.state) <= known) return HeartbeatVerdict::kStale;
  record.claim_sequence = claim.sequence;
  record.claimed_at = m_clock.GetNow();
  record.claim = claim.state;
  UpdateState(record);
  MarkChanged(record, from);
  return HeartbeatVerdict::kChanged;
}

HeartbeatVerdict MemberTable::Merge(const MemberHeartbeat& heartbeat, const VmId& from, Record& record) {
  const TimePoint now = m_clock.GetNow();
  const bool is_direct = from == heartbeat.vm;
  const bool is_first = !record.has_heartbeat;
  const bool is_new_incarnation = is_first || heartbeat.incarnation != record.last_heartbeat.incarnation;
  const bool is_refuting =
      record.claim.has_value() && (is_new_incarnation || is_direct || heartbeat.sequence > record.claim_sequence);
  const bool is_state_changed = is_new_incarnation || heartbeat.state != record.last_heartbeat.state || is_refuting;
  const bool is_detail_same = record.has_detail && heartbeat.detail == record.last_heartbeat.detail;
  const bool is_load_changed = heartbeat.is_cold != record.last_heartbeat.is_cold ||
                               IsLimitChanged(record.last_heartbeat.limit, heartbeat.limit);
  const bool is_load_different =
      heartbeat.limit != record.last_heartbeat.limit || heartbeat.in_flight != record.last_heartbeat.in_flight;

  MemberHeartbeat merged = heartbeat;
  if (heartbeat.is_brief && record.has_detail) {
    merged.zone = record.last_heartbeat.zone;
    merged.pool = record.last_heartbeat.pool;
    merged.kind = record.last_heartbeat.kind;
    merged.holdings = record.last_heartbeat.holdings;
    merged.service = record.last_heartbeat.service;
  }
  merged.is_brief = false;
  const bool needs_detail = heartbeat.is_brief && !is_detail_same;
  // A new incarnation has no holdings until it reports them.
  if (needs_detail && is_new_incarnation) merged.holdings.clear();
  if (needs_detail) merged.detail = 0;
  record.has_detail = !needs_detail && (!heartbeat.is_brief || record.has_detail);
  record.last_heartbeat = std::move(merged);
  record.has_heartbeat = true;
  m_monitored.insert(record.info.vm);
  if (is_refuting) record.claim.reset();
  record.last_heartbeat_at = now;
  if (is_direct) {
    record.is_direct = true;
    record.last_direct_at = now;
  } else if (now - record.last_direct_at > m_options.suspect / 2) {
    // Other peers receive the member's heartbeats and this process does not, so it need not send them questions.
    record.is_direct = false;
  }

  MemberInfo& info = record.info;
  const MemberHeartbeat& last_heartbeat = record.last_heartbeat;
  info.incarnation = last_heartbeat.incarnation;
  info.config_version = last_heartbeat.config_version;
  info.limit = last_heartbeat.limit;
  info.in_flight = last_heartbeat.in_flight;
  info.is_cold = last_heartbeat.is_cold;
  info.holdings = last_heartbeat.holdings;
  info.service = last_heartbeat.service;
  if (!record.is_listed) {
    info.zone = last_heartbeat.zone;
    info.pool = last_heartbeat.pool;
    info.kind = last_heartbeat.kind;
  }
  const bool is_state_updated = UpdateState(record);
  const bool is_changed =
      is_state_changed || is_state_updated || is_load_changed || (!is_detail_same && !heartbeat.is_brief);
  if (is_changed) m_pending_change = PendingChange::kState;
  if (is_load_different && m_pending_change == PendingChange::kNone) m_pending_change = PendingChange::kLoad;
  if (needs_detail) return HeartbeatVerdict::kDetailMissing;
  if (is_changed || now - record.last_relayed_at >= kRelayRenewalInterval) MarkChanged(record, from);
  if (is_first) return HeartbeatVerdict::kNew;
  return is_changed ? HeartbeatVerdict::kChanged : HeartbeatVerdict::kAdvanced;
}

std::optional<MemberHeartbeat> MemberTable::AnswerQuestion(const MemberHeartbeat& question) const {
  const auto found = m_records.find(question.vm);
  if (found == m_records.end() || !found->second.has_detail) return std::nullopt;
  const MemberHeartbeat& last_heartbeat = found->second.last_heartbeat;
  if (std::pair(last_heartbeat.incarnation, last_heartbeat.sequence) <=
      std::pair(question.incarnation, question.sequence)) {
    return std::nullopt;
  }
  return last_heartbeat;
}

std::vector<MemberHeartbeat> MemberTable::GetQuestions(size_t max) const {
  std::vector<MemberHeartbeat> questions;
  const TimePoint now = m_clock.GetNow();
  for (const VmId& vm : m_monitored) {
    if (questions.size() >= max) break;
    if (vm == m_options.self) continue;
    const Record& record = m_records.at(vm);
    // Questions about a member known through others are sent while a claim is recent, in case a heartbeat that refutes
    // it was lost.
    if (!record.is_direct && !record.claim.has_value()) continue;
    const Duration age = now - (record.is_direct ? record.last_heartbeat_at : record.claimed_at);
    // After twice the dead time-out only the member itself can report a newer state.
    if ((record.is_direct && age < m_options.suspect / 2) || age > m_options.dead * 2) continue;
    MemberHeartbeat question = MakeRelayedHeartbeat(record);
    question.is_question = true;
    question.is_brief = true;
    questions.push_back(std::move(question));
  }
  return questions;
}

void MemberTable::Tick() {
  const TimePoint now = m_clock.GetNow();
  m_unlisted_count = 0;
  for (auto it = m_monitored.begin(); it != m_monitored.end();) {
    Record& record = m_records.at(*it);
    const bool is_self = *it == m_options.self;
    if (!record.is_listed && !is_self && now - record.last_heartbeat_at >= m_options.dead) {
      m_change_order.erase(record.change);
      m_records.erase(*it);
      it = m_monitored.erase(it);
      m_pending_change = PendingChange::kState;
      continue;
    }
    if (!record.is_listed && !is_self) ++m_unlisted_count;
    // Only an observer that hears the member directly reports its silence to others.
    if (!is_self && UpdateState(record) && record.is_direct) MarkChanged(record, m_options.self);
    ++it;
  }
}

MemberState MemberTable::ComputeState(const Record& record) const {
  if (!record.has_heartbeat) {
    return record.is_listed_leaving ? MemberState::kLeaving : MemberState::kUnknown;
  }
  const Duration silence = m_clock.GetNow() - record.last_heartbeat_at;
  if (record.info.vm != m_options.self) {
    const Duration dead = record.is_direct ? m_options.dead : std::max(kIndirectDead, m_options.dead);
    const Duration suspect = record.is_direct ? m_options.suspect : std::max(kIndirectSuspect, m_options.suspect);
    if (silence >= dead) return MemberState::kDead;
    if (silence >= suspect) return MemberState::kSuspect;
    if (record.claim.has_value()) return *record.claim;
  }
  // The platform's leave notice applies to the incarnation that ran when it arrived. A later incarnation on the same VM
  // is back in service.
  const auto leaving_since = static_cast<uint64_t>(record.leaving_since.time_since_epoch().count());
  const bool has_leave_notice = record.is_listed_leaving && record.last_heartbeat.incarnation.Get() <= leaving_since;
  return has_leave_notice ? MemberState::kLeaving : record.last_heartbeat.state;
}

bool MemberTable::UpdateState(Record& record) {
  const MemberState state = ComputeState(record);
  if (state == record.info.state) return false;
  record.info.state = state;
  m_pending_change = PendingChange::kState;
  return true;
}

void MemberTable::MarkChanged(Record& record, const VmId& from) {
  m_change_order.erase(record.change);
  record.change = ++m_change;
  record.received_from = from;
  record.last_relayed_at = m_clock.GetNow();
  m_change_order[record.change] = record.info.vm;
}

MemberHeartbeat MemberTable::MakeRelayedHeartbeat(const Record& record) const {
  MemberHeartbeat relay = record.last_heartbeat;
  relay.is_brief = !record.has_detail;
  const MemberState state = record.info.state;
  if (state == MemberState::kSuspect || state == MemberState::kDead) {
    relay.state = state;
    relay.is_brief = true;
    if (record.claim.has_value()) relay.sequence = std::max(relay.sequence, record.claim_sequence);
  }
  return relay;
}

std::vector<MemberTable::Change> MemberTable::GetChangesAfter(uint64_t number, size_t max) const {
  std::vector<Change> changes;
  for (auto it = m_change_order.upper_bound(number); it != m_change_order.end() && changes.size() < max; ++it) {
    const Record& record = m_records.at(it->second);
    changes.push_back({it->first, MakeRelayedHeartbeat(record), record.info.zone, record.received_from});
  }
  return changes;
}

std::shared_ptr<const MemberView> MemberTable::MakeView() {
  m_pending_change = PendingChange::kNone;
  auto view = std::make_shared<MemberView>();
  view->members.reserve(m_records.size());
  view->generation = ++m_generation;
  view->zones = m_zones;
  const TimePoint now = m_clock.GetNow();
  for (const auto& [vm, record] : m_records) {
    // Nothing can be sent to a member without an address. The next VM list provides the address.
    if (record.info.address.IsEmpty()) continue;
    view->members.push_back(record.info);
    view->members.back().silence = record.has_heartbeat ? now - record.last_heartbeat_at : Duration::max();
  }
  return view;
}

}  // namespace plantain
