#include "engine_gate.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "engine_report.h"
#include "failure_type.h"
#include "manifest_func.h"

namespace plantain {
namespace {

const ModelName kModel("posudek");
const AdapterName kBase;
const AdapterName kAdapter("ramy");
const Digest kManifest = ComputeDigest("v1");
const Digest kAdapterManifest = ComputeDigest("adapter");

TEST_CASE("A gate admits requests only on confirmed weights") {
  EngineGate gate;
  CHECK_FALSE(gate.Enter(kModel, kBase).has_value());
  gate.OpenSlot({kModel, kBase}, kManifest);
  CHECK(gate.Enter(kModel, kBase) == kManifest);

  SECTION("an adapter needs its own weights and the base model's") {
    CHECK_FALSE(gate.Enter(kModel, kAdapter).has_value());
    gate.OpenSlot({kModel, kAdapter}, kAdapterManifest);
    CHECK(gate.Enter(kModel, kAdapter) == kAdapterManifest);
    CHECK(gate.GetInFlight({kModel, kBase}) == 2);
    gate.CloseSlot({kModel, kBase});
    CHECK_FALSE(gate.Enter(kModel, kAdapter).has_value());
  }
  SECTION("a closed slot reports an event when its last request has left") {
    int events = 0;
    gate.SetOnEvent([&] { ++events; });
    gate.CloseSlot({kModel, kBase});
    CHECK(events == 0);
    gate.Leave(kModel, kBase);
    CHECK(events == 1);
    CHECK(gate.GetInFlight({kModel, kBase}) == 0);
  }
  SECTION("a mismatch keeps the gate closed until it has been processed") {
    gate.ReportMismatch(kAdapterManifest);
    CHECK_FALSE(gate.Enter(kModel, kBase).has_value());
    gate.OpenSlot({kModel, kBase}, kManifest);
    CHECK_FALSE(gate.Enter(kModel, kBase).has_value());
    CHECK(gate.ConsumeMismatch());
    gate.OpenSlot({kModel, kBase}, kManifest);
    CHECK(gate.Enter(kModel, kBase) == kManifest);
  }
}

// Guards against a request that enters between closing a slot and checking that it is idle.
TEST_CASE("A gate counts requests from several threads") {
  EngineGate gate;
  gate.OpenSlot({kModel, kBase}, kManifest);
  std::atomic<bool> has_loaded = false;
  std::atomic<int> late_requests = 0;
  std::vector<std::thread> threads;
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&] {
      for (int i = 0; i < 20'000; ++i) {
        if (!gate.Enter(kModel, kBase).has_value()) continue;
        if (has_loaded) ++late_requests;
        gate.Leave(kModel, kBase);
      }
    });
  }
  gate.CloseSlot({kModel, kBase});
  while (gate.GetInFlight({kModel, kBase}) > 0) std::this_thread::yield();
  has_loaded = true;
  for (std::thread& thread : threads) thread.join();
  CHECK(late_requests == 0);
  CHECK(gate.GetInFlight({kModel, kBase}) == 0);
}

TEST_CASE("An engine's report is read from its JSON") {
  SECTION("a full report") {
    const std::string hex = FormatDigest(kManifest);
    const auto report = ParseEngineReport(
        R"({"incarnation":7,"state":"warm","orders":3,"fence":9,"loaded":[{"model":"posudek","adapter":"","manifest":")" +
        hex + R"("}],"staged":{"manifest":")" + hex + R"(","have":"0f"},"in_flight":1,"queued":2,"capacity":8})");
    REQUIRE(report.ok());
    CHECK(report->status.state == EngineState::kWarm);
    CHECK(report->status.fence == FencingToken(9));
    REQUIRE(report->status.loaded.size() == 1);
    CHECK(report->status.loaded[0].manifest == kManifest);
    CHECK(report->staged_manifest == kManifest);
    CHECK(UnpackBits(report->staged_bits, 5) == std::vector<bool>{true, true, true, true, false});
  }
  SECTION("anything else is a protocol failure") {
    for (const char* text : {"", "[]", "{}", R"({"incarnation":1,"state":"warm","loaded":3})",
                             R"({"incarnation":1,"state":"warm","loaded":[],"staged":{"have":"zz"}})"}) {
      CHECK(GetFailureCode(ParseEngineReport(text).status()) == FailureCode::kProtocol);
    }
  }
}

}  // namespace
}  // namespace plantain
