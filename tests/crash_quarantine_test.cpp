#include "crash_quarantine.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "beacon_table.h"
#include "random.h"

namespace plantain {
namespace {

std::vector<ContentKey> MakeParts(const std::vector<std::string>& names) {
  std::vector<ContentKey> parts;
  for (const std::string& name : names) parts.push_back({ContentKind::kPromptPart, name});
  return parts;
}

struct QuarantineFixture {
  // Sends a request after some time and ends the endpoint that works on it.
  void Crash(const std::vector<std::string>& parts, CrashQuarantine& quarantine) {
    clock.Advance(Milliseconds(100));
    const TimePoint sent_at = clock.GetNow();
    clock.Advance(Milliseconds(100));
    quarantine.OnCrash(MakeParts(parts), EndpointRun(++run), sent_at, true);
  }
  void Crash(const std::vector<std::string>& parts) { Crash(parts, here); }
  bool IsBlocked(const std::vector<std::string>& parts) const { return here.IsBlocked(MakeParts(parts)); }

  VirtualClock clock;
  CrashQuarantine here{clock};
  CrashQuarantine peer{clock};
  uint64_t run = 0;
};

// Guards against requests with one part that end one endpoint after the other without limit.
TEST_CASE("A prompt part at which four endpoints have ended is blocked") {
  QuarantineFixture fixture;
  for (int i = 0; i < 3; ++i) fixture.Crash({"bad", "subject" + std::to_string(i)});
  CHECK_FALSE(fixture.IsBlocked({"bad", "x"}));
  fixture.Crash({"bad", "subject3"});
  CHECK(fixture.IsBlocked({"bad", "x"}));

  SECTION("requests without it are not concerned") { CHECK_FALSE(fixture.IsBlocked({"subject0", "subject3"})); }
  SECTION("an answer that begins on it proves that it is sound") {
    fixture.clock.Advance(Milliseconds(1));
    fixture.here.OnAnswered(MakeParts({"bad"}));
    CHECK_FALSE(fixture.IsBlocked({"bad", "x"}));
    fixture.Crash({"bad", "y"});
    CHECK_FALSE(fixture.IsBlocked({"bad", "x"}));
  }
  SECTION("a peer that starts later learns of it from one report") {
    fixture.peer.ApplyReports(fixture.here.GetReports());
    CHECK(fixture.peer.IsBlocked(MakeParts({"bad", "x"})));
  }
}

// Guards against evidence that stays at one entry: the limit counts over all entries.
TEST_CASE("Ends that different entries saw add up") {
  QuarantineFixture fixture;
  fixture.Crash({"bad"}, fixture.here);
  fixture.Crash({"bad"}, fixture.peer);
  fixture.Crash({"bad"}, fixture.here);
  fixture.Crash({"bad"}, fixture.peer);
  fixture.here.ApplyReports(fixture.peer.GetReports());
  CHECK(fixture.IsBlocked({"bad"}));
  CHECK_FALSE(fixture.peer.IsBlocked(MakeParts({"bad"})));
  fixture.peer.ApplyReports(fixture.here.GetReports());
  CHECK(fixture.peer.IsBlocked(MakeParts({"bad"})));

  SECTION("the same end counts once, whoever reports it") {
    QuarantineFixture other;
    other.Crash({"rare"}, other.here);
    for (int i = 0; i < 5; ++i) {
      other.peer.ApplyReports(other.here.GetReports());
      other.here.ApplyReports(other.peer.GetReports());
    }
    CHECK(other.here.GetReports().front().crashes.size() == 1);
  }
  SECTION("an answer that a peer saw removes evidence from before it") {
    fixture.clock.Advance(Milliseconds(10));
    fixture.peer.OnAnswered(MakeParts({"bad"}));
    fixture.here.ApplyReports(fixture.peer.GetReports());
    CHECK_FALSE(fixture.IsBlocked({"bad"}));
    SECTION("also when a third entry repeats the old evidence") {
      CrashQuarantine third(fixture.clock);
      fixture.here.ApplyReports(third.GetReports());
      CHECK_FALSE(fixture.IsBlocked({"bad"}));
    }
  }
}

// Guards against blocking a sound part because it was in the requests that a bad one broke.
TEST_CASE("A sound part is not blocked for the company of a bad one") {
  QuarantineFixture fixture;

  SECTION("a frequent part, which other requests are answered with") {
    for (int i = 0; i < 6; ++i) {
      fixture.here.OnAnswered(MakeParts({"popular"}));
      fixture.Crash({"popular", "bad"});
    }
    CHECK(fixture.IsBlocked({"popular", "bad"}));
    CHECK_FALSE(fixture.IsBlocked({"popular", "other"}));
  }
  SECTION("parts that only came together are blocked only together") {
    for (int i = 0; i < 4; ++i) fixture.Crash({"pair1", "pair2"});
    CHECK(fixture.IsBlocked({"pair1", "pair2"}));
    CHECK_FALSE(fixture.IsBlocked({"pair1", "other"}));
    CHECK_FALSE(fixture.IsBlocked({"pair2", "other"}));
    SECTION("until one of them ends an endpoint without the other") {
      fixture.Crash({"pair2", "other"});
      CHECK(fixture.IsBlocked({"pair2", "third"}));
      CHECK_FALSE(fixture.IsBlocked({"pair1", "other"}));
    }
    SECTION("until one of them is answered without the other") {
      fixture.clock.Advance(Milliseconds(1));
      fixture.here.OnAnswered(MakeParts({"pair1"}));
      CHECK(fixture.IsBlocked({"pair2", "other"}));
    }
  }
  SECTION("endpoints that end at the same moment are no proof") {
    const TimePoint sent_at = fixture.clock.GetNow();
    fixture.clock.Advance(Milliseconds(200));
    for (uint64_t run = 1; run <= 8; ++run) {
      fixture.here.OnCrash(MakeParts({"rare"}), EndpointRun(run), sent_at, true);
    }
    CHECK_FALSE(fixture.IsBlocked({"rare"}));
  }
  SECTION("but those that end later at requests sent later are, however many ended at that moment") {
    const TimePoint sent_at = fixture.clock.GetNow();
    fixture.clock.Advance(Milliseconds(200));
    for (uint64_t run = 100; run < 116; ++run) {
      fixture.here.OnCrash(MakeParts({"bad"}), EndpointRun(run), sent_at, true);
    }
    CHECK_FALSE(fixture.IsBlocked({"bad"}));
    fixture.Crash({"bad"});
    fixture.Crash({"bad"});
    CHECK(fixture.IsBlocked({"bad"}));
  }
  SECTION("endpoints that end before the header of an answer count half") {
    for (int i = 0; i < 7; ++i) {
      fixture.clock.Advance(Milliseconds(100));
      fixture.here.OnCrash(MakeParts({"rare"}), EndpointRun(100 + i), fixture.clock.GetNow(), false);
    }
    CHECK_FALSE(fixture.IsBlocked({"rare"}));
    fixture.Crash({"rare"});
    CHECK(fixture.IsBlocked({"rare"}));
  }
  SECTION("one endpoint that breaks many requests counts once") {
    for (int i = 0; i < 8; ++i) {
      fixture.clock.Advance(Milliseconds(50));
      fixture.here.OnCrash(MakeParts({"rare"}), EndpointRun(1), fixture.clock.GetNow(), true);
    }
    CHECK_FALSE(fixture.IsBlocked({"rare"}));
  }
}

// Guards against two bad parts of which one hides the other.
TEST_CASE("Two bad parts at the same time are both blocked") {
  QuarantineFixture fixture;
  for (int i = 0; i < 4; ++i) {
    fixture.Crash({"bad1", "s" + std::to_string(i)});
    fixture.Crash({"bad2", "s" + std::to_string(i)});
  }
  CHECK(fixture.IsBlocked({"bad1", "x"}));
  CHECK(fixture.IsBlocked({"bad2", "x"}));
  CHECK(fixture.here.GetBlockedCount() == 2);
}

// Guards against each entry trying a blocked part again, which adds up to one crash for each entry.
TEST_CASE("A blocked part is tried again rarely, by one entry and with one request") {
  QuarantineFixture fixture;
  for (int i = 0; i < 4; ++i) fixture.Crash({"bad"});
  fixture.peer.ApplyReports(fixture.here.GetReports());
  fixture.here.SetTrialOwner(true);
  const auto bad = MakeParts({"bad"});
  CHECK(fixture.here.Admit(bad) == ContentAdmission::kBlocked);
  fixture.clock.Advance(std::chrono::minutes(11));
  CHECK(fixture.peer.Admit(bad) == ContentAdmission::kBlocked);
  REQUIRE(fixture.here.Admit(bad) == ContentAdmission::kTrial);
  CHECK(fixture.here.Admit(bad) == ContentAdmission::kBlocked);

  SECTION("an endpoint that ends again delays the next trial, for all entries") {
    fixture.here.OnCrash(bad, EndpointRun(99), fixture.clock.GetNow(), true);
    fixture.peer.ApplyReports(fixture.here.GetReports());
    fixture.peer.SetTrialOwner(true);
    fixture.clock.Advance(std::chrono::minutes(11));
    CHECK(fixture.here.Admit(bad) == ContentAdmission::kBlocked);
    CHECK(fixture.peer.Admit(bad) == ContentAdmission::kBlocked);
    SECTION("and after three trials there is none any more") {
      for (int hours = 0; hours < 48; ++hours) {
        fixture.clock.Advance(std::chrono::minutes(59));
        if (fixture.here.Admit(bad) == ContentAdmission::kTrial) {
          fixture.here.OnCrash(bad, EndpointRun(200 + hours), fixture.clock.GetNow(), true);
        }
      }
      CHECK(fixture.here.GetReports().front().trials == 3);
    }
  }
  SECTION("an answer ends the block everywhere") {
    fixture.clock.Advance(Milliseconds(100));
    fixture.here.OnAnswered(bad);
    fixture.peer.ApplyReports(fixture.here.GetReports());
    CHECK(fixture.here.Admit(bad) == ContentAdmission::kAllowed);
    CHECK(fixture.peer.Admit(bad) == ContentAdmission::kAllowed);
  }
}

// Guards against blocks and evidence that entries keep alive for each other, and against memory without a limit.
TEST_CASE("Parts that nobody sends any more are forgotten") {
  QuarantineFixture fixture;
  for (int i = 0; i < 4; ++i) fixture.Crash({"bad"});
  for (int minute = 0; minute < 90; ++minute) {
    fixture.clock.Advance(std::chrono::minutes(1));
    fixture.peer.ApplyReports(fixture.here.GetReports());
    fixture.here.ApplyReports(fixture.peer.GetReports());
  }
  CHECK(fixture.here.GetReports().empty());
  CHECK(fixture.peer.GetReports().empty());
  CHECK(fixture.here.Admit(MakeParts({"bad"})) == ContentAdmission::kAllowed);
  CHECK(fixture.peer.Admit(MakeParts({"bad"})) == ContentAdmission::kAllowed);

  SECTION("a caller with countless parts does not displace a blocked one") {
    for (int i = 0; i < 4; ++i) fixture.Crash({"bad2"});
    for (int i = 0; i < 500; ++i) fixture.Crash({"part" + std::to_string(i)});
    CHECK(fixture.IsBlocked({"bad2"}));
    CHECK(fixture.here.GetReports().size() <= 8);
  }
}

// Two processes that repeat what they hear, and what they know is some time old when it arrives.
void RepeatReports(QuarantineFixture& fixture, Duration time, Duration delay) {
  const TimePoint end = fixture.clock.GetNow() + time;
  while (fixture.clock.GetNow() < end) {
    for (const auto& [from, to] : {std::pair(&fixture.here, &fixture.peer), std::pair(&fixture.peer, &fixture.here)}) {
      const auto reports = from->GetReports();
      fixture.clock.Advance(delay);
      to->ApplyReports(reports);
    }
  }
}

// Guards against processes that keep a block young for each other, because a report is older when it arrives.
TEST_CASE("A block is forgotten in time although processes repeat it with a delay") {
  QuarantineFixture fixture;
  for (int i = 0; i < 4; ++i) fixture.Crash({"bad"});
  RepeatReports(fixture, std::chrono::minutes(62), Milliseconds(20));
  CHECK(fixture.here.GetReports().empty());
  CHECK(fixture.peer.GetReports().empty());
}

// Guards against evidence that comes back from a peer after it has expired, and counts again.
TEST_CASE("Evidence that has expired does not come back from a process that repeats it") {
  QuarantineFixture fixture;
  for (int i = 0; i < 3; ++i) fixture.Crash({"bad"});
  const auto reports = fixture.here.GetReports();
  fixture.clock.Advance(std::chrono::seconds(61));
  fixture.Crash({"bad"});
  auto repeated = reports;
  AddAge(repeated, std::chrono::seconds(61) + Milliseconds(200));
  fixture.here.ApplyReports(repeated);
  CHECK_FALSE(fixture.IsBlocked({"bad"}));
  CHECK(fixture.here.GetReports().front().crashes.size() == 1);
}

// Guards against a block that is lost when all entries restart at once while other processes live on.
TEST_CASE("A process without requests keeps blocks for entries that start") {
  QuarantineFixture fixture;
  CrashQuarantine keeper(fixture.clock);
  for (int i = 0; i < 3; ++i) fixture.Crash({"bad", "s" + std::to_string(i)});
  keeper.ApplyVerdicts(fixture.here.GetReports());

  SECTION("but no evidence, of which it cannot learn that it was wrong") { CHECK(keeper.GetReports().empty()); }
  SECTION("a block, with its ages") {
    fixture.Crash({"bad", "s3"});
    const auto known = fixture.here.GetReports();
    keeper.ApplyVerdicts(known);
    fixture.clock.Advance(std::chrono::minutes(5));
    CrashQuarantine started(fixture.clock);
    started.ApplyReports(keeper.GetReports());
    CHECK(started.IsBlocked(MakeParts({"bad", "x"})));
    const ContentReport report = started.GetReports().front();
    CHECK(*report.blocked_age == *known.front().blocked_age + std::chrono::minutes(5));
    CHECK(report.last_crash_age == known.front().last_crash_age + std::chrono::minutes(5));
    CHECK(report.used_age == known.front().used_age + std::chrono::minutes(5));
    CHECK(report.crashes.size() == known.front().crashes.size());
    SECTION("and for no longer than entries do") {
      fixture.clock.Advance(std::chrono::minutes(56));
      CHECK(keeper.GetReports().empty());
      CHECK(started.GetReports().empty());
    }
  }
}

// Passes reports through a beacon.
std::vector<ContentReport> SendInBeacon(const std::vector<ContentReport>& reports) {
  BeaconInfo beacon;
  beacon.vm = VmId("127.0.0.1");
  beacon.content_reports = reports;
  const std::optional<BeaconInfo> received = DecodeBeacon(EncodeBeacon(beacon));
  REQUIRE(received.has_value());
  return received->content_reports;
}

// Guards against a block that comes back from a process that did not hear that an answer had ended it.
TEST_CASE("A block that an answer has ended does not come back from a process that was cut off") {
  QuarantineFixture fixture;
  CrashQuarantine cut_off(fixture.clock);
  CrashQuarantine keeper(fixture.clock);
  for (int i = 0; i < 4; ++i) fixture.Crash({"part"});
  cut_off.ApplyVerdicts(fixture.here.GetReports());
  fixture.clock.Advance(Milliseconds(100));
  fixture.here.OnAnswered(MakeParts({"part"}));
  keeper.ApplyVerdicts(fixture.here.GetReports());
  fixture.clock.Advance(std::chrono::minutes(50));

  SECTION("to the entry that saw the answer") {
    fixture.here.ApplyReports(cut_off.GetReports());
    CHECK_FALSE(fixture.IsBlocked({"part"}));
  }
  SECTION("to an entry that has started since") {
    for (const bool is_cut_off_first : {false, true}) {
      CrashQuarantine started(fixture.clock);
      if (is_cut_off_first) started.ApplyReports(cut_off.GetReports());
      started.ApplyReports(SendInBeacon(keeper.GetReports()));
      started.ApplyReports(cut_off.GetReports());
      CHECK_FALSE(started.IsBlocked(MakeParts({"part"})));
    }
  }
  SECTION("and the process that was cut off learns of the answer") {
    cut_off.ApplyVerdicts(keeper.GetReports());
    CHECK_FALSE(cut_off.IsBlocked(MakeParts({"part"})));
  }
  SECTION("but ends after the answer block it again, everywhere") {
    for (int i = 0; i < 4; ++i) fixture.Crash({"part"});
    for (CrashQuarantine* process : {&cut_off, &keeper}) {
      process->ApplyVerdicts(fixture.here.GetReports());
      CHECK(process->IsBlocked(MakeParts({"part"})));
    }
  }
  SECTION("and nobody remembers it for longer than a block lives") {
    fixture.clock.Advance(std::chrono::minutes(12));
    CHECK(fixture.here.GetReports().empty());
    CHECK(keeper.GetReports().empty());
    CHECK(cut_off.GetReports().empty());
  }
}

// Guards against reports that exceed a beacon, and against blocks that never find room in one.
TEST_CASE("More blocks than a beacon holds come in turn") {
  QuarantineFixture fixture;
  for (int part = 0; part < 20; ++part) {
    for (int i = 0; i < 4; ++i) fixture.Crash({"bad" + std::to_string(part)});
  }
  for (int second = 0; second < 20; ++second) {
    const auto reports = fixture.here.GetReports();
    CHECK(reports.size() == 8);
    fixture.peer.ApplyVerdicts(reports);
    fixture.clock.Advance(std::chrono::seconds(1));
  }
  CHECK(fixture.peer.GetBlockedCount() == 20);
}

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
      m_entries[attempt.entry]->OnCrash(attempt.parts, run, attempt.sent_at, has_header);
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
        if (to != from && !m_cut_off.contains(to) && m_random.GetUnit() > 0.3) m_entries[to]->ApplyReports(reports);
      }
      for (const auto& agent : m_agents) {
        if (m_random.GetUnit() > 0.3) agent->ApplyVerdicts(reports);
      }
    }
    for (const auto& agent : m_agents) {
      const auto reports = agent->GetReports();
      for (size_t to = 0; to < m_entries.size(); ++to) {
        if (!m_cut_off.contains(to) && m_random.GetUnit() > 0.3) m_entries[to]->ApplyReports(reports);
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
