// Measures rollouts and zone changes against the document's objectives.

#ifndef PLANTAIN_SLO_METER_H_
#define PLANTAIN_SLO_METER_H_

#include <memory>
#include <optional>

#include "clock.h"
#include "config_type.h"
#include "holding_type.h"
#include "kernel.h"
#include "loop.h"
#include "slo_counter.h"

namespace plantain {

// Identity of the measuring process.
struct SloMeterOptions {
  VmId vm;
  ZoneName zone;
  PoolName pool;
};

// Counts, on the control thread, the time until this VM serves the weights of a new document, and the time from the
// log's acceptance of a zone change until it takes effect in this process. The latter is known only to processes that
// read the change from the log.
class SloMeter : public Service {
 public:
  // `holdings` is null for entries, which hold no weights.
  SloMeter(SloMeterOptions options, const Clock& clock, Loop& loop, Metrics& metrics, ConfigSource& config,
           const HoldingSource* holdings);

  absl::Status Start() override;
  void Stop() override { m_tick.reset(); }

 private:
  void OnConfig(const std::shared_ptr<const ConfigView>& view);
  void Tick();

  const SloMeterOptions m_options;
  const Clock& m_clock;
  Loop& m_loop;
  SloCounter m_counter;
  const HoldingSource* m_holdings;
  std::shared_ptr<const ConfigView> m_view;
  // When the document was adopted whose weights this VM does not serve yet.
  std::optional<TimePoint> m_rollout_start;
  std::unique_ptr<Timer> m_tick;
};

}  // namespace plantain

#endif  // PLANTAIN_SLO_METER_H_
