// State of a process as reported in heartbeats, with conversion to and from the wire format.

#ifndef PLANTAIN_MEMBER_HEARTBEAT_H_
#define PLANTAIN_MEMBER_HEARTBEAT_H_

#include <optional>
#include <string>
#include <vector>

#include "member_type.h"

namespace plantain::proto {
class Heartbeat;
}

namespace plantain {

// One heartbeat, sent by the member itself or relayed. A brief heartbeat omits zone, pool, kind, holdings and service;
// `detail` is a hash of them, by which the receiver detects whether its own copy is current.
//
// States kSuspect and kDead are claims by an observer and contain the newest incarnation and sequence that the observer
// has received. A question requests a heartbeat newer than these. A sender that lacks the member's detail asks with
// incarnation 0.
struct MemberHeartbeat {
  VmId vm;
  Incarnation incarnation;
  uint64_t sequence = 0;
  bool is_brief = false;
  bool is_question = false;
  MemberState state = MemberState::kUnknown;
  ConfigVersion config_version;
  uint32_t limit = 0;
  uint32_t in_flight = 0;
  bool is_cold = false;
  uint32_t detail = 0;
  ZoneName zone;
  PoolName pool;
  MemberKind kind = MemberKind::kUnknown;
  std::vector<HoldingInfo> holdings;
  ServiceName service;
};

// Returns the hash of the fields that a brief heartbeat omits. Never 0.
uint32_t HashDetail(const MemberHeartbeat& heartbeat);

// Writes the wire format. The VM and incarnation are omitted if the VM is `sender`, which the message identifies.
void WriteHeartbeat(const MemberHeartbeat& heartbeat, const VmId& sender, proto::Heartbeat& out);

// Parses the wire format. Returns nullopt if a field is out of range or `detail` does not match.
std::optional<MemberHeartbeat> ReadHeartbeat(const proto::Heartbeat& in, const VmId& sender);

}  // namespace plantain

#endif  // PLANTAIN_MEMBER_HEARTBEAT_H_
