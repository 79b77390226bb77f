#include "priority_wait_queue.h"

#include <algorithm>
#include <limits>

namespace plantain {
namespace {

constexpr Duration kMaxEstimate = std::chrono::seconds(5);
// A waiting request is shed only if its turn is expected later than its limit by this factor. The service rate of an
// entry with few slots varies by about a quarter.
constexpr double kShedMargin = 1.25;
// Rates below this one are taken as this one, to avoid a division by zero.
constexpr double kMinRate = 1e-3;
constexpr size_t kAll = std::numeric_limits<size_t>::max();

}  // namespace

const WaitingRequest* PriorityWaitQueue::Level::GetFirst() const {
  const std::vector<const WaitingRequest*> first = (in_time.GetSize() > 0 ? in_time : late).GetOrder(1);
  return first.empty() ? nullptr : first.front();
}

const PriorityWaitQueue::Level* PriorityWaitQueue::FindDueLevel() const {
  const Level* due = nullptr;
  for (const auto& [priority, level] : m_levels) {
    if (!level.IsWaiting() || level.passed_over + 1 < kFloorInterval) continue;
    if (due == nullptr || level.passed_over > due->passed_over) due = &level;
  }
  return due;
}

size_t PriorityWaitQueue::CountInTimeAbove(uint32_t priority) const {
  size_t count = 0;
  for (auto level = m_levels.begin(); level != m_levels.lower_bound(priority); ++level) {
    count += level->second.in_time.GetSize();
  }
  return count;
}

size_t PriorityWaitQueue::CountLateAhead(const WaitingRequest& request) const {
  size_t count = 0;
  for (const auto& [priority, level] : m_levels) {
    if (priority < request.priority) count += level.late.GetSize();
    if (priority == request.priority) count += level.late.CountAheadOf(request.flow);
  }
  return count;
}

std::optional<double> PriorityWaitQueue::GetLevelRate(uint32_t priority, TimePoint now) const {
  const std::optional<double> total = m_service_rate.Get(now);
  if (!total.has_value()) return std::nullopt;
  const double floor = *total / static_cast<double>(kFloorInterval);
  double rate = *total;
  for (const auto& [other, level] : m_levels) {
    if (other < priority) rate -= level.service_rate.Get(now).value_or(0);
    if (other > priority && level.IsWaiting()) rate -= floor;
  }
  return std::max(rate, floor);
}

bool PriorityWaitQueue::CanServeInTime(const WaitingRequest& request, TimePoint now) const {
  size_t ahead = 0;
  if (request.is_late) {
    ahead = CountLateAhead(request);
  } else {
    const auto level = m_levels.find(request.priority);
    ahead = CountInTimeAbove(request.priority);
    if (level != m_levels.end()) ahead += level->second.in_time.CountAheadOf(request.flow);
  }
  const std::optional<double> rate =
      request.is_late ? m_late_service_rate.Get(now) : GetLevelRate(request.priority, now);
  // The first of its priority is always accepted, as its floor or the next answer may give it a slot.
  if (ahead == 0 || (!rate.has_value() && !request.is_late)) return true;
  if (!rate.has_value()) return false;
  const double allowed_s = ToSeconds(request.wait_until - now);
  if (request.is_late) return static_cast<double>(ahead) <= *rate * allowed_s;
  const auto own = static_cast<double>(ahead - CountInTimeAbove(request.priority));
  return EstimateSeconds(CountInTimeAbove(request.priority), own, *rate, now) <= allowed_s;
}

// The floor of a priority gives it slots whatever waits above it.
double PriorityWaitQueue::EstimateSeconds(size_t above, double own, double rate, TimePoint now) const {
  const double floor = m_service_rate.Get(now).value_or(0) / static_cast<double>(kFloorInterval);
  const double in_order_s = (static_cast<double>(above) + own) / std::max(rate, kMinRate);
  return std::min(in_order_s, own / std::max(floor, kMinRate));
}

Duration PriorityWaitQueue::EstimateWait(uint32_t priority, TimePoint now) const {
  const std::optional<double> rate = GetLevelRate(priority, now);
  if (!rate.has_value()) return Duration::zero();
  const auto level = m_levels.find(priority);
  const size_t own = level == m_levels.end() ? 0 : level->second.in_time.GetSize();
  const double wait_s = EstimateSeconds(CountInTimeAbove(priority), static_cast<double>(own), *rate, now);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(wait_s, ToSeconds(kMaxEstimate))));
}

void PriorityWaitQueue::Add(const WaitingRequest& request) {
  Level& level = m_levels[request.priority];
  (request.is_late ? level.late : level.in_time).Add(request);
}

void PriorityWaitQueue::Remove(WaitTicket ticket) {
  for (auto& [priority, level] : m_levels) {
    if (level.in_time.Remove(ticket) || level.late.Remove(ticket)) return;
  }
}

bool PriorityWaitQueue::IsLate(WaitTicket ticket) const {
  return std::any_of(m_levels.begin(), m_levels.end(),
                     [&](const auto& level) { return level.second.late.Find(ticket) != nullptr; });
}

bool PriorityWaitQueue::IsDue(WaitTicket ticket) const {
  const Level* due = FindDueLevel();
  return due != nullptr && due->GetFirst()->ticket == ticket;
}

std::vector<WaitTicket> PriorityWaitQueue::GetNext(size_t count) const {
  std::vector<WaitTicket> next;
  const Level* due = FindDueLevel();
  if (due != nullptr && count > 0) next.push_back(due->GetFirst()->ticket);
  const auto append = [&](const FlowQueue& requests) {
    for (const WaitingRequest* request : requests.GetOrder(count)) {
      if (next.size() >= count) return;
      if (next.empty() || next.front() != request->ticket) next.push_back(request->ticket);
    }
  };
  for (const auto& [priority, level] : m_levels) append(level.in_time);
  for (const auto& [priority, level] : m_levels) append(level.late);
  return next;
}

void PriorityWaitQueue::OnServed(const WaitingRequest& request, TimePoint now) {
  m_service_rate.Count(now);
  if (request.is_late) m_late_service_rate.Count(now);
  for (auto& [priority, level] : m_levels) {
    if (priority != request.priority && level.IsWaiting()) ++level.passed_over;
  }
  Level& own = m_levels[request.priority];
  own.passed_over = 0;
  own.service_rate.Count(now);
  own.in_time.OnServed(request.ticket);
  own.late.OnServed(request.ticket);
}

std::vector<WaitTicket> PriorityWaitQueue::RemoveExpired(TimePoint now) {
  std::vector<WaitTicket> expired;
  for (const WaitingRequest& request : GetRequests()) {
    if (request.wait_until <= now) expired.push_back(request.ticket);
  }
  for (const WaitTicket ticket : expired) Remove(ticket);
  return expired;
}

// The first request of each level stays, because its floor may serve it at any moment.
std::vector<WaitTicket> PriorityWaitQueue::RemoveHopeless(uint32_t priority, TimePoint now) {
  std::vector<WaitTicket> hopeless;
  for (auto level = m_levels.rbegin(); level != m_levels.rend() && level->first > priority; ++level) {
    const std::optional<double> rate = GetLevelRate(level->first, now);
    if (!rate.has_value()) continue;
    const size_t above = CountInTimeAbove(level->first);
    size_t kept = 0;
    for (const WaitingRequest* request : level->second.in_time.GetOrder(kAll)) {
      const double allowed_s = ToSeconds(request->wait_until - now) * kShedMargin;
      const bool is_hopeless = kept > 0 && EstimateSeconds(above, static_cast<double>(kept), *rate, now) > allowed_s;
      if (is_hopeless) hopeless.push_back(request->ticket);
      if (!is_hopeless) ++kept;
    }
  }
  for (const WaitTicket ticket : hopeless) Remove(ticket);
  return hopeless;
}

std::vector<WaitingRequest> PriorityWaitQueue::GetRequests() const {
  std::vector<WaitingRequest> requests;
  for (const auto& [priority, level] : m_levels) {
    for (const WaitingRequest* request : level.in_time.GetOrder(kAll)) requests.push_back(*request);
    for (const WaitingRequest* request : level.late.GetOrder(kAll)) requests.push_back(*request);
  }
  std::sort(requests.begin(), requests.end(),
            [](const WaitingRequest& a, const WaitingRequest& b) { return a.ticket < b.ticket; });
  return requests;
}

size_t PriorityWaitQueue::GetSize() const {
  size_t size = 0;
  for (const auto& [priority, level] : m_levels) size += level.in_time.GetSize() + level.late.GetSize();
  return size;
}

}  // namespace plantain
