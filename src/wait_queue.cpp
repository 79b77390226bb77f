#include "wait_queue.h"

#include <algorithm>
#include <utility>

namespace plantain {
namespace {

// One pick in this many serves the longest waiting request that can still meet its latency target.
constexpr uint64_t kFairPickInterval = 4;
constexpr Duration kMaxEstimate = std::chrono::seconds(5);

}  // namespace

bool WaitQueue::GoesBefore(const WaitingRequest& a, const WaitingRequest& b) {
  if (a.is_late != b.is_late) return !a.is_late;
  return a.priority < b.priority;
}

size_t WaitQueue::CountLate() const {
  return static_cast<size_t>(std::count_if(m_requests.begin(), m_requests.end(),
                                           [](const WaitingRequest& request) { return request.is_late; }));
}

size_t WaitQueue::CountAhead(const WaitingRequest& request) const {
  return static_cast<size_t>(std::count_if(m_requests.begin(), m_requests.end(),
                                           [&](const WaitingRequest& other) { return !GoesBefore(request, other); }));
}

Duration WaitQueue::EstimateWait(uint32_t priority, TimePoint now) const {
  const std::optional<double> rate = m_service_rate.Get(now);
  if (!rate.has_value()) return Duration::zero();
  const WaitingRequest new_request{WaitTicket(), priority, false, now};
  const double wait_s = static_cast<double>(CountAhead(new_request)) / std::max(*rate, 1e-3);
  const double longest_s = std::chrono::duration<double>(kMaxEstimate).count();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(wait_s, longest_s)));
}

bool WaitQueue::CanServeInTime(const WaitingRequest& request, TimePoint now) const {
  const std::optional<double> rate = request.is_late ? m_late_service_rate.Get(now) : m_service_rate.Get(now);
  size_t ahead = CountAhead(request);
  if (request.is_late) ahead = CountLate();
  // The first in the queue is always accepted, as the next answer may free a slot for it.
  if (ahead == 0 || (!rate.has_value() && !request.is_late)) return true;
  if (!rate.has_value()) return false;
  const double allowed_s = std::chrono::duration<double>(request.wait_until - now).count();
  return static_cast<double>(ahead) <= *rate * allowed_s;
}

void WaitQueue::Add(const WaitingRequest& request) {
  const auto position = std::find_if(m_requests.begin(), m_requests.end(),
                                     [&](const WaitingRequest& other) { return GoesBefore(request, other); });
  m_requests.insert(position, request);
}

void WaitQueue::Remove(WaitTicket ticket) {
  m_requests.remove_if([&](const WaitingRequest& request) { return request.ticket == ticket; });
}

bool WaitQueue::IsLate(WaitTicket ticket) const {
  return std::any_of(m_requests.begin(), m_requests.end(),
                     [&](const WaitingRequest& request) { return request.ticket == ticket && request.is_late; });
}

std::vector<WaitTicket> WaitQueue::GetNext(size_t count) const {
  std::vector<WaitTicket> next;
  if (m_served % kFairPickInterval == kFairPickInterval - 1 && !m_requests.empty()) {
    const auto is_older = [](const WaitingRequest& a, const WaitingRequest& b) {
      return std::pair(a.is_late, a.ticket) < std::pair(b.is_late, b.ticket);
    };
    next.push_back(std::min_element(m_requests.begin(), m_requests.end(), is_older)->ticket);
  }
  for (const WaitingRequest& request : m_requests) {
    if (next.size() >= count) break;
    if (next.empty() || next.front() != request.ticket) next.push_back(request.ticket);
  }
  return next;
}

void WaitQueue::RecordServed(bool is_late, TimePoint now) {
  ++m_served;
  m_service_rate.Count(now);
  if (is_late) m_late_service_rate.Count(now);
}

std::vector<WaitingRequest> WaitQueue::GetRequests() const {
  std::vector<WaitingRequest> requests(m_requests.begin(), m_requests.end());
  std::sort(requests.begin(), requests.end(),
            [](const WaitingRequest& a, const WaitingRequest& b) { return a.ticket < b.ticket; });
  return requests;
}

std::vector<WaitTicket> WaitQueue::RemoveExpired(TimePoint now) {
  std::vector<WaitTicket> expired;
  for (auto request = m_requests.begin(); request != m_requests.end();) {
    if (request->wait_until > now) {
      ++request;
      continue;
    }
    expired.push_back(request->ticket);
    request = m_requests.erase(request);
  }
  return expired;
}

}  // namespace plantain
