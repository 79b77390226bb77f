#include "flow_queue.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>

namespace plantain {

void FlowQueue::Add(const WaitingRequest& request) {
  Flow& flow = m_flows[request.flow];
  // A flow that did not wait has no claim to the slots that it did not use.
  if (flow.requests.empty()) flow.start = std::max(flow.start, m_virtual_time);
  flow.requests.push_back(request);
  ++m_size;
}

bool FlowQueue::Remove(WaitTicket ticket) {
  for (auto flow = m_flows.begin(); flow != m_flows.end(); ++flow) {
    std::deque<WaitingRequest>& requests = flow->second.requests;
    const auto found = std::find_if(requests.begin(), requests.end(),
                                    [&](const WaitingRequest& request) { return request.ticket == ticket; });
    if (found == requests.end()) continue;
    requests.erase(found);
    --m_size;
    if (m_size == 0) {
      m_flows.clear();
      m_virtual_time = 0;
    } else if (requests.empty() && flow->second.start <= m_virtual_time) {
      m_flows.erase(flow);
    }
    return true;
  }
  return false;
}

const WaitingRequest* FlowQueue::Find(WaitTicket ticket) const {
  for (const auto& [id, flow] : m_flows) {
    const auto found = std::find_if(flow.requests.begin(), flow.requests.end(),
                                    [&](const WaitingRequest& request) { return request.ticket == ticket; });
    if (found != flow.requests.end()) return &*found;
  }
  return nullptr;
}

void FlowQueue::OnServed(WaitTicket ticket) {
  const WaitingRequest* request = Find(ticket);
  if (request == nullptr) return;
  Flow& flow = m_flows[request->flow];
  m_virtual_time = std::max(m_virtual_time, flow.start);
  ++flow.start;
}

std::vector<const WaitingRequest*> FlowQueue::GetOrder(size_t count) const {
  // Virtual start time, ticket as a tie-breaker, flow, and position in the flow.
  using Candidate = std::tuple<uint64_t, WaitTicket, const Flow*, size_t>;
  std::priority_queue<Candidate, std::vector<Candidate>, std::greater<>> candidates;
  const auto consider = [&](const Flow& flow, size_t position) {
    if (position >= flow.requests.size()) return;
    candidates.emplace(flow.start + position, flow.requests[position].ticket, &flow, position);
  };
  for (const auto& [id, flow] : m_flows) consider(flow, 0);
  std::vector<const WaitingRequest*> order;
  while (!candidates.empty() && order.size() < count) {
    const auto [start, ticket, flow, position] = candidates.top();
    candidates.pop();
    order.push_back(&flow->requests[position]);
    consider(*flow, position + 1);
  }
  return order;
}

size_t FlowQueue::CountAheadOf(FlowId flow) const {
  const auto own = m_flows.find(flow);
  uint64_t start = m_virtual_time;
  if (own != m_flows.end()) start = std::max(start, own->second.start) + own->second.requests.size();
  size_t ahead = 0;
  for (const auto& [id, other] : m_flows) {
    if (other.start > start) continue;
    ahead += std::min<uint64_t>(other.requests.size(), start - other.start + 1);
  }
  return ahead;
}

}  // namespace plantain
