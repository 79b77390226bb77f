// Provides the configuration in force: follows the log, adopts documents offered by peers and writes checkpoints.

#ifndef PLANTAIN_CONFIG_SERVICE_H_
#define PLANTAIN_CONFIG_SERVICE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "active_config.h"
#include "clock.h"
#include "config_carry.h"
#include "config_exchange.h"
#include "config_fold.h"
#include "config_type.h"
#include "kernel.h"
#include "log_client.h"
#include "loop.h"
#include "member_type.h"
#include "metrics.h"
#include "random.h"
#include "snapshot.h"

namespace plantain {

struct ConfigServiceOptions {
  VmId vm;
  // Entries follow the log by long polling and write checkpoints. Agents get documents from peers and rarely read the
  // log.
  bool is_entry = false;
  std::string key;
  // Maximum duration of one long poll in a small fleet.
  Duration poll{};
  Duration retention{};
  // Agents: mean interval between two reads of the log while there is contact with peers.
  Duration read_interval{};
  // Agents: mean interval between two reads while there is no contact with peers or no document is known.
  Duration isolated_read_interval{};
  // Agents: time without a message from any peer after which peer contact counts as lost.
  Duration peer_timeout{};
};

// All methods except those of ConfigSource must be called on the control thread.
class ConfigService : public Service, public ConfigSource, public ConfigExchange {
 public:
  ConfigService(Loop& loop, const Clock& clock, Random& random, Metrics& metrics, LogClient& log,
                const MemberSource& members, ConfigServiceOptions options);

  absl::Status Start() override;
  void Stop() override;

  std::shared_ptr<const ConfigView> GetConfig() const override { return m_published.Get(); }
  void AddConfigListener(std::function<void(const std::shared_ptr<const ConfigView>&)> listener) override;
  bool IsLogReachable() const override { return m_is_log_reachable.load(); }

  std::optional<ConfigRefInfo> GetConfigRef() const override { return m_active_config.GetRef(); }
  std::string_view FindConfigText(ConfigVersion version) const override { return m_active_config.FindText(version); }
  absl::Status AdoptConfigOffer(const ConfigRefInfo& ref, std::string_view text) override;
  void RecordPeerContact() override { m_last_peer_contact = m_clock.GetNow(); }

 private:
  void ScheduleRead(Duration delay);
  void ReadLog();
  void OnBatch(absl::StatusOr<LogBatch> batch);
  Duration GetDelayAfterSuccess(bool has_more) const;
  Duration GetDelayAfterFailure();
  Duration GetLongPollDuration() const;
  void ReportSteps(const std::vector<FoldStep>& steps, const LogBatch& batch);
  void StartFromPeersIfNeeded(const LogBatch& batch);
  void WriteCheckpointIfDue();
  std::vector<VmId> GetLiveEntries() const;
  void SetLogReachable(const absl::Status& status);
  void PublishConfig(const char* source);

  Loop& m_loop;
  const Clock& m_clock;
  Random& m_random;
  Metrics& m_metrics;
  LogClient& m_log;
  const MemberSource& m_members;
  const ConfigServiceOptions m_options;
  ActiveConfig m_active_config;
  ConfigFold m_fold;
  CheckpointSchedule m_checkpoint_schedule;
  Snapshot<ConfigView> m_published;
  std::vector<std::function<void(const std::shared_ptr<const ConfigView>&)>> m_listeners;
  std::atomic<bool> m_is_log_reachable{false};
  int m_failures = 0;
  TimePoint m_last_peer_contact{};
  std::unique_ptr<Timer> m_read_timer;
  std::unique_ptr<Timer> m_checkpoint_timer;
};

}  // namespace plantain

#endif  // PLANTAIN_CONFIG_SERVICE_H_
