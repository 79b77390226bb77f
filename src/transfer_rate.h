// Rate limits of chunk transfer, implemented as token buckets.

#ifndef PLANTAIN_TRANSFER_RATE_H_
#define PLANTAIN_TRANSFER_RATE_H_

#include <algorithm>

#include "clock.h"
#include "core_type.h"

namespace plantain {

// A token bucket in bytes. One item may overdraw the bucket; the next item must wait until the balance is no longer
// negative. An item larger than the burst can therefore pass, and the mean rate still holds.
class TokenBucket {
 public:
  TokenBucket(BytesPerSecond rate, Duration burst, TimePoint now) : m_rate(rate), m_burst(burst), m_refilled_at(now) {}

  // Returns whether an item may pass now.
  bool IsOpen(TimePoint now) {
    Refill(now);
    return m_tokens >= 0;
  }

  // Deducts the tokens of one item.
  void Take(Bytes size, TimePoint now) {
    Refill(now);
    m_tokens -= static_cast<double>(size.Get());
  }

  // Returns the tokens of an item that was not transferred.
  void Refund(Bytes size) { m_tokens = std::min(GetCapacity(), m_tokens + static_cast<double>(size.Get())); }

  // Returns the time until an item may pass.
  Duration GetDelay(TimePoint now) {
    Refill(now);
    if (m_tokens >= 0) return Duration::zero();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-m_tokens / m_rate.Get())) +
           Milliseconds(1);
  }

  void SetRate(BytesPerSecond rate, TimePoint now) {
    Refill(now);
    m_rate = rate;
  }

 private:
  double GetCapacity() const { return m_rate.Get() * std::chrono::duration<double>(m_burst).count(); }

  void Refill(TimePoint now) {
    if (now <= m_refilled_at) return;
    const double elapsed_s = std::chrono::duration<double>(now - m_refilled_at).count();
    m_tokens = std::min(GetCapacity(), m_tokens + elapsed_s * m_rate.Get());
    m_refilled_at = now;
  }

  BytesPerSecond m_rate;
  const Duration m_burst;
  TimePoint m_refilled_at;
  double m_tokens = 0;
};

// Settings of the rate limits.
struct TransferRateOptions {
  BytesPerSecond up;
  BytesPerSecond down;
  // This VM's share of the rate of the link between zones.
  BytesPerSecond cross_zone;
  // Share of the machine's link reserved for live requests while any are in progress, from 0 to 1.
  double live_request_share = 0.1;
};

// The token buckets of one VM. Live requests have priority: chunk transfer is limited to a lower rate while any live
// request is in progress.
class TransferRateLimits {
 public:
  TransferRateLimits(TransferRateOptions options, const Clock& clock);

  void SetHasLiveRequests(bool has_live_requests);
  void SetCrossZoneRate(BytesPerSecond rate);

  TokenBucket& GetUpload() { return m_up; }
  TokenBucket& GetDownload() { return m_down; }
  // Limits chunks received from other zones.
  TokenBucket& GetCrossZoneDownload() { return m_cross_zone_down; }
  // Limits chunks sent to other zones.
  TokenBucket& GetCrossZoneUpload() { return m_cross_zone_up; }

 private:
  TransferRateOptions m_options;
  const Clock& m_clock;
  bool m_has_live_requests = false;
  TokenBucket m_up;
  TokenBucket m_down;
  TokenBucket m_cross_zone_down;
  TokenBucket m_cross_zone_up;
};

}  // namespace plantain

#endif  // PLANTAIN_TRANSFER_RATE_H_
