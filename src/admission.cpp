#include "admission.h"

#include <utility>

namespace plantain {
namespace {

// Minimum interval between probes that check whether a cold start is over.
constexpr Duration kMinReportAge = std::chrono::milliseconds(50);

}  // namespace

Admission::Admission(const Clock& clock, Random& random, AdmissionLimitOptions limit_options, uint32_t queue_capacity)
    : m_clock(clock), m_limit(clock, limit_options), m_queue(clock, random, queue_capacity) {
  Show();
}

WaiterId Admission::Offer(uint32_t priority, bool is_retry, TimePoint deadline, AdmissionCallbacks callbacks) {
  const WaiterId id = m_next_waiter;
  m_next_waiter = m_next_waiter.Next();
  m_waiting[id] = std::move(callbacks);
  const bool is_free = m_queue.GetSize() == 0 && m_limit.CanStart() && m_clock.GetNow() < deadline;
  if (is_free && !IsProbeMissing()) {
    auto node = m_waiting.extract(id);
    const SlotId slot = m_limit.Start();
    m_started[slot] = m_clock.GetNow();
    Show();
    node.mapped().on_admitted(slot);
    return id;
  }
  Refuse(m_queue.Add(Waiter{id, priority, is_retry, deadline}, GetSlots()));
  Pump();
  return id;
}

void Admission::Withdraw(WaiterId id) {
  m_queue.Remove(id);
  m_waiting.erase(id);
  Show();
}

void Admission::RefuseWaiting(proto::RefusalReason reason) {
  std::vector<RefusedWaiter> refused;
  while (const auto id = m_queue.TakeNext()) refused.push_back({*id, Refusal{reason, true, GetRetryAfter()}});
  Refuse(refused);
  Show();
}

void Admission::OnToken(SlotId slot) {
  m_limit.OnToken(slot);
  if (m_limit.IsReportOutdated() && m_clock.GetNow() - m_last_probe >= kMinReportAge) Probe();
  Pump();
}

void Admission::End(SlotId slot, RequestEnd end, std::optional<Duration> call_time) {
  const auto started = m_started.find(slot);
  if (started == m_started.end()) return;
  m_queue.OnSlotFreed(m_clock.GetNow() - started->second);
  m_started.erase(started);
  m_limit.End(slot, end, call_time);
  if (end == RequestEnd::kOk) ++m_shown.succeeded;
  if (end == RequestEnd::kFailed) ++m_shown.failed;
  Pump();
}

void Admission::OnEngineReport(const EngineStatus& status) {
  m_limit.OnEngineReport(status);
  Pump();
}

void Admission::Tick() {
  m_limit.Tick();
  Refuse(m_queue.TakeLate(GetSlots()));
  Pump();
}

proto::EndpointLoad Admission::GetLoad() const {
  proto::EndpointLoad load;
  load.set_limit(m_limit.GetLimit());
  load.set_in_flight(m_limit.GetInFlight());
  load.set_queued(static_cast<uint32_t>(m_queue.GetSize()));
  load.set_cold(m_limit.IsCold());
  return load;
}

AdmissionReport Admission::GetReport() const {
  AdmissionReport report;
  report.limit = m_shown.limit.load(std::memory_order_relaxed);
  report.in_flight = m_shown.in_flight.load(std::memory_order_relaxed);
  report.is_cold = m_shown.is_cold.load(std::memory_order_relaxed);
  report.succeeded = m_shown.succeeded.load(std::memory_order_relaxed);
  report.failed = m_shown.failed.load(std::memory_order_relaxed);
  return report;
}

void Admission::Refuse(const std::vector<RefusedWaiter>& refused) {
  for (const RefusedWaiter& one : refused) {
    const auto node = m_waiting.extract(one.id);
    if (!node.empty()) node.mapped().on_refused(one.refusal);
  }
}

// Callbacks may end a request immediately and so re-enter Pump; the nested call returns and the outer loop continues.
void Admission::Pump() {
  if (m_is_pumping) return;
  m_is_pumping = true;
  while (m_queue.GetSize() > 0 && m_limit.CanStart() && !IsProbeMissing()) {
    const auto id = m_queue.TakeNext();
    auto node = m_waiting.extract(*id);
    if (node.empty()) continue;
    const SlotId slot = m_limit.Start();
    m_started[slot] = m_clock.GetNow();
    node.mapped().on_admitted(slot);
  }
  m_is_pumping = false;
  Show();
}

// Returns whether the next request must wait for a probe result, and starts a probe if so.
bool Admission::IsProbeMissing() {
  if (!m_probe || m_has_probed || !m_limit.NeedsProbe()) return false;
  Probe();
  return true;
}

void Admission::Probe() {
  if (m_is_probing || !m_probe) return;
  m_is_probing = true;
  m_last_probe = m_clock.GetNow();
  m_probe([this](const std::optional<EngineStatus>& status) { OnProbed(status); });
}

void Admission::OnProbed(const std::optional<EngineStatus>& status) {
  m_is_probing = false;
  if (!status.has_value()) return;
  m_limit.OnEngineReport(*status);
  m_has_probed = true;
  Pump();
  m_has_probed = false;
}

void Admission::Show() {
  m_shown.limit.store(m_limit.GetLimit(), std::memory_order_relaxed);
  m_shown.in_flight.store(m_limit.GetInFlight(), std::memory_order_relaxed);
  m_shown.queued.store(static_cast<uint32_t>(m_queue.GetSize()), std::memory_order_relaxed);
  m_shown.is_cold.store(m_limit.IsCold(), std::memory_order_relaxed);
}

}  // namespace plantain
