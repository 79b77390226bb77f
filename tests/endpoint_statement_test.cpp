#include "endpoint_statement.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "beacon_table.h"
#include "random.h"

namespace plantain {
namespace {

const EndpointId kLimited("e1");
const PoolName kPool("engines");

// Entries that exchange their reports with a delay and send to one endpoint as often as they may.
class GrantSimulation {
 public:
  GrantSimulation(size_t entries, double limit, uint64_t seed) : m_random(seed), m_limit(limit) {
    for (size_t i = 0; i < entries; ++i) Join(100.0);
  }

  // Adds an entry whose callers offer a number of requests per second.
  size_t Join(double demand) {
    m_entries.push_back({VmId("vm" + std::to_string(m_entries.size())), nullptr, demand, {}, {}, {}});
    Restart(m_entries.size() - 1);
    return m_entries.size() - 1;
  }
  void Restart(size_t index) {
    Entry& entry = m_entries.at(index);
    entry.limits = std::make_unique<EndpointStatements>(m_clock, entry.id);
    entry.limits->SetEndpoints({{kLimited, {kPool, Incarnation(1)}}});
    entry.heard.clear();
    entry.is_down = false;
  }
  void Kill(size_t index) { m_entries.at(index).is_down = true; }
  void Freeze(size_t index, bool is_frozen) { m_entries.at(index).is_frozen = is_frozen; }
  // Whether messages from one entry reach another one.
  void SetCut(size_t from, size_t to, bool is_cut) {
    if (is_cut) {
      m_cuts.insert({from, to});
    } else {
      m_cuts.erase({from, to});
    }
  }
  void SetLimit(double limit) { m_limit = limit; }
  void TellAll() {
    for (Entry& entry : m_entries) entry.limits->OnResponse(kLimited, m_limit);
  }

  void Run(Duration time) {
    const TimePoint end = m_clock.GetNow() + time;
    while (m_clock.GetNow() < end) {
      m_clock.Advance(kStep);
      for (size_t i = 0; i < m_entries.size(); ++i) {
        Entry& entry = m_entries[i];
        if (entry.is_down || entry.is_frozen) continue;
        if (m_steps % kViewSteps == 0) UpdateView(i);
        entry.limits->GrantDue();
        Offer(i);
      }
      if (++m_steps % kBeaconSteps == 0) SendBeacons();
      Deliver();
    }
  }

  // Largest number of arrivals in four seconds since a time, and the mean rate since then.
  size_t GetMost(TimePoint since) const {
    size_t most = 0;
    for (auto first = m_arrivals.begin(); first != m_arrivals.end(); ++first) {
      if (*first < since) continue;
      const auto last = std::find_if(first, m_arrivals.end(), [&](TimePoint at) { return at > *first + kWindow; });
      most = std::max(most, static_cast<size_t>(last - first));
    }
    return most;
  }
  double GetRate(TimePoint since) const {
    const auto count = std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](TimePoint at) { return at >= since; });
    return static_cast<double>(count) / ToSeconds(m_clock.GetNow() - since);
  }
  const EndpointStatements& Get(size_t index) const { return *m_entries.at(index).limits; }

  VirtualClock m_clock;

 private:
  static constexpr Duration kStep = Milliseconds(10);
  static constexpr int kViewSteps = 10;
  static constexpr int kBeaconSteps = 30;
  static constexpr Duration kWindow = std::chrono::seconds(4);
  static constexpr Duration kSilence = Milliseconds(2500);

  struct Heard {
    TimePoint at;
    std::shared_ptr<const std::set<VmId>> named;
  };
  struct Entry {
    VmId id;
    std::unique_ptr<EndpointStatements> limits;
    double demand;
    std::map<size_t, Heard> heard;
    bool is_down = false;
    bool is_frozen = false;
  };
  struct Message {
    size_t from;
    size_t to;
    std::shared_ptr<const std::set<VmId>> named;
    std::shared_ptr<const StatementReport> report;
  };

  std::set<VmId> GetHeard(size_t index) const {
    std::set<VmId> heard = {m_entries[index].id};
    for (const auto& [from, last] : m_entries[index].heard) {
      if (m_clock.GetNow() - last.at < kSilence) heard.insert(m_entries[from].id);
    }
    return heard;
  }
  void UpdateView(size_t index) {
    Entry& entry = m_entries[index];
    EntryView view;
    view.entries.push_back({entry.id, {{kPool, entry.demand}}});
    for (const auto& [from, last] : entry.heard) {
      if (m_clock.GetNow() - last.at >= kSilence) continue;
      view.entries.push_back({m_entries[from].id, {{kPool, m_entries[from].demand}}});
      view.named.insert(last.named->begin(), last.named->end());
      view.is_heard_by_all = view.is_heard_by_all && last.named->contains(entry.id);
    }
    entry.limits->SetEntries(std::move(view));
  }
  void Offer(size_t index) {
    Entry& entry = m_entries[index];
    if (m_random.GetUnit() > entry.demand * ToSeconds(kStep) || !entry.limits->IsAvailable(kLimited)) return;
    entry.limits->OnSent(kLimited);
    m_arrivals.push_back(m_clock.GetNow());
    entry.limits->OnResponse(kLimited, m_limit > 0 ? std::optional(m_limit) : std::nullopt);
  }
  void SendBeacons() {
    for (size_t from = 0; from < m_entries.size(); ++from) {
      if (m_entries[from].is_down || m_entries[from].is_frozen) continue;
      const auto report = std::make_shared<const StatementReport>(m_entries[from].limits->GetReport());
      const auto named = std::make_shared<const std::set<VmId>>(GetHeard(from));
      for (size_t to = 0; to < m_entries.size(); ++to) {
        const bool is_lost = m_random.GetUnit() < 0.05 || m_cuts.contains({from, to});
        if (to == from || is_lost) continue;
        const auto delay = Milliseconds(static_cast<int64_t>(m_random.GetBits() % 200));
        m_messages.emplace(m_clock.GetNow() + delay, Message{from, to, named, report});
      }
    }
  }
  // Messages to an entry that stands still wait for it.
  void Deliver() {
    const TimePoint now = m_clock.GetNow();
    while (!m_messages.empty() && m_messages.begin()->first <= now) {
      const Message message = m_messages.begin()->second;
      m_messages.erase(m_messages.begin());
      Entry& to = m_entries[message.to];
      if (to.is_frozen) {
        m_messages.emplace(now + kStep, message);
      } else if (!to.is_down) {
        to.heard[message.from] = {now, message.named};
        to.limits->ApplyReport(m_entries[message.from].id, *message.report);
      }
    }
  }

  SeededRandom m_random;
  double m_limit;
  std::vector<Entry> m_entries;
  std::set<std::pair<size_t, size_t>> m_cuts;
  std::multimap<TimePoint, Message> m_messages;
  std::vector<TimePoint> m_arrivals;
  int m_steps = 0;
};

// What an endpoint may get in four seconds.
double GetAllowed(double limit) { return 4 * 1.5 * limit + 5; }

// Guards against each entry keeping to the stated rate by itself, which adds up to a multiple of it: the LIMIT
// incident.
TEST_CASE("Any number of entries together keep to the rate that an endpoint states, and use it") {
  for (const size_t entries : {1, 4, 16}) {
    for (const double limit : {0.4, 2.3, 20.0}) {
      for (uint64_t seed = 1; seed <= 3; ++seed) {
        INFO("entries " << entries << " limit " << limit << " seed " << seed);
        GrantSimulation fleet(entries, limit, seed);
        fleet.Run(std::chrono::seconds(5));
        const TimePoint told = fleet.m_clock.GetNow();
        fleet.TellAll();
        fleet.Run(std::chrono::seconds(40));
        CHECK(static_cast<double>(fleet.GetMost(told)) <= GetAllowed(limit));
        CHECK(fleet.GetRate(told + std::chrono::seconds(4)) >= 0.85 * limit);
        CHECK(fleet.GetRate(told + std::chrono::seconds(4)) <= 1.1 * limit + 0.1);
      }
    }
  }
}

// Guards against shares that no longer add up while entries come, go, stand still or do not hear each other.
TEST_CASE("The rate holds while entries join, leave, restart, stand still or are cut off") {
  constexpr double kLimit = 2.3;
  const auto play = [](const std::function<void(GrantSimulation&)>& disturb) {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      INFO("seed " << seed);
      GrantSimulation fleet(8, kLimit, seed);
      fleet.Run(std::chrono::seconds(5));
      fleet.TellAll();
      fleet.Run(std::chrono::seconds(5));
      const TimePoint begin = fleet.m_clock.GetNow();
      disturb(fleet);
      CHECK(static_cast<double>(fleet.GetMost(begin)) <= GetAllowed(kLimit));
    }
  };
  SECTION("joining") {
    play([](GrantSimulation& fleet) {
      for (int i = 0; i < 8; ++i) {
        fleet.Join(100);
        fleet.Run(std::chrono::seconds(2));
      }
    });
  }
  SECTION("killed and restarted in turn") {
    play([](GrantSimulation& fleet) {
      for (size_t i = 0; i < 8; ++i) {
        fleet.Kill(i);
        fleet.Run(std::chrono::seconds(1 + i % 4));
        fleet.Restart(i);
        fleet.Run(std::chrono::seconds(2));
      }
    });
  }
  SECTION("standing still") {
    play([](GrantSimulation& fleet) {
      for (size_t i = 0; i < 8; ++i) {
        fleet.Freeze(i, true);
        fleet.Run(std::chrono::seconds(6));
        fleet.Freeze(i, false);
        fleet.Run(std::chrono::seconds(3));
      }
    });
  }
  SECTION("deaf to all others") {
    play([](GrantSimulation& fleet) {
      for (size_t i = 1; i < 8; ++i) fleet.SetCut(i, 0, true);
      fleet.Run(std::chrono::seconds(20));
    });
  }
  SECTION("not heard by the others") {
    play([](GrantSimulation& fleet) {
      for (size_t i = 1; i < 8; ++i) fleet.SetCut(0, i, true);
      fleet.Run(std::chrono::seconds(20));
    });
  }
  SECTION("two entries that do not hear each other") {
    play([](GrantSimulation& fleet) {
      fleet.SetCut(0, 1, true);
      fleet.SetCut(1, 0, true);
      fleet.Run(std::chrono::seconds(20));
    });
  }
}

// Guards against an endpoint that is left idle, or overloaded, when what it states changes.
TEST_CASE("A stated rate changes, ends, and is taken for what it can mean") {
  GrantSimulation fleet(4, 2.0, 1);
  fleet.Run(std::chrono::seconds(5));
  fleet.TellAll();
  fleet.Run(std::chrono::seconds(10));

  SECTION("a higher rate is used") {
    fleet.SetLimit(10);
    fleet.Run(std::chrono::seconds(10));
    const TimePoint since = fleet.m_clock.GetNow();
    fleet.Run(std::chrono::seconds(10));
    CHECK(fleet.GetRate(since) >= 8.5);
  }
  SECTION("a response without a rate ends the limit at all entries") {
    fleet.SetLimit(0);
    fleet.Run(std::chrono::seconds(4));
    for (size_t i = 0; i < 4; ++i) CHECK_FALSE(fleet.Get(i).GetLimit(kLimited).has_value());
    const TimePoint since = fleet.m_clock.GetNow();
    fleet.Run(std::chrono::seconds(4));
    CHECK(fleet.GetRate(since) > 100);
  }
}

// Guards against a limit that outlives its endpoint, and against an endpoint that can never say that its limit has
// ended.
TEST_CASE("A limit of an endpoint that is gone is forgotten, and a limit of zero still lets a request pass at times") {
  VirtualClock clock;
  EndpointStatements limits(clock, VmId("vm1"));
  limits.SetEndpoints({{kLimited, {kPool, Incarnation(1)}}});
  CHECK(limits.IsAvailable(kLimited));
  CHECK(limits.OnResponse(kLimited, 0.0));
  CHECK_FALSE(limits.OnResponse(kLimited, 0.0));
  CHECK_FALSE(limits.IsAvailable(kLimited));
  size_t sent = 0;
  for (int i = 0; i < 600; ++i) {
    clock.Advance(Milliseconds(100));
    limits.GrantDue();
    if (!limits.IsAvailable(kLimited)) continue;
    limits.OnSent(kLimited);
    ++sent;
  }
  CHECK(sent >= 4);
  CHECK(sent <= 7);
  limits.OnResponse(kLimited, 1e9);
  CHECK_FALSE(limits.GetLimit(kLimited).has_value());
  CHECK(limits.IsAvailable(kLimited));
  limits.OnResponse(kLimited, 0.0);
  CHECK_FALSE(limits.IsAvailable(kLimited));
  limits.SetEndpoints({});
  CHECK(limits.IsAvailable(kLimited));
  CHECK_FALSE(limits.OnResponse(kLimited, 5.0));
}

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
