#include "crash_quarantine.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "content_parts.h"
#include "random.h"

namespace plantain {
namespace {

// A fleet of entries with this class, and engines that end at bad parts or for other reasons. Time passes in steps.
class FleetSimulation {
 public:
  FleetSimulation(size_t entries, size_t engines, uint64_t seed) : m_random(seed), m_engines(engines) {
    for (size_t i = 0; i < entries; ++i) {
      m_entries.push_back(std::make_unique<CrashQuarantine>(m_clock));
      m_started.push_back(m_clock.GetNow());
    }
  }

  void Run(Duration time, double sound_per_s, double bad_per_s) {
    const TimePoint end = m_clock.GetNow() + time;
    while (m_clock.GetNow() < end) {
      m_clock.Advance(kStep);
      const double step_s = ToSeconds(kStep);
      if (m_random.GetUnit() < sound_per_s * step_s) SendSound();
      if (m_random.GetUnit() < bad_per_s * step_s) Send({"popular", Subject(), "bad"});
      if (++m_steps % kReportSteps == 0) ExchangeReports();
      for (Engine& engine : m_engines) FinishReading(engine);
    }
  }
  void CrashEngine(size_t index) { Crash(m_engines.at(index)); }
  void Restart(size_t entry) {
    m_entries.at(entry) = std::make_unique<CrashQuarantine>(m_clock);
    m_started.at(entry) = m_clock.GetNow();
    ExchangeReports();
  }
  // An entry that starts announces itself and is answered at once.
  void Join() {
    m_entries.push_back(std::make_unique<CrashQuarantine>(m_clock));
    m_started.push_back(m_clock.GetNow());
    ExchangeReports();
  }
  void AddAgents(size_t count) {
    for (size_t i = 0; i < count; ++i) m_agents.push_back(std::make_unique<CrashQuarantine>(m_clock));
  }
  void RestartAgent(size_t agent) { m_agents.at(agent) = std::make_unique<CrashQuarantine>(m_clock); }
  // Agents answer entries that start at once.
  void RestartAllEntries() {
    for (size_t entry = 0; entry < m_entries.size(); ++entry) {
      m_entries[entry] = std::make_unique<CrashQuarantine>(m_clock);
      m_started[entry] = m_clock.GetNow();
    }
    m_cut_off.clear();
    ExchangeReports();
  }
  // Cuts an entry off from all processes, or ends that.
  void SetCutOff(size_t entry, bool is_cut_off) {
    if (is_cut_off) {
      m_cut_off.insert(entry);
    } else {
      m_cut_off.erase(entry);
    }
  }

  VirtualClock m_clock;
  size_t m_bad_ends = 0;
  size_t m_bad_sent = 0;
  size_t m_sound_blocked = 0;
  std::optional<TimePoint> m_fifth_end;
  size_t m_bad_sent_late = 0;

 private:
  static constexpr Duration kStep = Milliseconds(2);
  static constexpr int kReportSteps = 50;
  static constexpr Duration kDownTime = std::chrono::seconds(3);
  static constexpr Duration kStableWindow = std::chrono::seconds(3);

  struct Attempt {
    size_t entry;
    std::vector<ContentKey> parts;
    TimePoint sent_at;
    TimePoint begins_at;
  };
  struct Engine {
    uint64_t run = 0;
    TimePoint up_at;
    std::vector<Attempt> reading;
  };

  std::string Subject() { return "subject" + std::to_string(m_random.GetBits() % 40); }
  // Some subjects are asked for rarely.
  void SendSound() {
    const bool is_rare = m_random.GetUnit() < 0.1;
    Send({"popular", is_rare ? "rare" + std::to_string(m_random.GetBits() % 200) : Subject()});
  }

  void Send(const std::vector<std::string>& names) {
    const auto parts = MakeParts(names);
    const size_t entry = m_random.GetBits() % m_entries.size();
    const bool is_bad = names.back() == "bad";
    if (m_entries[entry]->IsBlocked(parts)) {
      m_sound_blocked += is_bad ? 0 : 1;
      return;
    }
    const size_t first = m_random.GetBits() % m_engines.size();
    for (size_t i = 0; i < m_engines.size(); ++i) {
      Engine& engine = m_engines[(first + i) % m_engines.size()];
      const TimePoint now = m_clock.GetNow();
      if (engine.up_at > now) continue;
      const Duration reading = Milliseconds(40 + static_cast<int64_t>(m_random.GetBits() % 260));
      engine.reading.push_back({entry, parts, now, now + reading});
      m_bad_sent += is_bad ? 1 : 0;
      // An entry counts once it has run for the stable window.
      const bool counts = now - m_started[entry] > kStableWindow;
      if (is_bad && counts && m_fifth_end.has_value() && now > *m_fifth_end + kStableWindow) ++m_bad_sent_late;
      return;
    }
  }

  void FinishReading(Engine& engine) {
    const TimePoint now = m_clock.GetNow();
    for (size_t i = 0; i < engine.reading.size(); ++i) {
      if (engine.reading[i].begins_at > now) continue;
      const Attempt attempt = engine.reading[i];
      if (attempt.parts.back() == ContentKey{ContentKind::kPromptPart, "bad"}) {
        if (++m_bad_ends == 5) m_fifth_end = now;
        Crash(engine);
        return;
      }
      m_entries[attempt.entry]->OnAnswered(attempt.parts);
      engine.reading.erase(engine.reading.begin() + static_cast<std::ptrdiff_t>(i--));
    }
  }

  void Crash(Engine& engine) {
    const EndpointRun run(1000 * ++engine.run + static_cast<uint64_t>(&engine - m_engines.data()));
    for (const Attempt& attempt : engine.reading) {
      // The header of an answer comes with its first event, except at the bad part.
      const bool has_header =
          attempt.parts.back() == ContentKey{ContentKind::kPromptPart, "bad"} && attempt.begins_at <= m_clock.GetNow();
      m_entries[attempt.entry]->OnCrash(attempt.parts, run, attempt.sent_at,
                                        has_header ? AnswerProgress::kHeader : AnswerProgress::kNone);
    }
    engine.reading.clear();
    engine.up_at = m_clock.GetNow() + kDownTime;
  }

  // Each entry hears each other one and all agents, and agents hear entries, but for lost messages.
  void ExchangeReports() {
    for (size_t from = 0; from < m_entries.size(); ++from) {
      if (m_cut_off.contains(from)) continue;
      const auto reports = m_entries[from]->GetReports();
      for (size_t to = 0; to < m_entries.size(); ++to) {
        if (to != from && !m_cut_off.contains(to) && m_random.GetUnit() > 0.3)
          m_entries[to]->ApplyReports(kPeer, reports);
      }
      for (const auto& agent : m_agents) {
        if (m_random.GetUnit() > 0.3) agent->ApplyVerdicts(kPeer, reports);
      }
    }
    for (const auto& agent : m_agents) {
      const auto reports = agent->GetReports();
      for (size_t to = 0; to < m_entries.size(); ++to) {
        if (!m_cut_off.contains(to) && m_random.GetUnit() > 0.3) m_entries[to]->ApplyReports(kPeer, reports);
      }
    }
  }

  SeededRandom m_random;
  std::vector<std::unique_ptr<CrashQuarantine>> m_entries;
  std::vector<TimePoint> m_started;
  std::vector<std::unique_ptr<CrashQuarantine>> m_agents;
  std::set<size_t> m_cut_off;
  std::vector<Engine> m_engines;
  int m_steps = 0;
};

// Guards against limits that hold at each entry and not over all of them.
TEST_CASE("Over any number of entries, a bad part ends few endpoints") {
  for (const size_t entries : {1, 4, 16, 64}) {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      INFO("entries " << entries << " seed " << seed);
      FleetSimulation fleet(entries, 16, seed);
      fleet.Run(std::chrono::seconds(3), 100, 0);
      fleet.Run(std::chrono::seconds(5), 100, 16);
      // An entry that is alone has nobody to learn from after a restart.
      if (entries > 1) fleet.Restart(0);
      fleet.Join();
      fleet.Run(std::chrono::seconds(5), 100, 16);
      CHECK(fleet.m_bad_ends >= 4);
      CHECK(fleet.m_bad_sent_late <= 3);
      CHECK(fleet.m_sound_blocked == 0);
    }
  }
}

// Guards against a bad part that ends as many endpoints again when all entries restart at once, or one by one in any
// order while others are cut off or join.
TEST_CASE("Agents bring a block through any restarts of entries") {
  for (const size_t entries : {4, 16}) {
    for (uint64_t seed = 1; seed <= 100; ++seed) {
      INFO("entries " << entries << " seed " << seed);
      FleetSimulation fleet(entries, 16, seed);
      fleet.AddAgents(6);
      SeededRandom random(seed);
      fleet.Run(std::chrono::seconds(1), 50, 0);
      fleet.Run(std::chrono::seconds(4), 50, 16);
      CHECK(fleet.m_bad_ends >= 4);
      const size_t sent = fleet.m_bad_sent;
      for (int i = 0; i < 8; ++i) {
        const size_t chosen = random.GetBelow(entries);
        switch (random.GetBelow(5)) {
          case 0:
            fleet.RestartAgent(random.GetBelow(6));
            break;
          case 1:
            fleet.SetCutOff(chosen, false);
            fleet.Restart(chosen);
            break;
          case 2:
            fleet.Join();
            break;
          case 3:
            fleet.SetCutOff(chosen, true);
            break;
          default:
            fleet.RestartAllEntries();
        }
        fleet.Run(Milliseconds(300), 50, 16);
      }
      fleet.RestartAllEntries();
      fleet.Run(Milliseconds(500), 50, 16);
      CHECK(fleet.m_bad_sent <= sent + 3);
      CHECK(fleet.m_sound_blocked == 0);
    }
  }
}

// Guards against blocking sound parts on a day on which endpoints fail for other reasons.
TEST_CASE("Endpoints that fail for other reasons block no part") {
  const auto play = [](const std::function<void(FleetSimulation&, SeededRandom&)>& disturb) {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      INFO("seed " << seed);
      FleetSimulation fleet(4, 16, seed);
      if (seed > 10) fleet.AddAgents(4);
      SeededRandom random(seed);
      fleet.Run(std::chrono::seconds(2), 150, 0);
      disturb(fleet, random);
      CHECK(fleet.m_sound_blocked == 0);
    }
  };
  SECTION("one after the other") {
    play([](FleetSimulation& fleet, SeededRandom& random) {
      for (int i = 0; i < 60; ++i) {
        fleet.CrashEngine(random.GetBits() % 16);
        fleet.Run(Milliseconds(200), 150, 0);
      }
    });
  }
  SECTION("a third of them at once, again and again") {
    play([](FleetSimulation& fleet, SeededRandom& random) {
      for (int i = 0; i < 10; ++i) {
        for (size_t engine = 0; engine < 5; ++engine) fleet.CrashEngine((random.GetBits() % 4) * 4 + engine % 4);
        fleet.Run(std::chrono::seconds(1), 150, 0);
      }
    });
  }
  SECTION("all at once") {
    play([](FleetSimulation& fleet, SeededRandom&) {
      for (int i = 0; i < 5; ++i) {
        for (size_t engine = 0; engine < 16; ++engine) fleet.CrashEngine(engine);
        fleet.Run(std::chrono::seconds(5), 150, 0);
      }
    });
  }
}

}  // namespace
}  // namespace plantain
