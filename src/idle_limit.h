// How long a connection may stay without a request while the limit changes.

#ifndef PLANTAIN_IDLE_LIMIT_H_
#define PLANTAIN_IDLE_LIMIT_H_

#include <algorithm>

#include "core_type.h"

namespace plantain {

// Pattern of load: operators shorten the limit while many connections have been idle for longer than the new one. Their
// callers relied on the limit at their last answer, and may just be using them. So a shorter limit holds for a
// connection from its next answer on, and a longer one at once.
class IdleLimit {
 public:
  // The connection begins to wait for a request. A limit of 0 means none.
  void Begin(Duration limit, TimePoint now) {
    m_limit = limit;
    m_since = now;
  }

  // Whether the connection has waited for too long under the limit that is now in force.
  bool IsOver(Duration limit, TimePoint now) const {
    return limit > Duration::zero() && now - m_since >= std::max(m_limit, limit);
  }

 private:
  Duration m_limit{};
  TimePoint m_since;
};

}  // namespace plantain

#endif  // PLANTAIN_IDLE_LIMIT_H_
