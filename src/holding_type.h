// Interface to the weights on this VM, which the peer service announces to other VMs.

#ifndef PLANTAIN_HOLDING_TYPE_H_
#define PLANTAIN_HOLDING_TYPE_H_

#include <vector>

#include "member_type.h"

namespace plantain {

// Provides the list of weights on this VM.
class HoldingSource {
 public:
  virtual ~HoldingSource() = default;

  // Returns the weights that this VM serves, has loaded or is fetching. Call on the control thread.
  virtual std::vector<HoldingInfo> GetHoldings() const = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_HOLDING_TYPE_H_
