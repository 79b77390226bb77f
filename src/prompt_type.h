// Types of prompt parts and of what is known about parts that end endpoints.

#ifndef PLANTAIN_PROMPT_TYPE_H_
#define PLANTAIN_PROMPT_TYPE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "fleet_type.h"
#include "strong_type.h"

namespace plantain {

// Hash that identifies one run of an endpoint, from its start to its end.
using EndpointRun = StrongNumber<struct EndpointRunTag, uint64_t>;

// The end of an endpoint's run while it was about to answer a request.
struct PromptCrash {
  EndpointRun run;
  Duration age{};
  // Time since the request was sent to the endpoint.
  Duration sent_age{};
  // Whether the header of the answer had come, so that the endpoint ended while it began to answer this request.
  bool has_header = false;
};

// What one entry knows about a prompt part, as sent to other entries.
struct PromptPartReport {
  PromptPartId part;
  // Not sent once the part is blocked.
  std::vector<PromptCrash> crashes;
  // Other parts that all requests had whose endpoints ended.
  std::vector<PromptPartId> companions;
  // Time since the first and the last of a blocked part's crashes; `blocked_age` is unset for one that is not blocked.
  std::optional<Duration> blocked_age;
  Duration last_crash_age{};
  // Time since an entry last saw a request with this part.
  Duration used_age{};
  // Number of trials after which the part stayed blocked.
  uint32_t trials = 0;
  // Time since an answer to a request with this part began; unset if none is known.
  std::optional<Duration> answered_age;
};

}  // namespace plantain

#endif  // PLANTAIN_PROMPT_TYPE_H_
