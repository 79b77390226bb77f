// Table of processes from which beacons were received recently. No I/O.

#ifndef PLANTAIN_BEACON_TABLE_H_
#define PLANTAIN_BEACON_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "beacon_targets.h"
#include "clock.h"
#include "core_type.h"
#include "crash_report_type.h"
#include "endpoint_balancer.h"
#include "endpoint_statement_type.h"
#include "era_table.h"
#include "log_position.h"
#include "member_type.h"
#include "pace_type.h"
#include "store_statement.h"

namespace plantain::proto {
class TopicState;
}  // namespace plantain::proto

namespace plantain {

// What a process knows of a followed topic.
struct TopicState {
  LogRevision revision;
  // What it knows of the store's eras.
  std::vector<EraBound> era_bounds;
};

// State that a process announces. VMs are identified by their address.
struct BeaconInfo {
  VmId vm;
  ZoneName zone;
  bool is_entry = false;
  Incarnation incarnation;
  uint64_t sequence = 0;
  TopicState operator_state;
  TopicState directory_state;
  // Entries from which it has received beacons.
  std::vector<VmId> entries;
  // Times within which each process of its zone, and each of other zones, gets a beacon from it; 0 if not stated.
  Duration own_zone_interval{};
  Duration other_interval{};
  // Whether the receiver has left out a part of the beacon that exceeded its bounds.
  bool is_cut = false;
  std::optional<EndpointLoad> load;
  // Weights that it is downloading, with their progress.
  std::vector<HoldingInfo> fetches;
  // Rate of incoming requests per pool at an entry, in requests/s.
  std::map<PoolName, double> demand;
  // The same by priority, of pools that share their slots by priority; empty if the entry does not state it.
  std::map<PoolName, PriorityDemand> priority_demand;
  // Ages of the weight versions that it knows to be wanted.
  std::vector<WantedAge> wanted;
  // Contents at which endpoints may crash, as the sender knows them.
  std::vector<ContentReport> content_reports;
  // What endpoints state in their answers, and what the sender grants to entries.
  StatementReport statements;
  // Whether the sender, an entry, reads the store.
  StoreStatement store;
  // Slow start and speed of endpoints.
  PaceReport pace;
};

// Encode and decode beacons. Decoding returns nothing if the bytes are not a valid beacon. Lists that are longer than
// their bounds are cut, since the rest of a beacon is still of use.
std::string EncodeBeacon(const BeaconInfo& beacon);
std::optional<BeaconInfo> DecodeBeacon(std::string_view bytes);

// Encode and decode the state of a topic. `newest` is the offset of a sender that knows no eras.
void EncodeTopicState(const TopicState& state, proto::TopicState& out);
TopicState DecodeTopicState(const proto::TopicState& in, uint64_t newest);

struct BeaconOptions {
  VmId self;
  ZoneName zone;
  // Time without a beacon after which a process counts as dead, unless it states a longer interval.
  Duration timeout = Milliseconds(2500);
  // Addresses that get beacons even if none was received from them.
  std::vector<VmId> seeds;
};

// Used on the control thread.
class BeaconTable {
 public:
  BeaconTable(const Clock& clock, BeaconOptions options) : m_clock(clock), m_options(std::move(options)) {}

  // Stores a beacon. Returns false if it is older than the stored one, comes from this process, or the table is full.
  bool Update(BeaconInfo beacon);

  // Returns the live entries, without this process.
  std::vector<VmId> GetEntries() const;

  // Returns the other live entries of the own zone.
  std::vector<ZoneEntry> GetZoneEntries() const;

  // Returns the latest beacons of all live processes.
  std::vector<const BeaconInfo*> GetLiveBeacons() const;

  // Returns the addresses to send beacons to: live entries, entries named in other beacons, and seeds.
  BeaconTargets GetTargets() const;

  // Whether a beacon of this incarnation of a process has been stored.
  bool IsKnown(const VmId& vm, Incarnation incarnation) const;

  // Returns the agents that this entry tells what it knows: those of its own zone, and others. Both are live.
  BeaconTargets GetAgents() const;

  // A process that has newer records than this one.
  struct NewerPeer {
    VmId vm;
    LogRevision operator_revision;
    LogRevision directory_revision;
  };
  // Returns a live process that knows what this one does not, preferably of the own zone, or nothing.
  std::optional<NewerPeer> FindNewerPeer(const LogRevision& operator_revision,
                                         const LogRevision& directory_revision) const;

 private:
  struct ReceivedBeacon {
    BeaconInfo beacon;
    TimePoint at;
  };

  bool IsLive(const ReceivedBeacon& received) const;

  const Clock& m_clock;
  const BeaconOptions m_options;
  std::map<VmId, ReceivedBeacon> m_received;
  // Entries named in beacons, with the time of the last mention.
  std::map<VmId, TimePoint> m_named_entries;
};

}  // namespace plantain

#endif  // PLANTAIN_BEACON_TABLE_H_
