#include "admission_queue.h"

#include <algorithm>
#include <tuple>

namespace plantain {
namespace {

// Initial value of the average, before any request has ended.
constexpr Duration kInitialHoldTime = std::chrono::milliseconds(200);
// Weight of the newest sample in the moving average.
constexpr double kHoldTimeWeight = 0.1;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);
// Refused callers are told to retry after a random time between this share of the estimated queue drain time and all
// of it. With longer delays, an endpoint that had just become warm stayed idle because entries avoided it.
constexpr double kMinRetryShare = 0.5;

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(duration) * factor);
}

}  // namespace

bool AdmissionQueue::Entry::operator<(const Entry& other) const {
  // The priorities are swapped between the two sides, because larger values come first.
  return std::tuple(waiter.is_retry, other.waiter.priority, waiter.deadline, arrival) <
         std::tuple(other.waiter.is_retry, waiter.priority, other.waiter.deadline, other.arrival);
}

AdmissionQueue::AdmissionQueue(const Clock& clock, Random& random, uint32_t capacity)
    : m_clock(clock), m_random(random), m_capacity(capacity), m_mean_hold_time(kInitialHoldTime) {}

std::vector<RefusedWaiter> AdmissionQueue::Add(const Waiter& waiter, SlotState slots) {
  const Entry entry{waiter, m_arrivals++};
  const auto position = m_order.lower_bound(entry);
  const auto ahead = static_cast<size_t>(std::distance(m_order.begin(), position));
  if (ahead >= m_capacity) {
    const auto reason = slots.is_cold ? proto::REFUSAL_REASON_COLD : proto::REFUSAL_REASON_OVERLOADED;
    return {Refuse(waiter.id, reason, slots)};
  }
  if (WillMissDeadline(waiter, ahead, slots)) return {Refuse(waiter.id, proto::REFUSAL_REASON_DEADLINE, slots)};
  m_order.insert(position, entry);
  if (m_order.size() <= m_capacity) return {};
  const auto last = std::prev(m_order.end());
  const WaiterId displaced = last->waiter.id;
  m_order.erase(last);
  return {Refuse(displaced, proto::REFUSAL_REASON_OVERLOADED, slots)};
}

std::optional<WaiterId> AdmissionQueue::PopNext() {
  if (m_order.empty()) return std::nullopt;
  const WaiterId id = m_order.begin()->waiter.id;
  m_order.erase(m_order.begin());
  return id;
}

bool AdmissionQueue::Remove(WaiterId id) {
  const auto found = std::find_if(m_order.begin(), m_order.end(), [id](const Entry& e) { return e.waiter.id == id; });
  if (found == m_order.end()) return false;
  m_order.erase(found);
  return true;
}

std::vector<RefusedWaiter> AdmissionQueue::RemoveLate(SlotState slots) {
  std::vector<RefusedWaiter> late;
  size_t ahead = 0;
  for (auto it = m_order.begin(); it != m_order.end();) {
    if (!WillMissDeadline(it->waiter, ahead, slots)) {
      ++it;
      ++ahead;
      continue;
    }
    late.push_back(Refuse(it->waiter.id, proto::REFUSAL_REASON_DEADLINE, slots));
    it = m_order.erase(it);
  }
  return late;
}

void AdmissionQueue::RecordHoldTime(Duration hold_time) {
  m_mean_hold_time += Scale(hold_time - m_mean_hold_time, kHoldTimeWeight);
}

Duration AdmissionQueue::GetRetryAfter(SlotState slots) {
  const Duration wait = EstimateWait(m_order.empty() ? 0 : m_order.size() - 1, slots);
  const double share = kMinRetryShare + (1 - kMinRetryShare) * m_random.GetUnit();
  return std::clamp(Scale(wait, share), kMinRetryAfter, kMaxRetryAfter);
}

Duration AdmissionQueue::EstimateWait(size_t ahead, SlotState slots) const {
  const double rounds = static_cast<double>(ahead + 1) / std::max<uint32_t>(slots.limit, 1);
  return Scale(m_mean_hold_time, rounds);
}

bool AdmissionQueue::WillMissDeadline(const Waiter& waiter, size_t ahead, SlotState slots) const {
  return m_clock.GetNow() + EstimateWait(ahead, slots) >= waiter.deadline;
}

RefusedWaiter AdmissionQueue::Refuse(WaiterId id, proto::RefusalReason reason, SlotState slots) {
  // A waiting request was never sent to the engine, so it counts as "not run".
  return {id, Refusal{reason, true, GetRetryAfter(slots)}};
}

}  // namespace plantain
