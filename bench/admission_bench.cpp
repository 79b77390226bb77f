// Compares admission limit algorithms on a simulated engine: time until the limit recovers after a cold start, requests
// admitted above the capacity of a cold engine, and utilization of a warm engine with varying token gaps. Runs in
// virtual time without I/O.

#include <cmath>
#include <cstdlib>
#include <iostream>
#include <set>

#include "admission_limit.h"
#include "random.h"

namespace plantain {
namespace {

constexpr uint32_t kCapacity = 16;
constexpr uint32_t kColdCapacity = 2;
constexpr Duration kTokenTime = std::chrono::milliseconds(20);
constexpr Duration kWarmTime = std::chrono::seconds(3);
constexpr double kColdSlowdown = 2;
constexpr int kTokens = 16;
constexpr int kSteps = 3000;
constexpr int kColdEverySteps = 600;

// Interface of the compared algorithms.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual std::string GetName() const = 0;
  virtual bool CanStart() const = 0;
  virtual SlotId Start() = 0;
  virtual void OnToken(SlotId slot) = 0;
  virtual void End(SlotId slot) = 0;
  virtual void OnReport(EngineState state) = 0;
};

// The algorithm used by the product.
class AimdPolicy : public Policy {
 public:
  explicit AimdPolicy(const Clock& clock) : m_limit(clock, AdmissionLimitOptions{kColdCapacity, kCapacity}) {}
  std::string GetName() const override { return "aimd"; }
  bool CanStart() const override { return m_limit.CanStart(); }
  SlotId Start() override {
    const SlotId slot = m_limit.Start();
    m_limit.OnDispatched(slot);
    return slot;
  }
  void OnToken(SlotId slot) override { m_limit.OnToken(slot); }
  void End(SlotId slot) override { m_limit.End(slot, RequestEnd::kOk); }
  void OnReport(EngineState state) override {
    EngineStatus status;
    status.state = state;
    status.incarnation = Incarnation(1);
    status.capacity = kCapacity;
    m_limit.OnEngineReport(status);
  }

 private:
  AdmissionLimit m_limit;
};

// Gradient algorithm: the limit is scaled by the ratio of the long-term to the recent token gap, and the square root of
// the limit is added as headroom for growth. A cold report resets it to the cold capacity.
class GradientPolicy : public Policy {
 public:
  explicit GradientPolicy(const Clock& clock) : m_clock(clock) {}
  std::string GetName() const override { return "gradient"; }
  bool CanStart() const override { return m_last_token_at.size() < std::floor(m_limit); }
  SlotId Start() override {
    m_next = m_next.Next();
    m_last_token_at[m_next] = m_clock.GetNow();
    return m_next;
  }
  void OnToken(SlotId slot) override {
    const double gap = std::chrono::duration<double>(m_clock.GetNow() - m_last_token_at[slot]).count();
    m_last_token_at[slot] = m_clock.GetNow();
    m_recent_gap = m_recent_gap == 0 ? gap : m_recent_gap + kRecentWeight * (gap - m_recent_gap);
    m_long_gap = m_long_gap == 0 ? gap : m_long_gap + kLongWeight * (gap - m_long_gap);
    if (m_is_cold || m_clock.GetNow() - m_changed_at < kTokenTime) return;
    m_changed_at = m_clock.GetNow();
    const double gradient = std::clamp(kTolerance * m_long_gap / m_recent_gap, 0.5, 1.0);
    const double target = m_limit * gradient + std::sqrt(m_limit);
    m_limit = std::clamp(m_limit + kSmoothing * (target - m_limit), double{kColdCapacity}, double{kCapacity});
  }
  void End(SlotId slot) override { m_last_token_at.erase(slot); }
  void OnReport(EngineState state) override {
    m_is_cold = state != EngineState::kWarm;
    if (m_is_cold) m_limit = kColdCapacity;
  }

 private:
  static constexpr double kRecentWeight = 0.1;
  static constexpr double kLongWeight = 0.002;
  static constexpr double kTolerance = 1.5;
  static constexpr double kSmoothing = 0.2;

  const Clock& m_clock;
  std::map<SlotId, TimePoint> m_last_token_at;
  SlotId m_next;
  double m_limit = kColdCapacity;
  double m_recent_gap = 0;
  double m_long_gap = 0;
  bool m_is_cold = true;
  TimePoint m_changed_at;
};

struct Results {
  int over_limit = 0;
  int cold_starts = 0;
  double worst_recovery_ms = 0;
  double used_share = 0;
};

// Runs one policy with unlimited demand. Reports are delayed by `report_lag_steps`; if `is_hidden`, cold starts are
// never reported.
Results RunPolicy(Policy& policy, VirtualClock& clock, Random& random, int report_lag_steps, bool is_hidden) {
  Results results;
  std::map<SlotId, int> remaining_tokens;
  bool is_warm = true;
  Duration warming_time{};
  int changed_step = -1000;
  bool is_recovering = false;
  TimePoint warm_since;
  int64_t used_slots = 0;
  int64_t warm_steps = 0;
  for (int step = 0; step < kSteps; ++step) {
    if (step % kColdEverySteps == kColdEverySteps - 1) {
      is_warm = false;
      warming_time = Duration(0);
      changed_step = step;
      ++results.cold_starts;
    }
    const bool is_reported_warm = is_hidden || (step - changed_step >= report_lag_steps ? is_warm : !is_warm);
    if (step % 10 == 0) policy.OnReport(is_reported_warm ? EngineState::kWarm : EngineState::kCold);
    while (policy.CanStart()) {
      if (!is_warm && remaining_tokens.size() >= kColdCapacity) ++results.over_limit;
      remaining_tokens[policy.Start()] = kTokens;
    }
    const double jitter = 0.8 + 0.4 * random.GetUnit();
    const Duration step_time = is_warm ? kTokenTime : std::chrono::duration_cast<Duration>(kColdSlowdown * kTokenTime);
    const auto elapsed = std::chrono::duration_cast<Duration>(jitter * step_time);
    clock.Advance(elapsed);
    if (!is_warm && !remaining_tokens.empty() && remaining_tokens.size() <= kColdCapacity) warming_time += elapsed;
    if (!is_warm && warming_time >= kWarmTime) {
      is_warm = true;
      changed_step = step;
      is_recovering = true;
      warm_since = clock.GetNow();
    }
    if (is_warm) {
      ++warm_steps;
      used_slots += static_cast<int64_t>(remaining_tokens.size());
    }
    if (is_recovering && remaining_tokens.size() >= 0.9 * kCapacity) {
      const std::chrono::duration<double, std::milli> recovery_time = clock.GetNow() - warm_since;
      results.worst_recovery_ms = std::max(results.worst_recovery_ms, recovery_time.count());
      is_recovering = false;
    }
    const std::map<SlotId, int> running = remaining_tokens;
    for (const auto& [slot, tokens] : running) {
      policy.OnToken(slot);
      if (--remaining_tokens[slot] > 0) continue;
      policy.End(slot);
      remaining_tokens.erase(slot);
    }
  }
  results.used_share = static_cast<double>(used_slots) / static_cast<double>(warm_steps) / kCapacity;
  return results;
}

void Print(const std::string& metric, const std::string& policy, bool is_hidden, double value, const char* unit,
           uint64_t seed) {
  std::cout << R"({"bench":"admission","metric":")" << metric << R"(","policy":")" << policy << R"(","hidden":)"
            << (is_hidden ? "true" : "false") << R"(,"value":)" << value << R"(,"unit":")" << unit << R"(","seed":)"
            << seed << "}\n";
}

template <typename P>
void Measure(uint64_t seed, bool is_hidden) {
  VirtualClock clock;
  SeededRandom random(seed);
  P policy(clock);
  constexpr int kReportLagSteps = 5;
  const Results results = RunPolicy(policy, clock, random, kReportLagSteps, is_hidden);
  Print("over_limit_per_cold_start", policy.GetName(), is_hidden,
        static_cast<double>(results.over_limit) / results.cold_starts, "requests", seed);
  Print("worst_return_after_warm", policy.GetName(), is_hidden, results.worst_recovery_ms, "ms", seed);
  Print("used_share_while_warm", policy.GetName(), is_hidden, results.used_share, "1", seed);
}

}  // namespace
}  // namespace plantain

int main() {
  const char* text = std::getenv("SEED");
  const uint64_t seed = text != nullptr ? std::strtoull(text, nullptr, 10) : 20261204;
  for (const bool is_hidden : {false, true}) {
    plantain::Measure<plantain::AimdPolicy>(seed, is_hidden);
    plantain::Measure<plantain::GradientPolicy>(seed, is_hidden);
  }
  return 0;
}
