#include "admission.h"

#include <utility>

namespace plantain {
namespace {

// Minimum interval between probes that check whether a cold start is over.
constexpr Duration kMinProbeInterval = std::chrono::milliseconds(50);

}  // namespace

Admission::Admission(const Clock& clock, Random& random, AdmissionLimitOptions limit_options, uint32_t queue_capacity)
    : m_clock(clock), m_limit(clock, limit_options), m_queue(clock, random, queue_capacity) {
  PublishState();
}

WaiterId Admission::RequestSlot(uint32_t priority, bool is_retry, TimePoint deadline, AdmissionCallbacks callbacks) {
  const WaiterId id = m_next_waiter;
  m_next_waiter = m_next_waiter.Next();
  m_waiting[id] = std::move(callbacks);
  const bool is_free = m_queue.GetSize() == 0 && m_limit.CanStart() && m_clock.GetNow() < deadline;
  if (is_free && !MustWaitForProbe()) {
    auto node = m_waiting.extract(id);
    const SlotId slot = m_limit.Start();
    m_started[slot] = m_clock.GetNow();
    PublishState();
    node.mapped().on_admitted(slot);
    return id;
  }
  Refuse(m_queue.Add(Waiter{id, priority, is_retry, deadline}, GetSlots()));
  AdmitWaiting();
  return id;
}

void Admission::Withdraw(WaiterId id) {
  m_queue.Remove(id);
  m_waiting.erase(id);
  PublishState();
}

void Admission::RefuseWaiting(proto::RefusalReason reason) {
  std::vector<RefusedWaiter> refused;
  while (const auto id = m_queue.PopNext()) refused.push_back({*id, Refusal{reason, true, GetRetryAfter()}});
  Refuse(refused);
  PublishState();
}

void Admission::OnToken(SlotId slot) {
  m_limit.OnToken(slot);
  if (m_limit.IsReportOutdated() && m_clock.GetNow() - m_last_probe >= kMinProbeInterval) Probe();
  AdmitWaiting();
}

void Admission::End(SlotId slot, RequestEnd end, std::optional<Duration> call_time) {
  const auto started = m_started.find(slot);
  if (started == m_started.end()) return;
  m_queue.RecordHoldTime(m_clock.GetNow() - started->second);
  m_started.erase(started);
  m_limit.End(slot, end, call_time);
  if (end == RequestEnd::kOk) ++m_published.succeeded;
  if (end == RequestEnd::kFailed) ++m_published.failed;
  AdmitWaiting();
}

void Admission::OnEngineReport(const EngineStatus& status) {
  m_limit.OnEngineReport(status);
  AdmitWaiting();
}

void Admission::Tick() {
  m_limit.Tick();
  Refuse(m_queue.RemoveLate(GetSlots()));
  AdmitWaiting();
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
  report.limit = m_published.limit.load(std::memory_order_relaxed);
  report.in_flight = m_published.in_flight.load(std::memory_order_relaxed);
  report.is_cold = m_published.is_cold.load(std::memory_order_relaxed);
  report.succeeded = m_published.succeeded.load(std::memory_order_relaxed);
  report.failed = m_published.failed.load(std::memory_order_relaxed);
  return report;
}

void Admission::Refuse(const std::vector<RefusedWaiter>& refused) {
  for (const RefusedWaiter& one : refused) {
    const auto node = m_waiting.extract(one.id);
    if (!node.empty()) node.mapped().on_refused(one.refusal);
  }
}

// Callbacks may end a request immediately and so re-enter AdmitWaiting; the nested call returns and the outer loop
// continues.
void Admission::AdmitWaiting() {
  if (m_is_admitting) return;
  m_is_admitting = true;
  while (m_queue.GetSize() > 0 && m_limit.CanStart() && !MustWaitForProbe()) {
    const auto id = m_queue.PopNext();
    auto node = m_waiting.extract(*id);
    if (node.empty()) continue;
    const SlotId slot = m_limit.Start();
    m_started[slot] = m_clock.GetNow();
    node.mapped().on_admitted(slot);
  }
  m_is_admitting = false;
  PublishState();
}

// Returns whether the next request must wait for a probe result, and starts a probe if so.
bool Admission::MustWaitForProbe() {
  if (!m_probe || m_is_handling_probe || !m_limit.NeedsProbe()) return false;
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
  m_is_handling_probe = true;
  AdmitWaiting();
  m_is_handling_probe = false;
}

void Admission::PublishState() {
  m_published.limit.store(m_limit.GetLimit(), std::memory_order_relaxed);
  m_published.in_flight.store(m_limit.GetInFlight(), std::memory_order_relaxed);
  m_published.queued.store(static_cast<uint32_t>(m_queue.GetSize()), std::memory_order_relaxed);
  m_published.is_cold.store(m_limit.IsCold(), std::memory_order_relaxed);
}

}  // namespace plantain
