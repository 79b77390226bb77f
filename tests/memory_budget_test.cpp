#include "memory_budget.h"

#include <catch2/catch.hpp>
#include <vector>

namespace plantain {
namespace {

constexpr size_t kLimit = 1024 * 1024;
constexpr size_t kStep = 1024;

// Lets an answer grow until it is refused more. Returns what it holds.
size_t Grow(MemoryReservation& answer) {
  size_t held = 0;
  while (answer.Resize(held + kStep)) held += kStep;
  return held;
}

// Guards against answers without end that take the memory of the process together, though each keeps its own limit.
TEST_CASE("Answers hold no more than the budget together, whatever their number") {
  MemoryBudget budget{Bytes(kLimit)};
  std::vector<MemoryReservation> answers;
  for (int i = 0; i < 300; ++i) {
    answers.emplace_back(budget);
    Grow(answers.back());
    REQUIRE(budget.GetUsed().Get() <= kLimit);
  }

  SECTION("and give it back when they end") {
    answers.clear();
    CHECK(budget.GetUsed().Get() == 0);
  }
}

// Guards against few answers without end that leave no memory to all others.
TEST_CASE("An answer gets memory beside others that take what they can") {
  MemoryBudget budget{Bytes(kLimit)};
  const size_t count = GENERATE(1, 4, 30);
  std::vector<MemoryReservation> endless;
  for (size_t i = 0; i < count; ++i) endless.emplace_back(budget);
  // They grow side by side, as they do when their bytes arrive.
  std::vector<size_t> held(count, 0);
  for (bool has_grown = true; has_grown;) {
    has_grown = false;
    for (size_t i = 0; i < count; ++i) {
      if (!endless[i].Resize(held[i] + kStep)) continue;
      held[i] += kStep;
      has_grown = true;
    }
  }

  MemoryReservation sound(budget);
  CHECK(Grow(sound) + kStep >= kLimit / (2 * (count + 1)));
}

// Guards against memory that is given back twice or never, which makes the budget useless after some time.
TEST_CASE("A reservation holds what it was last given") {
  MemoryBudget budget{Bytes(kLimit)};
  MemoryReservation first(budget);
  REQUIRE(first.Resize(kLimit / 4));

  SECTION("also after a refusal") {
    CHECK_FALSE(first.Resize(kLimit));
    CHECK(budget.GetUsed().Get() == kLimit / 4);
  }
  SECTION("and may always shrink") {
    MemoryReservation second(budget);
    REQUIRE(second.Resize(kLimit / 4));
    first.ShrinkTo(kLimit / 8);
    first.ShrinkTo(kLimit / 2);
    CHECK(budget.GetUsed().Get() == kLimit / 4 + kLimit / 8);
  }
  SECTION("and takes it along when it is moved") {
    MemoryReservation moved(std::move(first));
    CHECK(budget.GetUsed().Get() == kLimit / 4);
    first = MemoryReservation(budget);
    moved = std::move(first);
    CHECK(budget.GetUsed().Get() == 0);
  }
}

}  // namespace
}  // namespace plantain
