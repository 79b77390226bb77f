// Result type of the classes that decide whether an attempt is run.

#ifndef PLANTAIN_REFUSAL_TYPE_H_
#define PLANTAIN_REFUSAL_TYPE_H_

#include "attempt.pb.h"
#include "core_type.h"

namespace plantain {

// Response to an attempt that was not run or whose outcome is unknown.
struct Refusal {
  proto::RefusalReason reason = proto::REFUSAL_REASON_UNKNOWN;
  // True only if no part of the request was passed to the engine or service.
  bool not_run = false;
  // Suggested delay before a retry.
  Duration retry_after{};
};

}  // namespace plantain

#endif  // PLANTAIN_REFUSAL_TYPE_H_
