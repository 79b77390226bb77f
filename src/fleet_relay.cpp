#include "fleet_relay.h"

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
// Maximum recipients of one beacon. Other processes learn of this one through the entries that receive it.
constexpr size_t kMaxBeaconTargets = 24;
// One beacon in kRemoteZoneDivisor is sent to other zones, because bandwidth between regions is limited.
constexpr uint64_t kRemoteZoneDivisor = 3;
// An entry reads the store itself and asks a peer only if its own read has not returned the new records by then.
constexpr Duration kStoreReadTimeout = Milliseconds(800);
constexpr Duration kPullInterval = Milliseconds(200);
constexpr Duration kPullTimeout = Milliseconds(1000);
constexpr size_t kMaxBatchBytes = 16 * 1024 * 1024;

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

FleetRelay::FleetRelay(Loop& loop, const Clock& clock, FleetMirror& mirror, RelayOptions options)
    : m_loop(loop),
      m_clock(clock),
      m_mirror(mirror),
      m_options(std::move(options)),
      m_beacons(clock, BeaconOptions{m_options.vm, m_options.zone, Milliseconds(2500), m_options.seeds}) {
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
  m_server = std::make_unique<HttpServer>(m_loop, address, m_options.port, 0,
                                          [this](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
                                            responder->Send(HandleRecordRequest(request));
                                          });
  if (absl::Status status = m_server->Start(); !status.ok()) return status;
  m_client = std::make_unique<HttpClient>(m_loop);
  m_beacon_timer = m_loop.RunEvery(m_options.period, [this] { SendBeacons(); });
  m_pull_timer = m_loop.RunEvery(kPullInterval, [this] { PullIfBehind(); });
  m_loop.Post([this] { SendBeacons(); });
  return absl::OkStatus();
}

void FleetRelay::Stop() {
  m_beacon_timer.reset();
  m_pull_timer.reset();
  m_socket.reset();
  m_server.reset();
  m_client.reset();
}

void FleetRelay::AddBeaconListener(std::function<void(const BeaconInfo&)> listener) {
  m_listeners.push_back(std::move(listener));
}

void FleetRelay::OnDatagram(std::string_view data) {
  std::optional<BeaconInfo> beacon = DecodeBeacon(data);
  if (!beacon.has_value()) return;
  const BeaconInfo copy = *beacon;
  const bool is_new_entry = copy.is_entry && !m_beacons.IsKnown(copy.vm, copy.incarnation);
  if (!m_beacons.Update(*std::move(beacon))) return;
  // An entry that has just started knows nothing yet, and would serve in ignorance until the next regular beacon.
  if (is_new_entry) SendTo(copy.vm, MakeBeacon());
  // Operator changes must take effect within a time limit, so each hop pulls at once instead of on the next timer tick.
  ApplyEraBounds(FleetTopic::kOperator, copy.operator_state);
  ApplyEraBounds(FleetTopic::kDirectory, copy.directory_state);
  const LogRevision& known = m_mirror.GetRecords(FleetTopic::kOperator).GetRevision();
  if (!known.Covers(copy.operator_state.revision)) PullIfBehind();
  m_mirror.ApplyWantedAges(copy.wanted);
  for (const auto& listener : m_listeners) listener(copy);
}

void FleetRelay::SendNow() {
  m_is_urgent = true;
  SendBeacons();
}

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
  beacon.wanted = m_mirror.GetWantedAges();
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

void FleetRelay::SendBeacons() {
  if (m_socket == nullptr) return;
  const std::string data = MakeBeacon();
  const bool is_urgent = std::exchange(m_is_urgent, false);
  const bool sends_to_remote_zones = is_urgent || m_sequence % kRemoteZoneDivisor == 1;
  for (const VmId& target : m_beacons.GetTargets(kMaxBeaconTargets)) {
    if (!sends_to_remote_zones && !m_beacons.IsInOwnZone(target)) continue;
    SendTo(target, data);
  }
  if ((!sends_to_remote_zones || is_urgent) && m_options.is_entry) return;
  if (m_beacon_source == nullptr) return;
  for (const VmId& target : m_beacon_source->GetBeaconTargets()) SendTo(target, data);
}

void FleetRelay::FetchContent(const VmId& peer, const std::string& target,
                              std::function<void(absl::StatusOr<HttpResponse>)> on_done) {
  HttpCallOptions options;
  options.timeout = kPullTimeout;
  options.max_body_bytes = kMaxBatchBytes;
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

void FleetRelay::PullIfBehind() {
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
  const std::string known = FormatRevision(m_mirror.GetRecords(topic).GetRevision());
  const std::string path = topic == FleetTopic::kOperator ? kOperatorPath : kDirectoryPath;
  HttpCallOptions options;
  options.timeout = kPullTimeout;
  options.max_body_bytes = kMaxBatchBytes;
  m_client->Fetch({IpAddress(from.Get()), m_options.port}, HttpRequest{"GET", path + "?beyond=" + known, {}, ""},
                  options, [this, topic](const absl::StatusOr<HttpResponse>& response) {
                    --m_pulls_in_flight;
                    OnRecordBatch(topic, response);
                  });
}

void FleetRelay::OnRecordBatch(FleetTopic topic, const absl::StatusOr<HttpResponse>& response) {
  proto::RecordBatch batch;
  if (!response.ok() || response->status != kHttpOk || !batch.ParseFromString(response->body)) {
    LogEvent(LogLevel::kInfo, "peer_records_failed",
             {{"topic", topic == FleetTopic::kOperator ? "operator" : "directory"},
              {"status", response.ok() ? response->status : 0}});
    return;
  }
  const TopicState state = DecodeTopicState(batch.state(), batch.revision());
  std::vector<KeyedRecord> records;
  for (const proto::Record& record : batch.records()) records.push_back(DecodeRecord(record));
  LogEvent(LogLevel::kInfo, "peer_records",
           {{"topic", topic == FleetTopic::kOperator ? "operator" : "directory"},
            {"records", records.size()},
            {"revision", FormatRevision(state.revision)}});
  // These facts decide which of two records is newer.
  ApplyEraBounds(topic, state);
  m_mirror.ApplyRecords(topic, std::move(records), LogPosition(), RecordOrigin::kPeer);
  m_mirror.RaiseRevision(topic, state.revision);
}

}  // namespace plantain
