// Downloads, caches, uploads and stages weight chunks on the transfer thread.

#ifndef PLANTAIN_TRANSFER_SERVICE_H_
#define PLANTAIN_TRANSFER_SERVICE_H_

#include <memory>
#include <set>
#include <unordered_map>

#include "chunk_downloader.h"
#include "chunk_restore.h"
#include "chunk_uploader.h"
#include "exchange_type.h"
#include "kernel.h"
#include "staging_uploader.h"

namespace plantain {

// Options of the transfer service.
struct TransferOptions {
  VmId vm;
  ZoneName zone;
  IpAddress address;
  Port port;
  Bytes cache;
  // Limits for download planning. The VM, zone and hedge delay in it are overwritten from the fields of this struct.
  ChunkPlanOptions plan;
  Duration hedge_time{};
  TransferRateOptions pace;
};

// Origin and staging area. Must only be used on the transfer thread.
struct TransferDeps {
  std::unique_ptr<ChunkOrigin> origin;
  std::unique_ptr<StagingArea> stage;
};

// Connects download, upload, chunk store and staging. The control thread sets the goals.
class TransferService : public Service, public WeightExchange, private DownloadListener {
 public:
  // `deps` provides the chunk origin and the engine's staging area.
  TransferService(TransferOptions options, TransferDeps deps, const Clock& clock, Loop& control_loop,
                  Loop& transfer_loop, ChannelContext& channels, Metrics& metrics, uint64_t seed);
  ~TransferService() override;

  absl::Status Start() override;
  void Stop() override;

  void SetGoal(ExchangeGoal goal) override;
  void SetStagingState(StagingState state) override;
  void SetProgressListener(std::function<void(const ProgressMap&)> listener) override;

 private:
  void OnManifest(const Digest& manifest) override;
  void OnChunk(const Digest& chunk, const std::vector<Digest>& dropped) override;

  void ApplyGoal(const ExchangeGoal& goal);
  void ApplyStagingState(const StagingState& state);
  void UpdateWants();
  void UpdateRestore();
  void DropUnwantedManifests();
  void OnStaged(const Digest& chunk);
  void OnRestored(const Digest& chunk, const std::vector<Digest>& dropped);
  void UpdateHeldChunks();
  bool IsNeededForStaging(const Digest& chunk) const;
  void ScheduleReport();
  void Report();
  void LogProgress(const Digest& manifest, const ExchangeProgress& progress);
  ZoneName FindZone(const VmId& vm) const;
  bool IsManifestUrgent(const Digest& manifest) const;

  const TransferOptions m_options;
  const TransferDeps m_deps;
  Loop& m_control_loop;
  Loop& m_loop;
  ChunkStore m_store;
  ManifestIndex m_manifest_index;
  TransferRateLimits m_rate_limits;
  SeededRandom m_random;
  TransferState m_state;
  StagingUploader m_staging_uploader;
  ChunkUploader m_upload;
  ChunkRestore m_restore;
  std::unique_ptr<ChunkDownloader> m_download;
  // Accessed only on the transfer thread.
  ExchangeGoal m_goal;
  std::unordered_map<VmId, ZoneName> m_zones;
  std::map<Digest, size_t> m_logged_steps;
  std::unique_ptr<Timer> m_tick_timer;
  std::unique_ptr<Timer> m_report_timer;
  // Manifests with a pending origin request, made in order to restore their chunks.
  std::set<Digest> m_requested_manifests;
  // Chunks pinned in the store until the engine has staged them.
  std::unordered_set<Digest> m_pinned;
  prometheus::Gauge& m_cache_bytes;
  prometheus::Gauge& m_cache_limit;
  // Accessed only on the control thread.
  std::function<void(const ProgressMap&)> m_listener;
};

}  // namespace plantain

#endif  // PLANTAIN_TRANSFER_SERVICE_H_
