#include "peer_plan.h"

#include <algorithm>
#include <map>

#include "rendezvous.h"

namespace plantain {
namespace {

// Up to this number of VMs, details of every member are sent to every process.
constexpr size_t kMaxSmallFleetSize = 64;
constexpr size_t kMaxEntryPeers = 16;
// Entries that each endpoint of a large zone connects to.
constexpr size_t kEntriesPerEndpoint = 2;
// Other endpoints that each endpoint of a large zone connects to.
constexpr size_t kEndpointPeers = 2;
// Other entries of its zone that each entry of a large fleet connects to.
constexpr size_t kZoneEntryPeers = 3;
// Entries of a zone that connect to each other zone.
constexpr size_t kEntriesPerZoneLink = 2;
// Endpoints of the zone to connect to when the plan has no other peers.
constexpr size_t kFallbackPeers = 3;

// Bytes of a brief heartbeat including its message, and including its share of a reply.
constexpr double kHeartbeatBytes = 75;
constexpr double kSmallHeartbeatBytes = 55;
// Heartbeat bytes per second that one entry receives; in a large fleet less than half of the budget of 3 KB/s.
constexpr double kHeartbeatRate = 1200;
constexpr double kSmallHeartbeatRate = 2500;
// In a small fleet, heartbeats must reach every entry within a second.
constexpr Duration kMaxSmallPeriod = std::chrono::milliseconds(900);
// Heartbeat periods without a message after which a member is suspected or dead.
constexpr int kSuspectPeriods = 6;
constexpr int kDeadPeriods = 20;

constexpr double kSmallRelayRate = 2000;
constexpr double kSmallRelayBurst = 64 * 1024;
// Bytes per second for relayed changes in a large zone, by kind of process. Entries relay to each other and endpoints
// relay to each other. An entry has some 60 connected endpoints, so the rate for each of them is low.
constexpr double kEntryRelayRate = 600;
constexpr double kEndpointRelayRate = 1000;
constexpr double kEntryToEndpointRelayRate = 150;
constexpr double kLargeRelayBurst = 16 * 1024;
constexpr double kOtherKindRelayBurst = 512;
constexpr Duration kSummaryPeriodPerZone = std::chrono::seconds(2);

bool IsCandidate(const MemberInfo& member, const VmId& self) {
  return member.vm != self && member.state != MemberState::kDead;
}

// Returns the `count` candidates with the highest rendezvous scores for `key`.
std::vector<VmId> SelectTopCandidates(std::vector<VmId> candidates, const std::string& key, size_t count) {
  std::sort(candidates.begin(), candidates.end(), [&](const VmId& a, const VmId& b) {
    return GetRendezvousScore(key, a.Get()) > GetRendezvousScore(key, b.Get());
  });
  if (candidates.size() > count) candidates.resize(count);
  return candidates;
}

// Candidate peers by zone and kind. The counts include dead members and this process.
struct Candidates {
  std::vector<VmId> entries;
  std::vector<VmId> zone_entries;
  std::vector<VmId> zone_endpoints;
  std::map<ZoneName, std::vector<VmId>> other_entries;
  size_t members = 0;
  size_t endpoints_in_zone = 0;
  size_t entries_in_zone = 0;
};

Candidates GroupCandidates(const MemberView& view, const PeerPlanOptions& options) {
  Candidates out;
  out.members = view.members.size();
  for (const MemberInfo& member : view.members) {
    const bool is_entry = member.kind == MemberKind::kEntry;
    const bool is_in_zone = member.zone == options.zone;
    if (is_in_zone) ++(is_entry ? out.entries_in_zone : out.endpoints_in_zone);
    if (!IsCandidate(member, options.self)) continue;
    if (is_entry) out.entries.push_back(member.vm);
    if (is_entry && !is_in_zone) out.other_entries[member.zone].push_back(member.vm);
    if (is_in_zone) (is_entry ? out.zone_entries : out.zone_endpoints).push_back(member.vm);
  }
  return out;
}

void Append(const std::vector<VmId>& from, std::vector<VmId>& to) { to.insert(to.end(), from.begin(), from.end()); }

// Adds one entry of each other zone for which this entry is among the kEntriesPerZoneLink entries that connect to it.
void AddZoneLinks(const Candidates& candidates, const PeerPlanOptions& options, std::vector<VmId>& peers) {
  std::vector<VmId> own = candidates.zone_entries;
  own.push_back(options.self);
  for (const auto& [zone, entries] : candidates.other_entries) {
    const std::vector<VmId> link_owners = SelectTopCandidates(own, "link to " + zone.Get(), kEntriesPerZoneLink);
    if (std::find(link_owners.begin(), link_owners.end(), options.self) == link_owners.end()) continue;
    Append(SelectTopCandidates(entries, "link from " + options.self.Get(), 1), peers);
  }
}

std::vector<VmId> ChoosePeers(const Candidates& candidates, const PeerPlanOptions& options, bool is_small) {
  const std::string& self = options.self.Get();
  std::vector<VmId> peers;
  if (is_small) {
    peers = SelectTopCandidates(candidates.entries, self, kMaxEntryPeers);
  } else if (options.kind == MemberKind::kEntry) {
    peers = SelectTopCandidates(candidates.zone_entries, self, kZoneEntryPeers);
    AddZoneLinks(candidates, options, peers);
  } else {
    peers = SelectTopCandidates(candidates.zone_entries, self, kEntriesPerEndpoint);
    Append(SelectTopCandidates(candidates.zone_endpoints, self, kEndpointPeers), peers);
    if (candidates.zone_entries.empty())
      Append(SelectTopCandidates(candidates.entries, self, kEntriesPerEndpoint), peers);
  }
  if (peers.empty()) peers = SelectTopCandidates(candidates.zone_endpoints, self, kFallbackPeers);
  return peers;
}

Duration GetPeriod(const Candidates& candidates, const PeerPlanOptions& options, bool is_small) {
  const auto entries = static_cast<double>(std::max<size_t>(1, candidates.entries_in_zone));
  const double bytes =
      is_small ? static_cast<double>(candidates.members) * kSmallHeartbeatBytes
               : static_cast<double>(candidates.endpoints_in_zone) * kEntriesPerEndpoint / entries * kHeartbeatBytes;
  const std::chrono::duration<double> min_period(bytes / (is_small ? kSmallHeartbeatRate : kHeartbeatRate));
  const Duration period = std::max(options.period, std::chrono::duration_cast<Duration>(min_period));
  return is_small ? std::min(period, std::max<Duration>(options.period, kMaxSmallPeriod)) : period;
}

void SetRelayRates(const Candidates& candidates, bool is_entry, PeerPlan& plan) {
  plan.relay_burst = plan.is_small ? kSmallRelayBurst : kLargeRelayBurst;
  plan.other_kind_relay_burst = plan.is_small ? kSmallRelayBurst : kOtherKindRelayBurst;
  plan.relay_rate = kSmallRelayRate;
  plan.other_kind_relay_rate = kSmallRelayRate;
  if (plan.is_small) return;
  // Connections are opened by either end, so a process has about twice as many peers of its kind as it selects.
  plan.relay_rate = is_entry ? kEntryRelayRate / (2 * kZoneEntryPeers) : kEndpointRelayRate / (2 * kEndpointPeers);
  const auto endpoints = static_cast<double>(std::max<size_t>(1, candidates.endpoints_in_zone));
  const auto entries = static_cast<double>(std::max<size_t>(1, candidates.entries_in_zone));
  // Entries receive heartbeats from endpoints directly, so endpoints relay nothing to them.
  plan.other_kind_relay_rate = is_entry ? kEntryToEndpointRelayRate * entries / (endpoints * kEntriesPerEndpoint) : 0;
}

}  // namespace

PeerPlan MakePeerPlan(const MemberView& view, const PeerPlanOptions& options) {
  const Candidates candidates = GroupCandidates(view, options);
  PeerPlan plan;
  plan.is_small = candidates.members <= kMaxSmallFleetSize;
  plan.peers = ChoosePeers(candidates, options, plan.is_small);
  plan.period = GetPeriod(candidates, options, plan.is_small);
  // Entries send to endpoints only in every fourth round because they have many of them. Endpoints send no requests to
  // entries, so they tolerate slower failure detection.
  const bool is_entry = options.kind == MemberKind::kEntry;
  const Duration receive_interval = is_entry ? plan.period : plan.period * kConnectionRounds;
  plan.suspect = std::max(options.suspect, receive_interval * kSuspectPeriods);
  plan.dead = std::max(options.dead, receive_interval * kDeadPeriods);
  SetRelayRates(candidates, is_entry, plan);
  plan.summary_period = kSummaryPeriodPerZone * static_cast<int64_t>(candidates.other_entries.size() + 1);
  return plan;
}

}  // namespace plantain
