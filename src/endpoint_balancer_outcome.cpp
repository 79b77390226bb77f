// What the outcomes of attempts and the reports of other entries change in the state of endpoints.

#include <algorithm>

#include "endpoint_balancer.h"

namespace plantain {
namespace {

// Backoff after a failure; doubles with each consecutive one.
constexpr Duration kUnreachableBackoff = Milliseconds(400);
constexpr Duration kMaxUnreachableBackoff = Milliseconds(3000);
constexpr Duration kSilentBackoff = Milliseconds(1500);
constexpr Duration kMaxSilentBackoff = Milliseconds(6000);
constexpr Duration kFullPause = Milliseconds(60);
constexpr Duration kMisdirectedPause = Milliseconds(500);
constexpr uint32_t kMaxDoublings = 5;
// Number of attempts that the moving average of the error rate spans.
constexpr double kErrorRateWindow = 12;
// An answer counts as timely, and raises the number of slots in slow start, up to this multiple of the usual time. An
// endpoint that is 2.5 times as slow as others must still reach all its slots. Short times vary more.
constexpr double kTimelyFactor = 3;
constexpr Duration kShortTime = Milliseconds(30);
// Less slow endpoints are treated as fast, since the times of answers vary.
constexpr double kMinSlowness = 1.5;

}  // namespace

void EndpointBalancer::RecordOutcome(State& state, bool is_error) {
  const double weight = 1 / std::min(kErrorRateWindow, state.attempts + 1);
  state.error_rate += weight * ((is_error ? 1.0 : 0.0) - state.error_rate);
  state.attempts = std::min(kErrorRateWindow, state.attempts + 1);
}

bool EndpointBalancer::BackOff(State& state, TimePoint since, Duration initial, Duration maximum) {
  if (since < state.failure_found_at) return false;
  const uint32_t doublings = std::min(state.failures, kMaxDoublings);
  ++state.failures;
  state.failure_found_at = m_clock.GetNow();
  state.backoff_until = state.failure_found_at + std::min(maximum, initial * (1 << doublings));
  return true;
}

EndpointBalancer::State* EndpointBalancer::FindRun(const EndpointId& id, Incarnation incarnation) {
  const auto found = m_states.find(id);
  const bool is_same = found != m_states.end() && found->second.info.incarnation == incarnation;
  return is_same ? &found->second : nullptr;
}

std::optional<Duration> EndpointBalancer::OnReceived(const EndpointId& id, Incarnation incarnation) {
  State* state = FindRun(id, incarnation);
  if (state == nullptr) return std::nullopt;
  state->is_unreachable = false;
  const std::optional<Duration> pause = state->silence.OnReceived(m_clock.GetNow());
  if (!pause.has_value()) return std::nullopt;
  state->failures = 0;
  state->backoff_until = m_clock.GetNow();
  return pause;
}

SilenceFinding EndpointBalancer::OnSilent(const EndpointId& id, Incarnation incarnation, TimePoint since) {
  State* state = FindRun(id, incarnation);
  if (state == nullptr) return SilenceFinding::kRequestOnly;
  const SilenceFinding finding = state->silence.OnSilent(since, m_clock.GetNow());
  if (finding == SilenceFinding::kPause) m_start_pace.OnInterrupted(id, since);
  const bool is_new = BackOff(*state, since, kSilentBackoff, kMaxSilentBackoff);
  // A pause is one failure, whatever the number of requests that it holds up.
  if (is_new || finding == SilenceFinding::kRequestOnly) RecordOutcome(*state, true);
  return finding;
}

SilenceFinding EndpointBalancer::ReviewSilence(const EndpointId& id, Incarnation incarnation, TimePoint since) {
  State* state = FindRun(id, incarnation);
  return state == nullptr ? SilenceFinding::kRequestOnly : state->silence.OnSilent(since, m_clock.GetNow());
}

void EndpointBalancer::OnEnded(const EndpointId& id, AttemptEnd end, TimePoint sent_at) {
  const auto found = m_states.find(id);
  if (found == m_states.end()) return;
  State& state = found->second;
  if (state.own_requests > 0) --state.own_requests;
  switch (end) {
    case AttemptEnd::kSuccess:
      state.failures = 0;
      RecordOutcome(state, false);
      break;
    case AttemptEnd::kError:
    case AttemptEnd::kConnectionLost:
    case AttemptEnd::kBroken:
      m_start_pace.OnFailed(id, sent_at, false);
      RecordOutcome(state, true);
      break;
    case AttemptEnd::kOverdue:
      RecordOutcome(state, true);
      break;
    case AttemptEnd::kFull:
      m_start_pace.OnFailed(id, sent_at, true);
      state.pause_until = std::max(state.pause_until, m_clock.GetNow() + kFullPause);
      break;
    case AttemptEnd::kMisdirected:
      state.pause_until = std::max(state.pause_until, m_clock.GetNow() + kMisdirectedPause);
      break;
    case AttemptEnd::kUnreachable:
      // It shows more than a pause.
      state.silence.EndPause();
      state.is_unreachable = true;
      m_start_pace.OnInterrupted(id, sent_at);
      // In slow start few entries probe, so that short intervals cost little and the endpoint is found again soon.
      BackOff(state, sent_at, kUnreachableBackoff,
              m_start_pace.Get(id).has_value() ? kUnreachableBackoff : kMaxUnreachableBackoff);
      break;
    case AttemptEnd::kSilent:
      // OnSilent has recorded it.
    case AttemptEnd::kWithdrawn:
    case AttemptEnd::kCancelled:
      break;
  }
}

void EndpointBalancer::OnAnswerBegun(const EndpointId& id, Incarnation incarnation, TimePoint sent_at,
                                     Duration expected) {
  const State* state = FindRun(id, incarnation);
  if (!m_options.learns_pace || state == nullptr) return;
  const Duration delay = m_clock.GetNow() - sent_at;
  const std::optional<double> slowness = m_speeds.OnAnswerBegun(id, incarnation, state->info.pool, delay, expected);
  const bool is_timely = delay <= kShortTime || slowness.value_or(1) <= kTimelyFactor;
  m_start_pace.OnAnswerBegun(id, incarnation, sent_at, is_timely);
}

PaceReport EndpointBalancer::GetPaceReport() { return {m_start_pace.GetReport(), m_speeds.GetReport()}; }

void EndpointBalancer::ApplyPaceReport(const VmId& from, const PaceReport& report) {
  m_speeds.ApplyReport(from, report.speeds);
  const std::vector<EndpointId> answered = m_start_pace.ApplyReport(from, report.starts);
  for (const EndpointId& id : answered) EndBackOff(id);
  if (!answered.empty()) AssignSlots();
}

void EndpointBalancer::EndBackOff(const EndpointId& id) {
  const auto found = m_states.find(id);
  if (found == m_states.end()) return;
  State& state = found->second;
  state.silence.EndPause();
  state.is_unreachable = false;
  state.failures = 0;
  state.backoff_until = std::min(state.backoff_until, m_clock.GetNow());
}

void EndpointBalancer::SetPaceEndpoints() {
  std::map<EndpointId, StartRun> runs;
  std::map<EndpointId, Incarnation> incarnations;
  for (const EndpointInfo& info : m_fleet->endpoints) {
    runs[info.id] = {info.incarnation, std::max(1U, info.slots), info.cold_until > m_clock.GetNow()};
    incarnations[info.id] = info.incarnation;
  }
  m_start_pace.SetEndpoints(runs);
  m_speeds.SetEndpoints(incarnations);
}

std::optional<uint32_t> EndpointBalancer::GetStartLimit(const State& state) const {
  const std::optional<StartNumber> number = m_start_pace.Get(state.info.id);
  if (!number.has_value()) return std::nullopt;
  return GetStartSlots(state.range, state.info.id, GetSlots(state), *number);
}

double EndpointBalancer::GetSlowness(const State& state) const {
  return m_speeds.GetSlowness(state.info.id).value_or(std::max(1.0, state.slowness));
}

bool EndpointBalancer::IsSkippedForSpeed(const State& state) {
  if (!m_options.learns_pace) return false;
  const double slowness = GetSlowness(state);
  return slowness > kMinSlowness && m_random.GetUnit() > 1 / slowness;
}

}  // namespace plantain
