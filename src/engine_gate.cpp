#include "engine_gate.h"

#include "event_log.h"
#include "manifest_func.h"

namespace plantain {

std::optional<Digest> EngineGate::Enter(const ModelName& model, const AdapterName& adapter) {
  const std::lock_guard lock(m_mutex);
  const auto base_slot = m_slots.find(WeightSlot{model, AdapterName()});
  if (base_slot == m_slots.end() || !base_slot->second.manifest.has_value()) return std::nullopt;
  if (adapter.IsEmpty()) {
    ++base_slot->second.in_flight;
    return base_slot->second.manifest;
  }
  const auto adapter_slot = m_slots.find(WeightSlot{model, adapter});
  if (adapter_slot == m_slots.end() || !adapter_slot->second.manifest.has_value()) return std::nullopt;
  ++base_slot->second.in_flight;
  ++adapter_slot->second.in_flight;
  return adapter_slot->second.manifest;
}

void EngineGate::Leave(const ModelName& model, const AdapterName& adapter) {
  bool is_idle = false;
  {
    const std::lock_guard lock(m_mutex);
    is_idle = LeaveSlot(WeightSlot{model, AdapterName()});
    if (!adapter.IsEmpty() && LeaveSlot(WeightSlot{model, adapter})) is_idle = true;
  }
  if (is_idle && m_on_event) m_on_event();
}

bool EngineGate::LeaveSlot(const WeightSlot& slot) {
  const auto found = m_slots.find(slot);
  if (found == m_slots.end() || found->second.in_flight == 0) return false;
  --found->second.in_flight;
  return found->second.in_flight == 0 && !found->second.manifest.has_value();
}

void EngineGate::ReportMismatch(const Digest& actual_manifest) {
  LogEvent(LogLevel::kError, "gate_mismatch", {{"seen", FormatDigest(actual_manifest)}});
  {
    const std::lock_guard lock(m_mutex);
    m_has_mismatch = true;
  }
  CloseAll();
  if (m_on_event) m_on_event();
}

void EngineGate::OpenSlot(const WeightSlot& slot, const Digest& manifest) {
  const std::lock_guard lock(m_mutex);
  // The control thread has not processed the mismatch yet and acts on a status read before it.
  if (m_has_mismatch) return;
  m_slots[slot].manifest = manifest;
}

void EngineGate::CloseSlot(const WeightSlot& slot) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_slots.find(slot);
  if (found != m_slots.end()) found->second.manifest.reset();
}

void EngineGate::CloseAll() {
  const std::lock_guard lock(m_mutex);
  for (auto& [slot, state] : m_slots) state.manifest.reset();
}

bool EngineGate::IsOpen(const WeightSlot& slot) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_slots.find(slot);
  return found != m_slots.end() && found->second.manifest.has_value();
}

uint32_t EngineGate::GetInFlight(const WeightSlot& slot) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_slots.find(slot);
  return found == m_slots.end() ? 0 : found->second.in_flight;
}

bool EngineGate::ConsumeMismatch() {
  const std::lock_guard lock(m_mutex);
  return std::exchange(m_has_mismatch, false);
}

}  // namespace plantain
