#include "clock.h"

#include <catch2/catch.hpp>

namespace plantain {
namespace {

TimePoint ReadBootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

// Guards against deadlines that are postponed by the time for which the machine was suspended. It can fail only on a
// machine that has been suspended since its start.
TEST_CASE("Monotonic time includes the time for which the machine was suspended") {
  const SystemClock clock;
  const TimePoint before = ReadBootTime();
  const TimePoint now = clock.GetNow();
  CHECK(before <= now);
  CHECK(now <= ReadBootTime());
}

}  // namespace
}  // namespace plantain
