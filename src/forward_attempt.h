// One attempt of a forwarded request at an endpoint, and what the endpoint has sent of its answer.

#ifndef PLANTAIN_FORWARD_ATTEMPT_H_
#define PLANTAIN_FORWARD_ATTEMPT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "answer_progress_type.h"
#include "core_type.h"
#include "endpoint_silence.h"
#include "event_splitter.h"
#include "forward_type.h"
#include "http_client.h"
#include "memory_budget.h"

namespace plantain {

// Distinguishes the attempts of one request.
using AttemptNumber = StrongNumber<struct AttemptNumberTag, uint32_t>;

// Weight versions that apply to an attempt at an engine.
struct AttemptWeights {
  // Version that the endpoint serves according to its last report; unset for endpoints without weights.
  std::optional<WeightVersion> loaded;
  // Oldest version that may start a request; unset if every version may.
  std::optional<WeightVersion> min_version;
  // Time from which no request may start on `loaded`; unset if it is not superseded.
  std::optional<TimePoint> start_limit;
  // Whether the endpoint must refuse the attempt if it serves another version than `loaded`.
  bool is_exact = false;
};

// What decided the choice of an attempt's endpoint, for the log.
struct AttemptChoice {
  EndpointId endpoint;
  uint32_t load = 0;
  Duration load_age{};
  // Expected time to the first event, as estimated when the attempt was sent.
  Duration expected{};
  // Weight versions, and the time that was left until the limit of the endpoint's version.
  std::optional<WeightVersion> version;
  std::optional<WeightVersion> min_version;
  std::optional<Duration> until_limit;
};

struct ForwardAttempt {
  explicit ForwardAttempt(MemoryBudget& answer_memory) : memory(answer_memory) {}

  AnswerProgress GetProgress(bool is_stream) const {
    if (!head.has_value()) return AnswerProgress::kNone;
    const bool has_begun = is_stream ? events.GetProgress() > 0 : has_body;
    return has_begun ? AnswerProgress::kBegun : AnswerProgress::kHeader;
  }

  AttemptNumber number;
  std::shared_ptr<HttpCall> call;
  AttemptChoice choice;
  Incarnation incarnation;
  TimePoint sent_at;
  // Whether the endpoint was asked for the rest of a stream only.
  bool is_resumed = false;
  std::optional<ResponseHead> head;
  std::string body;
  EventSplitter events;
  // Memory of the body, or of the event of a stream that is not whole yet.
  MemoryReservation memory;
  // When the endpoint last sent its head, a new event of a stream, or bytes of another response, on the clock and in
  // the time of the loop.
  TimePoint received_at;
  Duration received_loop_time{};
  // Whether the endpoint has processed the prompt, or the attempt has ended.
  bool is_prefill_done = false;
  // Whether the endpoint has sent a part of the response's body, so that the request has started there.
  bool has_body = false;
  // What its present silence says about the endpoint; unset unless it has been reported.
  std::optional<SilenceFinding> silence;
};

}  // namespace plantain

#endif  // PLANTAIN_FORWARD_ATTEMPT_H_
