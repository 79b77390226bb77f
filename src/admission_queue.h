// Bounded priority queue of requests that wait for a slot. Requests that cannot meet their deadline are refused.

#ifndef PLANTAIN_ADMISSION_QUEUE_H_
#define PLANTAIN_ADMISSION_QUEUE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "clock.h"
#include "core_type.h"
#include "random.h"
#include "refusal_type.h"

namespace plantain {

// Identifies a waiting request.
using WaiterId = StrongNumber<struct WaiterIdTag, uint64_t>;

// A waiting request and the properties that determine its position in the queue.
struct Waiter {
  WaiterId id;
  // Larger values are served first.
  uint32_t priority = 0;
  bool is_retry = false;
  TimePoint deadline;
};

struct RefusedWaiter {
  WaiterId id;
  Refusal refusal;
};

// Snapshot of the concurrency limit used for queue decisions.
struct SlotState {
  uint32_t limit = 1;
  bool is_cold = false;
};

// Orders waiting requests and decides which are refused. Performs no I/O. Not thread-safe.
//
// First attempts precede retries; then higher priority, earlier deadline and earlier arrival take precedence.
class AdmissionQueue {
 public:
  AdmissionQueue(const Clock& clock, Random& random, uint32_t capacity);

  // Adds a request. Returns the requests refused as a result: the new one if it cannot start before its deadline or
  // the queue is full of requests that precede it, or the last one of a full queue if the new one precedes it.
  std::vector<RefusedWaiter> Add(const Waiter& waiter, SlotState slots);

  // Removes and returns the next request, or nullopt if the queue is empty.
  std::optional<WaiterId> PopNext();

  // Removes a request, for example after a cancellation. Returns whether it was waiting.
  bool Remove(WaiterId id);

  // Removes and returns the requests that can no longer start before their deadline.
  std::vector<RefusedWaiter> RemoveLate(SlotState slots);

  // Records how long a request held its slot, to estimate waiting times.
  void RecordHoldTime(Duration hold_time);

  // Returns the retry delay for a request that is refused now: the estimated time until a slot is free for it, with
  // random jitter.
  Duration GetRetryAfter(SlotState slots);

  size_t GetSize() const { return m_order.size(); }

 private:
  struct Entry {
    Waiter waiter;
    uint64_t arrival = 0;
    bool operator<(const Entry& other) const;
  };

  // Estimates the time until a slot is free for a request with `ahead` requests in front of it.
  Duration EstimateWait(size_t ahead, SlotState slots) const;
  RefusedWaiter Refuse(WaiterId id, proto::RefusalReason reason, SlotState slots);
  bool WillMissDeadline(const Waiter& waiter, size_t ahead, SlotState slots) const;

  const Clock& m_clock;
  Random& m_random;
  const uint32_t m_capacity;
  std::set<Entry> m_order;
  uint64_t m_arrivals = 0;
  // Moving average of the time for which requests hold their slot.
  Duration m_mean_hold_time;
};

}  // namespace plantain

#endif  // PLANTAIN_ADMISSION_QUEUE_H_
