#include "fleet_relay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "event_log.h"
#include "failure_type.h"
#include "fleet.pb.h"

namespace plantain {
namespace {

constexpr char kOperatorPath[] = "/records/operator";
constexpr char kDirectoryPath[] = "/records/directory";
constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
// Maximum recipients of one beacon in the own zone and elsewhere. If there are more, they take turns. An agent's
// beacons matter less in other zones, whose entries prefer their own endpoints.
constexpr size_t kMaxOwnZoneTargets = 32;
constexpr size_t kMaxOtherTargets = 24;
constexpr size_t kMaxOtherTargetsOfAgent = 8;
// The same for the processes that the beacon source adds.
constexpr size_t kMaxAddedOwnZoneTargets = 16;
constexpr size_t kMaxAddedOtherTargets = 8;
// Maximum recipients of a beacon with news that callers' repeats could outrun.
constexpr size_t kMaxUrgentTargets = 256;
// Interval of log lines about beacons that could not be used, or only in part.
constexpr Duration kFaultyBeaconLogInterval = std::chrono::seconds(1);
// One beacon in kRemoteZoneDivisor is sent to other zones, because bandwidth between regions is limited.
constexpr uint64_t kRemoteZoneDivisor = 3;
// An entry reads the store itself and asks a peer only if its own read has not returned the new records by then.
constexpr Duration kStoreReadTimeout = Milliseconds(800);
constexpr Duration kPullInterval = Milliseconds(200);
constexpr Duration kPullTimeout = Milliseconds(1000);
constexpr size_t kMaxBatchBytes = 16 * 1024 * 1024;
constexpr int kHttpUnavailable = 503;
// In a large zone, few large batches are sent at a time, so that the first copies arrive early and spread from there.
constexpr size_t kLargeBatchBytes = 64 * 1024;
constexpr size_t kMaxLargeBatches = 3;
// Pauses after pulls leave half of an entry's link and three quarters of an agent's to requests.
constexpr double kEntryPauseFactor = 1;
constexpr double kAgentPauseFactor = 3;

double GetPauseFactor(bool is_entry) { return is_entry ? kEntryPauseFactor : kAgentPauseFactor; }

std::string_view GetTopicName(FleetTopic topic) { return topic == FleetTopic::kOperator ? "operator" : "directory"; }

// Formats a revision as ERA:OFFSET pairs joined by commas. Without eras it is a plain offset, as processes that know no
// eras write it.
std::string FormatRevision(const LogRevision& revision) {
  const LogPosition newest = revision.GetNewest();
  if (newest.era == StoreEra()) return std::to_string(newest.offset.Get());
  std::string text;
  for (const auto& [era, end] : revision.GetEnds()) {
    absl::StrAppend(&text, text.empty() ? "" : ",", era.Get(), ":", end.Get());
  }
  return text;
}

// Reads a revision; parts that are malformed count as nothing known.
LogRevision ParseRevision(const std::string& text) {
  LogRevision revision;
  for (const absl::string_view part : absl::StrSplit(text, ',')) {
    const std::vector<absl::string_view> pair = absl::StrSplit(part, ':');
    uint64_t era = 0;
    uint64_t end = 0;
    if (pair.size() > 2 || !absl::SimpleAtoi(pair.back(), &end)) continue;
    if (pair.size() == 2 && !absl::SimpleAtoi(pair.front(), &era)) continue;
    revision.Raise(StoreEra(era), LogOffset(end));
  }
  return revision;
}

void EncodeRecord(const KeyedRecord& record, proto::Record& out) {
  out.set_key(record.key);
  out.set_era(record.position.era.Get());
  out.set_offset(record.position.offset.Get());
  out.set_is_removed(!record.value.has_value());
  out.set_kind(static_cast<uint32_t>(record.kind));
  if (record.value.has_value()) out.set_value(*record.value);
}

KeyedRecord DecodeRecord(const proto::Record& in) {
  KeyedRecord record{in.key(), {StoreEra(in.era()), LogOffset(in.offset())}, std::nullopt, RecordKind::kWritten};
  if (in.kind() <= static_cast<uint32_t>(RecordKind::kExpired)) record.kind = static_cast<RecordKind>(in.kind());
  if (!in.is_removed()) record.value = in.value();
  return record;
}

}  // namespace

FleetRelay::FleetRelay(Loop& loop, MemoryBudget& answer_memory, std::shared_ptr<CallerMemory> caller_memory,
                       const Clock& clock, Random& random, Metrics& metrics, FleetMirror& mirror, RelayOptions options)
    : m_loop(loop),
      m_answer_memory(answer_memory),
      m_caller_memory(std::move(caller_memory)),
      m_clock(clock),
      m_metrics(metrics),
      m_mirror(mirror),
      m_options(std::move(options)),
      m_beacons(clock, BeaconOptions{m_options.vm, m_options.zone, Milliseconds(2500), m_options.seeds}),
      m_own_zone_targets(kMaxOwnZoneTargets),
      m_other_targets(m_options.is_entry ? kMaxOtherTargets : kMaxOtherTargetsOfAgent),
      m_urgent_targets(kMaxUrgentTargets),
      m_added_own_zone_targets(kMaxAddedOwnZoneTargets),
      m_added_other_targets(kMaxAddedOtherTargets),
      m_operator_plan(clock, random, GetPauseFactor(m_options.is_entry)),
      m_directory_plan(clock, random, GetPauseFactor(m_options.is_entry)) {
  mirror.AddFleetListener([this](const std::shared_ptr<const FleetView>&) { OnFleetChanged(); });
}

// Announces new operator records at once.
void FleetRelay::OnFleetChanged() {
  if (!m_announced_revision.Covers(m_mirror.GetRecords(FleetTopic::kOperator).GetRevision())) SendBeacons();
}

absl::Status FleetRelay::Start() {
  const IpAddress address(m_options.vm.Get());
  m_socket =
      std::make_unique<UdpSocket>(m_loop, address, m_options.port, [this](std::string_view data) { OnDatagram(data); });
  if (absl::Status status = m_socket->Start(); !status.ok()) return status;
  m_server = std::make_unique<HttpServer>(m_loop, m_caller_memory, address, m_options.port, 0,
                                          [this](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
                                            HandleRequest(request, responder);
                                          });
  if (absl::Status status = m_server->Start(); !status.ok()) return status;
  m_client = std::make_unique<HttpClient>(m_loop, m_answer_memory);
  m_beacon_timer = m_loop.RunEvery(m_options.period, [this] { SendBeacons(); });
  m_pull_timer = m_loop.RunEvery(kPullInterval, [this] { PullIfBehind(); });
  m_loop.Post([this] { SendBeacons(); });
  return absl::OkStatus();
}

void FleetRelay::Stop() {
  m_beacon_timer.reset();
  m_pull_timer.reset();
  m_plan_timer.reset();
  m_socket.reset();
  m_server.reset();
  m_client.reset();
}

void FleetRelay::AddBeaconListener(std::function<void(const BeaconInfo&)> listener) {
  m_listeners.push_back(std::move(listener));
}

void FleetRelay::OnDatagram(std::string_view data) {
  std::optional<BeaconInfo> beacon = DecodeBeacon(data);
  if (!beacon.has_value()) {
    LogFaultyBeacon("beacon_refused", VmId(), data.size());
    return;
  }
  if (beacon->is_cut) LogFaultyBeacon("beacon_cut", beacon->vm, data.size());
  const BeaconInfo copy = *beacon;
  const bool is_new_entry = copy.is_entry && !m_beacons.IsKnown(copy.vm, copy.incarnation);
  if (!m_beacons.Update(*std::move(beacon))) return;
  // An entry that has just started knows nothing yet, and would serve in ignorance until the next regular beacon.
  if (is_new_entry) SendTo(copy.vm, MakeBeacon());
  // Operator changes must take effect within a time limit, so each hop pulls at once instead of on the next timer tick.
  ApplyEraBounds(FleetTopic::kOperator, copy.operator_state);
  ApplyEraBounds(FleetTopic::kDirectory, copy.directory_state);
  const LogRevision& known = m_mirror.GetRecords(FleetTopic::kOperator).GetRevision();
  const LogRevision& known_directory = m_mirror.GetRecords(FleetTopic::kDirectory).GetRevision();
  const bool is_directory_due = GetPullRole().has_value() && !known_directory.Covers(copy.directory_state.revision);
  if (is_directory_due || !known.Covers(copy.operator_state.revision)) PullIfBehind();
  m_mirror.ApplyWantedAges(copy.wanted);
  for (const auto& listener : m_listeners) listener(copy);
}

void FleetRelay::LogFaultyBeacon(std::string_view event, const VmId& vm, size_t bytes) {
  ++m_faulty_beacons;
  const TimePoint now = m_clock.GetNow();
  if (m_faulty_logged_at.has_value() && now - *m_faulty_logged_at < kFaultyBeaconLogInterval) return;
  m_faulty_logged_at = now;
  LogEvent(LogLevel::kWarn, event, {{"from", vm}, {"bytes", bytes}, {"count", std::exchange(m_faulty_beacons, 0)}});
}

void FleetRelay::SendNow() {
  if (m_socket != nullptr) SendUrgentBeacon(MakeBeacon());
}

void FleetRelay::SendUrgentBeacon(const std::string& data) {
  const BeaconTargets targets = m_beacons.GetTargets();
  SendToAll(targets.own_zone, data);
  SendToAll(m_urgent_targets.GetNext(targets.other), data);
}

void FleetRelay::SendNowToZone() { SendNowTo(m_beacons.GetTargets().own_zone); }

void FleetRelay::SendNowTo(const std::vector<VmId>& targets) {
  if (m_socket == nullptr) return;
  const std::string data = MakeBeacon();
  for (const VmId& target : targets) SendTo(target, data);
}

void FleetRelay::SendTo(const VmId& target, const std::string& data) {
  if (m_socket != nullptr) m_socket->Send({IpAddress(target.Get()), m_options.port}, data);
}

std::string FleetRelay::MakeBeacon() {
  BeaconInfo beacon;
  beacon.vm = m_options.vm;
  beacon.zone = m_options.zone;
  beacon.is_entry = m_options.is_entry;
  beacon.incarnation = m_options.incarnation;
  beacon.sequence = ++m_sequence;
  beacon.operator_state = GetTopicState(FleetTopic::kOperator);
  m_announced_revision = beacon.operator_state.revision;
  beacon.directory_state = GetTopicState(FleetTopic::kDirectory);
  beacon.entries = m_beacons.GetEntries();
  if (m_options.is_entry) beacon.entries.push_back(m_options.vm);
  const BeaconTargets targets = m_beacons.GetTargets();
  beacon.own_zone_interval = m_options.period * m_own_zone_targets.CountTurns(targets.own_zone.size());
  beacon.other_interval = m_options.period * kRemoteZoneDivisor * m_other_targets.CountTurns(targets.other.size());
  beacon.wanted = m_mirror.GetWantedAges();
  if (m_get_store_statement) beacon.store = m_get_store_statement();
  if (m_beacon_source != nullptr) m_beacon_source->FillBeacon(beacon);
  return EncodeBeacon(beacon);
}

TopicState FleetRelay::GetTopicState(FleetTopic topic) const {
  const RecordMirror& records = m_mirror.GetRecords(topic);
  return TopicState{records.GetRevision(), records.GetEras().GetBounds()};
}

void FleetRelay::ApplyEraBounds(FleetTopic topic, const TopicState& state) {
  for (const EraBound& bound : state.era_bounds) m_mirror.AddEraBound(topic, bound);
}

void FleetRelay::SendToAll(const std::vector<VmId>& targets, const std::string& data) {
  for (const VmId& target : targets) SendTo(target, data);
}

void FleetRelay::SendBeacons() {
  if (m_socket == nullptr) return;
  const std::string data = MakeBeacon();
  const bool sends_to_remote_zones = m_regular_beacons++ % kRemoteZoneDivisor == 0;
  const BeaconTargets targets = m_beacons.GetTargets();
  SendToAll(m_own_zone_targets.GetNext(targets.own_zone), data);
  if (sends_to_remote_zones) SendToAll(m_other_targets.GetNext(targets.other), data);
  if (m_beacon_source == nullptr || (m_options.is_entry && !sends_to_remote_zones)) return;
  const BeaconTargets added = m_beacon_source->GetBeaconTargets();
  SendToAll(m_added_own_zone_targets.GetNext(added.own_zone), data);
  SendToAll(m_added_other_targets.GetNext(added.other), data);
}

void FleetRelay::FetchContent(const VmId& peer, const std::string& target,
                              std::function<void(absl::StatusOr<HttpResponse>)> on_done) {
  HttpCallOptions options(kMaxBatchBytes);
  options.timeout = kPullTimeout;
  m_client->Fetch({IpAddress(peer.Get()), m_options.port}, HttpRequest{"GET", target, {}, ""}, options,
                  std::move(on_done));
}

HttpResponse FleetRelay::HandleRecordRequest(const HttpRequest& request) const {
  const std::string_view path = GetPath(request.target);
  if (m_content_handler) {
    if (std::optional<HttpResponse> content = m_content_handler(request)) return *std::move(content);
  }
  if (path != kOperatorPath && path != kDirectoryPath) return MakeTextResponse(kHttpNotFound, "no such topic\n");
  const RecordMirror& mirror =
      m_mirror.GetRecords(path == kOperatorPath ? FleetTopic::kOperator : FleetTopic::kDirectory);
  const LogRevision known = ParseRevision(GetQueryValue(request.target, "beyond"));
  proto::RecordBatch batch;
  for (const KeyedRecord& record : mirror.GetChangesAfter(known)) EncodeRecord(record, *batch.add_records());
  batch.set_revision(mirror.GetRevision().GetNewest().offset.Get());
  EncodeTopicState(TopicState{mirror.GetRevision(), mirror.GetEras().GetBounds()}, *batch.mutable_state());
  HttpResponse response;
  response.headers.Add("Content-Type", "application/x-protobuf");
  response.body = batch.SerializeAsString();
  return response;
}

void FleetRelay::HandleRequest(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  HttpResponse response = HandleRecordRequest(request);
  const std::string_view path = GetPath(request.target);
  const bool is_large = (path == kOperatorPath || path == kDirectoryPath) && response.body.size() > kLargeBatchBytes;
  if (is_large && !AdmitLargeBatch(responder)) response = MakeTextResponse(kHttpUnavailable, "busy\n");
  responder->Send(std::move(response));
}

bool FleetRelay::AdmitLargeBatch(const std::shared_ptr<HttpResponder>& responder) {
  if (!GetPullRole().has_value()) return true;
  const TimePoint now = m_clock.GetNow();
  std::erase_if(m_large_batches, [&](const LargeBatch& batch) {
    const auto answered = batch.responder.lock();
    // A peer that stands still takes nothing, and has given up when its time limit is over.
    const bool is_given_up = now - batch.begun_at >= kPullTimeout;
    return answered == nullptr || answered->GetUnsentBytes() == 0 || is_given_up;
  });
  if (m_large_batches.size() >= kMaxLargeBatches) return false;
  m_large_batches.push_back({responder, now});
  return true;
}

std::optional<PullRole> FleetRelay::GetPullRole() const {
  if (m_options.is_entry) return m_pull_role;
  if (m_beacons.GetZoneEntries().size() <= m_options.direct_readers) return std::nullopt;
  return PullRole::kStandby;
}

RecordPullPlan& FleetRelay::GetPlan(FleetTopic topic) {
  return topic == FleetTopic::kOperator ? m_operator_plan : m_directory_plan;
}

PullStep FleetRelay::DecidePull(FleetTopic topic, PullRole role) {
  const RecordMirror& records = m_mirror.GetRecords(topic);
  const LogRevision& own = records.GetRevision();
  std::vector<PullPeer> peers;
  bool is_lost_at_store = false;
  for (const BeaconInfo* beacon : m_beacons.GetLiveBeacons()) {
    const TopicState& state = topic == FleetTopic::kOperator ? beacon->operator_state : beacon->directory_state;
    if (own.Covers(state.revision)) continue;
    is_lost_at_store = is_lost_at_store || own.LacksBefore(records.GetCompleteTo(), state.revision);
    peers.push_back({beacon->vm, beacon->zone == m_options.zone, beacon->is_entry, state.revision.GetNewest()});
  }
  const bool is_reader = role == PullRole::kReader && !is_lost_at_store && m_mirror.GetFleet()->is_store_reachable;
  if (role == PullRole::kReader && !is_reader) role = PullRole::kFirst;
  return GetPlan(topic).Decide(role, own.GetNewest(), peers);
}

void FleetRelay::PullByPlan(PullRole role) {
  if (m_client == nullptr) return;
  std::optional<Duration> next;
  for (const FleetTopic topic : {FleetTopic::kOperator, FleetTopic::kDirectory}) {
    const PullStep step = DecidePull(topic, role);
    if (step.peer.has_value()) Pull(*step.peer, topic);
    if (step.retry_after.has_value()) next = std::min(next.value_or(*step.retry_after), *step.retry_after);
  }
  m_plan_timer = next.has_value() ? m_loop.RunAfter(*next, [this] { PullIfBehind(); }) : nullptr;
}

void FleetRelay::PullIfBehind() {
  if (const auto role = GetPullRole()) return PullByPlan(*role);
  const RecordMirror& operators = m_mirror.GetRecords(FleetTopic::kOperator);
  const RecordMirror& directory = m_mirror.GetRecords(FleetTopic::kDirectory);
  const auto source = m_beacons.FindNewerPeer(operators.GetRevision(), directory.GetRevision());
  if (!source.has_value()) {
    m_behind_since.reset();
    return;
  }
  const TimePoint now = m_clock.GetNow();
  if (!m_behind_since.has_value()) m_behind_since = now;
  // What the store has lost in a restore only peers can tell.
  const bool is_lost_at_store =
      operators.GetRevision().LacksBefore(operators.GetCompleteTo(), source->operator_revision) ||
      directory.GetRevision().LacksBefore(directory.GetCompleteTo(), source->directory_revision);
  const bool may_come_from_store = m_mirror.GetFleet()->is_store_reachable && !is_lost_at_store;
  if (m_pulls_in_flight > 0 || (may_come_from_store && now - *m_behind_since < kStoreReadTimeout)) return;
  if (!operators.GetRevision().Covers(source->operator_revision)) Pull(source->vm, FleetTopic::kOperator);
  if (!directory.GetRevision().Covers(source->directory_revision)) Pull(source->vm, FleetTopic::kDirectory);
}

void FleetRelay::Pull(const VmId& from, FleetTopic topic) {
  ++m_pulls_in_flight;
  GetPlan(topic).OnStarted(from);
  const std::string known = FormatRevision(m_mirror.GetRecords(topic).GetRevision());
  const std::string path = topic == FleetTopic::kOperator ? kOperatorPath : kDirectoryPath;
  HttpCallOptions options(kMaxBatchBytes);
  options.timeout = kPullTimeout;
  m_client->Fetch({IpAddress(from.Get()), m_options.port}, HttpRequest{"GET", path + "?beyond=" + known, {}, ""},
                  options, [this, from, topic](const absl::StatusOr<HttpResponse>& response) {
                    --m_pulls_in_flight;
                    GetPlan(topic).OnEnded(OnRecordBatch(from, topic, response));
                    if (GetPullRole().has_value()) PullIfBehind();
                  });
}

// A peer of the own zone is one from which a beacon of the zone came.
void FleetRelay::CountReceived(const VmId& from, FleetTopic topic, size_t bytes) {
  const std::vector<const BeaconInfo*> beacons = m_beacons.GetLiveBeacons();
  const bool is_own_zone = std::any_of(beacons.begin(), beacons.end(), [&](const BeaconInfo* beacon) {
    return beacon->vm == from && beacon->zone == m_options.zone;
  });
  m_metrics
      .GetCounter("plantain_record_bytes_total", "Bytes of record batches received from peers.",
                  {{"topic", std::string(GetTopicName(topic))}, {"source", is_own_zone ? "own_zone" : "other_zone"}})
      .Increment(static_cast<double>(bytes));
}

PullEnd FleetRelay::OnRecordBatch(const VmId& from, FleetTopic topic, const absl::StatusOr<HttpResponse>& response) {
  proto::RecordBatch batch;
  if (!response.ok() || response->status != kHttpOk || !batch.ParseFromString(response->body)) {
    LogEvent(LogLevel::kInfo, "peer_records_failed",
             {{"topic", GetTopicName(topic)}, {"from", from}, {"status", response.ok() ? response->status : 0}});
    return response.ok() && response->status == kHttpUnavailable ? PullEnd::kRefused : PullEnd::kFailed;
  }
  const TopicState state = DecodeTopicState(batch.state(), batch.revision());
  std::vector<KeyedRecord> records;
  for (const proto::Record& record : batch.records()) records.push_back(DecodeRecord(record));
  LogEvent(LogLevel::kInfo, "peer_records",
           {{"topic", GetTopicName(topic)},
            {"from", from},
            {"records", records.size()},
            {"bytes", response->body.size()},
            {"revision", FormatRevision(state.revision)}});
  CountReceived(from, topic, response->body.size());
  // These facts decide which of two records is newer.
  ApplyEraBounds(topic, state);
  m_mirror.ApplyRecords(topic, std::move(records), LogPosition(), RecordOrigin::kPeer);
  m_mirror.RaiseRevision(topic, state.revision);
  return PullEnd::kReceived;
}

}  // namespace plantain
