// Kernel service "admission": runs admission control on the traffic loop with the engine's reports as input.

#ifndef PLANTAIN_ADMISSION_SERVICE_H_
#define PLANTAIN_ADMISSION_SERVICE_H_

#include "admission.h"
#include "gate_type.h"
#include "kernel.h"
#include "loop.h"
#include "metrics.h"

namespace plantain {

// Owns the admission control of this endpoint and publishes its metrics.
class AdmissionService : public Service, public AdmissionSource {
 public:
  AdmissionService(Loop& control_loop, Loop& traffic_loop, const Clock& clock, uint64_t seed, Metrics& metrics,
                   EngineSource& engine, AdmissionLimitOptions limit_options, uint32_t queue_capacity);

  absl::Status Start() override;
  void Stop() override;

  AdmissionReport GetAdmission() const override { return m_admission.GetReport(); }

  // Must only be used on the traffic loop.
  Admission& GetAdmissionControl() { return m_admission; }

 private:
  void UpdateMetrics();

  Loop& m_control_loop;
  SeededRandom m_random;
  Admission m_admission;
  prometheus::Gauge& m_limit;
  prometheus::Gauge& m_in_flight;
  prometheus::Gauge& m_queued;
  prometheus::Gauge& m_cold;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace plantain

#endif  // PLANTAIN_ADMISSION_SERVICE_H_
