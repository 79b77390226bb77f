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
  const auto make_waiter = [&clock](uint64_t id, uint32_t priority = 0, bool is_retry = false,
                                    Duration time = std::chrono::seconds(30)) {
    return Waiter{WaiterId(id), priority, is_retry, clock.GetNow() + time};
  };

  SECTION("first attempts precede retries, then higher priority and earlier deadline take precedence") {
    AdmissionQueue large_queue(clock, random, 10);
    large_queue.Add(make_waiter(1, 9, true), slots);
    large_queue.Add(make_waiter(2, 0, false, std::chrono::seconds(20)), slots);
    large_queue.Add(make_waiter(3, 0, false, std::chrono::seconds(10)), slots);
    large_queue.Add(make_waiter(4, 5), slots);
    std::vector<uint64_t> order;
    while (const auto id = large_queue.PopNext()) order.push_back(id->Get());
    CHECK(order == std::vector<uint64_t>{4, 3, 2, 1});
  }

  SECTION("a full queue") {
    for (uint64_t id = 1; id <= kCapacity; ++id) CHECK(queue.Add(make_waiter(id, 0, true), slots).empty());

    SECTION("refuses another retry as not run and sets a retry delay") {
      const auto refused = queue.Add(make_waiter(9, 0, true), slots);
      REQUIRE(refused.size() == 1);
      CHECK(refused[0].id == WaiterId(9));
      CHECK(refused[0].refusal.reason == proto::REFUSAL_REASON_OVERLOADED);
      CHECK(refused[0].refusal.not_run);
      CHECK(refused[0].refusal.retry_after > Duration(0));
    }

    SECTION("reports a cold start as the reason during a cold start") {
      const auto refused = queue.Add(make_waiter(9, 0, true), SlotState{1, true});
      REQUIRE(refused.size() == 1);
      CHECK(refused[0].refusal.reason == proto::REFUSAL_REASON_COLD);
    }

    SECTION("evicts its last retry in favor of a first attempt") {
      const auto refused = queue.Add(make_waiter(9), slots);
      REQUIRE(refused.size() == 1);
      CHECK(refused[0].id == WaiterId(kCapacity));
      CHECK(queue.PopNext() == WaiterId(9));
    }
  }

  SECTION("a request that cannot start before its deadline is refused immediately") {
    for (int i = 0; i < 50; ++i) queue.RecordHoldTime(std::chrono::seconds(4));
    const auto refused = queue.Add(make_waiter(1, 0, false, Milliseconds(500)), slots);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].refusal.reason == proto::REFUSAL_REASON_DEADLINE);
    CHECK(refused[0].refusal.not_run);
    CHECK(refused[0].refusal.retry_after >= Milliseconds(500));
  }

  SECTION("a waiting request is refused as soon as it can no longer start before its deadline") {
    CHECK(queue.Add(make_waiter(1, 0, false, std::chrono::seconds(1)), slots).empty());
    CHECK(queue.RemoveLate(slots).empty());
    clock.Advance(Milliseconds(980));
    CHECK(queue.RemoveLate(slots).size() == 1);
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
        out += queue.PopNext().has_value() ? 1 : 0;
      } else {
        clock.Advance(Milliseconds(arg % 500));
        out += queue.RemoveLate(slots).size();
      }
      RC_ASSERT(queue.GetSize() <= kCapacity);
      RC_ASSERT(in == out + queue.GetSize());
    }
  }));
}

}  // namespace
}  // namespace plantain
