// Tells an endpoint that stands still from one that leaves single requests unanswered. No I/O.

#ifndef PLANTAIN_ENDPOINT_SILENCE_H_
#define PLANTAIN_ENDPOINT_SILENCE_H_

#include <optional>

#include "core_type.h"

namespace plantain {

// What the silence of one attempt says about its endpoint.
enum class SilenceFinding {
  // The endpoint has answered other requests meanwhile, so that the silence concerns this request only.
  kRequestOnly,
  // Nothing has come from the endpoint: it stands still.
  kPause,
};

// Pattern of load: an endpoint with many requests stands still for a moment and goes on, or is gone without closing its
// connections. All its requests fall silent together. That is one fact about the endpoint, whatever their number, and
// the next byte from it ends the fact.
class EndpointSilence {
 public:
  // Records that the endpoint has sent a part of an answer. Returns how long it stood still, if it did.
  std::optional<Duration> OnReceived(TimePoint now);

  // Records that an attempt has received nothing since `since` although it waits for an answer.
  SilenceFinding OnSilent(TimePoint since, TimePoint now);

  // Forgets the pause, because the endpoint has failed in another way.
  void EndPause() { m_paused_since.reset(); }

  // Whether the endpoint stands still, as far as is known.
  bool IsPaused() const { return m_paused_since.has_value(); }

 private:
  std::optional<TimePoint> m_received_at;
  std::optional<TimePoint> m_paused_since;
};

}  // namespace plantain

#endif  // PLANTAIN_ENDPOINT_SILENCE_H_
