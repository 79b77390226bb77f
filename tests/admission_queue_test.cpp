#include "admission_queue.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace plantain {
namespace {

constexpr uint32_t kCapacity = 3;

// Guards against retries, low-priority requests and requests that cannot meet their deadline taking the place of
// others.
TEST_CASE("Requests wait in order and are refused immediately if they cannot meet their deadline") {
  VirtualClock clock;
  SeededRandom random(1);
  AdmissionQueue queue(clock, random, kCapacity);
  const SlotState slots{4, false};
  const auto make = [&clock](uint64_t id, uint32_t priority = 0, bool is_retry = false,
                             Duration time = std::chrono::seconds(30)) {
    return Waiter{WaiterId(id), priority, is_retry, clock.GetNow() + time};
  };

  SECTION("first attempts precede retries, then higher priority and earlier deadline take precedence") {
    AdmissionQueue wide(clock, random, 10);
    wide.Add(make(1, 9, true), slots);
    wide.Add(make(2, 0, false, std::chrono::seconds(20)), slots);
    wide.Add(make(3, 0, false, std::chrono::seconds(10)), slots);
    wide.Add(make(4, 5), slots);
    std::vector<uint64_t> order;
    while (const auto id = wide.TakeNext()) order.push_back(id->Get());
    CHECK(order == std::vector<uint64_t>{4, 3, 2, 1});
  }

  SECTION("a full queue") {
    for (uint64_t id = 1; id <= kCapacity; ++id) CHECK(queue.Add(make(id, 0, true), slots).empty());

    SECTION("refuses another retry as not run and sets a retry delay") {
      const auto refused = queue.Add(make(9, 0, true), slots);
      REQUIRE(refused.size() == 1);
      CHECK(refused[0].id == WaiterId(9));
      CHECK(refused[0].refusal.reason == proto::REFUSAL_REASON_OVERLOADED);
      CHECK(refused[0].refusal.not_run);
      CHECK(refused[0].refusal.retry_after > Duration(0));
    }

    SECTION("reports a cold start as the reason during a cold start") {
      const auto refused = queue.Add(make(9, 0, true), SlotState{1, true});
      REQUIRE(refused.size() == 1);
      CHECK(refused[0].refusal.reason == proto::REFUSAL_REASON_COLD);
    }

    SECTION("evicts its last retry in favor of a first attempt") {
      const auto refused = queue.Add(make(9), slots);
      REQUIRE(refused.size() == 1);
      CHECK(refused[0].id == WaiterId(kCapacity));
      CHECK(queue.TakeNext() == WaiterId(9));
    }
  }

  SECTION("a request that cannot start before its deadline is refused immediately") {
    for (int i = 0; i < 50; ++i) queue.OnSlotFreed(std::chrono::seconds(4));
    const auto refused = queue.Add(make(1, 0, false, Milliseconds(500)), slots);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].refusal.reason == proto::REFUSAL_REASON_DEADLINE);
    CHECK(refused[0].refusal.not_run);
    CHECK(refused[0].refusal.retry_after >= Milliseconds(500));
  }

  SECTION("a waiting request is refused as soon as it can no longer start before its deadline") {
    CHECK(queue.Add(make(1, 0, false, std::chrono::seconds(1)), slots).empty());
    CHECK(queue.TakeLate(slots).empty());
    clock.Advance(Milliseconds(980));
    CHECK(queue.TakeLate(slots).size() == 1);
    CHECK(queue.GetSize() == 0);
  }
}

// Guards against a queue that grows without bound or loses requests.
TEST_CASE("Every request that enters the queue leaves it exactly once") {
  CHECK(rc::check("the size is bounded and no request is lost or duplicated", [] {
    VirtualClock clock;
    SeededRandom random(1);
    AdmissionQueue queue(clock, random, kCapacity);
    size_t in = 0;
    size_t out = 0;
    const auto codes = *rc::gen::container<std::vector<uint32_t>>(200, rc::gen::arbitrary<uint32_t>());
    for (const uint32_t code : codes) {
      const SlotState slots{1 + code % 5, code % 7 == 0};
      const uint32_t arg = code / 8;
      if (code % 8 < 4) {
        ++in;
        const Waiter waiter{WaiterId(in), arg % 3, arg % 2 == 0, clock.GetNow() + Milliseconds(arg % 5000)};
        out += queue.Add(waiter, slots).size();
      } else if (code % 8 < 6) {
        out += queue.TakeNext().has_value() ? 1 : 0;
      } else {
        clock.Advance(Milliseconds(arg % 500));
        out += queue.TakeLate(slots).size();
      }
      RC_ASSERT(queue.GetSize() <= kCapacity);
      RC_ASSERT(in == out + queue.GetSize());
    }
  }));
}

}  // namespace
}  // namespace plantain
