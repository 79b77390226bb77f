#include "endpoint_statement.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "beacon_table.h"
#include "random.h"

namespace plantain {
namespace {

const PoolName kPool("engines");
const EndpointId kLeaving("e2");

// Passes a report on as it arrives in a beacon.
StatementReport Transmit(StatementReport report) {
  BeaconInfo beacon;
  beacon.vm = VmId("vm1");
  beacon.statements = std::move(report);
  const std::optional<BeaconInfo> received = DecodeBeacon(EncodeBeacon(beacon));
  REQUIRE(received.has_value());
  return received->statements;
}

// Guards against requests to an endpoint that has said that it leaves, and against a new start under its id that gets
// none.
TEST_CASE("An endpoint leaves for one run, however the directory shows it") {
  VirtualClock clock;
  EndpointStatements statements(clock, VmId("vm1"));
  const Incarnation run(7);
  const Incarnation next_run(8);
  statements.SetEndpoints({{kLeaving, {kPool, run}}});
  CHECK_FALSE(statements.IsLeaving(kLeaving, run));
  CHECK(statements.OnLeaving(kLeaving, run));
  CHECK_FALSE(statements.OnLeaving(kLeaving, run));
  CHECK(statements.IsLeaving(kLeaving, run));

  SECTION("it is remembered as long as the endpoint is listed") {
    clock.Advance(std::chrono::hours(48));
    statements.SetEndpoints({{kLeaving, {kPool, run}}});
    CHECK(statements.IsLeaving(kLeaving, run));
  }
  SECTION("a record that vanishes and comes back changes nothing") {
    statements.SetEndpoints({});
    clock.Advance(std::chrono::minutes(5));
    statements.SetEndpoints({{kLeaving, {kPool, run}}});
    CHECK(statements.IsLeaving(kLeaving, run));
  }
  SECTION("it is forgotten some time after the endpoint is gone") {
    statements.SetEndpoints({});
    clock.Advance(std::chrono::minutes(11));
    statements.SetEndpoints({});
    CHECK_FALSE(statements.IsLeaving(kLeaving, run));
  }
  SECTION("a new start does not leave, and an older record that comes back still does") {
    statements.SetEndpoints({{kLeaving, {kPool, next_run}}});
    CHECK_FALSE(statements.IsLeaving(kLeaving, next_run));
    statements.SetEndpoints({{kLeaving, {kPool, run}}});
    CHECK(statements.IsLeaving(kLeaving, run));
  }
  SECTION("a late answer of the run before does not concern the new one") {
    statements.SetEndpoints({{kLeaving, {kPool, next_run}}});
    statements.OnLeaving(kLeaving, run);
    CHECK_FALSE(statements.IsLeaving(kLeaving, next_run));
  }
  SECTION("the log tells it once") {
    const auto changes = statements.TakeChanges();
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].kind == StatementKind::kLeaving);
    CHECK_FALSE(changes[0].is_from_peer);
  }
  SECTION("it is no statement about a rate") {
    CHECK(statements.IsAvailable(kLeaving));
    EndpointStatements peer(clock, VmId("vm2"));
    peer.SetEndpoints({{kLeaving, {kPool, run}}});
    peer.OnResponse(kLeaving, 2.0);
    clock.Advance(std::chrono::hours(1));
    peer.ApplyReport(VmId("vm1"), Transmit(statements.GetReport()));
    CHECK(peer.GetLimit(kLeaving) == 2.0);
    CHECK(peer.IsLeaving(kLeaving, run));
  }
}

// Entries that learn from answers and from each other which of many endpoints leave. Reports are lost and late.
class LeavingSimulation {
 public:
  static constexpr size_t kEntries = 6;
  static constexpr size_t kEndpoints = 50;

  explicit LeavingSimulation(uint64_t seed) : m_random(seed) {
    for (size_t i = 0; i < kEndpoints; ++i) m_listed[EndpointId("e" + std::to_string(i))] = {kPool, Incarnation(1)};
    for (size_t i = 0; i < kEntries; ++i) Restart(i);
  }

  void Restart(size_t index) {
    m_entries[index] = std::make_unique<EndpointStatements>(m_clock, VmId("vm" + std::to_string(index)));
    m_entries[index]->SetEndpoints(m_listed);
    m_told[index].clear();
  }
  // Lets an entry see a directory without any endpoints for a moment.
  void Flap(size_t index) {
    m_entries[index]->SetEndpoints({});
    m_entries[index]->SetEndpoints(m_listed);
  }
  EndpointStatements& Get(size_t index) { return *m_entries[index]; }

  // Sends one request of an entry to an endpoint if it may. All endpoints leave.
  void Offer(size_t index, const EndpointId& endpoint) {
    if (m_entries[index]->IsLeaving(endpoint, m_listed.at(endpoint).incarnation)) return;
    if (!m_told[index].insert(endpoint).second) ++m_repeats;
    m_entries[index]->OnLeaving(endpoint, m_listed.at(endpoint).incarnation);
  }
  void OfferAtRandom(size_t index) { Offer(index, EndpointId("e" + std::to_string(m_random.GetBits() % kEndpoints))); }
  void Exchange() {
    for (size_t from = 0; from < kEntries; ++from) {
      const StatementReport report = Transmit(m_entries[from]->GetReport());
      for (size_t to = 0; to < kEntries; ++to) {
        if (to != from && m_random.GetUnit() < 0.7) m_late.push_back({from, to, report});
      }
    }
    while (m_late.size() > 3 * kEntries) {
      const auto picked = m_late.begin() + static_cast<ptrdiff_t>(m_random.GetBits() % m_late.size());
      m_entries[picked->to]->ApplyReport(VmId("vm" + std::to_string(picked->from)), picked->report);
      m_late.erase(picked);
    }
    m_clock.Advance(Milliseconds(100));
  }
  size_t CountKnown(size_t index) const {
    return static_cast<size_t>(std::count_if(m_listed.begin(), m_listed.end(), [&](const auto& listed) {
      return m_entries[index]->IsLeaving(listed.first, listed.second.incarnation);
    }));
  }
  // Requests that an entry sent to an endpoint that had told it that it leaves.
  size_t GetRepeats() const { return m_repeats; }
  SeededRandom m_random;

 private:
  struct Late {
    size_t from;
    size_t to;
    StatementReport report;
  };

  VirtualClock m_clock;
  std::map<EndpointId, ListedEndpoint> m_listed;
  std::array<std::unique_ptr<EndpointStatements>, kEntries> m_entries;
  std::array<std::set<EndpointId>, kEntries> m_told;
  std::vector<Late> m_late;
  size_t m_repeats = 0;
};

// Guards against an entry that forgets what it was told, and against a report in which some endpoints are never told.
TEST_CASE("No entry sends to an endpoint after it knows that it leaves, and all entries learn it") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    LeavingSimulation fleet(seed);
    for (size_t i = 0; i < LeavingSimulation::kEndpoints; ++i) fleet.Offer(0, EndpointId("e" + std::to_string(i)));
    for (int step = 0; step < 60; ++step) {
      const size_t index = fleet.m_random.GetBits() % LeavingSimulation::kEntries;
      fleet.OfferAtRandom(index);
      if (step % 7 == 3) fleet.Flap(index);
      if (step == 20) fleet.Restart(LeavingSimulation::kEntries - 1);
      fleet.Exchange();
    }
    CHECK(fleet.GetRepeats() == 0);
    for (size_t i = 0; i < LeavingSimulation::kEntries; ++i) {
      CHECK(fleet.CountKnown(i) == LeavingSimulation::kEndpoints);
    }
  }
}

// Guards against a pause that is cut short, never ends, or outlives the run of the endpoint that stated it.
TEST_CASE("A stated pause ends by time and belongs to one run") {
  VirtualClock clock;
  EndpointStatements statements(clock, VmId("vm1"));
  const Incarnation run(7);
  statements.SetEndpoints({{kLeaving, {kPool, run}}});
  CHECK(statements.OnPause(kLeaving, run, std::chrono::seconds(5)));
  CHECK(statements.GetPauseLeft(kLeaving, run) == std::chrono::seconds(5));

  SECTION("it ends") {
    clock.Advance(Milliseconds(4999));
    CHECK(statements.GetPauseLeft(kLeaving, run) == Milliseconds(1));
    clock.Advance(Milliseconds(1));
    CHECK(statements.GetPauseLeft(kLeaving, run) == Duration::zero());
    CHECK(statements.GetReport().statements.empty());
  }
  SECTION("the later end counts") {
    CHECK_FALSE(statements.OnPause(kLeaving, run, std::chrono::seconds(1)));
    CHECK(statements.GetPauseLeft(kLeaving, run) == std::chrono::seconds(5));
    CHECK(statements.OnPause(kLeaving, run, std::chrono::seconds(6)));
    CHECK(statements.GetPauseLeft(kLeaving, run) == std::chrono::seconds(6));
  }
  SECTION("a long one is bounded, and one that is none changes nothing") {
    CHECK(statements.OnPause(kLeaving, run, Duration::max()));
    CHECK(statements.GetPauseLeft(kLeaving, run) == kMaxStatedPause);
    CHECK_FALSE(statements.OnPause(kLeaving, run, Duration::zero()));
    CHECK_FALSE(statements.OnPause(kLeaving, run, Duration::min()));
    CHECK(statements.GetPauseLeft(kLeaving, run) == kMaxStatedPause);
  }
  SECTION("a new start takes requests, whatever the run before says late") {
    const Incarnation next_run(8);
    statements.SetEndpoints({{kLeaving, {kPool, next_run}}});
    CHECK(statements.GetPauseLeft(kLeaving, next_run) == Duration::zero());
    statements.OnPause(kLeaving, next_run, std::chrono::seconds(2));
    CHECK_FALSE(statements.OnPause(kLeaving, run, std::chrono::seconds(9)));
    CHECK(statements.GetPauseLeft(kLeaving, next_run) == std::chrono::seconds(2));
  }
  SECTION("a record that vanishes and comes back changes nothing") {
    statements.SetEndpoints({});
    statements.SetEndpoints({{kLeaving, {kPool, run}}});
    CHECK(statements.GetPauseLeft(kLeaving, run) == std::chrono::seconds(5));
  }
  SECTION("a peer takes it, and does not pass it on") {
    EndpointStatements peer(clock, VmId("vm2"));
    peer.SetEndpoints({{kLeaving, {kPool, run}}});
    peer.ApplyReport(VmId("vm1"), Transmit(statements.GetReport()));
    CHECK(peer.GetPauseLeft(kLeaving, run) == std::chrono::seconds(5));
    CHECK(peer.GetReport().statements.empty());
  }
  SECTION("a peer's pause without bound is bounded") {
    StatementReport report;
    report.statements.push_back({kLeaving, {}, {}, run, false, Duration::max()});
    statements.ApplyReport(VmId("vm2"), Transmit(report));
    CHECK(statements.GetPauseLeft(kLeaving, run) <= kMaxStatedPause);
    statements.ApplyReport(VmId("vm2"), report);
    CHECK(statements.GetPauseLeft(kLeaving, run) <= kMaxStatedPause);
  }
}

// Guards against a pause that entries keep alive by telling each other of it, and against requests within it.
TEST_CASE("Entries that exchange a pause late and with losses end it together, and none sends within it") {
  constexpr size_t kEntries = 8;
  constexpr Duration kPause = std::chrono::seconds(5);
  constexpr Duration kMaxDelay = Milliseconds(400);
  struct Late {
    TimePoint at;
    size_t to;
    StatementReport report;
  };
  const Incarnation run(1);
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    VirtualClock clock;
    SeededRandom random(seed);
    std::vector<std::unique_ptr<EndpointStatements>> entries;
    for (size_t i = 0; i < kEntries; ++i) {
      entries.push_back(std::make_unique<EndpointStatements>(clock, VmId("vm" + std::to_string(i))));
      entries.back()->SetEndpoints({{kLeaving, {kPool, run}}});
    }
    std::vector<Late> late;
    std::map<size_t, TimePoint> refused_at;
    TimePoint last_refusal;
    size_t too_early = 0;
    size_t served = 0;
    // The endpoint refuses for two seconds.
    const TimePoint begin = clock.GetNow();
    while (clock.GetNow() < begin + std::chrono::seconds(20)) {
      clock.Advance(Milliseconds(10));
      const TimePoint now = clock.GetNow();
      const size_t sender = random.GetBits() % kEntries;
      if (entries[sender]->GetPauseLeft(kLeaving, run) == Duration::zero()) {
        if (refused_at.contains(sender) && now < refused_at[sender] + kPause) ++too_early;
        if (now < begin + std::chrono::seconds(2)) {
          entries[sender]->OnPause(kLeaving, run, kPause);
          refused_at[sender] = last_refusal = now;
        } else {
          ++served;
        }
      }
      for (auto message = late.begin(); message != late.end();) {
        if (message->at > now) {
          ++message;
          continue;
        }
        entries[message->to]->ApplyReport(VmId("peer"), message->report);
        message = late.erase(message);
      }
      for (size_t from = 0; from < kEntries && ToMilliseconds(now - begin) % 100 == 0; ++from) {
        const StatementReport report = Transmit(entries[from]->GetReport());
        for (size_t to = 0; to < kEntries; ++to) {
          const auto delay = Milliseconds(static_cast<int64_t>(random.GetBits() % ToMilliseconds(kMaxDelay)));
          if (to != from && random.GetUnit() < 0.7) late.push_back({now + delay, to, report});
        }
      }
      if (now >= last_refusal + kPause + kMaxDelay) {
        for (const auto& entry : entries) CHECK(entry->GetPauseLeft(kLeaving, run) == Duration::zero());
      }
    }
    CHECK(too_early == 0);
    CHECK(served > 500);
  }
}

}  // namespace
}  // namespace plantain
