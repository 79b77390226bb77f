#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "drain_control.h"

namespace plantain {
namespace {

using std::chrono::seconds;

const DrainTimes kTimes{Milliseconds(2600), Milliseconds(2200), seconds(7), Milliseconds(7600), Milliseconds(7800)};
const TimePoint kStart(seconds(100));

// Guards against an end of the process beside a request that was read after the last count.
TEST_CASE("A server that stops ends only without connections, counted after its listening socket was closed") {
  DrainControl control(kTimes);
  CHECK(control.Update(kStart, {0, 0}) == DrainPhase::kServing);
  control.Begin(kStart);

  SECTION("callers have time to notice, although nothing is in progress") {
    CHECK(control.Update(kStart, {0, 0}) == DrainPhase::kNotifying);
    CHECK(control.Update(kStart + Milliseconds(2300), {0, 0}) == DrainPhase::kClosingIdle);
  }
  SECTION("then a count of zero closes the socket, and only the next one ends the server") {
    CHECK(control.Update(kStart + kTimes.notice, {0, 0}) == DrainPhase::kNotListening);
    SECTION("if no request has arrived in between") {
      CHECK(control.Update(kStart + kTimes.notice, {0, 0}) == DrainPhase::kEnded);
    }
    SECTION("else after that request") {
      CHECK(control.Update(kStart + kTimes.notice, {1, 1}) == DrainPhase::kNotListening);
      CHECK(control.Update(kStart + kTimes.notice, {0, 1}) == DrainPhase::kNotListening);
      CHECK(control.Update(kStart + kTimes.notice, {0, 0}) == DrainPhase::kEnded);
    }
  }
  SECTION("a server that is never without a request stops listening and then gives requests up") {
    CHECK(control.Update(kStart + Milliseconds(6990), {3, 3}) == DrainPhase::kClosingIdle);
    CHECK(control.Update(kStart + seconds(7), {3, 3}) == DrainPhase::kNotListening);
    CHECK(control.Update(kStart + kTimes.give_up, {3, 3}) == DrainPhase::kGivingUp);
    CHECK(control.Update(kStart + Milliseconds(7700), {0, 2}) == DrainPhase::kGivingUp);
    CHECK(control.Update(kStart + kTimes.end, {0, 2}) == DrainPhase::kEnded);
  }
}

// Guards against requests that are cut without an answer by a process that was suspended past the end of its time.
TEST_CASE("A server that counts late stops listening and gives requests up before it ends") {
  DrainControl control(kTimes);
  control.Begin(kStart);
  const TimePoint late = kStart + kTimes.end + seconds(5);
  CHECK(control.Update(late, {2, 2}) == DrainPhase::kNotListening);
  SECTION("with requests left") {
    CHECK(control.Update(late, {2, 2}) == DrainPhase::kGivingUp);
    CHECK(control.Update(late, {0, 2}) == DrainPhase::kEnded);
  }
  SECTION("without any") { CHECK(control.Update(late, {0, 0}) == DrainPhase::kEnded); }
}

TEST_CASE(
    "Whatever is counted when, no phase is left for an earlier one, and none that listens is followed by the end") {
  rc::check([](const std::vector<std::tuple<uint16_t, uint8_t, uint8_t>>& counts) {
    DrainControl control(kTimes);
    control.Begin(kStart);
    TimePoint now = kStart;
    DrainPhase before = control.GetPhase();
    for (const auto& [passed_ms, requests, connections] : counts) {
      now += Milliseconds(passed_ms % 500);
      const DrainLoad load{requests % 3U, connections % 3U};
      const DrainPhase phase = control.Update(now, load);
      RC_ASSERT(phase >= before);
      const bool is_over = now - kStart >= kTimes.end;
      if (phase == DrainPhase::kEnded && before != DrainPhase::kEnded && !is_over) {
        RC_ASSERT(before >= DrainPhase::kNotListening);
        RC_ASSERT(load.requests == 0);
        RC_ASSERT(load.connections == 0);
      }
      before = phase;
    }
    return true;
  });
}

}  // namespace
}  // namespace plantain
