// Coordinates configuration, membership, engine, gate and chunk transfer on the control thread.

#ifndef PLANTAIN_WEIGHT_CONTROL_H_
#define PLANTAIN_WEIGHT_CONTROL_H_

#include <memory>
#include <string>
#include <vector>

#include "config_type.h"
#include "engine_client.h"
#include "exchange_type.h"
#include "holding_type.h"
#include "kernel.h"
#include "loop.h"
#include "rollout.h"
#include "swap_control.h"

namespace plantain {

// HoldingSource that weight control updates. It is a service of its own to avoid a dependency cycle: the peer service
// reads the holdings, and weight control depends on the peer service.
class HoldingRegistry : public Service, public HoldingSource {
 public:
  absl::Status Start() override { return absl::OkStatus(); }
  void Stop() override {}

  std::vector<HoldingInfo> GetHoldings() const override { return m_holdings; }
  void SetHoldings(std::vector<HoldingInfo> holdings) { m_holdings = std::move(holdings); }

 private:
  std::vector<HoldingInfo> m_holdings;
};

// Identity of this VM and settings of weight control.
struct WeightControlOptions {
  VmId vm;
  ZoneName zone;
  PoolName pool;
  IpAddress address;
  // Whether chunks are exchanged with other agents. If not, all chunks come from the origin.
  bool has_exchange = true;
  SwapOptions swap;
  // Time from readiness to a rollout turn; see RolloutPolicy.
  Duration rollout_settle = kReadinessSettle;
};

// Dependencies of weight control.
struct WeightControlDeps {
  const Clock& clock;
  Loop& loop;
  ConfigSource& config;
  MemberSource& members;
  const AdmissionSource& admission;
  EngineControl& engine;
  EngineGate& gate;
  WeightExchange& exchange;
  HoldingRegistry& holdings;
};

// Derives transfer goals and swaps of the engine's weights from the configuration in effect.
class WeightControl : public Service, private SwapHost {
 public:
  WeightControl(WeightControlOptions options, const WeightControlDeps& deps);

  absl::Status Start() override;
  void Stop() override;

 private:
  void SendOrder(const EngineOrder& order) override;
  uint64_t RefreshStatus() override { return m_deps.engine.RefreshStatus(); }
  bool MaySwap(const RequiredWeights& required) override;
  size_t GetChunkCount(const Digest& manifest) const override;

  void OnConfig();
  void OnReport();
  void OnGateEvent();
  void OnProgress(const ProgressMap& progress);
  void Tick();
  void UpdateTransferGoal();
  void UpdateStageState();
  void UpdateHoldings();
  std::shared_ptr<const MemberView> GetView() const;
  MemberInfo MakeOwnMemberInfo() const;
  ExchangeWant MakeWant(const Document& document, const MemberView& view, const Assignment& assignment) const;
  HoldingInfo MakeHolding(const RequiredWeights& required) const;

  const WeightControlOptions m_options;
  WeightControlDeps m_deps;
  RolloutPolicy m_rollout;
  SwapControl m_swap;
  std::shared_ptr<const ConfigView> m_config;
  std::vector<RequiredWeights> m_required;
  ProgressMap m_progress;
  SwapDecision m_swap_decision = SwapDecision::kGo;
  bool m_has_live_requests = false;
  std::unique_ptr<Timer> m_tick_timer;
};

}  // namespace plantain

#endif  // PLANTAIN_WEIGHT_CONTROL_H_
