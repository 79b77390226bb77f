// Registers the agent's request-handling services with the kernel.

#ifndef PLANTAIN_ATTEMPT_SERVICES_H_
#define PLANTAIN_ATTEMPT_SERVICES_H_

#include "kernel.h"
#include "process.h"

namespace plantain {

// Notified when this VM leaves the fleet. Implemented by the service "attempts".
class Leavable {
 public:
  virtual ~Leavable() = default;

  // Announces to the entries that this agent is leaving and refuses new attempts as "not run"; attempts in progress
  // continue. Idempotent and thread-safe.
  virtual void BeginLeaving() = 0;

  // Returns whether this agent is leaving or shutting down. Thread-safe.
  virtual bool IsLeaving() const = 0;
};

// Registers "admission" (AdmissionSource), "once" (only if engine.kind is service) and "attempts" (Drainable,
// Leavable). Their factories look up "config" (ConfigSource), "engine" (EngineSource) and, for an engine, "gate"
// (ServingGate) in the kernel.
void RegisterAttemptServices(Kernel& kernel, ProcessParts& parts);

}  // namespace plantain

#endif  // PLANTAIN_ATTEMPT_SERVICES_H_
