#include "latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace plantain::standin {
namespace {

// Each power of two is divided into 2^kSubBits buckets.
constexpr int kSubBits = 6;
constexpr uint64_t kSubBuckets = 1 << kSubBits;
constexpr int kMaxPower = 36;

size_t GetBucket(uint64_t microseconds) {
  if (microseconds < kSubBuckets) return microseconds;
  const int power = std::bit_width(microseconds) - 1;
  const uint64_t sub = (microseconds >> (power - kSubBits)) - kSubBuckets;
  return (power - kSubBits + 1) * kSubBuckets + sub;
}

// Largest value of a bucket in microseconds.
uint64_t GetUpperBound(size_t bucket) {
  if (bucket < kSubBuckets) return bucket;
  const uint64_t shift = bucket / kSubBuckets - 1;
  return ((bucket % kSubBuckets + kSubBuckets + 1) << shift) - 1;
}

}  // namespace

void LatencyHistogram::Add(Duration time) {
  const int64_t count = std::chrono::duration_cast<std::chrono::microseconds>(time).count();
  const uint64_t microseconds = std::clamp<int64_t>(count, 0, (int64_t{1} << kMaxPower) - 1);
  const size_t bucket = GetBucket(microseconds);
  if (m_buckets.size() <= bucket) m_buckets.resize(bucket + 1);
  ++m_buckets[bucket];
  ++m_count;
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  if (m_buckets.size() < other.m_buckets.size()) m_buckets.resize(other.m_buckets.size());
  for (size_t i = 0; i < other.m_buckets.size(); ++i) m_buckets[i] += other.m_buckets[i];
  m_count += other.m_count;
}

double LatencyHistogram::GetQuantileMs(double share) const {
  if (m_count == 0) return 0;
  const auto wanted = static_cast<uint64_t>(std::ceil(share * static_cast<double>(m_count)));
  uint64_t seen = 0;
  for (size_t i = 0; i < m_buckets.size(); ++i) {
    seen += m_buckets[i];
    if (seen >= std::max<uint64_t>(1, wanted)) return static_cast<double>(GetUpperBound(i)) / 1000;
  }
  return 0;
}

}  // namespace plantain::standin
