// Interfaces for admitting requests by loaded weights and for reading the state of the local engine.

#ifndef PLANTAIN_GATE_TYPE_H_
#define PLANTAIN_GATE_TYPE_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "core_type.h"

namespace plantain {

// Admits requests only while the engine has confirmed exactly the required weights. Thread-safe.
class ServingGate {
 public:
  virtual ~ServingGate() = default;

  // Admits a request and returns the manifest that it will run on, or nullopt if the gate is closed for this model and
  // adapter. Each successful call must be matched by exactly one Leave.
  virtual std::optional<Digest> Enter(const ModelName& model, const AdapterName& adapter) = 0;

  // Marks an admitted request as finished. A weight swap waits until no admitted request is left.
  virtual void Leave(const ModelName& model, const AdapterName& adapter) = 0;

  // Closes the gate until the engine's status has been read again. Called when a response was produced with other
  // weights than the gate expected.
  virtual void ReportMismatch(const Digest& actual_manifest) = 0;
};

enum class EngineState { kUnreachable, kEmpty, kCold, kWarm };

// A set of weights that the engine reports as loaded.
struct LoadedWeights {
  ModelName model;
  AdapterName adapter;
  Digest manifest;
};

// Status reported by the engine. The load values lag behind the actual load.
struct EngineStatus {
  EngineState state = EngineState::kUnreachable;
  Incarnation incarnation;
  uint64_t orders = 0;
  FencingToken fence;
  std::vector<LoadedWeights> loaded;
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  // Number of requests that the engine can run concurrently when warm, as reported by it; 0 if unknown.
  uint32_t capacity = 0;
};

// Provides the latest status of the local engine or plain service.
class EngineSource {
 public:
  virtual ~EngineSource() = default;

  // Returns the latest status; never null. Thread-safe.
  virtual std::shared_ptr<const EngineStatus> GetEngineStatus() const = 0;

  // Calls `listener` on the control thread after each status update. Must be called before Start.
  virtual void AddEngineListener(std::function<void(const std::shared_ptr<const EngineStatus>&)> listener) = 0;
};

// Admission state of the endpoint, as reported by the traffic loops.
struct AdmissionReport {
  uint32_t limit = 0;
  uint32_t in_flight = 0;
  bool is_cold = true;
  // Requests that succeeded and failed since the process started; a rollout pauses if the error rate is too high.
  uint64_t succeeded = 0;
  uint64_t failed = 0;
};

// Provides the admission state. Thread-safe.
class AdmissionSource {
 public:
  virtual ~AdmissionSource() = default;
  virtual AdmissionReport GetAdmission() const = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_GATE_TYPE_H_
