#include "fleet_relay.h"

#include <charconv>
#include <utility>

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
  if (m_mirror.GetRecords(FleetTopic::kOperator).GetRevision() > m_announced_revision) SendBeacons();
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
  if (is_new_entry && m_options.is_entry) SendTo(copy.vm, MakeBeacon());
  // Operator changes must take effect within a time limit, so each hop pulls at once instead of on the next timer tick.
  if (copy.operator_revision > m_mirror.GetRecords(FleetTopic::kOperator).GetRevision()) PullIfBehind();
  m_mirror.ApplyWantedAges(copy.wanted);
  for (const auto& listener : m_listeners) listener(copy);
}

void FleetRelay::SendNow() {
  m_is_urgent = true;
  SendBeacons();
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
  beacon.operator_revision = m_mirror.GetRecords(FleetTopic::kOperator).GetRevision();
  m_announced_revision = beacon.operator_revision;
  beacon.directory_revision = m_mirror.GetRecords(FleetTopic::kDirectory).GetRevision();
  beacon.entries = m_beacons.GetEntries();
  if (m_options.is_entry) beacon.entries.push_back(m_options.vm);
  beacon.wanted = m_mirror.GetWantedAges();
  if (m_beacon_source != nullptr) m_beacon_source->FillBeacon(beacon);
  return EncodeBeacon(beacon);
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
  uint64_t from = 0;
  const std::string text = GetQueryValue(request.target, "beyond");
  std::from_chars(text.data(), text.data() + text.size(), from);
  proto::RecordBatch batch;
  for (const KeyedRecord& record : mirror.GetChangesAfter(LogOffset(from))) {
    proto::Record* out = batch.add_records();
    out->set_key(record.key);
    out->set_offset(record.offset.Get());
    out->set_is_removed(!record.value.has_value());
    if (record.value.has_value()) out->set_value(*record.value);
  }
  batch.set_revision(mirror.GetRevision().Get());
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
  const bool can_read_store = m_mirror.GetFleet()->is_store_reachable;
  if (m_pulls_in_flight > 0 || (can_read_store && now - *m_behind_since < kStoreReadTimeout)) return;
  if (source->operator_revision > operators.GetRevision()) Pull(source->vm, FleetTopic::kOperator);
  if (source->directory_revision > directory.GetRevision()) Pull(source->vm, FleetTopic::kDirectory);
}

void FleetRelay::Pull(const VmId& from, FleetTopic topic) {
  ++m_pulls_in_flight;
  const uint64_t known = m_mirror.GetRecords(topic).GetRevision().Get();
  const std::string path = topic == FleetTopic::kOperator ? kOperatorPath : kDirectoryPath;
  HttpCallOptions options;
  options.timeout = kPullTimeout;
  options.max_body_bytes = kMaxBatchBytes;
  m_client->Fetch({IpAddress(from.Get()), m_options.port},
                  HttpRequest{"GET", path + "?beyond=" + std::to_string(known), {}, ""}, options,
                  [this, topic](const absl::StatusOr<HttpResponse>& response) {
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
  std::vector<KeyedRecord> records;
  for (const proto::Record& record : batch.records()) {
    KeyedRecord taken{record.key(), LogOffset(record.offset()), std::nullopt};
    if (!record.is_removed()) taken.value = record.value();
    records.push_back(std::move(taken));
  }
  LogEvent(LogLevel::kInfo, "peer_records",
           {{"topic", topic == FleetTopic::kOperator ? "operator" : "directory"},
            {"records", records.size()},
            {"revision", batch.revision()}});
  m_mirror.ApplyRecords(topic, std::move(records), LogOffset(), RecordOrigin::kPeer);
}

}  // namespace plantain
