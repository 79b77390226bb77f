// Controls which loaded weights of an engine may currently serve requests.

#ifndef PLANTAIN_ENGINE_GATE_H_
#define PLANTAIN_ENGINE_GATE_H_

#include <functional>
#include <map>
#include <mutex>
#include <utility>

#include "gate_type.h"
#include "kernel.h"

namespace plantain {

// Identifies a set of weights that an engine can load: a base model or one of its adapters.
struct WeightSlot {
  ModelName model;
  // Empty for the base model.
  AdapterName adapter;

  auto operator<=>(const WeightSlot&) const = default;
};

// Operations of the control thread on the gate.
class GateControl {
 public:
  virtual ~GateControl() = default;

  // Starts admitting requests on these weights, which the engine has just confirmed as loaded.
  virtual void OpenSlot(const WeightSlot& slot, const Digest& manifest) = 0;

  // Stops admitting requests. Requests already admitted continue.
  virtual void CloseSlot(const WeightSlot& slot) = 0;
  virtual void CloseAll() = 0;

  virtual bool IsOpen(const WeightSlot& slot) const = 0;

  // Returns the number of admitted requests that use the slot. A request for an adapter also uses the slot of its base
  // model.
  virtual uint32_t GetInFlight(const WeightSlot& slot) const = 0;
};

// ServingGate of an engine. Thread-safe; each call holds a mutex for at most two map lookups.
class EngineGate : public Service, public ServingGate, public GateControl {
 public:
  // Sets the callback that runs after the last request has left a closed slot or a mismatch was reported. It runs on
  // the thread that caused the event, without the lock held, so it must be thread-safe.
  void SetOnEvent(std::function<void()> on_event) { m_on_event = std::move(on_event); }

  absl::Status Start() override { return absl::OkStatus(); }
  void Stop() override { CloseAll(); }

  std::optional<Digest> Enter(const ModelName& model, const AdapterName& adapter) override;
  void Leave(const ModelName& model, const AdapterName& adapter) override;
  void ReportMismatch(const Digest& actual_manifest) override;

  void OpenSlot(const WeightSlot& slot, const Digest& manifest) override;
  void CloseSlot(const WeightSlot& slot) override;
  void CloseAll() override;
  bool IsOpen(const WeightSlot& slot) const override;
  uint32_t GetInFlight(const WeightSlot& slot) const override;

  // Returns whether a mismatch was reported since the last call, and clears the flag.
  bool ConsumeMismatch();

 private:
  struct SlotState {
    std::optional<Digest> manifest;
    uint32_t in_flight = 0;
  };

  // Decrements the request count. Returns whether the slot is closed and this was its last request.
  bool LeaveSlot(const WeightSlot& slot);

  mutable std::mutex m_mutex;
  std::map<WeightSlot, SlotState> m_slots;
  bool m_has_mismatch = false;
  std::function<void()> m_on_event;
};

}  // namespace plantain

#endif  // PLANTAIN_ENGINE_GATE_H_
