// Computes the peers that a process connects to and its heartbeat timing from the size of the fleet. Does no I/O.

#ifndef PLANTAIN_PEER_PLAN_H_
#define PLANTAIN_PEER_PLAN_H_

#include <vector>

#include "member_type.h"

namespace plantain {

// A process sends its periodic message to peers that opened the connection once in this many rounds.
inline constexpr int kConnectionRounds = 4;

struct PeerPlanOptions {
  VmId self;
  ZoneName zone;
  MemberKind kind = MemberKind::kUnknown;
  // Heartbeat period in a small fleet, and the times without a message after which a member is suspected or dead.
  Duration period{};
  Duration suspect{};
  Duration dead{};
};

// Connections, timing and rate limits of one process.
struct PeerPlan {
  // Peers to connect to.
  std::vector<VmId> peers;
  Duration period{};
  Duration suspect{};
  Duration dead{};
  // True if details of every member are sent to every process; otherwise they are sent only within the zone.
  bool is_small = true;
  // Rate limit of relayed changes in bytes per second, to one peer of the same kind and of the other kind.
  double relay_rate = 0;
  double other_kind_relay_rate = 0;
  // Burst limit of relayed changes in bytes, to one peer of the same kind and of the other kind.
  double relay_burst = 0;
  double other_kind_relay_burst = 0;
  // Interval between two summaries of one zone.
  Duration summary_period{};
};

// Computes the plan. All processes of a zone that see the same members compute the same period, so that the suspect and
// dead times of one process match the heartbeat period of the others.
PeerPlan MakePeerPlan(const MemberView& view, const PeerPlanOptions& options);

}  // namespace plantain

#endif  // PLANTAIN_PEER_PLAN_H_
