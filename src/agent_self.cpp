#include "agent_self.h"

#include "self_json.h"

namespace plantain {

AgentSelf::AgentSelf(const ProcessParts& parts, const ConfigSource& config, const MemberSource& members,
                     const HoldingSource& holdings, const AdmissionSource& admission, const EngineSource& engine,
                     const Leavable& leaving)
    : m_parts(parts),
      m_config(config),
      m_members(members),
      m_holdings(holdings),
      m_admission(admission),
      m_engine(engine),
      m_leaving(leaving) {}

SelfState AgentSelf::GetSelfState() const {
  const AdmissionReport admission = m_admission.GetAdmission();
  SelfState state;
  state.holdings = m_holdings.GetHoldings();
  state.limit = admission.limit;
  state.in_flight = admission.in_flight;
  state.is_cold = admission.is_cold;
  if (m_leaving.IsLeaving()) {
    state.state = MemberState::kLeaving;
  } else if (m_config.GetConfig() != nullptr && m_engine.GetEngineStatus()->state != EngineState::kUnreachable) {
    state.state = MemberState::kServing;
  }
  return state;
}

Readiness AgentSelf::GetReadiness() const {
  if (m_leaving.IsLeaving()) return {false, "leaving"};
  if (m_config.GetConfig() == nullptr) return {false, "no configuration received from the log or a peer"};
  if (m_engine.GetEngineStatus()->state == EngineState::kUnreachable) return {false, "the engine does not respond"};
  return {true, "ready"};
}

std::string AgentSelf::GetStatusJson() const { return FormatSelfJson(m_parts, GetSelfState(), m_config, m_members); }

}  // namespace plantain
