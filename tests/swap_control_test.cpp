#include "swap_control.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "chunk_store.h"
#include "failure_type.h"
#include "manifest_func.h"

namespace plantain {
namespace {

constexpr Duration kSettle = Milliseconds(200);
constexpr size_t kVersionCount = 4;
constexpr size_t kChunkCount = 5;

const WeightSlot kSlot{ModelName("posudek"), AdapterName()};

// Versions share the chunks with even indices, so that the staging area of one version is partly valid for another.
std::string MakeChunk(size_t version, size_t index) {
  return "chunk " + std::to_string(index) + " of " + std::to_string(index % 2 == 0 ? 0 : version);
}

std::shared_ptr<const Manifest> MakeVersion(size_t version) {
  std::vector<std::string> chunks;
  for (size_t i = 0; i < kChunkCount; ++i) chunks.push_back(MakeChunk(version, i));
  const std::string content = MakeManifest(kSlot.model, kSlot.adapter, VersionName(std::to_string(version)), chunks);
  return *ParseManifest(ComputeDigest(content), content);
}

OrderResult MakeUnknown(std::string_view detail) {
  return {OrderOutcome::kUnknown, MakeFailure(FailureCode::kTimeout, detail)};
}

// Fake engine. Tests control separately when it receives an order or status request and when the response arrives.
class FakeEngine {
 public:
  explicit FakeEngine(bool fences) : m_fences(fences) {}

  void Stage(const Digest& manifest, size_t index) {
    if (m_staged_manifest != manifest) m_staged.assign(kChunkCount, false);
    m_staged_manifest = manifest;
    m_staged[index] = true;
  }

  // Executes a load or unload order and returns the engine's response.
  OrderResult Execute(const EngineOrder& order) {
    if (m_fences && order.fence <= m_fence) {
      return {OrderOutcome::kRefused, MakeFailure(FailureCode::kEngineFenced, "old token")};
    }
    m_fence = std::max(m_fence, order.fence);
    ++m_orders;
    if (order.kind == EngineOrderKind::kUnload) {
      m_loaded.reset();
      return {OrderOutcome::kDone, absl::OkStatus()};
    }
    if (m_staged_manifest != order.manifest || m_staged != std::vector<bool>(kChunkCount, true)) {
      return {OrderOutcome::kRefused, MakeFailure(FailureCode::kEngineRefused, "not staged")};
    }
    m_loaded = order.manifest;
    return {OrderOutcome::kDone, absl::OkStatus()};
  }

  void Restart() {
    m_incarnation = m_incarnation.Next();
    m_orders = 0;
    m_fence = FencingToken();
    m_loaded.reset();
    m_staged_manifest = Digest();
    m_staged.assign(kChunkCount, false);
  }

  EngineReport Read(uint64_t sequence) const {
    EngineReport report;
    report.sequence = sequence;
    report.status.state = m_loaded.has_value() ? EngineState::kWarm : EngineState::kEmpty;
    report.status.incarnation = m_incarnation;
    report.status.orders = m_orders;
    report.status.fence = m_fence;
    if (m_loaded.has_value()) report.status.loaded.push_back({kSlot.model, kSlot.adapter, *m_loaded});
    report.staged_manifest = m_staged_manifest;
    report.staged_bits = PackBits(m_staged);
    return report;
  }

  const std::optional<Digest>& GetLoaded() const { return m_loaded; }

 private:
  const bool m_fences;
  Incarnation m_incarnation{1};
  uint64_t m_orders = 0;
  FencingToken m_fence;
  std::optional<Digest> m_loaded;
  Digest m_staged_manifest;
  std::vector<bool> m_staged = std::vector<bool>(kChunkCount, false);
};

// Simulates one VM: the engine, the agent and the messages in transit between them.
class SimulatedVm : public SwapHost {
 public:
  explicit SimulatedVm(bool fences, Duration notice = Duration()) : m_notice(notice), m_engine(fences) {
    for (size_t i = 0; i < kVersionCount; ++i) m_versions.push_back(MakeVersion(i));
    StartAgent();
  }

  void SendOrder(const EngineOrder& order) override {
    m_orders_in_transit.push_back({order, m_agent_generation, m_clock.GetNow()});
  }
  uint64_t RefreshStatus() override {
    if (m_read_in_progress.has_value()) {
      m_is_reread_pending = true;
      return m_sequence + 1;
    }
    BeginRead();
    return m_sequence;
  }
  bool MaySwap(const RequiredWeights&) override { return m_may_swap; }
  size_t GetChunkCount(const Digest&) const override { return kChunkCount; }

  void StartAgent() {
    ++m_agent_generation;
    m_gate = std::make_unique<EngineGate>();
    m_store = std::make_unique<ChunkStore>(Bytes(1024));
    SwapOptions options;
    options.settle = kSettle;
    options.retry = Milliseconds(10);
    options.notice = m_notice;
    options.incarnation = Incarnation(1000 * m_agent_generation);
    m_sequence = 0;
    m_read_in_progress.reset();
    m_is_reread_pending = false;
    m_swap = std::make_unique<SwapControl>(m_clock, options, *m_gate, *this);
    m_admitted = 0;
    Require(m_required);
  }

  void Require(size_t version) {
    m_required = version;
    std::set<Digest> listed;
    for (const auto& manifest : m_versions) listed.insert(manifest->digest);
    m_swap->SetRequired({{kSlot, m_versions[version]->digest}}, {{kSlot, listed}});
    Step();
  }

  // Receives a chunk of the target from a peer and stages it in the engine, unless it is corrupt and thus rejected.
  void ReceiveChunk(size_t index, bool is_corrupt) {
    const auto target = m_swap->GetStageTarget();
    if (!target.has_value()) return;
    const auto version = std::find_if(m_versions.begin(), m_versions.end(),
                                      [&](const auto& m) { return m->digest == target->manifest; });
    std::string content = MakeChunk(static_cast<size_t>(version - m_versions.begin()), index);
    if (is_corrupt) content[0] ^= 1;
    std::vector<Digest> dropped;
    const Digest expected = (*version)->chunks[index].digest;
    if (!m_store->Put(expected, content, dropped).ok()) return;
    m_engine.Stage(target->manifest, index);
  }

  void RestartEngine() {
    m_engine.Restart();
    m_changed_at = m_clock.GetNow();
  }

  void BeginRead() {
    if (m_read_in_progress.has_value()) return;
    m_read_in_progress = m_engine.Read(++m_sequence);
    m_read_at = m_clock.GetNow();
  }

  void FinishRead(bool is_lost) {
    if (!m_read_in_progress.has_value()) return;
    EngineReport report = *std::exchange(m_read_in_progress, std::nullopt);
    if (is_lost) report.status = EngineStatus();
    if (!is_lost) m_last_read_at = m_read_at;
    m_swap->OnReport(report);
    Step();
    if (std::exchange(m_is_reread_pending, false)) BeginRead();
  }

  // Delivers the oldest order in transit to the engine. Its response arrives or is lost.
  void DeliverOrder(bool is_answer_lost) {
    if (m_orders_in_transit.empty()) return;
    const SentOrder sent = m_orders_in_transit.front();
    m_orders_in_transit.pop_front();
    const OrderResult answer = m_engine.Execute(sent.order);
    if (sent.agent_generation != m_agent_generation) return;
    m_swap->OnOrderDone(sent.order, is_answer_lost ? MakeUnknown("lost") : answer);
    Step();
  }

  // Times out the orders in transit at the agent. They can still reach the engine within the settle time.
  void TimeOutOrder() {
    for (const SentOrder& sent : m_orders_in_transit) {
      if (sent.agent_generation != m_agent_generation) continue;
      m_swap->OnOrderDone(sent.order, MakeUnknown("no answer"));
    }
    m_abandoned_at = m_clock.GetNow();
    m_has_abandoned = !m_orders_in_transit.empty();
    Step();
  }

  void Advance(Duration step) {
    // Design assumption: an abandoned order takes effect within the settle time or never.
    if (m_has_abandoned && m_clock.GetNow() + step >= m_abandoned_at + kSettle) {
      m_orders_in_transit.clear();
      m_has_abandoned = false;
    }
    m_clock.Advance(step);
    Step();
  }

  // Restarts the agent. Orders of the previous agent that are still in transit are dropped.
  void RestartAgent() {
    StartAgent();
    m_orders_in_transit.clear();
  }

  void Enter() {
    const auto manifest = m_gate->Enter(kSlot.model, kSlot.adapter);
    if (manifest.has_value()) ++m_admitted;
  }
  void Leave() {
    if (m_admitted == 0) return;
    --m_admitted;
    m_gate->Leave(kSlot.model, kSlot.adapter);
    Step();
  }

  void SetMaySwap(bool may_swap) { m_may_swap = may_swap; }

  void ReportMismatch() {
    m_gate->ReportMismatch(m_versions[0]->digest);
    if (m_gate->ConsumeMismatch()) m_swap->OnMismatch();
  }

  void Step() { m_swap->Step(); }

  // Invariant after every event: an admitted request runs on exactly the weights that the gate returns, unless the
  // engine restarted after the last report was read.
  bool IsInvariantHeld() {
    const auto manifest = m_gate->Enter(kSlot.model, kSlot.adapter);
    if (!manifest.has_value()) return true;
    m_gate->Leave(kSlot.model, kSlot.adapter);
    if (m_engine.GetLoaded() == manifest) return true;
    return m_changed_at >= m_last_read_at;
  }

  bool IsServingRequired() const {
    return m_gate->IsOpen(kSlot) && m_engine.GetLoaded() == m_versions[m_required]->digest;
  }
  bool IsClosing() const { return m_swap->IsClosing(kSlot); }
  uint32_t GetAdmittedCount() const { return m_admitted; }
  EngineGate& GetGate() { return *m_gate; }
  FakeEngine& GetEngine() { return m_engine; }
  size_t GetOrdersInTransit() const { return m_orders_in_transit.size(); }

 private:
  struct SentOrder {
    EngineOrder order;
    uint64_t agent_generation;
    TimePoint sent_at;
  };

  VirtualClock m_clock;
  const Duration m_notice;
  FakeEngine m_engine;
  std::vector<std::shared_ptr<const Manifest>> m_versions;
  std::unique_ptr<EngineGate> m_gate;
  std::unique_ptr<ChunkStore> m_store;
  std::unique_ptr<SwapControl> m_swap;
  uint64_t m_agent_generation = 0;
  size_t m_required = 0;
  uint64_t m_sequence = 0;
  std::optional<EngineReport> m_read_in_progress;
  bool m_is_reread_pending = false;
  std::deque<SentOrder> m_orders_in_transit;
  TimePoint m_read_at;
  TimePoint m_last_read_at;
  TimePoint m_changed_at;
  TimePoint m_abandoned_at;
  bool m_has_abandoned = false;
  bool m_may_swap = true;
  uint32_t m_admitted = 0;
};

void ApplyEvent(SimulatedVm& vm, uint8_t code) {
  const size_t argument = code / 16;
  switch (code % 16) {
    case 0:
      vm.Require(argument % kVersionCount);
      break;
    case 1:
    case 2:
    case 3:
    case 4:
      vm.ReceiveChunk(argument % kChunkCount, false);
      break;
    case 5:
      vm.ReceiveChunk(argument % kChunkCount, true);
      break;
    case 6:
      if (argument % 4 == 0) vm.RestartEngine();
      break;
    case 7:
      if (argument % 4 == 0) vm.RestartAgent();
      break;
    case 8:
      vm.BeginRead();
      break;
    case 9:
      vm.FinishRead(argument == 0);
      break;
    case 10:
      vm.DeliverOrder(argument % 3 == 0);
      break;
    case 11:
      if (argument % 3 == 0) vm.TimeOutOrder();
      break;
    case 12:
      vm.Enter();
      break;
    case 13:
      vm.Leave();
      break;
    case 14:
      vm.Advance(Milliseconds(1 + argument * 7));
      break;
    default:
      if (argument % 5 == 0) {
        vm.ReportMismatch();
      } else {
        vm.SetMaySwap(argument % 2 == 0);
      }
      break;
  }
}

// Delivers all messages successfully until the required weights are served.
void RunUntilServing(SimulatedVm& vm) {
  vm.SetMaySwap(true);
  while (vm.GetAdmittedCount() > 0) vm.Leave();
  for (int round = 0; round < 200 && !vm.IsServingRequired(); ++round) {
    vm.DeliverOrder(false);
    for (size_t i = 0; i < kChunkCount; ++i) vm.ReceiveChunk(i, false);
    vm.Advance(Milliseconds(20));
    vm.BeginRead();
    vm.FinishRead(false);
  }
}

// Guards against requests being served from partial, mixed or unconfirmed weights under any sequence of events,
// including lost messages and restarts.
TEST_CASE("No sequence of events opens the gate on incomplete or unconfirmed weights") {
  const auto run = [](bool fences) {
    const auto codes = *rc::gen::resize(600, rc::gen::arbitrary<std::vector<uint8_t>>());
    const Duration notice = *rc::gen::element<Duration>(Milliseconds(0), Milliseconds(15));
    SimulatedVm vm(fences, notice);
    for (const uint8_t code : codes) {
      ApplyEvent(vm, code);
      RC_ASSERT(vm.IsInvariantHeld());
    }
    // Guards against a gate that keeps the invariant by never opening.
    RunUntilServing(vm);
    RC_ASSERT(vm.IsServingRequired());
  };
  SECTION("with an engine that checks fencing tokens") {
    CHECK(rc::check([&] { run(true); }));
  }
  SECTION("with an engine that ignores fencing tokens") {
    CHECK(rc::check([&] { run(false); }));
  }
}

// Guards against entries that keep selecting a VM whose gate has just closed, which refuses their requests.
TEST_CASE("A swap is announced before the gate closes") {
  constexpr Duration kNotice = Milliseconds(50);
  SimulatedVm vm(true, kNotice);
  RunUntilServing(vm);
  REQUIRE(vm.IsServingRequired());
  vm.Require(1);
  for (size_t i = 0; i < kChunkCount; ++i) vm.ReceiveChunk(i, false);
  vm.BeginRead();
  vm.FinishRead(false);

  SECTION("given a staged version, the slot is announced to close but still admits requests") {
    CHECK(vm.IsClosing());
    CHECK(vm.GetGate().IsOpen(kSlot));

    SECTION("and closes after the notice") {
      vm.Advance(kNotice);
      CHECK_FALSE(vm.GetGate().IsOpen(kSlot));
      CHECK(vm.GetOrdersInTransit() == 1);
    }

    SECTION("and is advertised again if a newer version that is not staged is required before that") {
      vm.Require(2);
      CHECK_FALSE(vm.IsClosing());
      vm.Advance(kNotice);
      CHECK(vm.GetGate().IsOpen(kSlot));
    }
  }
}

// Guards against a swap that interrupts requests in progress or opens the gate before the engine has confirmed the
// weights.
TEST_CASE("A weight swap closes the gate, drains, loads, confirms and reopens") {
  SimulatedVm vm(true);
  RunUntilServing(vm);
  REQUIRE(vm.IsServingRequired());

  SECTION("given a request in progress and a new version that is staged") {
    vm.Enter();
    vm.Require(1);
    CHECK(vm.GetGate().IsOpen(kSlot));
    for (size_t i = 0; i < kChunkCount; ++i) vm.ReceiveChunk(i, false);
    vm.BeginRead();
    vm.FinishRead(false);

    SECTION("the gate is closed and no order is sent before the request has finished") {
      CHECK_FALSE(vm.GetGate().IsOpen(kSlot));
      CHECK(vm.GetOrdersInTransit() == 0);
      vm.Leave();
      CHECK(vm.GetOrdersInTransit() == 1);

      SECTION("the gate stays closed until a report read after the order confirms the weights") {
        vm.BeginRead();
        vm.DeliverOrder(false);
        CHECK_FALSE(vm.GetGate().IsOpen(kSlot));
        vm.FinishRead(false);
        CHECK_FALSE(vm.GetGate().IsOpen(kSlot));
        vm.FinishRead(false);
        CHECK(vm.IsServingRequired());
      }
      SECTION("after a lost response, the gate stays closed for the settle time") {
        vm.DeliverOrder(true);
        vm.BeginRead();
        vm.FinishRead(false);
        CHECK_FALSE(vm.GetGate().IsOpen(kSlot));
        vm.Advance(kSettle);
        vm.FinishRead(false);
        vm.BeginRead();
        vm.FinishRead(false);
        CHECK(vm.IsServingRequired());
      }
    }
    SECTION("a newer version that is not staged yet leaves the current one serving") {
      vm.Require(2);
      CHECK(vm.GetGate().IsOpen(kSlot));
      vm.Leave();
      CHECK(vm.GetOrdersInTransit() == 0);
      RunUntilServing(vm);
      CHECK(vm.IsServingRequired());
    }
  }

  SECTION("given an engine that restarted") {
    vm.RestartEngine();
    SECTION("the next report closes the gate, and the weights are staged and loaded again") {
      vm.BeginRead();
      vm.FinishRead(false);
      CHECK_FALSE(vm.GetGate().IsOpen(kSlot));
      RunUntilServing(vm);
      CHECK(vm.IsServingRequired());
    }
  }

  SECTION("given an agent that restarted") {
    vm.RestartAgent();
    SECTION("the gate opens from the engine's report alone, without a transfer or an order") {
      CHECK_FALSE(vm.GetGate().IsOpen(kSlot));
      vm.BeginRead();
      vm.FinishRead(false);
      vm.FinishRead(false);
      CHECK(vm.IsServingRequired());
      CHECK(vm.GetOrdersInTransit() == 0);
    }
  }

  SECTION("given an unreachable engine") {
    vm.BeginRead();
    vm.FinishRead(true);
    SECTION("the gate is closed") { CHECK_FALSE(vm.GetGate().IsOpen(kSlot)); }
  }
}

}  // namespace
}  // namespace plantain
