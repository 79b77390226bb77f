#include "admin_http.h"
#include "agent_self.h"
#include "attempt_services.h"
#include "config_services.h"
#include "hosted_services.h"
#include "process.h"
#include "settings_func.h"
#include "slo_meter.h"
#include "weight_services.h"

namespace plantain {
namespace {

void RegisterServices(Kernel& kernel, ProcessParts& parts) {
  RegisterConfigServices(kernel, parts);
  RegisterMemberServices(kernel, parts);
  RegisterWeightServices(kernel, parts);
  RegisterAttemptServices(kernel, parts);
  kernel.Register("self", [&parts](Kernel& k) {
    return std::make_unique<AgentSelf>(parts, k.Get<ConfigSource>("config"), k.Get<MemberSource>("members"),
                                       k.Get<HoldingSource>("holdings"), k.Get<AdmissionSource>("admission"),
                                       k.Get<EngineSource>("engine"), k.Get<Leavable>("attempts"));
  });
  kernel.Register("slo", [&parts](Kernel& k) {
    return std::make_unique<SloMeter>(
        SloMeterOptions{parts.vm, parts.zone, PoolName(parts.settings.GetText("vm.pool"))}, parts.clock,
        parts.control_loop, parts.metrics, k.Get<ConfigSource>("config"), &k.Get<HoldingSource>("holdings"));
  });
  kernel.Register("admin", [&parts](Kernel& k) {
    return std::make_unique<AdminHttp>(parts.control_loop, parts.control_caller_memory, parts.address,
                                       parts.settings.GetPort("admin.port"), k.Get<AgentSelf>("self"), parts.metrics,
                                       parts.history);
  });
}

}  // namespace
}  // namespace plantain

int main(int argc, char** argv) {
  const std::vector<plantain::ProgramVariant> variants = {
      {"standin", plantain::GetAgentSettingsTable(), plantain::RegisterServices},
      {"hosted", plantain::GetHostedAgentSettingsTable(), plantain::hosted::RegisterHostedAgent},
  };
  plantain::EndProcess(plantain::RunProcess(argc, argv, "plantain-agent", variants));
}
