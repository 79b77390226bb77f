// Prompt prefix cache of the engine stand-in and the cache events that it publishes.

#ifndef PLANTAIN_PREFIX_CACHE_H_
#define PLANTAIN_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>

#include "clock.h"
#include "random.h"

namespace plantain::standin {

// LRU cache. Events become visible after a lag, and a share of them is lost.
class PrefixCache {
 public:
  struct Options {
    size_t max_entries = 64;
    Duration event_lag = Milliseconds(500);
    double event_loss_share = 0.05;
  };

  PrefixCache(const Clock& clock, Random& random, Options options)
      : m_clock(clock), m_random(random), m_options(options) {}

  // Looks up a prefix, inserting it if missing. Returns whether it was cached.
  bool LookUpOrInsert(const std::string& prefix);

  // Drops all prefixes.
  void Clear();

  // Returns the visible events with numbers above `after` as the JSON answer of `GET /events`.
  std::string GetEventsJson(uint64_t after) const;

 private:
  struct Event {
    uint64_t number;
    TimePoint happened_at;
    const char* type;
    std::string prefix;
  };

  void AddEvent(const char* type, const std::string& prefix);

  const Clock& m_clock;
  Random& m_random;
  const Options m_options;
  std::list<std::string> m_lru_list;
  std::unordered_map<std::string, std::list<std::string>::iterator> m_entries;
  std::deque<Event> m_events;
  uint64_t m_last_event_number = 0;
};

}  // namespace plantain::standin

#endif  // PLANTAIN_PREFIX_CACHE_H_
