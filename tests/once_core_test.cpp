#include "once_core.h"

#include <catch2/catch.hpp>

#include "once_sim.h"

namespace plantain {
namespace {

const char kKey[] = "key-0";

// Guards against calls that run without a claim, run twice, or are reported wrongly.
TEST_CASE("Agents run a call with a key at most once") {
  OnceSim sim(4);

  SECTION("an agent that gets a call claims its key and waits for the log") {
    sim.Submit(0, 0, std::chrono::seconds(30));
    sim.TickAll(Milliseconds(20));
    REQUIRE(sim.GetAppendsInFlight() == 1);
    CHECK(sim.GetRunsInFlight() == 0);

    SECTION("the append alone does not start the call") {
      sim.FinishAppend(0, AppendResult::kOk);
      CHECK(sim.GetRunsInFlight() == 0);

      SECTION("reading its own claim as the first one starts the call") {
        sim.DeliverFreshRead(0);
        REQUIRE(sim.GetRunsInFlight() == 1);

        SECTION("the service's answer reaches the caller and later repeats, also at another agent") {
          sim.FinishRun(0, CallResult::kResponded);
          CHECK(sim.bodies[kKey].size() == 1);
          sim.TickAll(Milliseconds(20));
          sim.FinishAppend(0, AppendResult::kOk);
          sim.DeliverFreshRead(1);
          sim.Submit(1, 0, std::chrono::seconds(30));
          CHECK(sim.bodies[kKey].size() == 2);
          CHECK(sim.run_counts[kKey] == 1);
        }

        SECTION("another agent that has read the claim waits for the outcome and then reports it as unknown") {
          sim.DeliverFreshRead(1);
          sim.Submit(1, 0, std::chrono::seconds(30));
          CHECK(sim.answer_counts[kKey] == 0);
          for (int i = 0; i < 8; ++i) {
            sim.DeliverFreshRead(1);
            sim.TickAll(Milliseconds(500));
          }
          CHECK(sim.answer_counts[kKey] == 1);
          CHECK(sim.not_run[kKey] == 0);
        }

        SECTION("after a restart the agent neither runs its old claim nor claims again") {
          sim.Restart(0);
          sim.DeliverFreshRead(0);
          sim.Submit(0, 0, std::chrono::seconds(30));
          CHECK(sim.GetRunsInFlight() == 1);
          CHECK(sim.answer_counts[kKey] == 1);
          CHECK(sim.not_run[kKey] == 0);
        }
      }
    }

    SECTION("an append whose response is lost is retried, and the duplicate claim counts once") {
      sim.FinishAppend(0, AppendResult::kResponseLost);
      sim.TickAll(Milliseconds(500));
      REQUIRE(sim.GetAppendsInFlight() == 1);
      sim.FinishAppend(0, AppendResult::kOk);
      sim.DeliverFreshRead(0);
      CHECK(sim.GetRunsInFlight() == 1);
    }

    SECTION("a call whose append is refused by the log is reported as not run") {
      sim.FinishAppend(0, AppendResult::kRefused);
      CHECK(sim.not_run[kKey] == 1);
      sim.RunUntilIdle();
      CHECK(sim.run_counts[kKey] == 0);
    }

    SECTION("records that expired before they were read make the outcome unknown") {
      sim.FinishAppend(0, AppendResult::kOk);
      sim.ExpireBefore(1);
      sim.DeliverFreshRead(0);
      CHECK(sim.answer_counts[kKey] == 1);
      CHECK(sim.not_run[kKey] == 0);
      CHECK(sim.GetRunsInFlight() == 0);
    }

    SECTION("a claim that is read long after it was made is not run any more") {
      sim.FinishAppend(0, AppendResult::kOk);
      sim.GetClock().Advance(std::chrono::minutes(2));
      sim.DeliverFreshRead(0);
      CHECK(sim.GetRunsInFlight() == 0);
    }
  }

  SECTION("two agents that claim the same key run it once, at the first in log order") {
    sim.Submit(0, 0, std::chrono::seconds(30));
    sim.Submit(1, 0, std::chrono::seconds(30));
    sim.RunUntilIdle();
    CHECK(sim.run_counts[kKey] == 1);
    CHECK(sim.bodies[kKey].size() == 2);
  }

  SECTION("two calls with one key at one agent share one claim") {
    sim.Submit(0, 0, std::chrono::seconds(30));
    sim.Submit(0, 0, std::chrono::seconds(30));
    CHECK(sim.GetCore(0).GetCounters().claims == 1);
    sim.RunUntilIdle();
    CHECK(sim.run_counts[kKey] == 1);
    CHECK(sim.bodies[kKey].size() == 2);
  }

  SECTION("an unreachable service is retried under the same claim") {
    sim.Submit(0, 0, std::chrono::seconds(30));
    sim.TickAll(Milliseconds(20));
    sim.FinishAppend(0, AppendResult::kOk);
    sim.DeliverFreshRead(0);
    sim.FinishRun(0, CallResult::kUnreachable);
    CHECK(sim.run_counts[kKey] == 0);
    sim.RunUntilIdle();
    CHECK(sim.run_counts[kKey] == 1);
    CHECK(sim.bodies[kKey].size() == 1);
  }

  SECTION("new calls are refused as not run while reads of the log fail") {
    sim.GetClock().Advance(std::chrono::seconds(5));
    sim.Submit(0, 0, std::chrono::seconds(30));
    CHECK(sim.not_run[kKey] == 1);
  }

  SECTION("an agent that has not read the log yet refuses calls") {
    sim.Restart(2);
    sim.Submit(2, 0, std::chrono::seconds(30));
    CHECK(sim.not_run[kKey] == 1);
  }
}

// Guards against two callers with the same key but different requests that receive each other's answer.
TEST_CASE("A key that is reused for a different request is refused") {
  OnceSim sim(1);
  OnceCall call;
  call.key = OnceKey(kKey);
  call.caller_key = kKey;
  call.fingerprint = Digest("other request");
  call.deadline = sim.GetClock().GetNow() + std::chrono::seconds(30);
  std::optional<OnceAnswer> answer;
  const auto on_answer = [&answer](const OnceAnswer& a) { answer = a; };
  sim.Submit(0, 0, std::chrono::seconds(30));

  SECTION("while the first is in progress") {
    sim.GetCore(0).Submit(call, on_answer);
    REQUIRE(answer.has_value());
    CHECK(answer->refusal.reason == proto::REFUSAL_REASON_BAD_REQUEST);
  }

  SECTION("after the first has ended, also at another agent") {
    sim.RunUntilIdle();
    sim.GetCore(1).Submit(call, on_answer);
    REQUIRE(answer.has_value());
    CHECK(answer->refusal.reason == proto::REFUSAL_REASON_BAD_REQUEST);
    CHECK(answer->refusal.not_run);
  }

  SECTION("when both claim at the same time at different agents") {
    sim.GetCore(1).Submit(call, on_answer);
    sim.RunUntilIdle();
    CHECK(sim.run_counts[kKey] == 1);
  }
}

}  // namespace
}  // namespace plantain
