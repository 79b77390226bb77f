// What endpoints state in their responses: the request rate that they take from all entries together, that they leave,
// and that they want no requests for some time. No I/O.

#ifndef PLANTAIN_ENDPOINT_STATEMENT_H_
#define PLANTAIN_ENDPOINT_STATEMENT_H_

#include <algorithm>
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

// An endpoint of the directory.
struct ListedEndpoint {
  PoolName pool;
  Incarnation incarnation;
};

// What an endpoint can state.
enum class StatementKind { kRate, kLeaving, kPause };

// Load pattern: an endpoint in trouble states a rate far below what its callers want, and any number of entries send to
// it. One entry for each endpoint grants single requests to all entries, in proportion to their demand, at the stated
// rate; an entry sends nothing without a grant. Thus the sum does not depend on what the entries believe of each
// other's shares. Grants expire soon, so that entries cannot save them up. The granting entry is the first one of a
// rendezvous ranking. It begins only after it has been first for longer than another entry may take to notice that it
// is not, and stops at once when an entry of a higher rank appears.
//
// That an endpoint leaves holds for one run of it, from the first response that says so, and longer than the directory
// lists it: a record that vanishes for a while and comes back changes nothing.
//
// A pause ends by time. An entry reports only the pauses that it was told itself: if entries passed on what peers
// report, the time that a report takes would be added again and again, and a pause would never end. Used on one traffic
// loop.
class EndpointStatements {
 public:
  EndpointStatements(const Clock& clock, VmId self);

  // Takes the listed endpoints, and forgets the limits of others at once and that they leave after some time.
  void SetEndpoints(std::map<EndpointId, ListedEndpoint> listed);
  void SetEntries(EntryView view);

  // Takes what a response of an endpoint states of its rate. Returns whether the limit has changed.
  bool OnResponse(const EndpointId& endpoint, std::optional<double> per_s);

  // Takes that a response of a run of an endpoint states that it leaves. Returns whether this is new.
  bool OnLeaving(const EndpointId& endpoint, Incarnation incarnation);
  // Whether this run of the endpoint has stated, here or to another entry, that it leaves.
  bool IsLeaving(const EndpointId& endpoint, Incarnation incarnation) const;

  // Takes that a response of a run of an endpoint states that it wants no requests for some time. Returns whether that
  // is news.
  bool OnPause(const EndpointId& endpoint, Incarnation incarnation, Duration pause);
  // Returns for how long this run of the endpoint wants no requests; 0 if it takes some.
  Duration GetPauseLeft(const EndpointId& endpoint, Incarnation incarnation) const;

  // Grants what has become due. Must be called regularly.
  void GrantDue();

  // Whether a request may be sent to the endpoint now.
  bool IsAvailable(const EndpointId& endpoint) const;
  // Uses up a grant if the endpoint has a limit.
  void OnSent(const EndpointId& endpoint);

  // Returns what other entries should know. If that is more than one report holds, successive ones tell it in turn.
  StatementReport GetReport();
  void ApplyReport(const VmId& from, const StatementReport& report);

  // Changes since the last call, for the log.
  struct Change {
    EndpointId endpoint;
    // Stated rate; unset if none is stated any more.
    std::optional<double> per_s;
    bool is_from_peer = false;
    // Whether this entry grants requests to all entries.
    bool is_granting = false;
    StatementKind kind = StatementKind::kRate;
    // Time until the stated pause ends.
    Duration pause_left{};
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

  struct Pause {
    Incarnation incarnation;
    // End as told to this entry, and to others.
    TimePoint own_until;
    TimePoint peer_until;
    TimePoint GetEnd() const { return std::max(own_until, peer_until); }
  };
  // What is known of one endpoint.
  struct Stated {
    // Set once it has stated a rate.
    std::optional<Limit> limit;
    // Its runs that leave.
    std::set<Incarnation> leaving;
    Pause pause;
    // Since when the directory does not list it.
    std::optional<TimePoint> unlisted_since;
  };

  Limit* FindLimit(const EndpointId& endpoint);
  const Limit* FindLimit(const EndpointId& endpoint) const;
  Limit& AddLimit(const EndpointId& endpoint);
  bool SetRate(const EndpointId& endpoint, std::optional<double> per_s, TimePoint stated_at, bool is_from_peer);
  bool SetLeaving(const EndpointId& endpoint, Incarnation incarnation, bool is_from_peer);
  bool SetPause(const EndpointId& endpoint, Incarnation incarnation, Duration pause, bool is_from_peer);
  std::vector<EndpointStatement> MakeStatements() const;
  void ApplyStatement(const EndpointStatement& statement);
  void BeginGrants(const EndpointId& endpoint, Limit& limit);
  VmId GetOwner(const EndpointId& endpoint) const;
  void UpdateOwner(const EndpointId& endpoint, Limit& limit);
  bool IsGranting(const Limit& limit) const;
  void Grant(const EndpointId& endpoint, Limit& limit);
  VmId PickReceiver(const EndpointId& endpoint, Limit& limit) const;
  void Receive(Limit& limit, const Received& received);

  const Clock& m_clock;
  const VmId m_self;
  std::map<EndpointId, ListedEndpoint> m_listed;
  EntryView m_view;
  // When the set of entries changed last.
  TimePoint m_entries_changed_at;
  std::map<EndpointId, Stated> m_stated;
  // Statement with which the next report begins.
  size_t m_report_begin = 0;
  std::vector<Change> m_changes;
};

}  // namespace plantain

#endif  // PLANTAIN_ENDPOINT_STATEMENT_H_
