// Latency histogram with a bounded relative error.

#ifndef PLANTAIN_LATENCY_HISTOGRAM_H_
#define PLANTAIN_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <vector>

#include "core_type.h"

namespace plantain::standin {

// Counts times in buckets of about 1.6% width from 1 microsecond to about 19 hours.
class LatencyHistogram {
 public:
  void Add(Duration time);
  void Merge(const LatencyHistogram& other);

  uint64_t GetCount() const { return m_count; }

  // Returns the quantile `share` (0 to 1) in milliseconds, rounded up to the bucket's upper bound; 0 if empty.
  double GetQuantileMs(double share) const;

 private:
  std::vector<uint64_t> m_buckets;
  uint64_t m_count = 0;
};

}  // namespace plantain::standin

#endif  // PLANTAIN_LATENCY_HISTOGRAM_H_
