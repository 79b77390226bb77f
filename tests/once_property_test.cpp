#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "once_sim.h"

namespace plantain {
namespace {

constexpr size_t kSteps = 600;

std::vector<uint32_t> GenerateSteps() {
  return *rc::gen::container<std::vector<uint32_t>>(kSteps, rc::gen::arbitrary<uint32_t>());
}

// Guards against a second run of an at-most-once call when appends, reads or responses are lost, late or duplicated.
TEST_CASE("A key runs at most once under reordering, loss, duplication, delay and restarts") {
  CHECK(rc::check("at most one run for each key", [] {
    OnceSim sim(3);
    for (const uint32_t code : GenerateSteps()) {
      sim.Step(code);
      for (const auto& [key, count] : sim.run_counts) RC_ASSERT(count <= 1);
    }
    sim.RunUntilIdle();
    for (const auto& [key, count] : sim.run_counts) RC_ASSERT(count <= 1);
  }));
}

// Guards against a caller that retries a call because it was wrongly told that the call did not run.
TEST_CASE("A call that ran is never reported as not run") {
  CHECK(rc::check("a key whose every answer was not-run has no run", [] {
    // With many keys most are requested only once, so that a wrong answer is not hidden by another answer.
    OnceSim sim(400);
    for (const uint32_t code : GenerateSteps()) sim.Step(code);
    sim.RunUntilIdle();
    for (const auto& [key, requested] : sim.requested) {
      const bool is_always_not_run = sim.not_run[key] == requested;
      RC_ASSERT(!is_always_not_run || sim.run_counts[key] == 0);
    }
  }));
}

// Guards against callers that are never answered or answered twice.
TEST_CASE("Every call with a key is answered once, unless its agent restarted") {
  CHECK(rc::check("one answer for each call", [] {
    OnceSim sim(6);
    bool is_restarted = false;
    for (const uint32_t code : GenerateSteps()) {
      sim.Step(code);
      is_restarted = is_restarted || OnceSim::IsRestart(code);
    }
    sim.RunUntilIdle();
    for (const auto& [key, requested] : sim.requested) {
      RC_ASSERT(sim.answer_counts[key] <= requested);
      RC_ASSERT(is_restarted || sim.answer_counts[key] == requested);
      for (const std::string& body : sim.bodies[key]) RC_ASSERT(body == "outcome of " + key);
    }
  }));
}

}  // namespace
}  // namespace plantain
