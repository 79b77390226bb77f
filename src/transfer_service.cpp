#include "transfer_service.h"

#include <algorithm>

#include "event_log.h"
#include "manifest_func.h"

namespace plantain {
namespace {

constexpr Duration kTickInterval = Milliseconds(25);
// Progress updates within this delay are combined into one report.
constexpr Duration kReportDelay = Milliseconds(50);
constexpr Duration kManifestTimeout = std::chrono::seconds(2);

ChunkPlanOptions MakePlanOptions(const TransferOptions& options) {
  ChunkPlanOptions plan = options.plan;
  plan.self = options.vm;
  plan.zone = options.zone;
  plan.hedge_time = options.hedge_time;
  return plan;
}

}  // namespace

TransferService::TransferService(TransferOptions options, TransferDeps deps, const Clock& clock, Loop& control_loop,
                                 Loop& transfer_loop, ChannelContext& channels, Metrics& metrics, uint64_t seed)
    : m_options(std::move(options)),
      m_deps(std::move(deps)),
      m_control_loop(control_loop),
      m_loop(transfer_loop),
      m_store(m_options.cache),
      m_rate_limits(m_options.pace, clock),
      m_random(seed),
      m_state{clock, transfer_loop, m_store, m_manifest_index, m_rate_limits, metrics, m_options.vm, m_options.zone},
      m_staging_uploader(transfer_loop, *m_deps.stage, m_store, m_manifest_index,
                         [this](const Digest& chunk) { OnStaged(chunk); }),
      m_upload(
          m_state, channels, [this](const VmId& vm) { return FindZone(vm); },
          [this](const Digest& manifest) { return IsManifestUrgent(manifest); }),
      m_restore(*m_deps.stage, m_store,
                [this](const Digest& chunk, const std::vector<Digest>& dropped) { OnRestored(chunk, dropped); }),
      m_download(std::make_unique<ChunkDownloader>(m_state, channels,
                                                   DownloadOptions{MakePlanOptions(m_options), m_options.port},
                                                   *m_deps.origin, m_random, static_cast<DownloadListener&>(*this))),
      m_cache_bytes(metrics.GetGauge("plantain_transfer_cache_bytes", "Bytes of chunks kept in memory.")),
      m_cache_limit(metrics.GetGauge("plantain_transfer_cache_limit_bytes", "Most bytes of chunks kept in memory.")) {
  m_cache_limit.Set(static_cast<double>(m_options.cache.Get()));
}

TransferService::~TransferService() = default;

absl::Status TransferService::Start() {
  if (absl::Status status = m_upload.Start(m_options.address, m_options.port); !status.ok()) return status;
  m_tick_timer = m_loop.RunEvery(kTickInterval, [this] { m_download->Tick(); });
  return absl::OkStatus();
}

void TransferService::Stop() {
  m_tick_timer.reset();
  m_report_timer.reset();
  m_upload.Stop();
  m_restore.Stop();
  m_download->Stop();
  m_staging_uploader.Stop();
}

void TransferService::SetGoal(ExchangeGoal goal) {
  m_loop.Post([this, goal = std::move(goal)] { ApplyGoal(goal); });
}

void TransferService::SetStagingState(StagingState state) {
  m_loop.Post([this, state = std::move(state)] { ApplyStagingState(state); });
}

void TransferService::SetProgressListener(std::function<void(const ProgressMap&)> listener) {
  m_listener = std::move(listener);
}

void TransferService::ApplyGoal(const ExchangeGoal& goal) {
  m_rate_limits.SetHasLiveRequests(goal.has_live_requests);
  if (goal.wants == m_goal.wants) return;
  m_goal = goal;
  m_zones.clear();
  for (const ExchangeWant& want : m_goal.wants) {
    for (const WeightPeer& peer : want.peers) m_zones[peer.vm] = peer.zone;
  }
  DropUnwantedManifests();
  UpdateHeldChunks();
  UpdateWants();
  UpdateRestore();
  ScheduleReport();
}

// Restores the chunks of weights that the engine has loaded and peers still need: reads them back from the engine
// unless they are still in memory from the download.
void TransferService::UpdateRestore() {
  const auto is_for_peers_only = [](const ExchangeWant& want) { return !want.is_needed; };
  const auto want = std::find_if(m_goal.wants.begin(), m_goal.wants.end(), is_for_peers_only);
  if (want == m_goal.wants.end()) {
    m_restore.SetManifest(nullptr);
    return;
  }
  const auto manifest = m_manifest_index.Find(want->manifest);
  if (manifest != nullptr) {
    m_restore.SetManifest(manifest);
    return;
  }
  if (!m_requested_manifests.insert(want->manifest).second) return;
  m_deps.origin->FetchManifest(want->manifest, kManifestTimeout,
                               [this, digest = want->manifest](const absl::StatusOr<HttpResponse>& response) {
                                 m_requested_manifests.erase(digest);
                                 if (!response.ok() || m_manifest_index.Find(digest) != nullptr) return;
                                 const auto parsed = ParseManifest(digest, response->body);
                                 if (!parsed.ok()) return;
                                 m_manifest_index.Add(*parsed);
                                 OnManifest(digest);
                                 UpdateRestore();
                               });
}

void TransferService::OnRestored(const Digest& chunk, const std::vector<Digest>& dropped) {
  m_download->MarkAvailable(chunk);
  OnChunk(chunk, dropped);
}

void TransferService::DropUnwantedManifests() {
  const auto is_wanted = [&](const Digest& manifest) {
    return std::any_of(m_goal.wants.begin(), m_goal.wants.end(),
                       [&](const ExchangeWant& want) { return want.manifest == manifest; });
  };
  std::vector<std::shared_ptr<const Manifest>> unwanted;
  for (const auto& [digest, manifest] : m_manifest_index.GetAll()) {
    if (!is_wanted(digest)) unwanted.push_back(manifest);
  }
  for (const auto& manifest : unwanted) {
    m_manifest_index.Remove(manifest->digest);
    m_logged_steps.erase(manifest->digest);
    for (const ChunkRef& chunk : manifest->chunks) {
      if (!m_manifest_index.FindPositions(chunk.digest).empty()) continue;
      m_store.Drop(chunk.digest);
      m_pinned.erase(chunk.digest);
      m_download->MarkMissing(chunk.digest);
    }
  }
  m_cache_bytes.Set(static_cast<double>(m_store.GetUsed().Get()));
}

void TransferService::UpdateWants() {
  std::vector<WantedManifest> wants;
  uint64_t total = 0;
  for (const ExchangeWant& want : m_goal.wants) {
    if (!want.is_needed) continue;
    const auto manifest = m_manifest_index.Find(want.manifest);
    if (manifest != nullptr) total += manifest->total_size.Get();
    // Weights that the engine cannot stage yet are prefetched only if they fit in the cache together with the weights
    // that are being staged.
    if (!wants.empty() && total > m_options.cache.Get()) break;
    wants.push_back({manifest, want.manifest, want.peers, want.origin_fetch_zone, want.is_urgent});
  }
  m_download->SetWants(std::move(wants));
}

void TransferService::ApplyStagingState(const StagingState& state) {
  const bool is_changed = state.target != m_staging_uploader.GetTarget();
  m_staging_uploader.SetState(state);
  if (is_changed) UpdateHeldChunks();
  ScheduleReport();
}

// Updates the chunks that this VM has. A chunk counts if it is in the store or staged by the engine for the current
// target.
void TransferService::UpdateHeldChunks() {
  for (const auto& [digest, manifest] : m_manifest_index.GetAll()) {
    for (const ChunkRef& chunk : manifest->chunks) {
      const bool is_held = m_store.Has(chunk.digest) || m_staging_uploader.IsChunkStaged(chunk.digest);
      if (is_held) {
        m_download->MarkAvailable(chunk.digest);
      } else {
        m_download->MarkMissing(chunk.digest);
      }
    }
  }
}

bool TransferService::IsNeededForStaging(const Digest& chunk) const {
  const auto& positions = m_manifest_index.FindPositions(chunk);
  return std::any_of(positions.begin(), positions.end(),
                     [&](const ChunkPosition& position) { return m_staging_uploader.IsTarget(position.manifest); }) &&
         !m_staging_uploader.IsChunkStaged(chunk);
}

void TransferService::OnManifest(const Digest& manifest) {
  LogEvent(LogLevel::kInfo, "manifest_known", {{"manifest", FormatDigest(manifest)}});
  UpdateHeldChunks();
  UpdateWants();
  m_upload.OnManifestKnown(manifest);
  m_staging_uploader.StartUploads();
  Report();
}

void TransferService::OnChunk(const Digest& chunk, const std::vector<Digest>& dropped) {
  if (IsNeededForStaging(chunk) && m_pinned.insert(chunk).second) m_store.Pin(chunk);
  for (const Digest& digest : dropped) {
    if (!m_staging_uploader.IsChunkStaged(digest)) m_download->MarkMissing(digest);
  }
  m_cache_bytes.Set(static_cast<double>(m_store.GetUsed().Get()));
  m_upload.OnChunkStored(chunk);
  m_staging_uploader.OnChunkStored(chunk);
  ScheduleReport();
}

void TransferService::OnStaged(const Digest& chunk) {
  if (m_pinned.erase(chunk) > 0) m_store.Unpin(chunk);
  m_download->MarkAvailable(chunk);
  if (m_staging_uploader.IsComplete()) {
    Report();
  } else {
    ScheduleReport();
  }
}

void TransferService::ScheduleReport() {
  if (m_report_timer != nullptr) return;
  m_report_timer = m_loop.RunAfter(kReportDelay, [this] { Report(); });
}

void TransferService::Report() {
  m_report_timer.reset();
  ProgressMap progress;
  for (const auto& [digest, manifest] : m_manifest_index.GetAll()) {
    ExchangeProgress& entry = progress[digest];
    entry.chunk_count = manifest->chunks.size();
    entry.verified =
        static_cast<size_t>(std::count_if(manifest->chunks.begin(), manifest->chunks.end(), [&](const ChunkRef& chunk) {
          return m_download->IsAvailable(chunk.digest);
        }));
    entry.is_staged = m_staging_uploader.IsTarget(digest) && m_staging_uploader.IsComplete();
    LogProgress(digest, entry);
  }
  m_control_loop.Post([this, progress = std::move(progress)] {
    if (m_listener) m_listener(progress);
  });
}

// Logs one line for each quarter of the chunks, to keep the log short.
void TransferService::LogProgress(const Digest& manifest, const ExchangeProgress& progress) {
  constexpr size_t kSteps = 4;
  if (progress.chunk_count == 0) return;
  const size_t step = progress.verified * kSteps / progress.chunk_count + (progress.is_staged ? 1 : 0);
  size_t& logged = m_logged_steps[manifest];
  if (step <= logged) return;
  logged = step;
  LogEvent(LogLevel::kInfo, "weights_progress",
           {{"manifest", FormatDigest(manifest)},
            {"verified", progress.verified},
            {"chunks", progress.chunk_count},
            {"staged", progress.is_staged}});
}

ZoneName TransferService::FindZone(const VmId& vm) const {
  const auto found = m_zones.find(vm);
  return found == m_zones.end() ? m_options.zone : found->second;
}

bool TransferService::IsManifestUrgent(const Digest& manifest) const {
  return std::any_of(m_goal.wants.begin(), m_goal.wants.end(),
                     [&](const ExchangeWant& want) { return want.manifest == manifest && want.is_urgent; });
}

}  // namespace plantain
