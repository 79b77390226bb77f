#include "admission_limit.h"

#include <algorithm>

namespace plantain {
namespace {

// The latency of first tokens varies more than the gaps between tokens, because prompts differ in length.
constexpr BaselineOptions kFirstTokenOptions{1.6, 5, std::chrono::milliseconds(100)};
constexpr BaselineOptions kTokenGapOptions{1.6, 3, std::chrono::milliseconds(25)};

// Number of consecutive samples with normal latency that indicate the end of a cold start.
constexpr uint32_t kWarmStreak = 3;
// Minimum time between two increases, so that the effect of each is measured before the next.
constexpr Duration kMinIncreaseInterval = std::chrono::milliseconds(20);
// Minimum time between two decreases, so that one stall of the machine causes only one decrease.
constexpr Duration kMinDecreaseInterval = std::chrono::milliseconds(200);
constexpr double kDecreaseFactor = 0.8;
// Time between the first and the latest slow sample, in multiples of the mean gap, after which the endpoint is
// considered cold. A stalled machine delays a single engine step; a cold engine delays every step.
constexpr double kColdSlowGaps = 1.5;
// Tolerance for scheduling delays when a token is due.
constexpr Duration kTokenTolerance = std::chrono::milliseconds(5);
// Lifetime of the evidence that the endpoint is warm. An endpoint that has completed no request for this long may have
// become cold without detection.
constexpr Duration kWarmEvidenceLifetime = std::chrono::seconds(1);

}  // namespace

AdmissionLimit::AdmissionLimit(const Clock& clock, AdmissionLimitOptions options)
    : m_clock(clock),
      m_options(options),
      m_first_token_baseline(kFirstTokenOptions),
      m_token_gap_baseline(kTokenGapOptions),
      m_limit(options.cold_limit),
      m_slow_start_threshold(options.max_limit),
      m_last_change(clock.GetNow()),
      m_last_warm_sample(clock.GetNow() - kWarmEvidenceLifetime),
      m_cold_since(clock.GetNow()) {}

uint32_t AdmissionLimit::GetCeiling() const {
  const uint32_t ceiling = m_capacity == 0 ? m_options.max_limit : std::min(m_options.max_limit, m_capacity);
  return std::max(ceiling, m_options.cold_limit);
}

void AdmissionLimit::OnEngineReport(const EngineStatus& status) {
  const bool is_empty_service = m_options.is_plain_service && status.state == EngineState::kEmpty;
  const bool is_warm = status.state == EngineState::kWarm || is_empty_service;
  const bool is_new_incarnation = m_incarnation.has_value() && *m_incarnation != status.incarnation;
  const bool is_reachable = status.state != EngineState::kUnreachable;
  if (is_reachable) {
    m_incarnation = status.incarnation;
    m_capacity = status.capacity;
  }
  if (!is_warm || (is_reachable && is_new_incarnation)) BecomeCold(std::max(m_limit, m_slow_start_threshold));
  if (m_is_reported_cold && is_warm) m_cold_since = m_clock.GetNow();
  m_is_reported_cold = !is_warm;
  m_limit = std::min(m_limit, GetCeiling());
  TryLeaveCold();
}

bool AdmissionLimit::CanStart() const {
  const uint32_t in_flight = GetInFlight();
  if (in_flight < m_options.cold_limit) return true;
  return in_flight < m_limit && IsWarmEvidenceFresh();
}

bool AdmissionLimit::IsReportOutdated() const { return m_is_reported_cold && m_warm_streak >= kWarmStreak; }

// While streams run, the evidence is the last token with normal latency, and it expires when the next token is overdue.
bool AdmissionLimit::IsWarmEvidenceFresh() const {
  const bool has_stream = std::any_of(m_slots.begin(), m_slots.end(), [](const auto& s) { return s.second.has_token; });
  const Duration window = has_stream && m_token_gap_baseline.IsKnown()
                              ? m_token_gap_baseline.GetSlowThreshold() + kTokenTolerance
                              : kWarmEvidenceLifetime;
  return m_clock.GetNow() - m_last_warm_sample <= window;
}

SlotId AdmissionLimit::Start() {
  const SlotId id = m_next_slot;
  m_next_slot = m_next_slot.Next();
  m_slots[id] = Slot{false, false, m_clock.GetNow()};
  if (GetInFlight() >= m_limit) m_was_saturated = true;
  return id;
}

void AdmissionLimit::OnDispatched(SlotId slot) {
  const auto found = m_slots.find(slot);
  if (found == m_slots.end()) return;
  found->second.is_dispatched = true;
  found->second.last_progress = m_clock.GetNow();
}

void AdmissionLimit::OnToken(SlotId id) {
  const auto found = m_slots.find(id);
  if (found == m_slots.end()) return;
  Slot& slot = found->second;
  const Duration sample = m_clock.GetNow() - slot.last_progress;
  LatencyBaseline& baseline = GetBaseline(slot);
  slot.has_token = true;
  slot.last_progress = m_clock.GetNow();
  OnSample(baseline, sample);
}

void AdmissionLimit::End(SlotId id, RequestEnd end, std::optional<Duration> call_time) {
  if (m_slots.erase(id) == 0) return;
  if (end == RequestEnd::kFailed) {
    // Overload may have caused the failure, so the next slow start ends at half the current limit.
    BecomeCold(std::max(m_options.cold_limit, m_limit / 2));
  } else if (call_time.has_value()) {
    OnSample(m_first_token_baseline, *call_time);
  }
}

void AdmissionLimit::Tick() {
  const TimePoint now = m_clock.GetNow();
  for (const auto& [id, slot] : m_slots) {
    if (!slot.is_dispatched || !GetBaseline(slot).IsCold(now - slot.last_progress)) continue;
    BecomeCold(std::max(m_limit, m_slow_start_threshold));
    break;
  }
  RelearnIfDue();
}

void AdmissionLimit::OnSample(LatencyBaseline& baseline, Duration sample) {
  if (baseline.IsCold(sample)) {
    BecomeCold(std::max(m_limit, m_slow_start_threshold));
    return;
  }
  const bool is_gap = &baseline == &m_token_gap_baseline;
  if (is_gap && baseline.IsSlow(sample)) {
    OnSlowSample(baseline, sample);
    return;
  }
  if (is_gap) m_slow_series_start.reset();
  const bool is_evidence = is_gap || !baseline.IsSlow(sample);
  UpdateBaseline(baseline, sample);
  // A long prompt can cause a slow first token, so it indicates neither a warm nor a cold endpoint.
  if (is_evidence) OnWarmSample();
}

// Adds a sample to the baseline, except while the endpoint is cold, since its latency is not the normal one.
void AdmissionLimit::UpdateBaseline(LatencyBaseline& baseline, Duration sample) {
  if (m_is_reported_cold || m_is_cold) return;
  baseline.Add(sample);
  if (&baseline != &m_token_gap_baseline || m_slow_gap_count == 0) return;
  const Duration mean = m_slow_gap_sum / m_slow_gap_count;
  for (; m_slow_gap_count > 0; --m_slow_gap_count) m_token_gap_baseline.Add(mean);
  m_slow_gap_sum = Duration(0);
}

void AdmissionLimit::OnSlowSample(const LatencyBaseline& baseline, Duration sample) {
  m_warm_streak = 0;
  m_slow_gap_sum += sample;
  ++m_slow_gap_count;
  const TimePoint now = m_clock.GetNow();
  if (!m_slow_series_start.has_value()) m_slow_series_start = now;
  const std::chrono::duration<double> slow_for = now - *m_slow_series_start;
  if (slow_for >= kColdSlowGaps * std::chrono::duration<double>(baseline.GetMean())) {
    BecomeCold(std::max(m_limit, m_slow_start_threshold));
  } else {
    OnCongestion();
  }
}

void AdmissionLimit::OnWarmSample() {
  m_last_warm_sample = m_clock.GetNow();
  ++m_warm_streak;
  ++m_round_samples;
  TryLeaveCold();
  TryIncrease();
}

void AdmissionLimit::OnCongestion() {
  if (m_is_cold || m_clock.GetNow() - m_last_change < kMinDecreaseInterval) return;
  const auto lower = static_cast<uint32_t>(m_limit * kDecreaseFactor);
  m_limit = std::max(m_options.cold_limit, lower);
  m_slow_start_threshold = m_limit;
  m_round_samples = 0;
  m_last_change = m_clock.GetNow();
}

void AdmissionLimit::BecomeCold(uint32_t next_threshold) {
  const TimePoint now = m_clock.GetNow();
  if (!m_is_cold) m_cold_since = now;
  m_is_cold = true;
  m_limit = m_options.cold_limit;
  m_slow_start_threshold = next_threshold;
  m_round_samples = 0;
  m_warm_streak = 0;
  m_was_saturated = false;
  m_slow_gap_sum = Duration(0);
  m_slow_gap_count = 0;
  m_last_change = now;
  m_last_warm_sample = now - kWarmEvidenceLifetime - Duration(1);
}

// Without a baseline, the engine's status report decides alone. With one, the measured latency must confirm it.
void AdmissionLimit::TryLeaveCold() {
  if (!m_is_cold || m_is_reported_cold) return;
  const bool is_learned = m_first_token_baseline.IsKnown() || m_token_gap_baseline.IsKnown();
  if (is_learned && m_warm_streak < kWarmStreak) return;
  m_is_cold = false;
  m_round_samples = 0;
  m_was_saturated = GetInFlight() >= m_limit;
  m_last_change = m_clock.GetNow();
}

void AdmissionLimit::TryIncrease() {
  if (m_is_cold || m_limit >= GetCeiling()) return;
  if (!m_was_saturated || m_round_samples < m_limit) return;
  if (m_clock.GetNow() - m_last_change < kMinIncreaseInterval) return;
  const uint32_t increased =
      m_limit < m_slow_start_threshold ? std::min(m_limit * 2, m_slow_start_threshold) : m_limit + 1;
  m_limit = std::min(increased, GetCeiling());
  m_round_samples = 0;
  m_was_saturated = GetInFlight() >= m_limit;
  m_last_change = m_clock.GetNow();
}

void AdmissionLimit::RelearnIfDue() {
  if (!m_is_cold || m_is_reported_cold) return;
  if (m_clock.GetNow() - m_cold_since < m_options.relearn_after) return;
  m_cold_since = m_clock.GetNow();
  m_first_token_baseline.Reset();
  m_token_gap_baseline.Reset();
  TryLeaveCold();
}

}  // namespace plantain
