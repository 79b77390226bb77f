// Keeps all entries together within the request rate that an endpoint states. No I/O.

#ifndef PLANTAIN_ENDPOINT_STATEMENT_H_
#define PLANTAIN_ENDPOINT_STATEMENT_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "clock.h"
#include "endpoint_statement_type.h"
#include "slot_share.h"

namespace plantain {

// Entries as one entry sees them.
struct EntryView {
  // Live entries with their demand, including this one.
  std::vector<EntryDemand> entries;
  // Further entries that other processes name as live.
  std::set<VmId> named;
  // Whether each live entry names this one as live.
  bool is_heard_by_all = true;
};

// Load pattern: an endpoint in trouble states a rate far below what its callers want, and any number of entries send to
// it. One entry for each endpoint grants single requests to all entries, in proportion to their demand, at the stated
// rate; an entry sends nothing without a grant. Thus the sum does not depend on what the entries believe of each
// other's shares. Grants expire soon, so that entries cannot save them up. The granting entry is the first one of a
// rendezvous ranking. It begins only after it has been first for longer than another entry may take to notice that it
// is not, and stops at once when an entry of a higher rank appears. Used on one traffic loop.
class EndpointStatements {
 public:
  EndpointStatements(const Clock& clock, VmId self);

  // Takes the pools of the listed endpoints and forgets the limits of others.
  void SetEndpoints(std::map<EndpointId, PoolName> pools);
  void SetEntries(EntryView view);

  // Takes what a response of an endpoint states. Returns whether the limit has changed.
  bool OnResponse(const EndpointId& endpoint, std::optional<double> per_s);

  // Grants what has become due. Must be called regularly.
  void GrantDue();

  // Whether a request may be sent to the endpoint now.
  bool IsAvailable(const EndpointId& endpoint) const;
  // Uses up a grant if the endpoint has a limit.
  void OnSent(const EndpointId& endpoint);

  StatementReport GetReport() const;
  void ApplyReport(const VmId& from, const StatementReport& report);

  // Changes since the last call, for the log.
  struct Change {
    EndpointId endpoint;
    // Stated rate; unset if none is stated any more.
    std::optional<double> per_s;
    bool is_from_peer = false;
    // Whether this entry grants requests to all entries.
    bool is_granting = false;
  };
  std::vector<Change> TakeChanges();

  // Returns the stated rate, or nothing if the endpoint states none.
  std::optional<double> GetLimit(const EndpointId& endpoint) const;
  size_t GetLimitCount() const;

 private:
  // Grants of another entry, or of this one.
  struct Received {
    VmId from;
    uint64_t epoch = 0;
    uint64_t total = 0;
  };
  struct Limit {
    std::optional<double> per_s;
    TimePoint stated_at;
    // First entry of the ranking, and since when.
    VmId owner;
    TimePoint owner_since;
    // While this entry grants: its epoch, requests due, and totals and credits of the entries.
    uint64_t epoch = 0;
    double due = 0;
    TimePoint due_at;
    std::map<VmId, uint64_t> granted;
    std::map<VmId, double> credit;
    // Totals that were last received, by granting entry, and when the grants that are left expire.
    std::map<VmId, Received> received;
    std::deque<TimePoint> grants;
  };

  Limit* FindLimit(const EndpointId& endpoint);
  Limit& AddLimit(const EndpointId& endpoint);
  bool SetRate(const EndpointId& endpoint, std::optional<double> per_s, TimePoint stated_at, bool is_from_peer);
  void BeginGrants(const EndpointId& endpoint, Limit& limit);
  VmId GetOwner(const EndpointId& endpoint) const;
  void UpdateOwner(const EndpointId& endpoint, Limit& limit);
  bool IsGranting(const Limit& limit) const;
  void Grant(const EndpointId& endpoint, Limit& limit);
  VmId PickReceiver(const EndpointId& endpoint, Limit& limit) const;
  void Receive(Limit& limit, const Received& received);

  const Clock& m_clock;
  const VmId m_self;
  std::map<EndpointId, PoolName> m_pools;
  EntryView m_view;
  // When the set of entries changed last.
  TimePoint m_entries_changed_at;
  std::map<EndpointId, Limit> m_limits;
  std::vector<Change> m_changes;
};

}  // namespace plantain

#endif  // PLANTAIN_ENDPOINT_STATEMENT_H_
