#include "beacon_table.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <tuple>

#include "beacon_pace.h"
#include "fleet.pb.h"

namespace plantain {
namespace {

// Retention time of an entry that is named by others but sends no beacons itself.
constexpr Duration kNamedEntryRetention = std::chrono::seconds(10);
// Beacons that may be lost in a row before their sender counts as dead, and the longest time for that.
constexpr int kMaxLostBeacons = 4;
constexpr Duration kMaxTimeout = std::chrono::seconds(10);
// Limits on the memory used for beacons.
constexpr int kMaxNamedEntries = 1024;
constexpr size_t kMaxBeacons = 4096;
constexpr int kMaxFetches = 8;
constexpr int kMaxPools = 64;
constexpr int kMaxPriorities = 16;
// Larger ages, above one hour, are sent and taken as this one; their limits passed long ago.
constexpr int64_t kMaxWantedAgeMs = 3'600'000;
// The same for ages of what is known about prompt parts, which is forgotten after hours.
constexpr uint64_t kMaxPromptAgeMs = 24 * 3'600'000;
constexpr int kMaxContentReports = 16;
constexpr int kMaxContentListSize = 16;
constexpr int kMaxStatements = 32;

void EncodeLoad(const EndpointLoad& load, proto::LoadReport& out) {
  out.set_endpoint(load.endpoint.Get());
  out.set_running(load.running);
  out.set_queued(load.queued);
  out.set_is_switching(load.is_switching);
  out.set_slowness(load.slowness);
  for (const auto& [model, version] : load.loaded) {
    proto::LoadedVersion* loaded = out.add_loaded();
    loaded->set_model(model.Get());
    loaded->set_version(version.Get());
  }
}

EndpointLoad DecodeLoad(const proto::LoadReport& in) {
  EndpointLoad load;
  load.endpoint = EndpointId(in.endpoint());
  load.running = in.running();
  load.queued = in.queued();
  load.is_switching = in.is_switching();
  load.slowness = in.slowness();
  for (const proto::LoadedVersion& loaded : in.loaded()) {
    load.loaded[ModelName(loaded.model())] = WeightVersion(loaded.version());
  }
  return load;
}

void EncodePriorityDemand(const PriorityDemand& demand, proto::PoolDemand& out) {
  out.set_held_s(demand.held_s);
  for (const auto& [priority, per_s] : demand.requests_per_s) {
    if (out.priorities_size() >= kMaxPriorities) return;
    proto::PriorityRate* rate = out.add_priorities();
    rate->set_priority(priority);
    rate->set_per_s(per_s);
  }
}

bool IsAmount(double value) { return std::isfinite(value) && value >= 0; }

PriorityDemand DecodePriorityDemand(const proto::PoolDemand& in) {
  PriorityDemand demand;
  if (IsAmount(in.held_s())) demand.held_s = in.held_s();
  for (const proto::PriorityRate& rate : in.priorities()) {
    if (IsAmount(rate.per_s())) demand.requests_per_s[rate.priority()] = rate.per_s();
  }
  return demand;
}

uint64_t EncodeAge(Duration age) { return static_cast<uint64_t>(std::max<int64_t>(0, ToMilliseconds(age))); }

Duration DecodeAge(uint64_t age_ms) { return Milliseconds(std::min(age_ms, kMaxPromptAgeMs)); }

void EncodeContent(const ContentReport& report, proto::ContentEvidence& out) {
  out.set_id(report.key.id);
  out.set_kind(static_cast<uint32_t>(report.key.kind));
  for (const ContentCrash& crash : report.crashes) {
    proto::ContentCrash* added = out.add_crashes();
    added->set_run(crash.run.Get());
    added->set_age_ms(EncodeAge(crash.age));
    added->set_sent_age_ms(EncodeAge(crash.sent_age));
    added->set_progress(static_cast<uint32_t>(crash.progress));
    added->set_others_at_once(crash.others_at_once);
  }
  for (const ContentKey& companion : report.companions) out.add_companions(companion.id);
  out.set_is_blocked(report.blocked_age.has_value());
  if (report.blocked_age.has_value()) {
    out.set_blocked_age_ms(EncodeAge(*report.blocked_age));
    out.set_last_crash_age_ms(EncodeAge(report.last_crash_age));
  }
  out.set_used_age_ms(EncodeAge(report.used_age));
  out.set_trials(report.trials);
  out.set_is_answered(report.answered_age.has_value());
  if (report.answered_age.has_value()) out.set_answered_age_ms(EncodeAge(*report.answered_age));
  out.set_is_cleared(report.is_cleared);
  out.set_survived_ms(EncodeAge(report.totals.survived));
  out.set_other_losses(report.totals.other_losses);
  out.set_other_running_ms(EncodeAge(report.totals.other_running));
}

ContentReport DecodeContent(const proto::ContentEvidence& in) {
  ContentReport report;
  report.key = {static_cast<ContentKind>(in.kind()), in.id()};
  for (const proto::ContentCrash& crash : in.crashes()) {
    report.crashes.push_back({EndpointRun(crash.run()), DecodeAge(crash.age_ms()), DecodeAge(crash.sent_age_ms()),
                              static_cast<AnswerProgress>(crash.progress()), crash.others_at_once()});
  }
  for (const std::string& id : in.companions()) report.companions.push_back({report.key.kind, id});
  if (in.is_blocked()) report.blocked_age = DecodeAge(in.blocked_age_ms());
  report.last_crash_age = DecodeAge(in.last_crash_age_ms());
  report.used_age = DecodeAge(in.used_age_ms());
  report.trials = in.trials();
  if (in.is_answered()) report.answered_age = DecodeAge(in.answered_age_ms());
  report.is_cleared = in.is_cleared() && in.is_answered();
  report.totals.survived = DecodeAge(in.survived_ms());
  report.totals.other_losses = in.other_losses();
  report.totals.other_running = DecodeAge(in.other_running_ms());
  return report;
}

bool IsBounded(const proto::ContentEvidence& content) {
  const bool is_known_kind = content.kind() <= static_cast<uint32_t>(ContentKind::kRequest);
  const bool is_known_progress =
      std::all_of(content.crashes().begin(), content.crashes().end(), [](const proto::ContentCrash& crash) {
        return crash.progress() <= static_cast<uint32_t>(AnswerProgress::kBegun);
      });
  const bool has_totals = std::isfinite(content.other_losses()) && content.other_losses() >= 0;
  return is_known_kind && is_known_progress && has_totals && content.crashes_size() <= kMaxContentListSize &&
         content.companions_size() <= kMaxContentListSize;
}

void EncodeStore(const StoreStatement& store, proto::Beacon& out) {
  out.set_store_reading(static_cast<uint32_t>(store.reading));
  out.set_store_reading_age_ms(EncodeAge(store.reading_age));
  out.set_operator_read_age_ms(EncodeAge(store.operator_age));
}

StoreStatement DecodeStore(const proto::Beacon& in) {
  StoreStatement store;
  if (in.store_reading() <= static_cast<uint32_t>(StoreReading::kFollowing)) {
    store.reading = static_cast<StoreReading>(in.store_reading());
  }
  store.reading_age = DecodeAge(in.store_reading_age_ms());
  store.operator_age = DecodeAge(in.operator_read_age_ms());
  return store;
}

void EncodeStatements(const StatementReport& report, proto::Beacon& out) {
  for (const EndpointStatement& statement : report.statements) {
    proto::EndpointStatement* added = out.add_statements();
    added->set_endpoint(statement.endpoint.Get());
    added->set_is_stated(statement.per_s.has_value());
    added->set_per_s(statement.per_s.value_or(0));
    added->set_age_ms(statement.rate_age.has_value() ? EncodeAge(*statement.rate_age) : kMaxPromptAgeMs);
    added->set_lacks_rate(!statement.rate_age.has_value());
    added->set_incarnation(statement.incarnation.Get());
    added->set_is_leaving(statement.is_leaving);
    added->set_pause_left_ms(EncodeAge(statement.pause_left));
  }
  for (const RateGrantReport& grants : report.grants) {
    proto::RateGrants* added = out.add_rate_grants();
    added->set_endpoint(grants.endpoint.Get());
    added->set_epoch(grants.epoch);
    for (const RateGrant& grant : grants.grants) {
      proto::RateGrant* entry = added->add_grants();
      entry->set_entry(grant.entry.Get());
      entry->set_total(grant.total);
    }
  }
}

StatementReport DecodeStatements(const proto::Beacon& in) {
  StatementReport report;
  for (const proto::EndpointStatement& statement : in.statements()) {
    const bool is_valid = std::isfinite(statement.per_s()) && statement.per_s() >= 0;
    if (!is_valid) continue;
    const std::optional<double> per_s = statement.is_stated() ? std::optional(statement.per_s()) : std::nullopt;
    EndpointStatement decoded{EndpointId(statement.endpoint()), per_s, {}, {}, false, {}};
    if (!statement.lacks_rate()) decoded.rate_age = DecodeAge(statement.age_ms());
    decoded.incarnation = Incarnation(statement.incarnation());
    decoded.is_leaving = statement.is_leaving();
    decoded.pause_left = std::min<Duration>(DecodeAge(statement.pause_left_ms()), kMaxStatedPause);
    report.statements.push_back(std::move(decoded));
  }
  for (const proto::RateGrants& grants : in.rate_grants()) {
    RateGrantReport granted{EndpointId(grants.endpoint()), grants.epoch(), {}};
    for (const proto::RateGrant& grant : grants.grants()) {
      granted.grants.push_back({VmId(grant.entry()), grant.total()});
    }
    report.grants.push_back(std::move(granted));
  }
  return report;
}

// Shortens a list to its bound. Returns whether it was longer.
template <typename List>
bool Truncate(List& list, int max_size) {
  if (list.size() <= max_size) return false;
  list.DeleteSubrange(max_size, list.size() - max_size);
  return true;
}

// Leaves out what exceeds the bounds. Returns whether there was anything.
bool TruncateLists(proto::Beacon& message) {
  bool is_cut = Truncate(*message.mutable_entries(), kMaxNamedEntries);
  if (message.entry_addresses_size() > kMaxNamedEntries) {
    message.mutable_entry_addresses()->Truncate(kMaxNamedEntries);
    is_cut = true;
  }
  is_cut |= Truncate(*message.mutable_fetches(), kMaxFetches);
  is_cut |= Truncate(*message.mutable_demand(), kMaxPools);
  is_cut |= Truncate(*message.mutable_start_counts(), static_cast<int>(kMaxStartCounts));
  is_cut |= Truncate(*message.mutable_speeds(), static_cast<int>(kMaxSpeedReports));
  for (proto::PoolDemand& demand : *message.mutable_demand()) {
    is_cut |= Truncate(*demand.mutable_priorities(), kMaxPriorities);
  }
  is_cut |= Truncate(*message.mutable_wanted(), static_cast<int>(kMaxWantedAges));
  is_cut |= Truncate(*message.mutable_content_evidence(), kMaxContentReports);
  is_cut |= Truncate(*message.mutable_statements(), kMaxStatements);
  is_cut |= Truncate(*message.mutable_rate_grants(), kMaxStatements);
  for (proto::RateGrants& grants : *message.mutable_rate_grants()) {
    is_cut |= Truncate(*grants.mutable_grants(), kMaxNamedEntries);
  }
  return is_cut;
}

// Entries are named by their addresses, which take four bytes each if they are IPv4 addresses.
void EncodeEntries(const std::vector<VmId>& entries, proto::Beacon& out) {
  for (const VmId& entry : entries) {
    if (out.entries_size() + out.entry_addresses_size() >= kMaxNamedEntries) return;
    in_addr address{};
    if (inet_pton(AF_INET, entry.Get().c_str(), &address) == 1) {
      out.add_entry_addresses(ntohl(address.s_addr));
    } else {
      out.add_entries(entry.Get());
    }
  }
}

std::vector<VmId> DecodeEntries(const proto::Beacon& in) {
  std::vector<VmId> entries;
  for (const std::string& entry : in.entries()) entries.emplace_back(entry);
  for (const uint32_t number : in.entry_addresses()) {
    const in_addr address{htonl(number)};
    std::array<char, INET_ADDRSTRLEN> text{};
    if (inet_ntop(AF_INET, &address, text.data(), text.size()) != nullptr) entries.emplace_back(text.data());
  }
  return entries;
}

Duration DecodeInterval(uint32_t interval_ms) {
  return std::min<Duration>(Milliseconds(interval_ms), kMaxTimeout / kMaxLostBeacons);
}

}  // namespace

void EncodeTopicState(const TopicState& state, proto::TopicState& out) {
  for (const auto& [era, end] : state.revision.GetEnds()) {
    proto::EraOffset* known = out.add_known();
    known->set_era(era.Get());
    known->set_offset(end.Get());
  }
  for (const EraBound& bound : state.era_bounds) {
    proto::EraBound* added = out.add_bounds();
    added->set_view(bound.view.Get());
    added->set_written(bound.written.Get());
    added->set_offset(bound.offset.Get());
  }
}

TopicState DecodeTopicState(const proto::TopicState& in, uint64_t newest) {
  TopicState state;
  for (const proto::EraOffset& known : in.known()) {
    state.revision.Raise(StoreEra(known.era()), LogOffset(known.offset()));
  }
  for (const proto::EraBound& bound : in.bounds()) {
    if (state.era_bounds.size() >= kMaxEraBounds) break;
    state.era_bounds.push_back({StoreEra(bound.view()), StoreEra(bound.written()), LogOffset(bound.offset())});
  }
  if (in.known().empty() && newest > 0) state.revision.Raise(StoreEra(), LogOffset(newest));
  return state;
}

std::string EncodeBeacon(const BeaconInfo& beacon) {
  proto::Beacon message;
  message.set_vm(beacon.vm.Get());
  message.set_zone(beacon.zone.Get());
  message.set_is_entry(beacon.is_entry);
  message.set_incarnation(beacon.incarnation.Get());
  message.set_sequence(beacon.sequence);
  message.set_operator_revision(beacon.operator_state.revision.GetNewest().offset.Get());
  message.set_directory_revision(beacon.directory_state.revision.GetNewest().offset.Get());
  EncodeTopicState(beacon.operator_state, *message.mutable_operator_state());
  EncodeTopicState(beacon.directory_state, *message.mutable_directory_state());
  EncodeEntries(beacon.entries, message);
  message.set_own_zone_interval_ms(static_cast<uint32_t>(ToMilliseconds(beacon.own_zone_interval)));
  message.set_other_interval_ms(static_cast<uint32_t>(ToMilliseconds(beacon.other_interval)));
  if (beacon.load.has_value()) EncodeLoad(*beacon.load, *message.mutable_load());
  for (const HoldingInfo& fetch : beacon.fetches) {
    proto::FetchState* state = message.add_fetches();
    state->set_manifest(fetch.manifest.Get());
    state->set_permille(fetch.permille);
  }
  for (const auto& [pool, per_s] : beacon.demand) {
    proto::PoolDemand* demand = message.add_demand();
    demand->set_pool(pool.Get());
    demand->set_per_s(per_s);
    const auto split = beacon.priority_demand.find(pool);
    if (split != beacon.priority_demand.end()) EncodePriorityDemand(split->second, *demand);
  }
  for (const WantedAge& wanted : beacon.wanted) {
    proto::WantedVersion* out = message.add_wanted();
    out->set_model(wanted.model.Get());
    out->set_version(wanted.version.Get());
    out->set_age_ms(static_cast<uint64_t>(std::clamp<int64_t>(ToMilliseconds(wanted.age), 0, kMaxWantedAgeMs)));
  }
  for (const ContentReport& report : beacon.content_reports) EncodeContent(report, *message.add_content_evidence());
  EncodeStatements(beacon.statements, message);
  EncodeStore(beacon.store, message);
  EncodePace(beacon.pace, message);
  return message.SerializeAsString();
}

std::optional<BeaconInfo> DecodeBeacon(std::string_view bytes) {
  proto::Beacon message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  // A report with too many parts cannot be cut without changing what it says.
  const auto& evidence = message.content_evidence();
  if (message.vm().empty() || !std::all_of(evidence.begin(), evidence.end(), IsBounded)) return std::nullopt;
  const bool is_cut = TruncateLists(message);
  BeaconInfo beacon;
  beacon.vm = VmId(message.vm());
  beacon.zone = ZoneName(message.zone());
  beacon.is_entry = message.is_entry();
  beacon.incarnation = Incarnation(message.incarnation());
  beacon.sequence = message.sequence();
  beacon.operator_state = DecodeTopicState(message.operator_state(), message.operator_revision());
  beacon.directory_state = DecodeTopicState(message.directory_state(), message.directory_revision());
  beacon.entries = DecodeEntries(message);
  beacon.own_zone_interval = DecodeInterval(message.own_zone_interval_ms());
  beacon.other_interval = DecodeInterval(message.other_interval_ms());
  beacon.is_cut = is_cut;
  if (message.has_load()) beacon.load = DecodeLoad(message.load());
  for (const proto::FetchState& state : message.fetches()) {
    HoldingInfo fetch;
    fetch.manifest = Digest(state.manifest());
    fetch.permille = state.permille();
    beacon.fetches.push_back(std::move(fetch));
  }
  for (const proto::PoolDemand& demand : message.demand()) {
    if (std::isfinite(demand.per_s())) beacon.demand[PoolName(demand.pool())] = demand.per_s();
    if (!demand.priorities().empty()) {
      beacon.priority_demand[PoolName(demand.pool())] = DecodePriorityDemand(demand);
    }
  }
  for (const proto::WantedVersion& wanted : message.wanted()) {
    if (wanted.model().empty() || wanted.version() == 0) continue;
    beacon.wanted.push_back({ModelName(wanted.model()), WeightVersion(wanted.version()),
                             Milliseconds(std::min<uint64_t>(wanted.age_ms(), kMaxWantedAgeMs))});
  }
  for (const proto::ContentEvidence& content : message.content_evidence())
    beacon.content_reports.push_back(DecodeContent(content));
  beacon.statements = DecodeStatements(message);
  beacon.store = DecodeStore(message);
  beacon.pace = DecodePace(message);
  return beacon;
}

bool BeaconTable::Update(BeaconInfo beacon) {
  if (beacon.vm == m_options.self) return false;
  const auto found = m_received.find(beacon.vm);
  if (found == m_received.end() && m_received.size() >= kMaxBeacons) return false;
  if (found != m_received.end()) {
    const BeaconInfo& known = found->second.beacon;
    // A process that restarts after its wall clock was set back has a smaller incarnation. Its beacons are accepted
    // once those of the earlier process are no longer live.
    if (beacon.incarnation < known.incarnation && IsLive(found->second)) return false;
    if (beacon.incarnation == known.incarnation && beacon.sequence <= known.sequence) return false;
  }
  const TimePoint now = m_clock.GetNow();
  for (const VmId& entry : beacon.entries) m_named_entries[entry] = now;
  if (beacon.is_entry) m_named_entries[beacon.vm] = now;
  std::erase_if(m_named_entries, [&](const auto& named) { return now - named.second > kNamedEntryRetention; });
  const VmId vm = beacon.vm;
  m_received[vm] = ReceivedBeacon{std::move(beacon), now};
  return true;
}

std::vector<VmId> BeaconTable::GetEntries() const {
  std::vector<VmId> entries;
  for (const auto& [vm, received] : m_received) {
    if (received.beacon.is_entry && IsLive(received)) entries.push_back(vm);
  }
  return entries;
}

std::vector<ZoneEntry> BeaconTable::GetZoneEntries() const {
  std::vector<ZoneEntry> entries;
  for (const auto& [vm, received] : m_received) {
    const BeaconInfo& beacon = received.beacon;
    if (!beacon.is_entry || beacon.zone != m_options.zone || !IsLive(received)) continue;
    entries.push_back({vm, beacon.store, received.at, beacon.own_zone_interval});
  }
  return entries;
}

std::vector<const BeaconInfo*> BeaconTable::GetLiveBeacons() const {
  std::vector<const BeaconInfo*> all;
  for (const auto& [vm, received] : m_received) {
    if (IsLive(received)) all.push_back(&received.beacon);
  }
  return all;
}

bool BeaconTable::IsLive(const ReceivedBeacon& received) const {
  const BeaconInfo& beacon = received.beacon;
  const Duration interval = beacon.zone == m_options.zone ? beacon.own_zone_interval : beacon.other_interval;
  return m_clock.GetNow() - received.at < std::max<Duration>(m_options.timeout, kMaxLostBeacons * interval);
}

BeaconTargets BeaconTable::GetTargets() const {
  BeaconTargets targets;
  std::vector<VmId> other(m_options.seeds);
  for (const auto& [vm, received] : m_received) {
    if (!received.beacon.is_entry || !IsLive(received)) continue;
    (received.beacon.zone == m_options.zone ? targets.own_zone : other).push_back(vm);
  }
  for (const auto& [vm, at] : m_named_entries) other.push_back(vm);
  std::sort(other.begin(), other.end());
  other.erase(std::unique(other.begin(), other.end()), other.end());
  std::erase(other, m_options.self);
  std::set_difference(other.begin(), other.end(), targets.own_zone.begin(), targets.own_zone.end(),
                      std::back_inserter(targets.other));
  return targets;
}

BeaconTargets BeaconTable::GetAgents() const {
  BeaconTargets targets;
  for (const auto& [vm, received] : m_received) {
    if (received.beacon.is_entry || !IsLive(received)) continue;
    (received.beacon.zone == m_options.zone ? targets.own_zone : targets.other).push_back(vm);
  }
  return targets;
}

bool BeaconTable::IsKnown(const VmId& vm, Incarnation incarnation) const {
  const auto found = m_received.find(vm);
  return found != m_received.end() && found->second.beacon.incarnation == incarnation;
}

std::optional<BeaconTable::NewerPeer> BeaconTable::FindNewerPeer(const LogRevision& operator_revision,
                                                                 const LogRevision& directory_revision) const {
  const auto get_rank = [&](const BeaconInfo& beacon) {
    const LogPosition operators = beacon.operator_state.revision.GetNewest();
    const LogPosition directory = beacon.directory_state.revision.GetNewest();
    return std::make_tuple(beacon.zone == m_options.zone, operators.era + directory.era,
                           operators.offset + directory.offset);
  };
  const BeaconInfo* best = nullptr;
  for (const auto& [vm, received] : m_received) {
    const BeaconInfo& beacon = received.beacon;
    const bool is_newer = !operator_revision.Covers(beacon.operator_state.revision) ||
                          !directory_revision.Covers(beacon.directory_state.revision);
    if (!is_newer || !IsLive(received)) continue;
    if (best == nullptr || get_rank(beacon) > get_rank(*best)) best = &beacon;
  }
  if (best == nullptr) return std::nullopt;
  return NewerPeer{best->vm, best->operator_state.revision, best->directory_state.revision};
}

}  // namespace plantain
