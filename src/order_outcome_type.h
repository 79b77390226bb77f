// What became of an order to the engine.

#ifndef PLANTAIN_ORDER_OUTCOME_TYPE_H_
#define PLANTAIN_ORDER_OUTCOME_TYPE_H_

#include <utility>

#include "absl/status/status.h"

namespace plantain {

enum class OrderOutcome {
  // The engine executed the order.
  kDone,
  // The engine did not execute the order and never will.
  kRefused,
  // The order did not leave this process.
  kNotSent,
  // The engine may have executed the order, or may still do so.
  kUnknown,
};

struct OrderResult {
  // Whether the engine cannot execute the order any more, if it has not done so.
  bool IsFinal() const { return outcome != OrderOutcome::kUnknown; }

  OrderOutcome outcome = OrderOutcome::kDone;
  // Cause; OK if the order was executed.
  absl::Status status;
};

}  // namespace plantain

#endif  // PLANTAIN_ORDER_OUTCOME_TYPE_H_
