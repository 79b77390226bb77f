#include "swap_control.h"

#include <algorithm>

#include "event_log.h"
#include "failure_type.h"
#include "manifest_func.h"

namespace plantain {
namespace {

bool IsSameLoaded(const EngineStatus& a, const EngineStatus& b) {
  return a.incarnation == b.incarnation && a.orders == b.orders &&
         std::equal(a.loaded.begin(), a.loaded.end(), b.loaded.begin(), b.loaded.end(),
                    [](const LoadedWeights& x, const LoadedWeights& y) {
                      return x.model == y.model && x.adapter == y.adapter && x.manifest == y.manifest;
                    });
}

WeightSlot GetBase(const WeightSlot& slot) { return {slot.model, AdapterName()}; }

std::optional<Digest> FindLoaded(const EngineStatus& status, const WeightSlot& slot) {
  std::optional<Digest> found;
  for (const LoadedWeights& loaded : status.loaded) {
    if (loaded.model != slot.model || loaded.adapter != slot.adapter) continue;
    // With two entries for one slot, it is ambiguous which weights a request would run on.
    if (found.has_value()) return std::nullopt;
    found = loaded.manifest;
  }
  return found;
}

}  // namespace

SwapControl::SwapControl(const Clock& clock, SwapOptions options, GateControl& gate, SwapHost& host)
    : m_clock(clock), m_options(options), m_gate(gate), m_host(host), m_fence(options.incarnation.Get()) {}

void SwapControl::SetRequired(std::vector<RequiredWeights> required,
                              std::map<WeightSlot, std::set<Digest>> listed_manifests) {
  m_required = std::move(required);
  m_listed_manifests = std::move(listed_manifests);
  // A slot closed for a swap to the previous requirement may reopen until the new weights are staged.
  if (m_order_state == OrderState::kNone) m_swap_slot.reset();
  m_closing_slot.reset();
}

void SwapControl::OnReport(const EngineReport& report) {
  CloseOnEngineChange(report);
  m_report = report;
  Step();
}

void SwapControl::CloseOnEngineChange(const EngineReport& report) {
  if (report.status.state == EngineState::kUnreachable) {
    m_gate.CloseAll();
    return;
  }
  if (m_order_state != OrderState::kNone || report.sequence < m_min_sequence) return;
  if (IsCausedByOwnOrder(report)) {
    m_status_before_order.reset();
    for (const auto& [slot, manifest] : m_opened_manifests) {
      if (plantain::FindLoaded(report.status, slot) != manifest) m_gate.CloseSlot(slot);
    }
    return;
  }
  m_status_before_order.reset();
  if (IsSameLoaded(report.status, m_report.status)) return;
  // The engine changed without an order from this agent. The change may still be in progress, so another report must
  // confirm the state.
  m_gate.CloseAll();
  m_min_sequence = m_host.RefreshStatus();
}

bool SwapControl::IsCausedByOwnOrder(const EngineReport& report) const {
  return m_status_before_order.has_value() && m_status_before_order->incarnation == report.status.incarnation &&
         report.status.orders <= m_status_before_order->orders + 1;
}

void SwapControl::OnOrderDone(const EngineOrder& order, const OrderResult& result) {
  if (order.fence != m_fence || m_order_state != OrderState::kInProgress) return;
  if (result.outcome != OrderOutcome::kDone) {
    LogEvent(LogLevel::kWarn, "engine_order_failed", {{"fence", order.fence}, MakeFailureField(result.status)});
    m_retry_at = m_clock.GetNow() + m_options.retry;
  }
  if (result.IsFinal()) {
    m_order_state = OrderState::kNone;
    m_swap_slot.reset();
    m_min_sequence = m_host.RefreshStatus();
    return;
  }
  // The engine may still execute the order. No slot opens until the settle time has passed.
  m_order_state = OrderState::kSettling;
  m_settle_until = m_clock.GetNow() + m_options.settle;
}

void SwapControl::OnMismatch() {
  m_gate.CloseAll();
  m_min_sequence = m_host.RefreshStatus();
}

void SwapControl::Step() {
  EndSettlingIfDue();
  if (m_order_state != OrderState::kNone) return;
  if (!IsReportCurrent()) return;
  OpenConfirmed();
  if (m_clock.GetNow() < m_retry_at) return;
  const RequiredWeights* next = FindNextLoad();
  if (next != nullptr) {
    StepLoad(*next);
  } else {
    StepUnload();
  }
}

void SwapControl::EndSettlingIfDue() {
  if (m_order_state != OrderState::kSettling || m_clock.GetNow() < m_settle_until) return;
  m_order_state = OrderState::kNone;
  m_swap_slot.reset();
  m_min_sequence = m_host.RefreshStatus();
}

bool SwapControl::IsReportCurrent() const {
  return m_report.status.state != EngineState::kUnreachable && m_report.sequence >= m_min_sequence &&
         m_report.sequence > 0;
}

void SwapControl::OpenConfirmed() {
  for (const LoadedWeights& loaded : m_report.status.loaded) {
    const WeightSlot slot{loaded.model, loaded.adapter};
    if (m_swap_slot.has_value() && (*m_swap_slot == slot || *m_swap_slot == GetBase(slot))) continue;
    if (m_gate.IsOpen(slot) || !IsAcceptable(slot, loaded.manifest)) continue;
    m_gate.OpenSlot(slot, loaded.manifest);
    m_opened_manifests[slot] = loaded.manifest;
    LogEvent(LogLevel::kInfo, "gate_opened",
             {{"model", slot.model}, {"adapter", slot.adapter}, {"manifest", FormatDigest(loaded.manifest)}});
  }
}

bool SwapControl::IsAcceptable(const WeightSlot& slot, const Digest& manifest) const {
  if (FindLoaded(slot) != manifest) return false;
  if (slot.adapter.IsEmpty()) {
    if (IsRequired(slot, manifest)) return true;
    const auto listed = m_listed_manifests.find(slot);
    return listed != m_listed_manifests.end() && listed->second.contains(manifest);
  }
  // An adapter is only valid with the base model version that the configuration assigns together with it.
  if (!IsRequired(slot, manifest)) return false;
  const WeightSlot base = GetBase(slot);
  const auto loaded_base = FindLoaded(base);
  return loaded_base.has_value() && IsRequired(base, *loaded_base);
}

bool SwapControl::IsRequired(const WeightSlot& slot, const Digest& manifest) const {
  return std::find(m_required.begin(), m_required.end(), RequiredWeights{slot, manifest}) != m_required.end();
}

std::optional<Digest> SwapControl::FindLoaded(const WeightSlot& slot) const {
  return plantain::FindLoaded(m_report.status, slot);
}

const RequiredWeights* SwapControl::FindNextLoad() const {
  for (const RequiredWeights& required : m_required) {
    if (FindLoaded(required.slot) != required.manifest) return &required;
  }
  return nullptr;
}

void SwapControl::StepLoad(const RequiredWeights& required) {
  if (!IsStaged(required.manifest)) return;
  if (m_gate.IsOpen(required.slot)) {
    if (!MayCloseSlot(required)) return;
    CloseForSwap(required.slot);
  }
  if (!IsIdle(required.slot)) return;
  Send(EngineOrderKind::kLoad, required.slot, required.manifest);
}

bool SwapControl::MayCloseSlot(const RequiredWeights& required) {
  if (m_closing_slot != required.slot) {
    if (!m_host.MaySwap(required)) return false;
    m_closing_slot = required.slot;
    m_close_at = m_clock.GetNow() + m_options.notice;
  }
  return m_clock.GetNow() >= m_close_at;
}

bool SwapControl::IsClosing(const WeightSlot& slot) const {
  return m_closing_slot.has_value() && (*m_closing_slot == slot || *m_closing_slot == GetBase(slot));
}

void SwapControl::StepUnload() {
  if (m_required.empty()) return;
  for (const LoadedWeights& loaded : m_report.status.loaded) {
    const WeightSlot slot{loaded.model, loaded.adapter};
    if (IsRequired(slot, loaded.manifest)) continue;
    CloseForSwap(slot);
    if (IsIdle(slot)) Send(EngineOrderKind::kUnload, slot, loaded.manifest);
    return;
  }
}

bool SwapControl::IsIdle(const WeightSlot& slot) const { return m_gate.GetInFlight(slot) == 0; }

void SwapControl::CloseForSwap(const WeightSlot& slot) {
  m_swap_slot = slot;
  m_closing_slot.reset();
  m_gate.CloseSlot(slot);
  if (!slot.adapter.IsEmpty()) return;
  for (const LoadedWeights& loaded : m_report.status.loaded) {
    if (loaded.model == slot.model) m_gate.CloseSlot({loaded.model, loaded.adapter});
  }
}

void SwapControl::Send(EngineOrderKind kind, const WeightSlot& slot, const Digest& manifest) {
  m_fence = MakeFence();
  m_order_state = OrderState::kInProgress;
  m_swap_slot = slot;
  m_status_before_order = m_report.status;
  const EngineOrder order{kind, slot.model, slot.adapter, manifest, m_fence};
  LogEvent(LogLevel::kInfo, "engine_order",
           {{"order", kind == EngineOrderKind::kLoad ? "load" : "unload"},
            {"model", slot.model},
            {"adapter", slot.adapter},
            {"manifest", FormatDigest(manifest)},
            {"fence", m_fence}});
  m_host.SendOrder(order);
}

FencingToken SwapControl::MakeFence() { return std::max(m_fence, m_report.status.fence).Next(); }

std::optional<RequiredWeights> SwapControl::GetStageTarget() const {
  if (m_report.status.state == EngineState::kUnreachable) return std::nullopt;
  const RequiredWeights* next = FindNextLoad();
  if (next == nullptr) return std::nullopt;
  return *next;
}

bool SwapControl::IsStaged(const Digest& manifest) const {
  if (m_report.staged_manifest != manifest) return false;
  const size_t count = m_host.GetChunkCount(manifest);
  if (count == 0) return false;
  const std::vector<bool> bits = UnpackBits(m_report.staged_bits, count);
  return std::find(bits.begin(), bits.end(), false) == bits.end();
}

std::optional<Digest> SwapControl::GetConfirmed(const WeightSlot& slot) const {
  if (m_report.status.state == EngineState::kUnreachable) return std::nullopt;
  return FindLoaded(slot);
}

bool SwapControl::IsAllServing() const {
  return !m_required.empty() && std::all_of(m_required.begin(), m_required.end(), [&](const RequiredWeights& required) {
    return FindLoaded(required.slot) == required.manifest && m_gate.IsOpen(required.slot);
  });
}

}  // namespace plantain
