// Registers the services that fetch, stage and load weights and gate requests on an endpoint VM.

#ifndef PLANTAIN_WEIGHT_SERVICES_H_
#define PLANTAIN_WEIGHT_SERVICES_H_

#include <functional>
#include <string>

#include "kernel.h"
#include "process.h"
#include "transfer_service.h"
#include "weight_control.h"

namespace plantain {

// Registers "engine" (EngineSource), "gate" (ServingGate), "holdings" (HoldingSource) and "transfer". They depend on
// "config" (ConfigSource), "members" (MemberSource) and "admission" (AdmissionSource).
//
// With `engine.kind: service`, the gate is open while the service responds, and there are no holdings.
void RegisterWeightServices(Kernel& kernel, ProcessParts& parts);

// Registers "gate", "holdings", "transfer" with the ports that `make_ports` creates, and "weights" (WeightControl).
// They depend on "config", "members", the service named by `admission` (AdmissionSource) and "engine" (EngineControl).
void RegisterWeightControl(Kernel& kernel, ProcessParts& parts, const TransferOptions& transfer,
                           std::function<TransferDeps()> make_ports, const WeightControlOptions& control,
                           const std::string& admission);

}  // namespace plantain

#endif  // PLANTAIN_WEIGHT_SERVICES_H_
