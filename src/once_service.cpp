#include "once_service.h"

#include <utility>

#include "event_log.h"
#include "failure_type.h"

namespace plantain {
namespace {

const char kStream[] = "once";
constexpr size_t kMaxRecords = 1000;
constexpr Duration kReadRetryInterval = std::chrono::milliseconds(200);
// Longer than callers wait, so that a late outcome is recorded and answers the caller's next retry.
constexpr Duration kCallTimeout = std::chrono::seconds(30);
constexpr size_t kMaxResponseBytes = 256 * 1024;

void IncrementByDelta(prometheus::Counter& counter, uint64_t published, uint64_t now) {
  counter.Increment(static_cast<double>(now - published));
}

}  // namespace

OnceService::OnceService(Loop& control_loop, MemoryBudget& answer_memory, const Clock& clock, uint64_t seed,
                         Metrics& metrics, OnceServiceOptions options)
    : m_control_loop(control_loop),
      m_clock(clock),
      m_random(seed),
      m_options(std::move(options)),
      m_http(control_loop, answer_memory),
      m_log(m_http, m_options.log, m_options.log_timeout),
      m_core(clock, m_random, *this, m_options.core),
      m_claims(metrics.GetCounter("plantain_once_claims_total", "Claims made by this agent.")),
      m_appends(metrics.GetCounter("plantain_once_appends_total", "Appends to stream once, repeats included.")),
      m_runs(metrics.GetCounter("plantain_once_runs_total", "Calls given to the service.")),
      m_outcomes(metrics.GetCounter("plantain_once_outcomes_total", "Outcomes recorded.")),
      m_unknown(metrics.GetCounter("plantain_once_unknown_total", "Callers told that the outcome is unknown.")),
      m_replayed(metrics.GetCounter("plantain_once_replayed_total", "Callers answered from a recorded outcome.")),
      m_refused_log(metrics.GetCounter("plantain_once_refused_log_total", "Calls refused because of the log.")),
      m_usable(metrics.GetGauge("plantain_once_usable", "1 while keyed calls are accepted.")),
      m_keys(metrics.GetGauge("plantain_once_keys", "Keys that the log keeps.")) {}

absl::Status OnceService::Start() {
  m_tick = m_control_loop.RunEvery(m_options.batch_period, [this] { OnTick(); });
  m_control_loop.Post([this] { ReadNext(); });
  return absl::OkStatus();
}

void OnceService::Stop() {
  m_tick.reset();
  m_next_read.reset();
}

void OnceService::Submit(OnceCall call, OnAnswer on_answer) {
  m_control_loop.Post([this, call = std::move(call), on_answer = std::move(on_answer)]() mutable {
    m_core.Submit(std::move(call), std::move(on_answer));
  });
}

void OnceService::Drain(std::function<void()> done) {
  m_on_drained = std::move(done);
  m_drain_deadline = m_clock.GetNow() + m_options.drain_limit;
}

void OnceService::ReadNext() {
  const LogOffset from = m_core.GetReadFrom();
  const Duration wait = m_core.IsCaughtUp() ? m_options.poll : Duration(0);
  m_log.Read(kStream, from, kMaxRecords, wait,
             [this, from](const absl::StatusOr<LogBatch>& batch) { OnRead(from, batch); });
}

// Pauses after each read to limit the read rate. There is no pause while more records are available.
void OnceService::OnRead(LogOffset from, const absl::StatusOr<LogBatch>& batch) {
  Duration pause = m_options.batch_period / 2;
  if (batch.ok()) {
    const bool was_caught_up = m_core.IsCaughtUp();
    m_core.OnRead(from, *batch);
    if (!was_caught_up && m_core.IsCaughtUp())
      LogEvent(LogLevel::kInfo, "once_caught_up", {{"keys", m_core.GetKeyCount()}});
    if (m_core.GetReadFrom() < batch->next_offset) pause = Duration(0);
  } else {
    if (m_core.IsLogUsable()) LogEvent(LogLevel::kWarn, "once_read_failed", {MakeFailureField(batch.status())});
    m_core.OnReadFailed();
    pause = kReadRetryInterval;
  }
  m_next_read = m_control_loop.RunAfter(pause, [this] { ReadNext(); });
}

void OnceService::OnTick() {
  m_core.Tick();
  UpdateMetrics();
  if (!m_on_drained) return;
  if (!m_core.IsIdle() && m_clock.GetNow() < m_drain_deadline) return;
  std::exchange(m_on_drained, nullptr)();
}

void OnceService::Append(uint64_t id, const std::string& record) {
  m_log.Append(kStream, record,
               [this, id](const absl::StatusOr<LogOffset>& offset) { m_core.OnAppended(id, offset.status()); });
}

void OnceService::Run(const ClaimId& claim, const OnceCall& call) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/calls/" + call.call;
  request.headers.Add("X-Call-Key", call.caller_key);
  request.body = call.body;
  HttpCallOptions options(kMaxResponseBytes);
  options.timeout = kCallTimeout;
  // Answers of a plain service carry no id, so that only the first one on a new connection is sure to be this call's.
  options.max_idle = Duration::zero();
  options.is_kept = false;
  m_http.Fetch(m_options.service, request, options,
               [this, claim, started = m_clock.GetNow()](absl::StatusOr<HttpResponse> response) {
                 RunResult result;
                 result.is_sent = response.ok() || GetFailureCode(response.status()) != FailureCode::kConnectFailed;
                 result.call_time = m_clock.GetNow() - started;
                 if (response.ok()) {
                   result.outcome = OnceOutcome{static_cast<uint32_t>(response->status), std::move(response->body)};
                 }
                 m_core.OnRunDone(claim, result);
               });
}

void OnceService::UpdateMetrics() {
  const OnceCounters& now = m_core.GetCounters();
  IncrementByDelta(m_claims, m_published.claims, now.claims);
  IncrementByDelta(m_appends, m_published.appends, now.appends);
  IncrementByDelta(m_runs, m_published.runs, now.runs);
  IncrementByDelta(m_outcomes, m_published.outcomes, now.outcomes);
  IncrementByDelta(m_unknown, m_published.unknown, now.unknown);
  IncrementByDelta(m_replayed, m_published.replayed, now.replayed);
  IncrementByDelta(m_refused_log, m_published.refused_log, now.refused_log);
  m_published = now;
  m_usable.Set(m_core.IsLogUsable() ? 1 : 0);
  m_keys.Set(static_cast<double>(m_core.GetKeyCount()));
}

}  // namespace plantain
