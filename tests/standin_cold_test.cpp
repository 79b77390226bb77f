#include <catch2/catch.hpp>

#include "cold_model.h"

namespace plantain::standin {
namespace {

constexpr ColdModel::Limits kLimits{2, std::chrono::seconds(4), Milliseconds(300)};

// Advances the time in small steps and returns whether the engine failed in one of them.
bool AdvanceTime(VirtualClock& clock, ColdModel& model, Duration time, size_t in_flight) {
  constexpr Duration kStep = Milliseconds(10);
  for (Duration passed{}; passed < time; passed += kStep) {
    clock.Advance(kStep);
    if (model.Update(in_flight)) return true;
  }
  return false;
}

// Guards against a stand-in that tolerates overload while cold, which would hide a broken admission limit.
TEST_CASE("A cold engine warms up under light load and fails under overload") {
  VirtualClock clock;
  ColdModel model(clock, kLimits);
  REQUIRE_FALSE(model.IsWarm());

  SECTION("idle time does not warm the engine up") {
    CHECK_FALSE(AdvanceTime(clock, model, std::chrono::minutes(1), 0));
    CHECK_FALSE(model.IsWarm());
  }

  SECTION("light load warms the engine up after the warm-up time") {
    CHECK_FALSE(AdvanceTime(clock, model, Milliseconds(3990), 2));
    CHECK_FALSE(model.IsWarm());
    CHECK_FALSE(AdvanceTime(clock, model, Milliseconds(10), 2));
    CHECK(model.IsWarm());

    SECTION("a warm engine sustains any load") { CHECK_FALSE(AdvanceTime(clock, model, std::chrono::minutes(1), 500)); }

    SECTION("an engine made cold again needs the full warm-up time") {
      model.MakeCold();
      CHECK_FALSE(AdvanceTime(clock, model, Milliseconds(3990), 1));
      CHECK_FALSE(model.IsWarm());
    }
  }

  SECTION("overload for less than 300 ms is tolerated") {
    CHECK_FALSE(AdvanceTime(clock, model, Milliseconds(290), 3));
    CHECK_FALSE(AdvanceTime(clock, model, Milliseconds(10), 2));

    SECTION("the overload time starts again from zero") {
      CHECK_FALSE(AdvanceTime(clock, model, Milliseconds(290), 3));
    }
  }

  SECTION("overload for 300 ms makes the engine fail") { CHECK(AdvanceTime(clock, model, Milliseconds(300), 3)); }

  SECTION("overload does not warm the engine up") {
    for (int i = 0; i < 100; ++i) {
      REQUIRE_FALSE(AdvanceTime(clock, model, Milliseconds(290), 3));
      model.Update(3);
      REQUIRE_FALSE(AdvanceTime(clock, model, Milliseconds(10), 0));
    }
    CHECK_FALSE(model.IsWarm());
  }

  SECTION("a request counts as over the limit only while cold and at the cold capacity") {
    CHECK_FALSE(model.IsOverLimit(1));
    CHECK(model.IsOverLimit(2));
    model.MakeWarm();
    CHECK_FALSE(model.IsOverLimit(2));
  }
}

}  // namespace
}  // namespace plantain::standin
