// What processes tell each other about contents at which endpoints crash.

#ifndef PLANTAIN_CRASH_REPORT_TYPE_H_
#define PLANTAIN_CRASH_REPORT_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "answer_progress_type.h"
#include "content_key.h"
#include "core_type.h"
#include "rendezvous.h"
#include "strong_type.h"

namespace plantain {

// Hash that identifies one run of an endpoint, from its start to its end.
using EndpointRun = StrongNumber<struct EndpointRunTag, uint64_t>;

inline EndpointRun GetEndpointRun(const EndpointId& endpoint, Incarnation incarnation) {
  return EndpointRun(HashName(endpoint.Get() + '/' + std::to_string(incarnation.Get())));
}

// The end of an endpoint's run under an attempt.
struct ContentCrash {
  EndpointRun run;
  Duration age{};
  // Time since the request was sent to the endpoint.
  Duration sent_age{};
  // How much of the answer had come.
  AnswerProgress progress = AnswerProgress::kNone;
  // How many other runs ended at the same moment under attempts with the same content.
  uint32_t others_at_once = 0;
};

// How attempts fared lately, to compare those with a content to those without it.
struct AttemptTotals {
  // Time that attempts with the content ran without the end of a run, since the first end that counts.
  Duration survived{};
  // Attempts at runs that did not end under the content: those that lost their run, and the time that all of them ran.
  // Earlier ones have less weight.
  double other_losses = 0;
  Duration other_running{};
};

// What one process knows about a content, as sent to others.
struct ContentReport {
  ContentKey key;
  std::vector<ContentCrash> crashes;
  // Other keys of the same kind that all requests had whose endpoints ended.
  std::vector<ContentKey> companions;
  // Time since the first and the last of a blocked key's crashes; `blocked_age` is unset for one that is not blocked.
  std::optional<Duration> blocked_age;
  Duration last_crash_age{};
  // Time since an entry last saw a request with this key.
  Duration used_age{};
  // Number of trials after which the key stayed blocked.
  uint32_t trials = 0;
  // Time since an answer to a request with this key was whole; unset if none is known.
  std::optional<Duration> answered_age;
  // Whether that answer ended a block.
  bool is_cleared = false;
  // Attempts of the sender alone.
  AttemptTotals totals;
};

// Adds the time that has passed since the reports were made to all their ages.
void AddAge(std::vector<ContentReport>& reports, Duration passed);

}  // namespace plantain

#endif  // PLANTAIN_CRASH_REPORT_TYPE_H_
