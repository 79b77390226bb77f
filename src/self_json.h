// The `/status` document of a process as JSON.

#ifndef PLANTAIN_SELF_JSON_H_
#define PLANTAIN_SELF_JSON_H_

#include <string>

#include "config_type.h"
#include "member_type.h"
#include "process.h"

namespace plantain {

// Returns the state as a JSON object: vm, zone, incarnation, state, config_version, log_reachable, limit, in_flight,
// cold, holdings, and the members by state.
std::string FormatSelfJson(const ProcessParts& parts, const SelfState& self, const ConfigSource& config,
                           const MemberSource& members);

std::string_view GetMemberStateName(MemberState state);

}  // namespace plantain

#endif  // PLANTAIN_SELF_JSON_H_
