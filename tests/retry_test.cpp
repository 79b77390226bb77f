#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "join_table.h"
#include "retry_budget.h"
#include "retry_policy.h"

namespace plantain {
namespace {

RetryQuery MakeQuery(const Clock& clock, AttemptOutcome outcome, bool is_idempotent) {
  RetryQuery query;
  query.outcome = outcome;
  query.is_idempotent = is_idempotent;
  query.deadline = clock.GetNow() + std::chrono::seconds(10);
  return query;
}

// Guards against retries that amplify an overload.
TEST_CASE("Retries are limited to a share of first attempts") {
  CHECK(rc::check("after any sequence, retries <= share * first attempts + reserve", [] {
    const double share = *rc::gen::inRange(0, 100) / 100.0;
    const double reserve = *rc::gen::inRange(0, 50);
    const auto steps = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
    RetryBudget budget(share, reserve);
    int first = 0;
    int retries = 0;
    for (const bool is_first : steps) {
      if (is_first) {
        ++first;
        budget.OnFirstAttempt();
      } else if (budget.TryConsume()) {
        ++retries;
      }
      RC_ASSERT(retries <= share * first + reserve + 1e-9);
    }
  }));
}

// Guards against repeated execution of calls that are not idempotent, and against retries that cannot succeed.
TEST_CASE("The retry decision depends on whether the attempt ran") {
  VirtualClock clock;
  SeededRandom random(20261204);
  RetryBudget budget(0.1, 10);
  RetryPolicy policy(clock, random, budget, {});

  SECTION("an attempt that did not run is retried, even if the request is not idempotent") {
    CHECK(policy.Decide(MakeQuery(clock, AttemptOutcome::kNotRun, false)).is_retry);
    CHECK(policy.Decide(MakeQuery(clock, AttemptOutcome::kNotRun, true)).is_retry);
    CHECK(budget.GetBalance() == Approx(8));
  }

  SECTION("an attempt that may have run is retried only if the request is idempotent") {
    CHECK(policy.Decide(MakeQuery(clock, AttemptOutcome::kMayHaveRun, true)).is_retry);
    CHECK_FALSE(policy.Decide(MakeQuery(clock, AttemptOutcome::kMayHaveRun, false)).is_retry);
  }

  SECTION("an attempt that was never sent is retried at once without use of the budget") {
    const RetryDecision decision = policy.Decide(MakeQuery(clock, AttemptOutcome::kNotSent, false));
    CHECK(decision.is_retry);
    CHECK(decision.delay == Duration{});
    CHECK(budget.GetBalance() == Approx(10));
  }

  SECTION("no retry after the maximum of attempts, close to the deadline or with an exhausted budget") {
    RetryQuery query = MakeQuery(clock, AttemptOutcome::kNotRun, true);
    query.attempts = 3;
    CHECK_FALSE(policy.Decide(query).is_retry);
    query.attempts = 1;
    query.expected = std::chrono::seconds(11);
    CHECK_FALSE(policy.Decide(query).is_retry);
    CHECK(budget.GetBalance() == Approx(10));
    while (budget.TryConsume()) {
    }
    CHECK_FALSE(policy.Decide(MakeQuery(clock, AttemptOutcome::kNotRun, true)).is_retry);
  }

  SECTION("Retry-After has jitter of up to half and is bounded") {
    for (int i = 0; i < 100; ++i) {
      const Milliseconds hint = policy.MakeRetryAfter(Milliseconds(400));
      CHECK(hint >= Milliseconds(400));
      CHECK(hint <= Milliseconds(600));
    }
    CHECK(policy.MakeRetryAfter({}) >= Milliseconds(50));
    CHECK(policy.MakeRetryAfter(std::chrono::hours(1)) <= Milliseconds(45'000));
  }
}

EntryRequest MakeRequest(const std::string& workspace, const std::string& id, uint64_t fingerprint) {
  EntryRequest request;
  request.workspace = WorkspaceName(workspace);
  request.id = RequestId(id);
  request.fingerprint = fingerprint;
  return request;
}

// Guards against a caller that gets the response to another request, and against unbounded memory use under load.
TEST_CASE("A join table finds responses by workspace, id and content within limits of time and memory") {
  VirtualClock clock;
  JoinOptions options;
  options.max_bytes = 10'000;
  JoinTable table(clock, options);
  const auto answer = std::make_shared<SharedAnswer>();
  const EntryRequest request = MakeRequest("looms", "r1", 7);
  table.Add(request, answer);

  SECTION("a running request is found only by the same workspace, id and content") {
    CHECK(table.Find(request) == answer);
    CHECK(table.Find(MakeRequest("other", "r1", 7)) == nullptr);
    CHECK(table.Find(MakeRequest("looms", "r2", 7)) == nullptr);
    CHECK(table.Find(MakeRequest("looms", "r1", 8)) == nullptr);
  }

  SECTION("a failed request is removed at once") {
    answer->PublishFailed({});
    table.OnFinished(request, *answer);
    CHECK(table.Find(request) == nullptr);
    CHECK(table.GetSize() == 0);
  }

  SECTION("a complete response is kept for the retention period") {
    answer->PublishComplete(200, "body");
    table.OnFinished(request, *answer);
    clock.Advance(options.retention - Milliseconds(1));
    CHECK(table.Find(request) == answer);
    clock.Advance(Milliseconds(1));
    CHECK(table.Find(request) == nullptr);
    CHECK(table.GetBytes() == 0);
  }

  SECTION("the end of an older request does not remove a newer one with the same id") {
    const auto newer = std::make_shared<SharedAnswer>();
    table.Add(request, newer);
    answer->PublishFailed({});
    table.OnFinished(request, *answer);
    CHECK(table.Find(request) == newer);
  }

  SECTION("memory use stays below the limit, and the oldest responses are evicted first") {
    for (int i = 0; i < 100; ++i) {
      const EntryRequest next = MakeRequest("looms", "n" + std::to_string(i), 1);
      const auto large = std::make_shared<SharedAnswer>();
      table.Add(next, large);
      large->PublishComplete(200, std::string(1000, 'x'));
      table.OnFinished(next, *large);
      CHECK(table.GetBytes() <= options.max_bytes);
    }
    CHECK(table.Find(MakeRequest("looms", "n0", 1)) == nullptr);
    CHECK(table.Find(MakeRequest("looms", "n99", 1)) != nullptr);
  }
}

}  // namespace
}  // namespace plantain
