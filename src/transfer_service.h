// Fetches, keeps, gives and stages chunks on the transfer thread.

#ifndef PLANTAIN_TRANSFER_SERVICE_H_
#define PLANTAIN_TRANSFER_SERVICE_H_

#include <memory>
#include <unordered_map>

#include "download_side.h"
#include "exchange_type.h"
#include "kernel.h"
#include "stage_pump.h"
#include "upload_side.h"

namespace plantain {

// Settings of transfer.
struct TransferOptions {
  VmId vm;
  ZoneName zone;
  IpAddress address;
  Port port;
  Bytes cache;
  Duration hedge{};
  PaceOptions pace;
};

// Origin and staging area; used on the transfer thread.
struct TransferPorts {
  std::unique_ptr<ChunkOrigin> origin;
  std::unique_ptr<StageSink> stage;
};

// Joins the two sides of transfer, the store and staging. Goals come from the control thread.
class TransferService : public Service, public WeightExchange, private DownloadListener {
 public:
  // `ports` is where chunks come from and where they go besides peers.
  TransferService(TransferOptions options, TransferPorts ports, const Clock& clock, Loop& control_loop,
                  Loop& transfer_loop, ChannelContext& channels, Metrics& metrics, uint64_t seed);
  ~TransferService() override;

  absl::Status Start() override;
  void Stop() override;

  void SetGoal(ExchangeGoal goal) override;
  void SetStageState(StageState state) override;
  void SetProgressListener(std::function<void(const ProgressMap&)> listener) override;

 private:
  void OnManifest(const Digest& manifest) override;
  void OnChunk(const Digest& chunk, const std::vector<Digest>& dropped) override;

  void ApplyGoal(const ExchangeGoal& goal);
  void ApplyStageState(const StageState& state);
  void UpdateWants();
  void ForgetUnwanted();
  void OnStaged(const Digest& chunk);
  void UpdateHeld();
  bool IsNeeded(const Digest& chunk) const;
  void ScheduleReport();
  void Report();
  ZoneName FindZone(const VmId& vm) const;
  bool IsHurried(const Digest& manifest) const;

  const TransferOptions m_options;
  const TransferPorts m_ports;
  Loop& m_control_loop;
  Loop& m_loop;
  ChunkStore m_store;
  ManifestBook m_book;
  Pace m_pace;
  SeededRandom m_random;
  TransferState m_state;
  StagePump m_stage;
  UploadSide m_upload;
  std::unique_ptr<DownloadSide> m_download;
  // Transfer thread.
  ExchangeGoal m_goal;
  std::unordered_map<VmId, ZoneName> m_zones;
  std::unique_ptr<Timer> m_tick_timer;
  std::unique_ptr<Timer> m_report_timer;
  // Chunks pinned until the engine has staged them.
  std::unordered_set<Digest> m_pinned;
  prometheus::Gauge& m_cache_bytes;
  prometheus::Gauge& m_cache_limit;
  // Control thread.
  std::function<void(const ProgressMap&)> m_listener;
};

}  // namespace plantain

#endif  // PLANTAIN_TRANSFER_SERVICE_H_
