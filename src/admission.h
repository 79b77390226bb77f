// Admission control of the local endpoint: combines the concurrency limit with the queue.

#ifndef PLANTAIN_ADMISSION_H_
#define PLANTAIN_ADMISSION_H_

#include <atomic>
#include <functional>
#include <map>
#include <optional>

#include "admission_limit.h"
#include "admission_queue.h"
#include "attempt.pb.h"
#include "clock.h"
#include "gate_type.h"
#include "random.h"

namespace plantain {

// Result callbacks of an admission request. Exactly one of them is called, possibly before RequestSlot returns, unless
// the request is withdrawn first.
struct AdmissionCallbacks {
  std::function<void(SlotId)> on_admitted;
  std::function<void(const Refusal&)> on_refused;
};

// Queries the engine's status asynchronously; the result is nullopt if the engine did not answer. The callback runs on
// the same loop, never before the call returns.
using ProbeEngine = std::function<void(std::function<void(const std::optional<EngineStatus>&)>)>;

// Admits, queues or refuses requests. Must only be used on one traffic loop, except for GetReport and GetQueued.
class Admission {
 public:
  Admission(const Clock& clock, Random& random, AdmissionLimitOptions limit_options, uint32_t queue_capacity);

  // Sets the probe that confirms that the engine is warm before a request is admitted above the cold limit. Without a
  // probe, only engine reports and token latencies are used.
  void SetProbe(ProbeEngine probe) { m_probe = std::move(probe); }

  // Requests a slot. Larger `priority` values are served first.
  WaiterId RequestSlot(uint32_t priority, bool is_retry, TimePoint deadline, AdmissionCallbacks callbacks);

  // Removes a waiting request without a callback. Has no effect once the request was admitted or refused.
  void Withdraw(WaiterId id);

  // Refuses all waiting requests with the given reason.
  void RefuseWaiting(proto::RefusalReason reason);

  void OnDispatched(SlotId slot) { m_limit.OnDispatched(slot); }
  void OnToken(SlotId slot);

  // Frees a slot and admits waiting requests.
  void End(SlotId slot, RequestEnd end, std::optional<Duration> call_time = std::nullopt);

  void OnEngineReport(const EngineStatus& status);

  // Refuses requests that cannot meet their deadline and detects stalled ones. Must be called every few milliseconds.
  void Tick();

  // Returns the retry delay for a request that is refused now.
  Duration GetRetryAfter() { return m_queue.GetRetryAfter(GetSlots()); }

  proto::EndpointLoad GetLoad() const;

  // Thread-safe.
  AdmissionReport GetReport() const;
  uint32_t GetQueued() const { return m_published.queued.load(std::memory_order_relaxed); }

 private:
  struct PublishedState {
    std::atomic<uint32_t> limit{0};
    std::atomic<uint32_t> in_flight{0};
    std::atomic<uint32_t> queued{0};
    std::atomic<bool> is_cold{true};
    std::atomic<uint64_t> succeeded{0};
    std::atomic<uint64_t> failed{0};
  };

  SlotState GetSlots() const { return {m_limit.GetLimit(), m_limit.IsCold()}; }
  void Refuse(const std::vector<RefusedWaiter>& refused);
  void AdmitWaiting();
  bool MustWaitForProbe();
  void Probe();
  void OnProbed(const std::optional<EngineStatus>& status);
  void PublishState();

  const Clock& m_clock;
  AdmissionLimit m_limit;
  AdmissionQueue m_queue;
  std::map<WaiterId, AdmissionCallbacks> m_waiting;
  std::map<SlotId, TimePoint> m_started;
  WaiterId m_next_waiter{1};
  bool m_is_admitting = false;
  ProbeEngine m_probe;
  bool m_is_probing = false;
  TimePoint m_last_probe;
  // True while a probe result is being processed.
  bool m_is_handling_probe = false;
  PublishedState m_published;
};

}  // namespace plantain

#endif  // PLANTAIN_ADMISSION_H_
