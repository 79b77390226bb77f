#include "loop_time.h"

#include <catch2/catch.hpp>

#include "clock.h"

namespace plantain {
namespace {

// Guards against a pause of this process that is taken for silence of its peers.
TEST_CASE("The time of a loop advances only while the loop runs") {
  LoopTime time;
  const TimePoint begin = VirtualClock().GetNow();
  time.Update(begin);
  time.Update(begin + Milliseconds(10));
  CHECK(time.GetElapsed() == Duration(Milliseconds(10)));
  time.Update(begin + Milliseconds(3010));
  CHECK(time.GetElapsed() == Duration(Milliseconds(10)) + LoopTime::kMaxStep);
}

}  // namespace
}  // namespace plantain
