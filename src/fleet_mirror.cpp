#include "fleet_mirror.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "event_log.h"

namespace plantain {
namespace {

constexpr Duration kTickInterval = Milliseconds(200);
// After an outage the platform lists live endpoints again within 2 s; an endpoint still missing then has ended.
constexpr Duration kRelistTimeout = Milliseconds(2200);
// Operators write again what a restored store has lost; after this time with the store, its content counts.
constexpr Duration kRewriteTimeout = std::chrono::seconds(60);
// Exceeds the long-poll time after which the store is read again.
constexpr Duration kRereadTimeout = std::chrono::seconds(10);
// Exceeds the number of versions that can be pending at the same time.
constexpr size_t kMaxWanted = 64;
// Records before the end of a restored log that are read again; the store returns at most 1,024 for one read.
constexpr uint64_t kMaxRewind = 1000;

// Smaller differences between the ages that processes know are not applied; they come from the delay of beacons.
constexpr Duration kMinAgeCorrection = Milliseconds(50);
// Longer gaps between two ticks mean that the process stood still and may have received a request late.
constexpr Duration kMaxTickGap = Milliseconds(700);

// Returns the name that logs use.
std::string_view GetOriginName(RecordOrigin origin) { return origin == RecordOrigin::kStore ? "store" : "peer"; }

std::string_view GetTopicName(FleetTopic topic) { return topic == FleetTopic::kOperator ? "operator" : "directory"; }

// Removes old instances of restarted endpoints; their records stay listed for a few seconds next to the new ones.
void RemoveReplaced(std::vector<EndpointInfo>& endpoints) {
  std::map<HttpTarget, Incarnation> newest;
  for (const EndpointInfo& info : endpoints) {
    Incarnation& incarnation = newest[info.target];
    incarnation = std::max(incarnation, info.incarnation);
  }
  std::erase_if(endpoints, [&](const EndpointInfo& info) { return info.incarnation < newest[info.target]; });
}

}  // namespace

FleetMirror::FleetMirror(Loop& loop, const Clock& clock, const FleetDecoder& decoder, Duration version_change_limit)
    : m_loop(loop),
      m_clock(clock),
      m_decoder(decoder),
      m_version_change_limit(version_change_limit),
      m_operator([](const std::string& a, const std::string& b) { return a == b; }),
      m_directory([&decoder](const std::string& a, const std::string& b) { return decoder.IsSameEndpoint(a, b); }),
      m_view(std::make_shared<FleetView>()) {}

absl::Status FleetMirror::Start() {
  m_tick_timer = m_loop.RunEvery(kTickInterval, [this] { Tick(); });
  return absl::OkStatus();
}

void FleetMirror::Stop() { m_tick_timer.reset(); }

void FleetMirror::AddFleetListener(std::function<void(const std::shared_ptr<const FleetView>&)> listener) {
  m_listeners.push_back(std::move(listener));
}

const RecordMirror& FleetMirror::GetRecords(FleetTopic topic) const {
  return topic == FleetTopic::kOperator ? m_operator.records : m_directory.records;
}

FleetMirror::TopicMirror& FleetMirror::GetTopic(FleetTopic topic) {
  return topic == FleetTopic::kOperator ? m_operator : m_directory;
}

void FleetMirror::ApplyRecords(FleetTopic topic, std::vector<KeyedRecord> records, LogPosition complete_to,
                               RecordOrigin origin) {
  RecordMirror& mirror = GetTopic(topic).records;
  bool is_changed = false;
  if (origin == RecordOrigin::kPeer) {
    for (const KeyedRecord& record : records) ComparePeerRecord(topic, record);
  }
  for (KeyedRecord& record : records) {
    if (origin == RecordOrigin::kStore) GetTopic(topic).history.Add(record, m_clock.GetNow());
    is_changed |= mirror.Apply(std::move(record));
  }
  mirror.SetCompleteTo(complete_to);
  if (is_changed) OnChanged(topic, origin);
}

void FleetMirror::ApplyListing(FleetTopic topic, std::vector<KeyedRecord> records, LogPosition end) {
  RecordMirror& mirror = GetTopic(topic).records;
  if (end.era > mirror.GetCompleteTo().era) OnEraSeen(topic, end);
  std::sort(records.begin(), records.end(),
            [](const KeyedRecord& a, const KeyedRecord& b) { return a.position.offset < b.position.offset; });
  for (const KeyedRecord& record : records) GetTopic(topic).history.Add(record, m_clock.GetNow());
  if (mirror.ApplyListing(std::move(records), end)) OnChanged(topic, RecordOrigin::kStore);
}

// Records at or beyond the end that the first read of an era shows are written in that era.
void FleetMirror::OnEraSeen(FleetTopic topic, LogPosition end) {
  AddEraBound(topic, {end.era, end.era, end.offset});
  TopicMirror& mirror = GetTopic(topic);
  mirror.era_seen_at = m_clock.GetNow();
  mirror.has_expired_unlisted = false;
  mirror.has_accepted_store = false;
}

// A peer's record, too, may show that the store has given out an offset again.
void FleetMirror::ComparePeerRecord(FleetTopic topic, const KeyedRecord& record) {
  const LogHistory& history = GetTopic(topic).history;
  const StoreEra own_era = history.GetEra();
  const StoreEra earlier = std::min(record.position.era, own_era);
  const StoreEra later = std::max(record.position.era, own_era);
  if (record.kind != RecordKind::kWritten || earlier == later) return;
  const bool is_replaced = history.FindFirstDifference({record}).has_value();
  if (is_replaced) AddEraBound(topic, {later, earlier.Next(), record.position.offset});
}

std::optional<LogOffset> FleetMirror::GetRewindOffset(FleetTopic topic, LogPosition end) const {
  const LogHistory& history = (topic == FleetTopic::kOperator ? m_operator : m_directory).history;
  const std::optional<LogOffset> begin = history.GetBegin();
  if (end.era == StoreEra()) return std::nullopt;
  if (begin.has_value() && history.GetEra() >= end.era) return std::nullopt;
  const LogOffset earliest(end.offset.Get() > kMaxRewind ? end.offset.Get() - kMaxRewind : 0);
  return std::min(end.offset, std::max(begin.value_or(LogOffset()), earliest));
}

void FleetMirror::ApplyRestored(FleetTopic topic, std::vector<KeyedRecord> listing, LogPosition end,
                                std::vector<KeyedRecord> log, LogPosition complete_to) {
  RecordMirror& mirror = GetTopic(topic).records;
  LogHistory& history = GetTopic(topic).history;
  const LogPosition known = mirror.GetCompleteTo();
  OnEraSeen(topic, end);
  for (const LogPosition& replaced : mirror.FindReplaced(log)) {
    AddEraBound(topic, {end.era, replaced.era.Next(), replaced.offset});
  }
  const auto in_log = history.FindFirstDifference(log);
  const auto in_listing = history.FindFirstDifference(listing);
  const LogOffset first = std::min(in_log.value_or(end.offset), in_listing.value_or(end.offset));
  if (first < end.offset) AddEraBound(topic, {end.era, history.GetEra().Next(), first});
  history.Truncate(first);
  for (const KeyedRecord& record : log) history.Add(record, m_clock.GetNow());
  if (known.offset > LogOffset()) {
    LogEvent(LogLevel::kWarn, "store_restored",
             {{"topic", GetTopicName(topic)},
              {"era", end.era},
              {"known_era", known.era},
              {"known_end", known.offset},
              {"written_since", first},
              {"end", end.offset},
              {"log_records", log.size()}});
  }
  ApplyListing(topic, std::move(listing), end);
  ApplyRecords(topic, std::move(log), complete_to, RecordOrigin::kStore);
  if (const size_t kept = mirror.CountLost(); kept > 0) {
    LogEvent(LogLevel::kInfo, "lost_keys_kept", {{"topic", GetTopicName(topic)}, {"era", end.era}, {"keys", kept}});
  }
}

LogOffset FleetMirror::TakeReadOffset(FleetTopic topic, LogOffset next) {
  return std::min(next, GetTopic(topic).records.TakeRereadOffset().value_or(next));
}

void FleetMirror::AddEraBound(FleetTopic topic, const EraBound& bound) {
  if (!GetTopic(topic).records.AddEraBound(bound)) return;
  LogEvent(
      LogLevel::kInfo, "store_era_bound",
      {{"topic", GetTopicName(topic)}, {"era", bound.view}, {"written_in", bound.written}, {"offset", bound.offset}});
}

void FleetMirror::RaiseRevision(FleetTopic topic, const LogRevision& revision) {
  GetTopic(topic).records.RaiseRevision(revision);
}

void FleetMirror::SetStoreReachable(bool is_reachable) {
  if (is_reachable == m_is_store_reachable) return;
  m_is_store_reachable = is_reachable;
  if (is_reachable && m_had_store_outage) m_store_recovered_at = m_clock.GetNow();
  if (!is_reachable) m_had_store_outage = true;
  LogEvent(is_reachable ? LogLevel::kInfo : LogLevel::kWarn, is_reachable ? "store_reachable" : "store_unreachable",
           {{"operator_era", m_operator.records.GetCompleteTo().era},
            {"operator_offset", m_operator.records.GetCompleteTo().offset},
            {"directory_era", m_directory.records.GetCompleteTo().era},
            {"directory_offset", m_directory.records.GetCompleteTo().offset}});
  Publish();
}

void FleetMirror::OnChanged(FleetTopic topic, RecordOrigin origin) {
  if (topic == FleetTopic::kOperator) {
    UpdateOperator(origin);
  } else {
    UpdateDirectory(origin);
  }
  Publish();
}

void FleetMirror::UpdateOperator(RecordOrigin origin) {
  OperatorState state = m_decoder.DecodeOperator(m_operator.records, m_operator_state);
  if (state.routing != m_operator_state.routing && state.routing != nullptr) {
    LogEvent(LogLevel::kInfo, "config_in_force",
             {{"version", state.routing->version},
              {"routes", state.routing->routes.size()},
              {"workspaces", state.routing->workspaces.size()},
              {"offset", m_operator.records.GetRevision().GetNewest().offset}});
  }
  for (const ZoneName& zone : state.zones_out) {
    if (!m_operator_state.zones_out.contains(zone)) LogEvent(LogLevel::kInfo, "zone_out", {{"zone", zone}});
  }
  for (const ZoneName& zone : m_operator_state.zones_out) {
    if (!state.zones_out.contains(zone)) LogEvent(LogLevel::kInfo, "zone_in", {{"zone", zone}});
  }
  RecordWantedVersions(state, origin);
  m_operator_state = std::move(state);
  m_has_operator_state = true;
}

void FleetMirror::RecordWantedVersions(const OperatorState& state, RecordOrigin origin) {
  const TimePoint now = m_clock.GetNow();
  for (const auto& wanted : state.wanted) {
    const ModelName& model = wanted.first;
    const WeightVersion version = wanted.second;
    const bool is_known = std::any_of(m_wanted.begin(), m_wanted.end(), [&](const WantedWeights& known) {
      return known.model == model && known.version >= version;
    });
    if (is_known) continue;
    // Without an uninterrupted read the request may have been made at any time since the last one, and before this
    // process started. The earliest possible time holds until a peer tells the age.
    const bool is_fresh = origin == RecordOrigin::kStore && IsFollowingOperator();
    const TimePoint since = is_fresh ? now : std::max(m_operator_as_of, now - m_version_change_limit);
    AddWanted(WantedWeights{model, version, since, is_fresh}, m_has_operator_state ? GetOriginName(origin) : "start");
  }
}

void FleetMirror::AddWanted(const WantedWeights& wanted, std::string_view source) {
  const auto is_newer = [&](const WantedWeights& known) {
    return known.model == wanted.model && known.version > wanted.version;
  };
  m_wanted.insert(std::find_if(m_wanted.begin(), m_wanted.end(), is_newer), wanted);
  if (m_wanted.size() > kMaxWanted) m_wanted.erase(m_wanted.begin());
  LogEvent(LogLevel::kInfo, "weights_wanted",
           {{"model", wanted.model},
            {"version", wanted.version},
            {"age_ms", ToMilliseconds(m_clock.GetNow() - wanted.since)},
            {"source", source},
            {"offset", m_operator.records.GetRevision().GetNewest().offset}});
}

void FleetMirror::ConfirmOperatorRead(TimePoint as_of) {
  RecordRun();
  m_operator_as_of = std::max(m_operator_as_of, as_of);
  m_is_operator_followed = m_last_run_at - m_operator_as_of <= kMaxReadDelay;
}

void FleetMirror::RecordRun() {
  const TimePoint now = m_clock.GetNow();
  if (now - m_last_run_at > kMaxTickGap) m_resumed_at = now;
  m_last_run_at = now;
}

// A beacon may have waited in the socket while the process stood still, so that its age counts from an unknown time.
// Beacons that are read shortly after a standstill confirm nothing, and the others at most up to the longest gap that
// does not count as one.
void FleetMirror::ConfirmPeerRead(Duration age, const LogRevision& revision) {
  if (!m_operator.records.GetRevision().Covers(revision)) return;
  const TimePoint now = m_clock.GetNow();
  const bool has_resumed = m_resumed_at.has_value() && now - *m_resumed_at <= kMaxTickGap;
  if (has_resumed || now - m_last_run_at > kMaxTickGap) return;
  m_operator_as_of = std::max(m_operator_as_of, now - age - kMaxTickGap);
}

bool FleetMirror::HasUnreadEra() const {
  const auto is_unread = [](const TopicMirror& topic) {
    const auto& bounds = topic.records.GetEras().GetBounds();
    const StoreEra read = topic.records.GetCompleteTo().era;
    return std::any_of(bounds.begin(), bounds.end(), [&](const EraBound& bound) { return bound.view > read; });
  };
  return is_unread(m_operator) || is_unread(m_directory);
}

void FleetMirror::InterruptOperatorRead() { m_is_operator_followed = false; }

bool FleetMirror::IsFollowingOperator() const {
  return m_is_operator_followed && m_clock.GetNow() - m_last_run_at <= kMaxTickGap;
}

void FleetMirror::ApplyWantedAges(const std::vector<WantedAge>& ages) {
  bool is_changed = false;
  for (const WantedAge& age : ages) is_changed |= ApplyWantedAge(age);
  if (is_changed) Publish();
}

// Returns whether the age changed anything.
bool FleetMirror::ApplyWantedAge(const WantedAge& age) {
  const TimePoint since = m_clock.GetNow() - age.age;
  const auto known = std::find_if(m_wanted.begin(), m_wanted.end(), [&](const WantedWeights& wanted) {
    return wanted.model == age.model && wanted.version == age.version;
  });
  if (known == m_wanted.end()) {
    AddWanted(WantedWeights{age.model, age.version, since}, "beacon");
    return true;
  }
  if (known->is_since_known && known->since - since < kMinAgeCorrection) return false;
  LogEvent(LogLevel::kInfo, "weights_age_corrected",
           {{"model", age.model},
            {"version", age.version},
            {"age_ms", ToMilliseconds(age.age)},
            {"earlier_by_ms", ToMilliseconds(known->since - since)},
            {"was_known", known->is_since_known}});
  known->since = since;
  known->is_since_known = true;
  return true;
}

std::vector<WantedAge> FleetMirror::GetWantedAges() const {
  std::vector<WantedAge> ages;
  const TimePoint now = m_clock.GetNow();
  for (auto wanted = m_wanted.rbegin(); wanted != m_wanted.rend() && ages.size() < kMaxWantedAges; ++wanted) {
    if (wanted->is_since_known) ages.push_back({wanted->model, wanted->version, now - wanted->since});
  }
  return ages;
}

// Whether a removed record may return because its endpoint could not renew it during an outage. To a process that reads
// the store itself a removal received from a peer is final, since the peer has read it from the store.
bool FleetMirror::MayHaveLapsed(RecordOrigin origin) const {
  if ((origin == RecordOrigin::kPeer && !m_is_standby) || !m_had_store_outage) return false;
  return m_clock.GetNow() < m_store_recovered_at + kRelistTimeout || !m_is_store_reachable;
}

void FleetMirror::UpdateDirectory(RecordOrigin origin) {
  const TimePoint now = m_clock.GetNow();
  std::map<EndpointId, DirectoryEntry> endpoints;
  std::map<EndpointId, std::string> raw_values;
  m_directory.records.ForEach([&](const std::string& key, const std::string& value) {
    const EndpointId id(key);
    const auto known = m_raw_values.find(id);
    if (known != m_raw_values.end() && known->second == value) {
      raw_values.insert(m_raw_values.extract(known));
      if (const auto entry = m_endpoints.find(id); entry != m_endpoints.end()) endpoints.insert(*entry);
      return;
    }
    raw_values[id] = value;
    absl::StatusOr<DirectoryEntry> entry = m_decoder.DecodeEndpoint(key, value);
    if (!entry.ok()) {
      LogEvent(LogLevel::kWarn, "endpoint_record_unusable",
               {{"endpoint", id}, {"bytes", value.size()}, MakeFailureField(entry.status())});
      return;
    }
    entry->info.cold_until = now + entry->cold_left;
    const auto before = m_endpoints.find(id);
    if (before == m_endpoints.end() || before->second.info.is_leaving != entry->info.is_leaving) {
      LogEvent(LogLevel::kInfo, entry->info.is_leaving ? "endpoint_leaving" : "endpoint_listed",
               {{"endpoint", id},
                {"pool", entry->info.pool},
                {"zone", entry->info.zone},
                {"address", entry->info.target.address},
                {"offset", m_directory.records.GetRevision().GetNewest().offset}});
    }
    endpoints.emplace(id, *std::move(entry));
  });
  const bool may_have_lapsed = MayHaveLapsed(origin);
  for (const auto& [id, entry] : m_endpoints) {
    if (endpoints.contains(id)) continue;
    const bool is_kept = may_have_lapsed && !entry.info.is_leaving;
    LogEvent(LogLevel::kInfo, is_kept ? "endpoint_lapsed" : "endpoint_gone",
             {{"endpoint", id},
              {"pool", entry.info.pool},
              {"offset", m_directory.records.GetRevision().GetNewest().offset}});
    // Live endpoints are listed again within kRelistTimeout after the store's recovery, no matter when the removal is
    // read. While one of the topics has not been read yet, the current time counts as the recovery.
    const TimePoint recovered_at = m_is_store_reachable ? m_store_recovered_at : now;
    if (is_kept) m_lapsed[id] = LapsedEndpoint{entry, recovered_at + kRelistTimeout};
  }
  for (const auto& [id, entry] : endpoints) m_lapsed.erase(id);
  m_endpoints = std::move(endpoints);
  m_raw_values = std::move(raw_values);
}

size_t FleetMirror::EvictLapsed() {
  const TimePoint now = m_clock.GetNow();
  return std::erase_if(m_lapsed, [&](const auto& lapsed) { return lapsed.second.expires_at <= now; });
}

void FleetMirror::ExpireLost() {
  if (!m_is_store_reachable) return;
  ExpireLost(FleetTopic::kOperator);
  ExpireLost(FleetTopic::kDirectory);
}

// Live endpoints write their records again soon after the store's return, so that those of which the copy knows nothing
// are given up then. All else stays known until it is written again, but not for ever: if nobody who saw the restore is
// left, records that were written again early may be taken for the copy's.
void FleetMirror::ExpireLost(FleetTopic topic) {
  TopicMirror& mirror = GetTopic(topic);
  if (!mirror.era_seen_at.has_value()) return;
  const Duration age = m_clock.GetNow() - *mirror.era_seen_at;
  if (topic == FleetTopic::kDirectory && age >= kRelistTimeout && !mirror.has_expired_unlisted) {
    mirror.has_expired_unlisted = true;
    OnExpired(topic, mirror.records.ExpireUnlisted());
  }
  if (age < kRewriteTimeout) return;
  if (!mirror.has_accepted_store) {
    mirror.has_accepted_store = true;
    const StoreEra era = mirror.records.GetCompleteTo().era;
    if (mirror.records.CountLost() > 0) AddEraBound(topic, {era, era, LogOffset()});
  }
  if (age < kRewriteTimeout + kRereadTimeout) return;
  mirror.era_seen_at.reset();
  OnExpired(topic, mirror.records.ExpireLost());
}

void FleetMirror::OnExpired(FleetTopic topic, size_t keys) {
  if (keys == 0) return;
  LogEvent(LogLevel::kInfo, "lost_keys_expired", {{"topic", GetTopicName(topic)}, {"keys", keys}});
  OnChanged(topic, RecordOrigin::kStore);
}

void FleetMirror::Tick() {
  if (!IsFollowingOperator()) m_is_operator_followed = false;
  RecordRun();
  if (EvictLapsed() > 0) Publish();
  ExpireLost();
}

void FleetMirror::Publish() {
  EvictLapsed();
  auto view = std::make_shared<FleetView>();
  view->routing = m_operator_state.routing;
  view->zones_out = m_operator_state.zones_out;
  view->is_store_reachable = m_is_store_reachable;
  for (const auto& [id, entry] : m_endpoints) view->endpoints.push_back(entry.info);
  for (const auto& [id, lapsed] : m_lapsed) view->endpoints.push_back(lapsed.entry.info);
  RemoveReplaced(view->endpoints);
  view->wanted = m_wanted;
  m_view.Set(view);
  for (const auto& listener : m_listeners) listener(view);
}

}  // namespace plantain
