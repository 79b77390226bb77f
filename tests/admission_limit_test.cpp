#include "admission_limit.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

namespace plantain {
namespace {

constexpr Duration kGap = std::chrono::milliseconds(20);
constexpr uint32_t kColdLimit = 2;
constexpr uint32_t kMaxLimit = 16;

EngineStatus MakeReport(EngineState state, uint64_t incarnation = 1) {
  EngineStatus status;
  status.state = state;
  status.incarnation = Incarnation(incarnation);
  status.capacity = kMaxLimit;
  return status;
}

// Simulated engine under full load. Each step generates one token for every running request.
class EngineSimulation {
 public:
  EngineSimulation()
      : m_limit(m_clock, AdmissionLimitOptions{kColdLimit, kMaxLimit, false, std::chrono::seconds(60)}) {}

  // Starts as many requests as the limit allows. Returns the resulting number of requests in flight.
  size_t Fill() {
    while (m_limit.CanStart()) {
      const SlotId slot = m_limit.Start();
      m_limit.OnDispatched(slot);
      m_slots.insert(slot);
    }
    return m_slots.size();
  }

  // Advances the time by `gap`, generates a token for each running request, and finishes `finishing` of them.
  void Step(Duration gap, size_t finishing = 0) {
    Wait(gap);
    for (const SlotId slot : m_slots) m_limit.OnToken(slot);
    for (size_t i = 0; i < finishing && !m_slots.empty(); ++i) Finish(RequestEnd::kOk);
  }

  void Finish(RequestEnd end) {
    if (m_slots.empty()) return;
    m_limit.End(*m_slots.begin(), end);
    m_slots.erase(m_slots.begin());
  }

  void Wait(Duration time) {
    for (Duration passed{}; passed < time; passed += std::chrono::milliseconds(10)) {
      m_clock.Advance(std::min<Duration>(std::chrono::milliseconds(10), time - passed));
      m_limit.Tick();
    }
  }

  void WarmUp() {
    m_limit.OnEngineReport(MakeReport(EngineState::kWarm));
    for (int i = 0; i < 60; ++i) {
      Fill();
      Step(kGap, 1);
    }
  }

  AdmissionLimit& GetLimit() { return m_limit; }
  size_t GetInFlight() const { return m_slots.size(); }

 private:
  VirtualClock m_clock;
  AdmissionLimit m_limit;
  std::set<SlotId> m_slots;
};

// Guards against overload of an endpoint during its cold start.
TEST_CASE("The concurrency limit follows the warm or cold state of the endpoint") {
  EngineSimulation engine;
  AdmissionLimit& limit = engine.GetLimit();

  SECTION("after the start only the cold limit is admitted") {
    CHECK(limit.IsCold());
    CHECK(engine.Fill() == kColdLimit);

    SECTION("the cold limit applies while the engine reports cold, even with fast tokens") {
      limit.OnEngineReport(MakeReport(EngineState::kCold));
      for (int i = 0; i < 100; ++i) {
        engine.Step(kGap, 1);
        CHECK(engine.Fill() == kColdLimit);
      }
    }
  }

  SECTION("with normal latency the limit rises to the capacity within one second") {
    engine.WarmUp();
    CHECK_FALSE(limit.IsCold());
    CHECK(limit.GetLimit() == kMaxLimit);
    CHECK(engine.Fill() == kMaxLimit);

    SECTION("a cold report resets the limit at once; running requests continue, no new ones are admitted") {
      limit.OnEngineReport(MakeReport(EngineState::kCold));
      CHECK(limit.GetLimit() == kColdLimit);
      CHECK_FALSE(limit.CanStart());
      CHECK(engine.GetInFlight() == kMaxLimit);
    }

    SECTION("a new incarnation resets the limit, even if it reports warm") {
      limit.OnEngineReport(MakeReport(EngineState::kWarm, 2));
      CHECK(limit.GetLimit() == kColdLimit);
    }

    SECTION("a failed request resets the limit") {
      engine.Finish(RequestEnd::kFailed);
      CHECK(limit.GetLimit() == kColdLimit);
    }

    SECTION("an overdue token resets the limit before it arrives") {
      engine.Wait(5 * kGap);
      CHECK(limit.IsCold());
    }

    SECTION("two steps at half the normal token rate reset the limit") {
      engine.Step(2 * kGap);
      engine.Step(2 * kGap);
      CHECK(limit.IsCold());

      SECTION("tokens at the normal rate restore the limit within one second") {
        for (size_t i = 0; i < kMaxLimit; ++i) engine.Finish(RequestEnd::kOk);
        for (int i = 0; i < 50; ++i) {
          engine.Fill();
          engine.Step(kGap, 1);
        }
        CHECK_FALSE(limit.IsCold());
        CHECK(limit.GetLimit() == kMaxLimit);
      }
    }

    SECTION("one step delayed by the machine does not make the endpoint cold") {
      engine.Step(2 * kGap);
      engine.Step(kGap);
      CHECK_FALSE(limit.IsCold());
    }

    SECTION("short gaps after delayed tokens do not lower the baseline so that normal latency looks slow") {
      for (int i = 0; i < 500; ++i) {
        engine.Step(kGap * 9 / 5);
        engine.Step(kGap / 5);
      }
      for (int i = 0; i < 5; ++i) engine.Step(kGap);
      CHECK_FALSE(limit.IsCold());
    }

    SECTION("no request is admitted above the cold limit while the next token is overdue") {
      engine.Finish(RequestEnd::kOk);
      CHECK(limit.CanStart());
      engine.Wait(2 * kGap);
      CHECK_FALSE(limit.CanStart());
    }

    SECTION("after an idle period no request is admitted above the cold limit until a token arrives") {
      while (engine.GetInFlight() > 0) engine.Finish(RequestEnd::kOk);
      engine.Wait(std::chrono::seconds(2));
      CHECK(engine.Fill() == kColdLimit);
      engine.Step(kGap);
      CHECK(engine.Fill() == kMaxLimit);
    }

    SECTION("a permanent change of the engine's normal latency is learned in bounded time") {
      for (int i = 0; i < 800; ++i) {
        engine.Step(5 * kGap, 1);
        engine.Fill();
      }
      CHECK_FALSE(limit.IsCold());
    }
  }
}

// Guards against sequences of reports, tokens, request ends and pauses after which requests are admitted above the cold
// limit although the endpoint may be cold.
TEST_CASE("No request is admitted above the cold limit while the endpoint is cold") {
  CHECK(rc::check("requests in flight never grow above the cold limit while cold", [] {
    EngineSimulation engine;
    AdmissionLimit& limit = engine.GetLimit();
    bool is_reported_cold = true;
    const auto codes = *rc::gen::container<std::vector<uint32_t>>(300, rc::gen::arbitrary<uint32_t>());
    for (const uint32_t code : codes) {
      const uint32_t arg = code / 16;
      switch (code % 16) {
        case 0:
          limit.OnEngineReport(MakeReport(EngineState::kCold));
          is_reported_cold = true;
          break;
        case 1:
          limit.OnEngineReport(MakeReport(EngineState::kUnreachable));
          is_reported_cold = true;
          break;
        case 2:
        case 3:
          limit.OnEngineReport(MakeReport(EngineState::kWarm, 1 + arg % 16 / 15));
          is_reported_cold = false;
          break;
        case 4:
          engine.Finish(RequestEnd::kFailed);
          RC_ASSERT(limit.GetLimit() == kColdLimit || engine.GetInFlight() == 0);
          break;
        case 5:
          engine.Step((1 + arg % 6) * kGap, arg % 3);
          break;
        case 6:
          engine.Wait(Milliseconds(arg % 3000));
          break;
        default:
          engine.Step(kGap, arg % 3);
          break;
      }
      const size_t before = engine.GetInFlight();
      const bool is_cold = is_reported_cold || limit.IsCold();
      const size_t after = engine.Fill();
      RC_ASSERT(after <= std::max<size_t>(before, is_cold ? kColdLimit : limit.GetLimit()));
      RC_ASSERT(limit.GetLimit() >= kColdLimit);
      RC_ASSERT(limit.GetLimit() <= kMaxLimit);
    }
  }));
}

}  // namespace
}  // namespace plantain
