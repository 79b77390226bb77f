#include "config_services.h"

#include "config_service.h"
#include "member_service.h"
#include "peer_service.h"

namespace plantain {
namespace {

// Clients of the platform's log and VM list on the control loop. Registered as a service so that they outlive the
// services that use them.
class PlatformClients : public Service {
 public:
  explicit PlatformClients(ProcessParts& parts)
      : m_http(parts.control_loop, parts.answer_memory),
        m_log(m_http, {parts.settings.GetAddress("platform.log_address"), parts.settings.GetPort("platform.log_port")},
              parts.settings.GetDuration("platform.timeout_ms")),
        m_list(m_http, {parts.settings.GetAddress("platform.vms_address"), parts.settings.GetPort("platform.vms_port")},
               parts.zone, parts.settings.GetDuration("platform.timeout_ms")) {}

  absl::Status Start() override { return absl::OkStatus(); }
  void Stop() override {}

  LogClient& GetLog() { return m_log; }
  VmListClient& GetList() { return m_list; }

 private:
  HttpClient m_http;
  LogClient m_log;
  VmListClient m_list;
};

constexpr char kPlatform[] = "control_platform";

// Setting "vm.pool" exists only for agents.
bool IsAgent(const Settings& settings) {
  for (const SettingRow& row : settings.GetTable()) {
    if (row.name == "vm.pool") return true;
  }
  return false;
}

ServiceName GetServiceName(const Settings& settings) {
  const bool is_service = IsAgent(settings) && settings.GetText("engine.kind") == "service";
  return ServiceName(is_service ? settings.GetText("engine.service") : "");
}

std::unique_ptr<Service> MakeConfigService(Kernel& kernel, ProcessParts& parts) {
  const Settings& settings = parts.settings;
  ConfigServiceOptions options;
  options.vm = parts.vm;
  options.is_entry = !IsAgent(settings);
  options.key = settings.GetText("peer.key");
  options.poll = settings.GetDuration("config.poll_ms");
  options.retention = settings.GetDuration("config.retention_ms");
  options.read_interval = settings.GetDuration("config.rare_read_ms");
  options.isolated_read_interval = settings.GetDuration("config.lone_read_ms");
  options.peer_timeout = settings.GetDuration("peer.dead_ms");
  return std::make_unique<ConfigService>(parts.control_loop, parts.clock, parts.random, parts.metrics,
                                         kernel.Get<PlatformClients>(kPlatform).GetLog(),
                                         kernel.Get<MemberSource>("members"), std::move(options));
}

std::unique_ptr<Service> MakeMemberService(Kernel& kernel, ProcessParts& parts) {
  const Settings& settings = parts.settings;
  MemberServiceOptions options;
  options.table.self = parts.vm;
  options.table.address = parts.address;
  options.zone = parts.zone;
  options.table.suspect = settings.GetDuration("peer.suspect_ms");
  options.table.dead = settings.GetDuration("peer.dead_ms");
  options.list_period = settings.GetDuration("platform.vms_period_ms");
  options.tick_period = settings.GetDuration("peer.period_ms") / 2;
  return std::make_unique<MemberService>(parts.control_loop, parts.clock, parts.random, parts.metrics,
                                         kernel.Get<PlatformClients>(kPlatform).GetList(), std::move(options));
}

std::unique_ptr<Service> MakePeerService(Kernel& kernel, ProcessParts& parts) {
  const Settings& settings = parts.settings;
  PeerServiceOptions options;
  options.self.vm = parts.vm;
  options.self.zone = parts.zone;
  options.self.incarnation = parts.incarnation;
  options.self.kind = IsAgent(settings) ? MemberKind::kEndpoint : MemberKind::kEntry;
  if (IsAgent(settings)) options.self.pool = PoolName(settings.GetText("vm.pool"));
  options.self.service = GetServiceName(settings);
  options.address = parts.address;
  options.port = settings.GetPort("peer.port");
  options.seeds = settings.GetList("peer.seeds");
  options.period = settings.GetDuration("peer.period_ms");
  options.suspect = settings.GetDuration("peer.suspect_ms");
  options.dead = settings.GetDuration("peer.dead_ms");
  return std::make_unique<PeerService>(parts.control_loop, parts.channels, parts.clock, parts.random, parts.metrics,
                                       kernel.Get<ConfigSource>("config"), kernel.Get<ConfigExchange>("config"),
                                       kernel.Get<MemberService>("members"), kernel.Get<SelfSource>("self"),
                                       std::move(options));
}

}  // namespace

void RegisterConfigServices(Kernel& kernel, ProcessParts& parts) {
  kernel.Register(kPlatform, [&parts](Kernel&) { return std::make_unique<PlatformClients>(parts); });
  kernel.Register("config", [&parts](Kernel& k) { return MakeConfigService(k, parts); });
}

void RegisterMemberServices(Kernel& kernel, ProcessParts& parts) {
  kernel.Register("members", [&parts](Kernel& k) { return MakeMemberService(k, parts); });
  kernel.Register("peers", [&parts](Kernel& k) { return MakePeerService(k, parts); });
}

}  // namespace plantain
