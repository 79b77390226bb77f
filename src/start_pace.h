// Slow start: how many slots of an endpoint all entries together use after it started or recovered. No I/O.

#ifndef PLANTAIN_START_PACE_H_
#define PLANTAIN_START_PACE_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "clock.h"
#include "pace_type.h"
#include "slot_share.h"

namespace plantain {

// Slots in use when a slow start begins. With one slot a single lost answer would leave the endpoint idle.
inline constexpr uint32_t kFirstStartSlots = 2;

// A listed run of an endpoint.
struct StartRun {
  Incarnation incarnation;
  uint32_t slots = 1;
  bool is_cold = false;
};

// Present state of a slow start.
struct StartNumber {
  uint32_t number = 1;
  // Rotates the order in which slots are used, so that another entry probes if the last one was not answered.
  uint32_t rotation = 0;
};

// Returns how many of the first `number.number` slots of an endpoint lie in a range. Slots are used in an order that
// spreads them over all ranges, and a larger number contains the slots of a smaller one: entries that know different
// numbers together use no more than the largest of them. If `number` covers all slots, the result is that of
// GetOwnSlots.
uint32_t GetStartSlots(const ShareRange& range, const EndpointId& endpoint, uint32_t slots, const StartNumber& number);

// Load pattern: an endpoint that has just started, or takes requests again after a stall or an outage, and entries that
// all have requests waiting for it. If each used its full share at once, the endpoint would be overloaded before its
// caches and connections are warm; if each waited for a backoff of its own, it would idle. So all entries together
// begin with two slots. The number rises by one with each answer that begins in about the expected time, and is halved
// when the endpoint refuses or fails, at most once for the requests sent before the last reduction.
//
// Entries exchange the counts of their answers. A begin or a reduction starts a new epoch, in which counts begin at 0.
// An entry that hears of a later epoch takes part in it, so that entries that notice the same fault reduce the number
// once. Within an epoch the number is the smallest stated base plus the sum of the counts. Counts belong to one run of
// the endpoint. Used on one traffic loop.
class StartPace {
 public:
  explicit StartPace(const Clock& clock) : m_clock(clock) {}

  // Takes the listed endpoints. Those that appear later than the first ones, or run anew, begin a slow start.
  void SetEndpoints(const std::map<EndpointId, StartRun>& listed);
  // Forgets the counts of entries that are not live.
  void SetEntries(const std::set<VmId>& live);

  // Returns the number of slots that all entries together may use, or nothing if the endpoint is not in slow start.
  std::optional<StartNumber> Get(const EndpointId& id) const;
  // Return the number of endpoints in slow start, and the slots that all entries may use at them together.
  size_t GetCount() const;
  uint32_t GetSlots() const;

  // Records that an answer to a request sent at `sent_at` has begun.
  void OnAnswerBegun(const EndpointId& id, Incarnation incarnation, TimePoint sent_at, bool is_timely);
  // Records that the endpoint refused a request, returned an error or lost a connection.
  void OnFailed(const EndpointId& id, TimePoint sent_at, bool is_refusal);
  // Records that the endpoint could not be reached or stands still, which begins a slow start.
  void OnInterrupted(const EndpointId& id, TimePoint sent_at);

  std::vector<StartCount> GetReport();
  // Returns the endpoints at which the sender has got answers since its last report.
  std::vector<EndpointId> ApplyReport(const VmId& from, const std::vector<StartCount>& counts);

  // Returns whether other entries should get a report at once, and resets this.
  bool TakeHasNews();

  // Begins and ends since the last call, for the log.
  struct Change {
    EndpointId endpoint;
    bool is_end = false;
    bool is_from_peer = false;
    Duration time{};
    // Requests of this entry that the endpoint refused meanwhile.
    uint32_t refused = 0;
  };
  std::vector<Change> TakeChanges() { return std::exchange(m_changes, {}); }

 private:
  struct Run {
    StartRun info;
    uint32_t epoch = 0;
    uint32_t base = 0;
    uint32_t good = 0;
    bool is_done = true;
    // When this entry began the epoch, or heard of it, and when the slow start began.
    TimePoint epoch_at;
    TimePoint began_at;
    uint32_t refused = 0;
    // Until when the end of a slow start is reported.
    TimePoint report_until;
    // When an entry last reported new answers.
    std::optional<TimePoint> peer_answered_at;
    std::map<VmId, StartCount> received;
    std::optional<TimePoint> unlisted_since;
  };

  Run* FindRunning(const EndpointId& id);
  uint32_t GetNumber(const Run& run) const;
  void Begin(const EndpointId& id, Run& run, uint32_t epoch, uint32_t base, bool is_from_peer);
  void BeginEpoch(Run& run, uint32_t epoch, uint32_t base);
  void FinishIfFull(const EndpointId& id, Run& run, bool is_from_peer);
  bool HasPeerAnswers(const Run& run) const;
  void Adopt(const EndpointId& id, Run& run, const StartCount& count);
  bool Apply(const VmId& from, Run& run, const StartCount& count);

  const Clock& m_clock;
  std::map<EndpointId, Run> m_runs;
  // When the first endpoints were listed.
  std::optional<TimePoint> m_first_listed_at;
  // Endpoint with which the next report begins.
  size_t m_report_begin = 0;
  bool m_has_news = false;
  std::vector<Change> m_changes;
};

}  // namespace plantain

#endif  // PLANTAIN_START_PACE_H_
