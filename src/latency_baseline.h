// Baseline of one kind of latency of an endpoint, learned from samples taken while the endpoint appears warm.

#ifndef PLANTAIN_LATENCY_BASELINE_H_
#define PLANTAIN_LATENCY_BASELINE_H_

#include <algorithm>

#include "core_type.h"

namespace plantain {

// Thresholds relative to the learned mean.
struct BaselineOptions {
  // A sample above this multiple of the mean indicates congestion.
  double congested_factor = 1.6;
  // A sample above this multiple of the mean indicates that the endpoint has become cold.
  double cold_factor = 3;
  // Samples that exceed the mean by less than this are always accepted as normal, because scheduling delays on a busy
  // machine are of this size.
  Duration tolerance = std::chrono::milliseconds(25);
};

// Running mean of warm samples.
class LatencyBaseline {
 public:
  explicit LatencyBaseline(BaselineOptions options) : m_options(options) {}

  void Add(Duration sample) {
    const double value = std::chrono::duration<double>(sample).count();
    m_samples = std::min(m_samples + 1, kWindow);
    m_mean += (value - m_mean) / m_samples;
  }

  void Reset() {
    m_samples = 0;
    m_mean = 0;
  }

  bool IsKnown() const { return m_samples >= kMinSamples; }
  bool IsCongested(Duration sample) const { return IsKnown() && sample > GetThreshold(m_options.congested_factor); }
  bool IsCold(Duration sample) const { return IsKnown() && sample > GetThreshold(m_options.cold_factor); }
  Duration GetMean() const { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_mean)); }
  // Like `IsCongested`, but without the tolerance for scheduling delays, so a single slow sample is not significant;
  // use it only on a series of samples.
  bool IsSlow(Duration sample) const { return IsKnown() && sample > GetSlowThreshold(); }
  Duration GetSlowThreshold() const {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_mean * m_options.congested_factor));
  }

 private:
  // Number of samples from which on the mean is reliable enough to classify others.
  static constexpr double kMinSamples = 8;
  // Number of samples after which the mean becomes a moving average with this window.
  static constexpr double kWindow = 128;

  Duration GetThreshold(double factor) const {
    const auto multiple = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_mean * factor));
    return std::max(multiple, GetMean() + m_options.tolerance);
  }

  const BaselineOptions m_options;
  double m_samples = 0;
  // In seconds.
  double m_mean = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_LATENCY_BASELINE_H_
