#include "endpoint_statement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

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
    view.entries.push_back({entry.id, ZoneName(), {{kPool, entry.demand}}});
    for (const auto& [from, last] : entry.heard) {
      if (m_clock.GetNow() - last.at >= kSilence) continue;
      view.entries.push_back({m_entries[from].id, ZoneName(), {{kPool, m_entries[from].demand}}});
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

}  // namespace
}  // namespace plantain
