#include "load_order.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "staging_tracker.h"

namespace plantain {
namespace {

const Incarnation kFirstRun(100);
const Incarnation kSecondRun(200);

// Guards against an order that is taken for dead while the engine may still take it, and the reverse.
TEST_CASE("An order without an answer may be started until the engine's count shows otherwise") {
  LoadOrder order(kFirstRun, 3);
  CHECK_FALSE(order.MayStart());
  order.OnSent();
  CHECK(order.MayStart());

  SECTION("reports with the same count say nothing") {
    order.OnAnswer(OrderAnswer::kNone);
    for (int i = 0; i < 1000; ++i) order.OnReport(kFirstRun, 3);
    CHECK(order.MayStart());
    CHECK_FALSE(order.IsStarted());
  }
  SECTION("a larger count shows that it was started, or never will be") {
    order.OnAnswer(OrderAnswer::kNone);
    order.OnReport(kFirstRun, 4);
    CHECK_FALSE(order.MayStart());
    CHECK(order.IsStarted());
  }
  SECTION("a refusal ends one copy") {
    order.OnAnswer(OrderAnswer::kRefused);
    CHECK_FALSE(order.MayStart());
    CHECK_FALSE(order.IsStarted());
  }
  SECTION("a refusal of one copy says nothing about another") {
    order.OnAnswer(OrderAnswer::kNone);
    order.OnSent();
    order.OnAnswer(OrderAnswer::kRefused);
    CHECK(order.MayStart());
  }
  SECTION("an engine that started one copy starts no other") {
    order.OnAnswer(OrderAnswer::kNone);
    order.OnSent();
    order.OnAnswer(OrderAnswer::kStarted);
    CHECK_FALSE(order.MayStart());
    CHECK(order.IsStarted());
  }
  SECTION("a restarted engine whose count differs refuses all copies") {
    order.OnReport(kSecondRun, 0);
    CHECK_FALSE(order.MayStart());
    CHECK(order.IsLostByRestart());
  }
  SECTION("a restarted engine whose count fits may start a copy that reaches it late") {
    order.OnReport(kSecondRun, 3);
    CHECK(order.MayStart());
    CHECK_FALSE(order.IsLostByRestart());
  }
  SECTION("a restart ends a load that had begun") {
    order.OnAnswer(OrderAnswer::kStarted);
    order.OnReport(kSecondRun, 0);
    CHECK_FALSE(order.IsStarted());
    CHECK(order.IsLostByRestart());
  }
}

// An engine with calls that are on their way for any time, and a process that stages and orders versions there as far
// as StagingTracker and LoadOrder allow.
class SlowEngine {
 public:
  static constexpr uint32_t kChunks = 3;
  static constexpr Duration kSettle = Milliseconds(100);

  SlowEngine() { m_clock.Advance(kSettle); }

  void Require(uint8_t version) { m_required = version; }

  // Writes one chunk of the version that may be staged. The engine stores it, or the call ends without an answer and
  // the engine stores it at most kSettle later.
  void Upload(uint32_t index, bool is_answered) {
    const Digest reserved = m_tracker.GetReserved();
    const uint8_t version = reserved.IsEmpty() ? m_required : static_cast<uint8_t>(reserved.Get()[0]);
    const Digest manifest = MakeDigest(version);
    if (m_tracker.Get().first != manifest && !m_tracker.BeginManifest(manifest, kChunks)) return;
    if (!m_tracker.BeginUpload(manifest)) return;
    if (is_answered) {
      m_area[index] = version;
      m_tracker.EndUpload(manifest, index, UploadEnd::kStored);
    } else {
      m_late_uploads.push_back({index, version, m_clock.GetNow() + kSettle});
      m_tracker.EndUpload(manifest, index, UploadEnd::kUnknown);
    }
  }

  // Sends the order for what is staged, or another copy of the order that may still be started. The call goes on until
  // the engine handles the copy or EndCall.
  void SendOrder() {
    const Digest manifest = m_tracker.Get().first;
    if (m_open_call.has_value() || manifest.IsEmpty() || !m_tracker.Freeze(manifest)) return;
    if (m_tracker.AreUploadsDone() && IsStaged(manifest)) {
      if (!m_order.has_value()) m_order.emplace(m_reported_incarnation, m_reported_orders);
      m_order->OnSent();
      m_open_call = m_next_call++;
      m_copies.push_back({*m_open_call, m_order->GetExpectedOrders(), static_cast<uint8_t>(manifest.Get()[0]),
                          m_reported_incarnation, std::nullopt});
    }
    ReleaseIfOver();
  }

  // Ends the call in progress without an answer. The engine keeps a copy that reached it.
  void EndCall() {
    if (!m_open_call.has_value()) return;
    CloseCall();
    m_order->OnAnswer(OrderAnswer::kNone);
    ReleaseIfOver();
  }

  // The engine handles one of the copies. Its answer arrives unless the call has ended.
  void HandleCopy(size_t number) {
    if (m_copies.empty()) return;
    const Copy copy = m_copies[number % m_copies.size()];
    m_copies.erase(m_copies.begin() + static_cast<std::ptrdiff_t>(number % m_copies.size()));
    if (IsSettled(copy)) return;
    const OrderAnswer answer = Take(copy);
    if (copy.call != m_open_call) return;
    m_open_call.reset();
    m_order->OnAnswer(answer);
    ReleaseIfOver();
  }

  void StoreLateUpload(size_t number) {
    if (m_late_uploads.empty()) return;
    const LateUpload upload = m_late_uploads[number % m_late_uploads.size()];
    if (m_clock.GetNow() < upload.until) m_area[upload.index] = upload.version;
    m_late_uploads.erase(m_late_uploads.begin() + static_cast<std::ptrdiff_t>(number % m_late_uploads.size()));
  }

  void Report() {
    m_reported_orders = m_orders;
    m_reported_incarnation = m_incarnation;
    if (m_order.has_value()) m_order->OnReport(m_incarnation, m_orders);
    ReleaseIfOver();
  }

  // Copies that had reached the engine end with it. One whose call is in progress may reach the next one instead.
  void Restart(bool is_call_lost) {
    m_incarnation = m_incarnation.Next();
    m_orders = 0;
    std::erase_if(m_copies, [&](const Copy& copy) { return is_call_lost || copy.call != m_open_call; });
  }

  void Advance(Duration step) { m_clock.Advance(step); }

  bool HasLoadedMixture() const { return m_has_loaded_mixture; }
  size_t GetLoads() const { return m_loads; }

 private:
  struct Copy {
    uint32_t call;
    uint64_t expected;
    uint8_t version;
    // Run of the engine that the count belongs to.
    Incarnation named;
    std::optional<TimePoint> call_ended_at;
  };
  struct LateUpload {
    uint32_t index;
    uint8_t version;
    TimePoint until;
  };

  static Digest MakeDigest(uint8_t version) { return Digest(std::string(32, static_cast<char>(version))); }

  bool IsStaged(const Digest& manifest) const {
    const auto version = static_cast<uint8_t>(manifest.Get()[0]);
    return m_area == std::vector<uint8_t>(kChunks, version);
  }

  void CloseCall() {
    for (Copy& copy : m_copies) {
      if (copy.call == m_open_call) copy.call_ended_at = m_clock.GetNow();
    }
    m_open_call.reset();
  }

  // Whether an engine has dropped a copy that names the count of an earlier run.
  bool IsSettled(const Copy& copy) const {
    return copy.named != m_incarnation && copy.call_ended_at.has_value() &&
           m_clock.GetNow() - *copy.call_ended_at >= kSettle;
  }

  OrderAnswer Take(const Copy& copy) {
    if (copy.expected != m_orders) return OrderAnswer::kRefused;
    ++m_orders;
    ++m_loads;
    m_has_loaded_mixture = m_has_loaded_mixture || m_area != std::vector<uint8_t>(kChunks, copy.version);
    return OrderAnswer::kStarted;
  }

  // An order that is over needs no answer, so that its call is cancelled.
  void ReleaseIfOver() {
    if (m_order.has_value() && m_order->MayStart()) {
      m_tracker.Reserve();
      return;
    }
    CloseCall();
    const bool is_lost_by_restart = m_order.has_value() && m_order->IsLostByRestart();
    m_order.reset();
    if (is_lost_by_restart) {
      m_tracker.ReleaseAfterSettle();
    } else {
      m_tracker.Release();
    }
  }

  VirtualClock m_clock;
  StagingTracker m_tracker{m_clock, kSettle};
  std::optional<LoadOrder> m_order;
  uint8_t m_required = 1;
  Incarnation m_incarnation = kFirstRun;
  uint64_t m_orders = 0;
  Incarnation m_reported_incarnation = kFirstRun;
  uint64_t m_reported_orders = 0;
  std::vector<uint8_t> m_area = std::vector<uint8_t>(kChunks, 0);
  std::vector<Copy> m_copies;
  std::optional<uint32_t> m_open_call;
  uint32_t m_next_call = 0;
  std::vector<LateUpload> m_late_uploads;
  bool m_has_loaded_mixture = false;
  size_t m_loads = 0;
};

void Apply(SlowEngine& engine, uint8_t code) {
  const uint8_t argument = code / 8;
  switch (code % 8) {
    case 0:
      engine.Require(static_cast<uint8_t>(1 + argument % 3));
      break;
    case 1:
    case 2:
      engine.Upload(argument % SlowEngine::kChunks, argument % 8 != 0);
      break;
    case 3:
      engine.SendOrder();
      if (argument % 2 == 0) engine.EndCall();
      break;
    case 4:
      engine.HandleCopy(argument);
      break;
    case 5:
      engine.StoreLateUpload(argument);
      break;
    case 6:
      engine.Report();
      break;
    default:
      if (argument % 8 == 0) {
        engine.Restart(argument % 16 == 0);
      } else {
        engine.Advance(Milliseconds(argument * 3));
      }
      break;
  }
}

// Guards against an engine that loads chunks of two versions, however late it takes orders and stores chunks.
TEST_CASE("No delay of orders and uploads makes an engine load a mixture of versions") {
  size_t loads = 0;
  CHECK(rc::check([&] {
    SlowEngine engine;
    const auto codes = *rc::gen::resize(600, rc::gen::arbitrary<std::vector<uint8_t>>());
    for (const uint8_t code : codes) {
      Apply(engine, code);
      RC_ASSERT_FALSE(engine.HasLoadedMixture());
    }
    loads += engine.GetLoads();
  }));
  // Guards against a rule that holds because nothing is ever loaded.
  CHECK(loads > 100);
}

}  // namespace
}  // namespace plantain
