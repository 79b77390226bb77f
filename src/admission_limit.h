// Adaptive concurrency limit of the endpoint: slow start, additive increase and multiplicative decrease, with a reset
// to the cold limit whenever the endpoint may be cold.

#ifndef PLANTAIN_ADMISSION_LIMIT_H_
#define PLANTAIN_ADMISSION_LIMIT_H_

#include <cstdint>
#include <map>
#include <optional>

#include "clock.h"
#include "core_type.h"
#include "gate_type.h"
#include "latency_baseline.h"

namespace plantain {

struct AdmissionLimitOptions {
  uint32_t cold_limit = 1;
  uint32_t max_limit = 64;
  // A plain service has no weights, so its empty state does not mean that it is cold.
  bool is_plain_service = false;
  // If an engine that reports warm is slow for this long, the latency baselines are reset, since its normal latency may
  // have changed, for example with new weights.
  Duration relearn_after = std::chrono::seconds(60);
};

// Result of a request as an indicator of endpoint health.
enum class RequestEnd {
  kOk,
  // The engine or service failed, truncated the response or was unreachable.
  kFailed,
  // Ended for a reason unrelated to the endpoint, such as cancellation.
  kNeutral,
};

// Identifies a request that occupies a concurrency slot.
using SlotId = StrongNumber<struct SlotIdTag, uint64_t>;

// Decides whether another request can be sent to the endpoint. No I/O. Not thread-safe.
//
// Above the cold limit, a request is admitted only while there is recent evidence that the endpoint is warm: a token
// with normal latency. The engine's status report is not sufficient, because it is delayed and may miss a cold start.
class AdmissionLimit {
 public:
  AdmissionLimit(const Clock& clock, AdmissionLimitOptions options);

  // Processes a status report of the engine. A cold or unreachable engine or a new incarnation resets the limit
  // at once.
  void OnEngineReport(const EngineStatus& status);

  // Returns whether another request can start now.
  bool CanStart() const;

  // Returns whether another request can start only after a new status report that the engine is warm. Between two
  // tokens, only a report can show that the engine has just become cold.
  bool NeedsProbe() const { return !m_options.is_plain_service && GetInFlight() >= m_options.cold_limit; }

  // Returns whether token latencies indicate the end of a cold start while the last status report still says cold. A
  // new report should then be requested.
  bool IsReportOutdated() const;

  // Acquires a slot. Call only if CanStart returns true.
  SlotId Start();

  // The request was sent to the engine. Starts the latency measurement and the time-out of its first token.
  void OnDispatched(SlotId slot);

  // The engine generated a token for this request.
  void OnToken(SlotId slot);

  // Releases the slot. `call_time` is the duration of the call at the endpoint, for calls without tokens.
  void End(SlotId slot, RequestEnd end, std::optional<Duration> call_time = std::nullopt);

  // Checks for requests whose next token is overdue. Call every few milliseconds.
  void Tick();

  uint32_t GetLimit() const { return m_limit; }
  uint32_t GetInFlight() const { return static_cast<uint32_t>(m_slots.size()); }
  bool IsCold() const { return m_is_cold; }

 private:
  struct Slot {
    bool is_dispatched = false;
    bool has_token = false;
    // Time when the request was sent, or of the latest token.
    TimePoint last_progress;
  };

  LatencyBaseline& GetBaseline(const Slot& slot) {
    return slot.has_token ? m_token_gap_baseline : m_first_token_baseline;
  }
  const LatencyBaseline& GetBaseline(const Slot& slot) const {
    return slot.has_token ? m_token_gap_baseline : m_first_token_baseline;
  }

  uint32_t GetCeiling() const;
  bool IsWarmEvidenceFresh() const;
  void OnSample(LatencyBaseline& baseline, Duration sample);
  void OnSlowSample(const LatencyBaseline& baseline, Duration sample);
  void UpdateBaseline(LatencyBaseline& baseline, Duration sample);
  void OnWarmSample();
  void OnCongestion();
  void BecomeCold(uint32_t next_threshold);
  void TryLeaveCold();
  void TryIncrease();
  void RelearnIfDue();

  const Clock& m_clock;
  const AdmissionLimitOptions m_options;
  LatencyBaseline m_first_token_baseline;
  LatencyBaseline m_token_gap_baseline;
  std::map<SlotId, Slot> m_slots;
  SlotId m_next_slot{1};

  bool m_is_cold = true;
  // State in the last status report.
  bool m_is_reported_cold = true;
  std::optional<Incarnation> m_incarnation;
  uint32_t m_capacity = 0;

  uint32_t m_limit;
  // Below this threshold, the limit doubles in each round; above it, the limit grows by one.
  uint32_t m_slow_start_threshold;
  // Samples with normal latency since the last change of the limit, and since the last slow sample.
  uint32_t m_round_samples = 0;
  uint32_t m_warm_streak = 0;
  bool m_was_saturated = false;
  // Time of the first slow sample after the last one with normal latency.
  std::optional<TimePoint> m_slow_series_start;
  // Sum and number of slow gaps between tokens in the current series. They are added to the baseline when a normal gap
  // shows that the machine, not a cold start, caused the delay. Without them the mean would be too low, since it would
  // include the short gaps after delayed tokens but not the long gaps before them.
  Duration m_slow_gap_sum{};
  int m_slow_gap_count = 0;
  TimePoint m_last_change;
  TimePoint m_last_warm_sample;
  TimePoint m_cold_since;
};

}  // namespace plantain

#endif  // PLANTAIN_ADMISSION_LIMIT_H_
