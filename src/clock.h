// Time as a dependency, so that decisions can be tested with a virtual clock.

#ifndef PLANTAIN_CLOCK_H_
#define PLANTAIN_CLOCK_H_

#include <ctime>

#include "core_type.h"

namespace plantain {

// Source of time.
class Clock {
 public:
  virtual ~Clock() = default;

  // Monotonic time; never goes back.
  virtual TimePoint GetNow() const = 0;

  // Wall-clock time; may jump.
  virtual WallTime GetWallTime() const = 0;
};

// Returns the monotonic time, including the time for which the machine was suspended. std::chrono::steady_clock leaves
// that out on Linux, so that deadlines would move by the length of a suspension.
inline TimePoint GetMonotonicTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

// Reads the operating system's clocks.
class SystemClock : public Clock {
 public:
  TimePoint GetNow() const override { return GetMonotonicTime(); }
  WallTime GetWallTime() const override {
    return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
  }
};

// Moves only when told to. Used by tests and by decision benchmarks.
class VirtualClock : public Clock {
 public:
  TimePoint GetNow() const override { return TimePoint(m_elapsed); }
  WallTime GetWallTime() const override {
    return WallTime(kWallStart + std::chrono::duration_cast<std::chrono::microseconds>(m_elapsed));
  }

  void Advance(Duration step) { m_elapsed += step; }

 private:
  // An arbitrary instant in 2026; only differences matter.
  static constexpr std::chrono::microseconds kWallStart{1'780'000'000'000'000};

  // Starts above zero so that "long ago" can be expressed by subtraction.
  Duration m_elapsed = std::chrono::hours(1);
};

}  // namespace plantain

#endif  // PLANTAIN_CLOCK_H_
