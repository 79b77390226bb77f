// State that an agent reports to its peers and operators.

#ifndef PLANTAIN_AGENT_SELF_H_
#define PLANTAIN_AGENT_SELF_H_

#include "admin_http.h"
#include "attempt_services.h"
#include "config_type.h"
#include "gate_type.h"
#include "holding_type.h"
#include "kernel.h"
#include "member_type.h"
#include "process.h"

namespace plantain {

// Must only be used on the control thread.
class AgentSelf : public Service, public SelfSource, public AdminSource {
 public:
  AgentSelf(const ProcessParts& parts, const ConfigSource& config, const MemberSource& members,
            const HoldingSource& holdings, const AdmissionSource& admission, const EngineSource& engine,
            const Leavable& leaving);

  absl::Status Start() override { return absl::OkStatus(); }
  void Stop() override {}

  SelfState GetSelfState() const override;
  Readiness GetReadiness() const override;
  std::string GetStatusJson() const override;

 private:
  const ProcessParts& m_parts;
  const ConfigSource& m_config;
  const MemberSource& m_members;
  const HoldingSource& m_holdings;
  const AdmissionSource& m_admission;
  const EngineSource& m_engine;
  const Leavable& m_leaving;
};

}  // namespace plantain

#endif  // PLANTAIN_AGENT_SELF_H_
