#include "self_json.h"

#include <map>
#include <nlohmann/json.hpp>

#include "hex_text.h"

namespace plantain {

std::string_view GetMemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kStarting:
      return "starting";
    case MemberState::kServing:
      return "serving";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kUnknown:
      break;
  }
  return "unknown";
}

std::string FormatSelfJson(const ProcessParts& parts, const SelfState& self, const ConfigSource& config,
                           const MemberSource& members) {
  using nlohmann::json;
  json holdings = json::array();
  for (const HoldingInfo& holding : self.holdings) {
    holdings.push_back({{"model", holding.model.Get()},
                        {"adapter", holding.adapter.Get()},
                        {"manifest", FormatHex(holding.manifest.Get())},
                        {"serving", holding.is_serving},
                        {"permille", holding.permille}});
  }
  std::map<std::string, int> counts;
  for (const MemberInfo& member : members.GetMembers()->members) {
    ++counts[std::string(GetMemberStateName(member.state))];
  }
  const auto view = config.GetConfig();
  return json{{"vm", parts.vm.Get()},
              {"zone", parts.zone.Get()},
              {"incarnation", parts.incarnation.Get()},
              {"state", GetMemberStateName(self.state)},
              {"config_version", view == nullptr ? 0 : view->version.Get()},
              {"log_reachable", config.IsLogReachable()},
              {"limit", self.limit},
              {"in_flight", self.in_flight},
              {"cold", self.is_cold},
              {"holdings", holdings},
              {"members", counts}}
      .dump();
}

}  // namespace plantain
