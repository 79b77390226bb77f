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
// Exceeds the number of versions that can be pending at the same time.
constexpr size_t kMaxWanted = 64;

// Smaller differences between the ages that processes know are not applied; they come from the delay of beacons.
constexpr Duration kMinAgeCorrection = Milliseconds(50);
// Longer gaps between two ticks mean that the process stood still and may have received a request late.
constexpr Duration kMaxTickGap = Milliseconds(700);

// Returns the name that logs use.
std::string_view GetOriginName(RecordOrigin origin) { return origin == RecordOrigin::kStore ? "store" : "peer"; }

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
  return topic == FleetTopic::kOperator ? m_operator : m_directory;
}

RecordMirror& FleetMirror::GetMutableRecords(FleetTopic topic) {
  return topic == FleetTopic::kOperator ? m_operator : m_directory;
}

void FleetMirror::ApplyRecords(FleetTopic topic, std::vector<KeyedRecord> records, LogOffset complete_to,
                               RecordOrigin origin) {
  RecordMirror& mirror = GetMutableRecords(topic);
  bool is_changed = false;
  for (KeyedRecord& record : records) is_changed |= mirror.Apply(std::move(record));
  mirror.SetCompleteTo(complete_to);
  if (is_changed) OnChanged(topic, origin);
}

void FleetMirror::ApplyListing(FleetTopic topic, std::vector<KeyedRecord> records, LogOffset end) {
  if (GetMutableRecords(topic).ApplyListing(std::move(records), end)) OnChanged(topic, RecordOrigin::kStore);
}

void FleetMirror::SetStoreReachable(bool is_reachable) {
  if (is_reachable == m_is_store_reachable) return;
  m_is_store_reachable = is_reachable;
  if (is_reachable && m_had_store_outage) m_store_recovered_at = m_clock.GetNow();
  if (!is_reachable) m_had_store_outage = true;
  LogEvent(is_reachable ? LogLevel::kInfo : LogLevel::kWarn, is_reachable ? "store_reachable" : "store_unreachable",
           {{"operator_offset", m_operator.GetCompleteTo()}, {"directory_offset", m_directory.GetCompleteTo()}});
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
  OperatorState state = m_decoder.DecodeOperator(m_operator, m_operator_state);
  if (state.routing != m_operator_state.routing && state.routing != nullptr) {
    LogEvent(LogLevel::kInfo, "config_in_force",
             {{"version", state.routing->version},
              {"routes", state.routing->routes.size()},
              {"workspaces", state.routing->workspaces.size()},
              {"offset", m_operator.GetRevision()}});
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
            {"offset", m_operator.GetRevision()}});
}

void FleetMirror::ConfirmOperatorRead(TimePoint as_of) {
  m_last_run_at = m_clock.GetNow();
  m_operator_as_of = std::max(m_operator_as_of, as_of);
  m_is_operator_followed = m_last_run_at - m_operator_as_of <= kMaxReadDelay;
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

// Whether a removed record may return because its endpoint could not renew it during an outage. A removal received from
// a peer is final, since the peer has read it from the store.
bool FleetMirror::MayHaveLapsed(RecordOrigin origin) const {
  if (origin == RecordOrigin::kPeer || !m_had_store_outage) return false;
  return m_clock.GetNow() < m_store_recovered_at + kRelistTimeout || !m_is_store_reachable;
}

void FleetMirror::UpdateDirectory(RecordOrigin origin) {
  const TimePoint now = m_clock.GetNow();
  std::map<EndpointId, DirectoryEntry> endpoints;
  std::map<EndpointId, std::string> raw_values;
  m_directory.ForEach([&](const std::string& key, const std::string& value) {
    const EndpointId id(key);
    const auto known = m_raw_values.find(id);
    if (known != m_raw_values.end() && known->second == value) {
      raw_values.insert(m_raw_values.extract(known));
      if (const auto entry = m_endpoints.find(id); entry != m_endpoints.end()) endpoints.insert(*entry);
      return;
    }
    raw_values[id] = value;
    std::optional<DirectoryEntry> entry = m_decoder.DecodeEndpoint(key, value);
    if (!entry.has_value()) return;
    entry->info.cold_until = now + entry->cold_left;
    const auto before = m_endpoints.find(id);
    if (before == m_endpoints.end() || before->second.info.is_leaving != entry->info.is_leaving) {
      LogEvent(LogLevel::kInfo, entry->info.is_leaving ? "endpoint_leaving" : "endpoint_listed",
               {{"endpoint", id},
                {"pool", entry->info.pool},
                {"zone", entry->info.zone},
                {"address", entry->info.target.address},
                {"offset", m_directory.GetRevision()}});
    }
    endpoints.emplace(id, *std::move(entry));
  });
  const bool may_have_lapsed = MayHaveLapsed(origin);
  for (const auto& [id, entry] : m_endpoints) {
    if (endpoints.contains(id)) continue;
    const bool is_kept = may_have_lapsed && !entry.info.is_leaving;
    LogEvent(LogLevel::kInfo, is_kept ? "endpoint_lapsed" : "endpoint_gone",
             {{"endpoint", id}, {"pool", entry.info.pool}, {"offset", m_directory.GetRevision()}});
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

void FleetMirror::Tick() {
  if (!IsFollowingOperator()) m_is_operator_followed = false;
  m_last_run_at = m_clock.GetNow();
  if (EvictLapsed() > 0) Publish();
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
