// A process with the control services only: configuration, membership and peers. Benchmarks start many of them to
// measure the control overhead without the other parts of an entry or agent.

#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "admin_http.h"
#include "config_services.h"
#include "config_type.h"
#include "document_func.h"
#include "member_type.h"
#include "process.h"
#include "settings_func.h"

namespace plantain {
namespace {

// Reports that the process serves everything assigned to its pool as soon as it has a document.
class ControlNode : public Service, public SelfSource, public AdminSource {
 public:
  ControlNode(const ConfigSource& config, const MemberSource& members, PoolName pool)
      : m_config(config), m_members(members), m_pool(std::move(pool)) {}

  absl::Status Start() override { return absl::OkStatus(); }
  void Stop() override {}

  SelfState GetSelfState() const override {
    SelfState self;
    const auto view = m_config.GetConfig();
    if (view == nullptr) return self;
    self.state = MemberState::kServing;
    self.limit = 8;
    for (const Assignment& item : GetAssignments(view->document, m_pool)) {
      self.holdings.push_back({item.model, item.adapter, item.manifest, true, 1000});
    }
    return self;
  }

  Readiness GetReadiness() const override {
    if (m_config.GetConfig() == nullptr) return {false, "no configuration"};
    return {true, ""};
  }

  std::string GetStatusJson() const override {
    const auto view = m_config.GetConfig();
    const auto members = m_members.GetMembers();
    size_t serving = 0;
    for (const MemberInfo& member : members->members) serving += member.state == MemberState::kServing ? 1 : 0;
    return nlohmann::json{{"config_version", view == nullptr ? 0 : view->version.Get()},
                          {"members", members->members.size()},
                          {"serving", serving},
                          {"log_reachable", m_config.IsLogReachable()}}
        .dump();
  }

 private:
  const ConfigSource& m_config;
  const MemberSource& m_members;
  const PoolName m_pool;
};

void RegisterNode(Kernel& kernel, ProcessParts& parts, bool is_agent) {
  RegisterConfigServices(kernel, parts);
  RegisterMemberServices(kernel, parts);
  kernel.Register("self", [&parts, is_agent](Kernel& k) {
    const PoolName pool(is_agent ? parts.settings.GetText("vm.pool") : "");
    return std::make_unique<ControlNode>(k.Get<ConfigSource>("config"), k.Get<MemberSource>("members"), pool);
  });
  kernel.Register("admin", [&parts](Kernel& k) {
    return std::make_unique<AdminHttp>(parts.control_loop, parts.control_caller_memory, parts.address,
                                       parts.settings.GetPort("admin.port"), k.Get<ControlNode>("self"), parts.metrics,
                                       parts.history);
  });
}

}  // namespace
}  // namespace plantain

// Usage: bench-control-node entry|agent --settings FILE
int main(int argc, char** argv) {
  const std::string role = argc > 1 ? argv[1] : "";
  if (role != "entry" && role != "agent") {
    std::cerr << "expected entry or agent as the first argument\n";
    return 2;
  }
  const bool is_agent = role == "agent";
  const auto register_node = [is_agent](plantain::Kernel& kernel, plantain::ProcessParts& parts) {
    plantain::RegisterNode(kernel, parts, is_agent);
  };
  const plantain::SettingsTable table =
      is_agent ? plantain::GetAgentSettingsTable() : plantain::GetEntrySettingsTable();
  return plantain::RunProcess(argc - 1, argv + 1, "bench-control-node", {{"standin", table, register_node}});
}
