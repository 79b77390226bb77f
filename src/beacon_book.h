// Which processes have been heard lately, from their beacons. No I/O.

#ifndef PLANTAIN_BEACON_BOOK_H_
#define PLANTAIN_BEACON_BOOK_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "core_type.h"
#include "endpoint_board.h"
#include "member_type.h"

namespace plantain {

// What a process says about itself. VMs are named by their address.
struct BeaconInfo {
  VmId vm;
  ZoneName zone;
  bool is_entry = false;
  Incarnation incarnation;
  uint64_t sequence = 0;
  LogOffset operator_revision;
  LogOffset directory_revision;
  // Entries that it has heard.
  std::vector<VmId> entries;
  std::optional<EndpointLoad> load;
  // Weights that it fetches and how much of them it has.
  std::vector<HoldingInfo> fetches;
  // Requests/s that callers offer to an entry, for each pool.
  std::map<PoolName, double> demand;
};

// Encodes and decodes beacons. Decoding returns nothing for bytes that are no beacon.
std::string EncodeBeacon(const BeaconInfo& beacon);
std::optional<BeaconInfo> DecodeBeacon(std::string_view bytes);

struct BeaconOptions {
  VmId self;
  ZoneName zone;
  // Silence after which a process counts as gone.
  Duration silence = Milliseconds(2500);
  // Addresses to try although nothing has been heard from them.
  std::vector<VmId> seeds;
};

// Used on the control thread.
class BeaconBook {
 public:
  BeaconBook(const Clock& clock, BeaconOptions options) : m_clock(clock), m_options(std::move(options)) {}

  // Takes a beacon. Returns false for one that is older than what is known or comes from this process itself.
  bool Take(BeaconInfo beacon);

  // Returns the entries heard lately, without this process.
  std::vector<VmId> GetEntries() const;

  // Returns all processes heard lately.
  std::vector<const BeaconInfo*> GetHeard() const;

  // Returns up to `max` addresses to send a beacon to: entries, those of the own zone first, and seeds and entries that
  // others have heard.
  std::vector<VmId> GetTargets(size_t max) const;

  // Whether a process was heard lately in this process's zone.
  bool IsNear(const VmId& vm) const;

  // Returns a process of the own zone if possible that knows of newer changes, or nothing.
  struct Source {
    VmId vm;
    LogOffset operator_revision;
    LogOffset directory_revision;
  };
  std::optional<Source> FindNewer(LogOffset operator_revision, LogOffset directory_revision) const;

 private:
  struct Heard {
    BeaconInfo beacon;
    TimePoint at;
  };

  bool IsFresh(const Heard& heard) const { return m_clock.GetNow() - heard.at < m_options.silence; }

  const Clock& m_clock;
  const BeaconOptions m_options;
  std::map<VmId, Heard> m_heard;
  // Entries that others have named, and when.
  std::map<VmId, TimePoint> m_named;
};

}  // namespace plantain

#endif  // PLANTAIN_BEACON_BOOK_H_
