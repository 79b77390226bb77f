#include "admission_service.h"

namespace plantain {
namespace {

constexpr Duration kMetricsPeriod = std::chrono::milliseconds(250);

}  // namespace

AdmissionService::AdmissionService(Loop& control_loop, Loop& traffic_loop, const Clock& clock, uint64_t seed,
                                   Metrics& metrics, EngineSource& engine, AdmissionLimitOptions limit_options,
                                   uint32_t queue_capacity)
    : m_control_loop(control_loop),
      m_random(seed),
      m_admission(clock, m_random, limit_options, queue_capacity),
      m_limit(metrics.GetGauge("plantain_admission_limit", "Requests that the endpoint may run at once.")),
      m_in_flight(metrics.GetGauge("plantain_admission_in_flight", "Requests that hold a slot.")),
      m_queued(metrics.GetGauge("plantain_admission_queued", "Requests that wait for a slot.")),
      m_cold(metrics.GetGauge("plantain_admission_cold", "1 while the endpoint counts as cold.")) {
  engine.AddEngineListener([this, &traffic_loop](const std::shared_ptr<const EngineStatus>& status) {
    traffic_loop.Post([this, status] { m_admission.OnEngineReport(*status); });
  });
}

absl::Status AdmissionService::Start() {
  m_timer = m_control_loop.RunEvery(kMetricsPeriod, [this] { UpdateMetrics(); });
  return absl::OkStatus();
}

void AdmissionService::Stop() { m_timer.reset(); }

void AdmissionService::UpdateMetrics() {
  const AdmissionReport report = m_admission.GetReport();
  m_limit.Set(report.limit);
  m_in_flight.Set(report.in_flight);
  m_queued.Set(m_admission.GetQueued());
  m_cold.Set(report.is_cold ? 1 : 0);
}

}  // namespace plantain
