#include "slo_meter.h"

#include <algorithm>

#include "document_func.h"

namespace plantain {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(100);

bool HasZoneChange(const Document& before, const Document& after) {
  return std::any_of(after.zones.begin(), after.zones.end(), [&](const ZoneSpec& zone) {
    const ZoneSpec* old = FindZone(before, zone.name);
    return old != nullptr && old->is_in_service != zone.is_in_service;
  });
}

}  // namespace

SloMeter::SloMeter(SloMeterOptions options, const Clock& clock, Loop& loop, Metrics& metrics, ConfigSource& config,
                   const HoldingSource* holdings)
    : m_options(std::move(options)), m_clock(clock), m_loop(loop), m_counter(metrics, config), m_holdings(holdings) {
  config.AddConfigListener([this](const std::shared_ptr<const ConfigView>& view) { OnConfig(view); });
}

absl::Status SloMeter::Start() {
  m_tick = m_loop.RunEvery(kTickPeriod, [this] { Tick(); });
  return absl::OkStatus();
}

void SloMeter::OnConfig(const std::shared_ptr<const ConfigView>& view) {
  const std::shared_ptr<const ConfigView> before = std::exchange(m_view, view);
  // The first document that a process adopts may be old, so it does not show how quickly changes propagate.
  if (before == nullptr) return;
  const SloContext context{WorkspaceName(), m_options.zone, m_options.vm};
  if (view->accepted_at.has_value() && HasZoneChange(before->document, view->document)) {
    const Duration lag = m_clock.GetWallTime() - *view->accepted_at;
    m_counter.CountZoneChange(context, std::max(lag, Duration::zero()));
  }
  const auto wanted = GetAssignments(view->document, m_options.pool);
  if (wanted != GetAssignments(before->document, m_options.pool)) m_rollout_start = m_clock.GetNow();
}

void SloMeter::Tick() {
  if (m_holdings == nullptr || !m_rollout_start.has_value()) return;
  const std::vector<HoldingInfo> holdings = m_holdings->GetHoldings();
  for (const Assignment& wanted : GetAssignments(m_view->document, m_options.pool)) {
    const bool is_serving = std::any_of(holdings.begin(), holdings.end(), [&](const HoldingInfo& holding) {
      return holding.manifest == wanted.manifest && holding.is_serving;
    });
    if (!is_serving) return;
  }
  m_counter.CountReplica({WorkspaceName(), m_options.zone, m_options.vm}, m_clock.GetNow() - *m_rollout_start);
  m_rollout_start.reset();
}

}  // namespace plantain
