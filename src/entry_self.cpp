#include "entry_self.h"

#include "self_json.h"

namespace plantain {

EntrySelf::EntrySelf(const ProcessParts& parts, const ConfigSource& config, const MemberSource& members,
                     const EntryService& entry)
    : m_parts(parts), m_config(config), m_members(members), m_entry(entry) {}

SelfState EntrySelf::GetSelfState() const {
  SelfState state;
  if (m_entry.IsDraining()) {
    state.state = MemberState::kLeaving;
  } else if (m_config.GetConfig() != nullptr) {
    state.state = MemberState::kServing;
  }
  return state;
}

Readiness EntrySelf::GetReadiness() const {
  if (m_entry.IsDraining()) return {false, "leaving"};
  if (m_config.GetConfig() == nullptr) return {false, "no configuration received from the log or a peer"};
  if (!m_config.IsLogReachable()) return {true, "ready, cut off from the log"};
  return {true, "ready"};
}

std::string EntrySelf::GetStatusJson() const { return FormatSelfJson(m_parts, GetSelfState(), m_config, m_members); }

}  // namespace plantain
