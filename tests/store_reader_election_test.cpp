#include "store_reader_election.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>

#include "beacon_table.h"

namespace plantain {
namespace {

constexpr size_t kDirectReaders = 8;
constexpr Duration kStep = Milliseconds(10);
constexpr Duration kPeriod = Milliseconds(100);
// Time of a first read of both topics.
constexpr Duration kListingTime = Milliseconds(60);

// The entries of one zone with their beacons, on a link without delay. Each entry reads as StoreFollower does.
class ElectedZone {
 public:
  explicit ElectedZone(size_t count) {
    for (size_t i = 0; i < count; ++i) Add();
  }

  void Add() {
    const VmId vm("10.0.0." + std::to_string(m_entries.size() + 1));
    Entry entry{vm, StoreReaderElection(m_clock, vm, ZoneName("praha-a"), kDirectReaders)};
    entry.since = m_clock.GetNow();
    m_entries.push_back(std::move(entry));
  }

  void Run(Duration time) {
    for (Duration passed{}; passed < time; passed += kStep) Step();
  }

  // Returns the time until a condition holds, at most 10 s.
  template <typename Condition>
  Duration RunUntil(const Condition& condition) {
    Duration passed{};
    for (; passed < std::chrono::seconds(10) && !condition(); passed += kStep) Step();
    return passed;
  }

  std::vector<size_t> GetReaders() const {
    std::vector<size_t> readers;
    for (size_t i = 0; i < m_entries.size(); ++i) {
      if (m_entries[i].is_alive && m_entries[i].role != ReaderRole::kStandby) readers.push_back(i);
    }
    return readers;
  }
  // Whether one entry alone reads and has answers.
  bool IsSettled() const {
    const std::vector<size_t> readers = GetReaders();
    return readers.size() == 1 && m_entries[readers.front()].reading == StoreReading::kFollowing;
  }
  size_t GetMostReaders() const { return m_most_readers; }
  void ForgetMostReaders() { m_most_readers = 0; }

  void Kill(size_t entry) { m_entries[entry].is_alive = false; }
  // Lets an entry neither send nor receive beacons.
  void CutOff(size_t entry, bool is_cut = true) { m_entries[entry].is_cut = is_cut; }
  void Refuse(size_t entry) { m_entries[entry].is_refused = true; }
  void SetStoreUp(bool is_up) { m_is_store_up = is_up; }
  // Every n-th beacon is lost; 0 for none.
  void LoseEvery(size_t n) { m_lost_every = n; }

  std::optional<bool> GetReachable(size_t entry) const { return m_entries[entry].result.is_store_reachable; }

 private:
  struct Entry {
    VmId vm;
    StoreReaderElection election;
    bool is_alive = true;
    bool is_cut = false;
    bool is_refused = false;
    ReaderRole role = ReaderRole::kDirect;
    StoreReading reading = StoreReading::kStarting;
    // Since when `reading` holds.
    TimePoint since{};
    TimePoint next_beacon{};
    ElectionResult result{};
    std::map<VmId, ZoneEntry> heard{};
  };

  void SetReading(Entry& entry, StoreReading reading) {
    if (entry.reading == reading) return;
    entry.reading = reading;
    entry.since = m_clock.GetNow();
    entry.next_beacon = m_clock.GetNow();
  }

  void Read(Entry& entry) {
    if (entry.role == ReaderRole::kStandby) return SetReading(entry, StoreReading::kStandby);
    if (entry.reading == StoreReading::kStandby) SetReading(entry, StoreReading::kStarting);
    const bool is_done = entry.reading != StoreReading::kStarting || m_clock.GetNow() - entry.since >= kListingTime;
    const bool is_answered = m_is_store_up && !entry.is_refused;
    if (is_done) SetReading(entry, is_answered ? StoreReading::kFollowing : StoreReading::kFailing);
  }

  void Decide(Entry& entry) {
    std::vector<ZoneEntry> others;
    for (const auto& [vm, heard] : entry.heard) {
      if (m_clock.GetNow() - heard.heard_at < Milliseconds(2500)) others.push_back(heard);
    }
    entry.result = entry.election.Decide(others, entry.reading);
    entry.role = entry.result.role;
  }

  void Send(Entry& from) {
    from.next_beacon = m_clock.GetNow() + kPeriod;
    const StoreStatement statement{from.reading, m_clock.GetNow() - from.since, {}};
    for (Entry& to : m_entries) {
      if (&to == &from || !to.is_alive || to.is_cut || from.is_cut) continue;
      if (m_lost_every > 0 && ++m_sent % m_lost_every == 0) continue;
      to.heard[from.vm] = {from.vm, statement, m_clock.GetNow(), kPeriod};
    }
  }

  void Step() {
    m_clock.Advance(kStep);
    for (Entry& entry : m_entries) {
      if (!entry.is_alive) continue;
      Decide(entry);
      Read(entry);
      if (entry.next_beacon <= m_clock.GetNow()) Send(entry);
    }
    m_most_readers = std::max(m_most_readers, GetReaders().size());
  }

  VirtualClock m_clock;
  std::deque<Entry> m_entries;
  bool m_is_store_up = true;
  size_t m_lost_every = 0;
  size_t m_sent = 0;
  size_t m_most_readers = 0;
};

// Guards against a link between regions that carries each configuration once for each entry, and against a changed
// behaviour of small zones.
TEST_CASE("In a large zone one entry reads the store, in a small one all do") {
  const size_t count = GENERATE(1, 4, 8, 9, 19, 24, 123);
  CAPTURE(count);
  ElectedZone zone(count);
  zone.Run(std::chrono::seconds(1));
  if (count <= kDirectReaders) {
    CHECK(zone.GetReaders().size() == count);
    return;
  }
  CHECK(zone.IsSettled());
  zone.ForgetMostReaders();
  zone.Run(std::chrono::seconds(5));
  CHECK(zone.GetMostReaders() == 1);

  SECTION("an entry that joins reads until it hears the reader") {
    const std::vector<size_t> before = zone.GetReaders();
    zone.Add();
    zone.Run(Milliseconds(300));
    CHECK(zone.IsSettled());
  }
}

// Guards against configurations that come late because the reader of the zone died, stands still or cannot be heard.
TEST_CASE("Another entry takes over from a reader that is not heard") {
  const size_t count = GENERATE(9, 19, 24, 60);
  CAPTURE(count);
  ElectedZone zone(count);
  zone.Run(std::chrono::seconds(1));
  const size_t reader = zone.GetReaders().front();
  zone.ForgetMostReaders();

  SECTION("killed") {
    zone.Kill(reader);
    CHECK(zone.RunUntil([&] { return zone.IsSettled(); }) <= Milliseconds(500));
    CHECK(zone.GetMostReaders() <= 2);
  }
  SECTION("killed together with the one that would follow") {
    ElectedZone probe(count);
    probe.Run(std::chrono::seconds(1));
    probe.Kill(reader);
    probe.Run(std::chrono::seconds(1));
    zone.Kill(reader);
    zone.Kill(probe.GetReaders().front());
    CHECK(zone.RunUntil([&] { return zone.IsSettled(); }) <= Milliseconds(600));
  }
  SECTION("cut off and back again") {
    zone.CutOff(reader);
    zone.Run(Milliseconds(500));
    REQUIRE(zone.GetReaders().size() == 2);
    zone.CutOff(reader, false);
    zone.Run(Milliseconds(300));
    CHECK(zone.IsSettled());
  }
}

// Guards against a zone without news while only its reader is refused by the store.
TEST_CASE("Another entry takes over from a reader that the store refuses") {
  ElectedZone zone(20);
  zone.Run(std::chrono::seconds(1));
  const size_t reader = zone.GetReaders().front();
  zone.Refuse(reader);
  CHECK(zone.RunUntil([&] { return zone.IsSettled() && zone.GetReaders().front() != reader; }) <= Milliseconds(500));
  zone.ForgetMostReaders();
  zone.Run(std::chrono::seconds(3));
  CHECK(zone.GetMostReaders() == 1);
}

// Guards against an outage that entries do not notice, after which nobody reads the store again, or after which all go
// on reading.
TEST_CASE("All entries of a zone try to reach a store that is away, and all but one stop when it returns") {
  ElectedZone zone(24);
  zone.Run(std::chrono::seconds(1));
  const size_t reader = zone.GetReaders().front();
  zone.SetStoreUp(false);
  zone.Run(Milliseconds(300));
  for (size_t i = 0; i < 24; ++i) {
    if (i != reader) CHECK(zone.GetReachable(i) == false);
  }
  zone.Run(std::chrono::seconds(5));
  CHECK(zone.GetReaders().size() == 24);
  zone.SetStoreUp(true);
  CHECK(zone.RunUntil([&] { return zone.IsSettled(); }) <= Milliseconds(500));
}

// Guards against a change of readers, and calls to the store, with each lost beacon.
TEST_CASE("Lost beacons do not change the reader") {
  ElectedZone zone(24);
  zone.Run(std::chrono::seconds(1));
  zone.ForgetMostReaders();
  zone.LoseEvery(7);
  zone.Run(std::chrono::seconds(20));
  CHECK(zone.IsSettled());
  CHECK(zone.GetMostReaders() <= 2);
}

// Guards against a zone without a reader while processes of a version that states nothing are being replaced.
TEST_CASE("Entries that state nothing are never relied on") {
  VirtualClock clock;
  StoreReaderElection election(clock, VmId("10.0.0.1"), ZoneName("praha-a"), kDirectReaders);
  std::vector<ZoneEntry> others;
  for (int i = 2; i < 20; ++i) others.push_back({VmId("10.0.0." + std::to_string(i)), {}, clock.GetNow(), kPeriod});
  CHECK(election.Decide(others, StoreReading::kFollowing).role == ReaderRole::kReader);
  CHECK(election.Decide(others, StoreReading::kStandby).role == ReaderRole::kReader);
}

// Guards against fields that the other process does not read.
TEST_CASE("A beacon carries the statement about the store") {
  BeaconInfo beacon;
  beacon.vm = VmId("10.0.0.3");
  CHECK(DecodeBeacon(EncodeBeacon(beacon))->store.reading == StoreReading::kNotStated);
  beacon.store = {StoreReading::kFollowing, Milliseconds(1200), Milliseconds(700)};
  const StoreStatement decoded = DecodeBeacon(EncodeBeacon(beacon))->store;
  CHECK(decoded.reading == StoreReading::kFollowing);
  CHECK(decoded.reading_age == Milliseconds(1200));
  CHECK(decoded.operator_age == Milliseconds(700));
}

}  // namespace
}  // namespace plantain
