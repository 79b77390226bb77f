#include "admin_http.h"
#include "config_services.h"
#include "entry_self.h"
#include "entry_services.h"
#include "hosted_services.h"
#include "process.h"
#include "settings_func.h"
#include "slo_meter.h"

namespace plantain {
namespace {

void RegisterServices(Kernel& kernel, ProcessParts& parts) {
  RegisterConfigServices(kernel, parts);
  RegisterMemberServices(kernel, parts);
  RegisterEntryServices(kernel, parts);
  kernel.Register("self", [&parts](Kernel& k) {
    return std::make_unique<EntrySelf>(parts, k.Get<ConfigSource>("config"), k.Get<MemberSource>("members"),
                                       k.Get<EntryService>("entry"));
  });
  kernel.Register("slo", [&parts](Kernel& k) {
    return std::make_unique<SloMeter>(SloMeterOptions{parts.vm, parts.zone, PoolName()}, parts.clock,
                                      parts.control_loop, parts.metrics, k.Get<ConfigSource>("config"), nullptr);
  });
  kernel.Register("admin", [&parts](Kernel& k) {
    return std::make_unique<AdminHttp>(parts.control_loop, parts.control_caller_memory, parts.address,
                                       parts.settings.GetPort("admin.port"), k.Get<EntrySelf>("self"), parts.metrics,
                                       parts.history);
  });
}

}  // namespace
}  // namespace plantain

int main(int argc, char** argv) {
  const std::vector<plantain::ProgramVariant> variants = {
      {"standin", plantain::GetEntrySettingsTable(), plantain::RegisterServices},
      {"hosted", plantain::GetHostedEntrySettingsTable(), plantain::hosted::RegisterHostedEntry},
  };
  plantain::EndProcess(plantain::RunProcess(argc, argv, "plantain-entry", variants));
}
