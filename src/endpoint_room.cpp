// Room at an endpoint for requests of pools that share their slots by priority.

#include <algorithm>

#include "endpoint_balancer.h"

namespace plantain {

uint32_t EndpointBalancer::GetRoomFor(const State& state, const EndpointQuery& query, TimePoint now) const {
  const uint32_t room = GetRoom(state, now);
  if (!query.overcommit.has_value() || m_entries.size() < 2 || !HasFreshReport(state, now)) return room;
  // Requests that wait at an endpoint in slow start would exceed the slots that all entries may use there.
  if (GetStartLimit(state).has_value()) return room;
  const auto subtract = [](uint32_t from, uint32_t used) { return from - std::min(from, used); };
  const uint32_t places = GetSlots(state) + *query.overcommit;
  const uint32_t free = subtract(places, GetLoad(state, now));
  if (*query.overcommit == 0) return std::min(room, free);
  return std::max(room, std::min(free, subtract(GetOwnSlots(state.range, state.info.id, places), state.own_requests)));
}

}  // namespace plantain
