#include "chunk_downloader.h"

#include "chunk_peers.h"
#include "event_log.h"
#include "failure_type.h"
#include "manifest_func.h"
#include "transfer.pb.h"

namespace plantain {
namespace {

constexpr int kHttpOk = 200;
constexpr size_t kMessageOverhead = 64 * 1024;
// Interest is sent again to a peer that has sent nothing for this long, since it may have restarted.
constexpr Duration kInterestPeriod = std::chrono::seconds(1);
// Number of hedge delays that the manifest owner of another zone waits for the zone that fetches from the origin,
// before it fetches from the origin itself.
constexpr int kRemoteFallbackHedges = 4;

ChannelOptions MakeChannelOptions() {
  ChannelOptions options;
  options.max_message_bytes = std::max<size_t>(kMaxChunkBytes, kMaxManifestBytes) + kMessageOverhead;
  return options;
}

constexpr char kReceivedName[] = "plantain_transfer_received_bytes_total";
constexpr char kReceivedHelp[] = "Verified chunk bytes received, by source.";

}  // namespace

ChunkDownloader::ChunkDownloader(TransferState& state, ChannelContext& context, DownloadOptions options,
                                 ChunkOrigin& origin, Random& random, DownloadListener& listener)
    : m_state(state),
      m_context(context),
      m_options(std::move(options)),
      m_listener(listener),
      m_plan(state.clock, random, m_options.plan),
      m_origin(origin),
      m_origin_bytes(state.metrics.GetCounter(kReceivedName, kReceivedHelp, {{"source", "origin"}})),
      m_peer_bytes(state.metrics.GetCounter(kReceivedName, kReceivedHelp, {{"source", "zone"}})),
      m_shared_bytes(state.metrics.GetCounter(kReceivedName, kReceivedHelp, {{"source", "other_zone"}})),
      m_corrupt(state.metrics.GetCounter("plantain_transfer_corrupt_total", "Chunks whose digest did not match.")),
      m_wasted_bytes(state.metrics.GetCounter("plantain_transfer_wasted_bytes_total",
                                              "Chunk bytes received more than once or no longer wanted.")),
      m_exclusions(state.metrics.GetGauge("plantain_transfer_exclusions", "Times that a peer was excluded.")) {}

ChunkDownloader::~ChunkDownloader() { Stop(); }

void ChunkDownloader::Stop() {
  m_fetch_timer.reset();
  for (auto& [id, call] : m_origin_calls) call->Cancel();
  for (auto& [id, call] : m_manifest_calls) {
    if (call != nullptr) call->Cancel();
  }
  m_origin_calls.clear();
  m_manifest_calls.clear();
  m_links.clear();
}

void ChunkDownloader::SetWants(std::vector<WantedManifest> wants) {
  m_wants = std::move(wants);
  const TimePoint now = m_state.clock.GetNow();
  std::vector<WantedManifest> known;
  for (WantedManifest& want : m_wants) {
    m_wanted_since.try_emplace(want.digest, now);
    want.manifest = m_state.manifest_index.Find(want.digest);
    if (want.manifest != nullptr) known.push_back(want);
  }
  for (const Fetch& fetch : m_plan.SetWants(std::move(known))) Cancel(fetch);
  UpdateLinks();
  FetchManifests();
  SendFetches();
}

void ChunkDownloader::UpdateLinks() {
  std::map<VmId, WeightPeer> needed;
  for (const WeightPeer& peer : m_plan.GetSources()) needed.emplace(peer.vm, peer);
  for (const WantedManifest& want : m_wants) {
    if (want.manifest != nullptr) continue;
    for (const WeightPeer& peer : PickChunkPeers(m_options.plan, want)) needed.emplace(peer.vm, peer);
  }
  std::erase_if(m_links, [&](const auto& link) {
    const auto found = needed.find(link.first);
    return found == needed.end() || found->second.address != link.second.target.address;
  });
  for (const auto& [vm, peer] : needed) {
    if (peer.address.IsEmpty() || m_links.contains(vm)) continue;
    Link& link = m_links[vm];
    link.target = {peer.address, m_options.peer_port};
    link.channel = std::make_unique<ClientChannel>(m_state.loop, m_context, link.target, MakeChannelOptions(),
                                                   [this, vm = vm](std::string_view bytes) { OnMessage(vm, bytes); });
  }
  for (auto& [vm, link] : m_links) SendInterests(vm, link);
}

void ChunkDownloader::SendInterests(const VmId& vm, Link& link) {
  const TimePoint now = m_state.clock.GetNow();
  const bool is_repeat = now - link.last_activity_at > kInterestPeriod;
  for (const WantedManifest& want : m_wants) {
    const bool requests_manifest = want.manifest == nullptr && MayRequestManifest(want, vm);
    const auto sent = link.interests.find(want.digest);
    if (sent != link.interests.end() && sent->second == requests_manifest && !is_repeat) continue;
    proto::TransferMessage message;
    message.set_sender(m_state.vm.Get());
    message.mutable_interest()->set_manifest(want.digest.Get());
    message.mutable_interest()->set_want_manifest(requests_manifest);
    if (!link.channel->Send(message.SerializeAsString())) continue;
    link.interests[want.digest] = requests_manifest;
    link.last_activity_at = now;
  }
}

bool ChunkDownloader::MayRequestManifest(const WantedManifest& want, const VmId& vm) const {
  for (const WeightPeer& peer : want.peers) {
    if (peer.vm != vm) continue;
    // Only the manifest owner of a zone requests it from another zone, unless the owner makes no progress.
    return peer.zone == m_options.plan.zone || IsManifestDue(want);
  }
  return false;
}

bool ChunkDownloader::IsManifestDue(const WantedManifest& want) const {
  const auto since = m_wanted_since.find(want.digest);
  const uint32_t rank = GetManifestRank(m_options.plan, want);
  return since != m_wanted_since.end() && m_state.clock.GetNow() - since->second >= m_options.plan.hedge_time * rank;
}

void ChunkDownloader::FetchManifests() {
  const TimePoint now = m_state.clock.GetNow();
  for (const WantedManifest& want : m_wants) {
    if (want.manifest != nullptr || m_manifest_calls.contains(want.digest) || !IsManifestDue(want)) continue;
    const bool is_in_origin_fetch_zone = want.origin_fetch_zone == m_options.plan.zone;
    const Duration wait_time = now - m_wanted_since.find(want.digest)->second;
    if (is_in_origin_fetch_zone || wait_time > m_options.plan.hedge_time * kRemoteFallbackHedges)
      FetchManifest(want.digest);
  }
}

void ChunkDownloader::FetchManifest(const Digest& manifest) {
  const Duration timeout = m_options.plan.hedge_time * kRemoteFallbackHedges;
  m_manifest_calls[manifest] =
      m_origin.FetchManifest(manifest, timeout, [this, manifest](const absl::StatusOr<HttpResponse>& response) {
        m_manifest_calls.erase(manifest);
        if (!response.ok() || response->status != kHttpOk) return;
        proto::ManifestReply reply;
        reply.set_manifest(manifest.Get());
        reply.set_content(response->body);
        OnManifestReply(reply);
      });
}

void ChunkDownloader::OnManifestReply(const proto::ManifestReply& reply) {
  const Digest digest(reply.manifest());
  if (m_state.manifest_index.Find(digest) != nullptr || !m_wanted_since.contains(digest)) return;
  const auto manifest = ParseManifest(digest, reply.content());
  if (!manifest.ok()) {
    m_corrupt.Increment();
    LogEvent(LogLevel::kWarn, "manifest_refused", {MakeFailureField(manifest.status())});
    return;
  }
  m_state.manifest_index.Add(*manifest);
  m_listener.OnManifest(digest);
}

void ChunkDownloader::OnMessage(const VmId& vm, std::string_view bytes) {
  proto::TransferMessage message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return;
  const auto link = m_links.find(vm);
  if (link == m_links.end()) return;
  link->second.last_activity_at = m_state.clock.GetNow();
  switch (message.body_case()) {
    case proto::TransferMessage::kHave: {
      const Digest digest(message.have().manifest());
      const auto manifest = m_state.manifest_index.Find(digest);
      if (manifest != nullptr) m_plan.OnHaveMap(vm, digest, UnpackBits(message.have().bits(), manifest->chunks.size()));
      break;
    }
    case proto::TransferMessage::kDelta:
      m_plan.OnHaveDelta(vm, Digest(message.delta().manifest()),
                         {message.delta().index().begin(), message.delta().index().end()});
      break;
    case proto::TransferMessage::kManifest:
      OnManifestReply(message.manifest());
      return;
    case proto::TransferMessage::kReply:
      OnReply(vm, *message.mutable_reply());
      break;
    default:
      return;
  }
  SendFetches();
}

void ChunkDownloader::OnReply(const VmId& vm, proto::ChunkReply& reply) {
  const FetchId id(reply.id());
  const auto found = m_fetches.find(id);
  if (found == m_fetches.end() || found->second.peer != vm) {
    m_wasted_bytes.Increment(static_cast<double>(reply.content().size()));
    return;
  }
  const Fetch fetch = found->second;
  if (reply.content().empty()) {
    m_fetches.erase(found);
    ReturnTokens(fetch);
    m_plan.OnFailed(id, reply.busy() ? FetchFailure::kBusy : FetchFailure::kMissing);
    return;
  }
  OnContent(fetch, std::move(*reply.mutable_content()));
}

void ChunkDownloader::OnContent(const Fetch& fetch, std::string content) {
  m_fetches.erase(fetch.id);
  std::vector<Digest> evicted;
  const auto size = static_cast<double>(content.size());
  const absl::Status status = m_state.store.Put(fetch.chunk, std::move(content), evicted);
  if (!status.ok()) {
    const bool is_corrupt = GetFailureCode(status) == FailureCode::kDigestMismatch;
    if (is_corrupt) m_corrupt.Increment();
    LogEvent(LogLevel::kWarn, "chunk_refused",
             {{"source", fetch.peer.has_value() ? fetch.peer->Get() : "origin"}, MakeFailureField(status)});
    m_plan.OnFailed(fetch.id, is_corrupt ? FetchFailure::kCorrupt : FetchFailure::kBusy);
    return;
  }
  (!fetch.peer.has_value() ? m_origin_bytes : fetch.is_cross_zone ? m_shared_bytes : m_peer_bytes).Increment(size);
  for (const Fetch& other : m_plan.OnVerified(fetch.id)) Cancel(other);
  m_listener.OnChunk(fetch.chunk, evicted);
}

void ChunkDownloader::SendFetches() {
  if (m_fetch_timer != nullptr) return;
  while (true) {
    const TimePoint now = m_state.clock.GetNow();
    const Duration delay = m_state.pace.GetDownload().GetDelay(now);
    if (delay > Duration::zero()) {
      m_fetch_timer = m_state.loop.RunAfter(delay, [this] {
        m_fetch_timer.reset();
        SendFetches();
      });
      return;
    }
    FetchAllowance allowance;
    allowance.cross_zone = m_state.pace.GetCrossZoneDownload().IsOpen(now);
    const uint64_t available_bytes = m_state.store.GetAvailableBytes().Get();
    allowance.available_bytes =
        available_bytes > m_plan.GetBytesInFlight() ? available_bytes - m_plan.GetBytesInFlight() : 0;
    const auto fetch = m_plan.StartNextFetch(allowance);
    if (!fetch.has_value()) return;
    SendFetch(*fetch);
  }
}

void ChunkDownloader::SendFetch(const Fetch& fetch) {
  const TimePoint now = m_state.clock.GetNow();
  m_fetches[fetch.id] = fetch;
  m_state.pace.GetDownload().Take(Bytes(fetch.size), now);
  if (fetch.is_cross_zone) m_state.pace.GetCrossZoneDownload().Take(Bytes(fetch.size), now);
  if (!fetch.peer.has_value()) {
    FetchFromOrigin(fetch);
    return;
  }
  proto::TransferMessage message;
  message.set_sender(m_state.vm.Get());
  message.mutable_request()->set_id(fetch.id.Get());
  message.mutable_request()->set_digest(fetch.chunk.Get());
  const auto link = m_links.find(*fetch.peer);
  if (link != m_links.end() && link->second.channel->Send(message.SerializeAsString())) return;
  m_fetches.erase(fetch.id);
  ReturnTokens(fetch);
  m_plan.OnFailed(fetch.id, FetchFailure::kLost);
}

void ChunkDownloader::FetchFromOrigin(const Fetch& fetch) {
  auto content = std::make_shared<std::string>();
  auto status_code = std::make_shared<int>(0);
  HttpCallbacks callbacks;
  callbacks.on_head = [status_code](int status, const HttpHeaders&) { *status_code = status; };
  callbacks.on_data = [this, content, id = fetch.id](std::string_view data) {
    content->append(data);
    m_plan.OnBytesReceived(id);
  };
  callbacks.on_done = [this, content, status_code, fetch](const absl::Status& status) {
    if (!status.ok()) {
      OnOriginChunk(fetch, status);
    } else {
      OnOriginChunk(fetch, HttpResponse{*status_code, {}, std::move(*content)});
    }
  };
  m_origin_calls[fetch.id] = m_origin.FetchChunk(fetch.chunk, Bytes(fetch.size), std::move(callbacks));
}

void ChunkDownloader::OnOriginChunk(const Fetch& fetch, absl::StatusOr<HttpResponse> response) {
  m_origin_calls.erase(fetch.id);
  if (response.ok() && response->status == kHttpOk) {
    OnContent(fetch, std::move(response->body));
  } else {
    m_fetches.erase(fetch.id);
    ReturnTokens(fetch);
    m_plan.OnFailed(fetch.id, FetchFailure::kLost);
  }
  SendFetches();
}

void ChunkDownloader::Cancel(const Fetch& fetch) {
  m_fetches.erase(fetch.id);
  if (!fetch.peer.has_value()) {
    const auto call = m_origin_calls.find(fetch.id);
    if (call == m_origin_calls.end()) return;
    call->second->Cancel();
    m_origin_calls.erase(call);
    return;
  }
  const auto link = m_links.find(*fetch.peer);
  if (link == m_links.end()) return;
  proto::TransferMessage message;
  message.set_sender(m_state.vm.Get());
  message.mutable_cancel()->set_id(fetch.id.Get());
  link->second.channel->Send(message.SerializeAsString());
}

void ChunkDownloader::ReturnTokens(const Fetch& fetch) {
  m_state.pace.GetDownload().Refund(Bytes(fetch.size));
  if (fetch.is_cross_zone) m_state.pace.GetCrossZoneDownload().Refund(Bytes(fetch.size));
}

void ChunkDownloader::Tick() {
  for (const Fetch& fetch : m_plan.ExpireStalledFetches()) {
    LogEvent(LogLevel::kInfo, "fetch_stalled", {{"source", fetch.peer.has_value() ? fetch.peer->Get() : "origin"}});
    ReturnTokens(fetch);
    Cancel(fetch);
  }
  m_exclusions.Set(static_cast<double>(m_plan.GetExclusions()));
  for (auto& [vm, link] : m_links) SendInterests(vm, link);
  FetchManifests();
  SendFetches();
}

}  // namespace plantain
