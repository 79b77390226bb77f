#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "token_bucket.h"

namespace plantain::standin {
namespace {

// Guards against an origin or log stand-in that exceeds its configured rate, which would make rollouts look faster
// than they are.
TEST_CASE("A token bucket allows its burst immediately and then its rate") {
  VirtualClock clock;
  TokenBucket bucket(clock, 100, 10);

  SECTION("the burst is available at the start") {
    for (int i = 0; i < 10; ++i) CHECK(bucket.TryTake(1));
    CHECK_FALSE(bucket.TryTake(1));

    SECTION("one unit is refilled every 10 ms") {
      clock.Advance(Milliseconds(9));
      CHECK_FALSE(bucket.TryTake(1));
      clock.Advance(Milliseconds(1));
      CHECK(bucket.TryTake(1));
      CHECK_FALSE(bucket.TryTake(1));
    }

    SECTION("the level never exceeds the burst") {
      clock.Advance(std::chrono::hours(1));
      CHECK(bucket.TryTake(10));
      CHECK_FALSE(bucket.TryTake(1));
    }
  }

  SECTION("a message larger than the burst waits until the level is back at zero") {
    CHECK(bucket.TakeAndGetDelay(60) == Milliseconds(500));
    CHECK(bucket.TakeAndGetDelay(10) == Milliseconds(600));
    clock.Advance(Milliseconds(600));
    CHECK_FALSE(bucket.TryTake(1));
  }

  SECTION("a smaller burst takes effect immediately") {
    bucket.SetRate(100, 2);
    CHECK_FALSE(bucket.TryTake(3));
    CHECK(bucket.TryTake(2));
  }

  SECTION("a rate of zero means no limit") {
    bucket.SetRate(0, 0);
    CHECK(bucket.TryTake(1e12));
    CHECK(bucket.TakeAndGetDelay(1e12) == Duration(0));
  }
}

// Guards against any sequence of takes whose sum exceeds burst + rate * time, for example by rounding in refills.
TEST_CASE("A token bucket never allows more than its burst and its rate") {
  CHECK(rc::check([] {
    VirtualClock clock;
    const double rate = *rc::gen::inRange(1, 1000);
    const double burst = *rc::gen::inRange(1, 100);
    TokenBucket bucket(clock, rate, burst);
    double taken = 0;
    double elapsed = 0;
    for (int i = 0; i < 100; ++i) {
      const int step_ms = *rc::gen::inRange(0, 50);
      clock.Advance(Milliseconds(step_ms));
      elapsed += step_ms / 1000.0;
      const double units = *rc::gen::inRange(1, 20);
      if (bucket.TryTake(units)) taken += units;
      RC_ASSERT(taken <= burst + rate * elapsed + 1e-6);
    }
  }));
}

}  // namespace
}  // namespace plantain::standin
