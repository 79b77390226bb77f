#include "crash_quarantine.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "beacon_table.h"
#include "content_parts.h"
#include "random.h"

namespace plantain {
namespace {

struct QuarantineFixture {
  // Sends a request after some time and ends the endpoint that works on it.
  void Crash(const std::vector<std::string>& parts, CrashQuarantine& quarantine) {
    clock.Advance(Milliseconds(100));
    const TimePoint sent_at = clock.GetNow();
    clock.Advance(Milliseconds(100));
    quarantine.OnCrash(MakeParts(parts), EndpointRun(++run), sent_at, AnswerProgress::kHeader);
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
    fixture.peer.ApplyReports(kPeer, fixture.here.GetReports());
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
  fixture.here.ApplyReports(kPeer, fixture.peer.GetReports());
  CHECK(fixture.IsBlocked({"bad"}));
  CHECK_FALSE(fixture.peer.IsBlocked(MakeParts({"bad"})));
  fixture.peer.ApplyReports(kPeer, fixture.here.GetReports());
  CHECK(fixture.peer.IsBlocked(MakeParts({"bad"})));

  SECTION("the same end counts once, whoever reports it") {
    QuarantineFixture other;
    other.Crash({"rare"}, other.here);
    for (int i = 0; i < 5; ++i) {
      other.peer.ApplyReports(kPeer, other.here.GetReports());
      other.here.ApplyReports(kPeer, other.peer.GetReports());
    }
    CHECK(other.here.GetReports().front().crashes.size() == 1);
  }
  SECTION("an answer that a peer saw removes evidence from before it") {
    fixture.clock.Advance(Milliseconds(10));
    fixture.peer.OnAnswered(MakeParts({"bad"}));
    fixture.here.ApplyReports(kPeer, fixture.peer.GetReports());
    CHECK_FALSE(fixture.IsBlocked({"bad"}));
    SECTION("also when a third entry repeats the old evidence") {
      CrashQuarantine third(fixture.clock);
      fixture.here.ApplyReports(kPeer, third.GetReports());
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
      fixture.here.OnCrash(MakeParts({"rare"}), EndpointRun(run), sent_at, AnswerProgress::kHeader);
    }
    CHECK_FALSE(fixture.IsBlocked({"rare"}));
  }
  SECTION("but those that end later at requests sent later are, however many ended at that moment") {
    const TimePoint sent_at = fixture.clock.GetNow();
    fixture.clock.Advance(Milliseconds(200));
    for (uint64_t run = 100; run < 116; ++run) {
      fixture.here.OnCrash(MakeParts({"bad"}), EndpointRun(run), sent_at, AnswerProgress::kHeader);
    }
    CHECK_FALSE(fixture.IsBlocked({"bad"}));
    fixture.Crash({"bad"});
    fixture.Crash({"bad"});
    CHECK(fixture.IsBlocked({"bad"}));
  }
  SECTION("endpoints that end before or within an answer count less than those that end at its begin") {
    const auto crash = [&] {
      fixture.clock.Advance(Milliseconds(100));
      const TimePoint sent_at = fixture.clock.GetNow();
      fixture.clock.Advance(Milliseconds(100));
      fixture.here.OnCrash(MakeParts({"rare"}), EndpointRun(++fixture.run), sent_at, AnswerProgress::kNone);
    };
    for (int i = 0; i < 4; ++i) crash();
    CHECK_FALSE(fixture.IsBlocked({"rare"}));
    SECTION("but a fifth is enough, since three more requests may reach endpoints after it") {
      crash();
      CHECK(fixture.IsBlocked({"rare"}));
    }
    SECTION("and many are none if attempts without the part lose their endpoints as often") {
      for (uint64_t run = 1000; run < 1400; ++run) {
        fixture.here.OnCrash({}, EndpointRun(run), fixture.clock.GetNow() - Milliseconds(100), AnswerProgress::kNone);
      }
      for (int i = 0; i < 20; ++i) crash();
      CHECK_FALSE(fixture.IsBlocked({"rare"}));
    }
  }
  SECTION("one endpoint that breaks many requests counts once") {
    for (int i = 0; i < 8; ++i) {
      fixture.clock.Advance(Milliseconds(50));
      fixture.here.OnCrash(MakeParts({"rare"}), EndpointRun(1), fixture.clock.GetNow(), AnswerProgress::kHeader);
    }
    CHECK_FALSE(fixture.IsBlocked({"rare"}));
  }
}

// Guards against content that is never blocked because its requests are rare: evidence was dropped after a minute.
TEST_CASE("A part is blocked however rarely it comes") {
  QuarantineFixture fixture;
  const int period_s = GENERATE(14, 45, 300, 700);
  INFO("one request in " << period_s << " s");
  for (int i = 0; i < 5; ++i) {
    CHECK_FALSE(fixture.IsBlocked({"bad"}));
    fixture.clock.Advance(std::chrono::seconds(period_s));
    fixture.here.OnCrash(MakeParts({"bad", "s" + std::to_string(i)}), EndpointRun(++fixture.run),
                         fixture.clock.GetNow() - Milliseconds(50), AnswerProgress::kNone);
    // Sound requests are answered in between.
    fixture.here.OnAnswered(MakeParts({"popular"}));
  }
  CHECK(fixture.IsBlocked({"bad"}));

  SECTION("also at an entry that has started since, when the next end is reported") {
    CrashQuarantine started(fixture.clock);
    started.ApplyReports(kPeer, fixture.here.GetReports());
    CHECK(started.IsBlocked(MakeParts({"bad"})));
  }
  SECTION("but not a part that is answered whole between its ends") {
    for (int i = 0; i < 20; ++i) {
      fixture.clock.Advance(std::chrono::seconds(period_s));
      fixture.here.OnCrash(MakeParts({"rare"}), EndpointRun(++fixture.run), fixture.clock.GetNow() - Milliseconds(50),
                           AnswerProgress::kNone);
      fixture.clock.Advance(std::chrono::seconds(1));
      fixture.here.OnAnswered(MakeParts({"rare"}));
    }
    CHECK_FALSE(fixture.IsBlocked({"rare"}));
  }
}

// Guards against beacons that carry evidence for an hour.
TEST_CASE("Evidence that all peers have heard is not reported any more") {
  QuarantineFixture fixture;
  fixture.Crash({"bad"});
  CHECK(fixture.here.GetReports().size() == 1);
  fixture.clock.Advance(std::chrono::seconds(61));
  CHECK(fixture.here.GetReports().empty());
  fixture.Crash({"bad"});
  CHECK(fixture.here.GetReports().front().crashes.size() == 2);
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
  fixture.peer.ApplyReports(kPeer, fixture.here.GetReports());
  fixture.here.SetTrialOwner(true);
  const auto bad = MakeParts({"bad"});
  CHECK(fixture.here.Admit(bad) == ContentAdmission::kBlocked);
  fixture.clock.Advance(std::chrono::minutes(11));
  CHECK(fixture.peer.Admit(bad) == ContentAdmission::kBlocked);
  REQUIRE(fixture.here.Admit(bad) == ContentAdmission::kTrial);
  CHECK(fixture.here.Admit(bad) == ContentAdmission::kBlocked);

  SECTION("an endpoint that ends again delays the next trial, for all entries") {
    fixture.here.OnCrash(bad, EndpointRun(99), fixture.clock.GetNow(), AnswerProgress::kHeader);
    fixture.peer.ApplyReports(kPeer, fixture.here.GetReports());
    fixture.peer.SetTrialOwner(true);
    fixture.clock.Advance(std::chrono::minutes(11));
    CHECK(fixture.here.Admit(bad) == ContentAdmission::kBlocked);
    CHECK(fixture.peer.Admit(bad) == ContentAdmission::kBlocked);
    SECTION("and after three trials there is none any more") {
      for (int hours = 0; hours < 48; ++hours) {
        fixture.clock.Advance(std::chrono::minutes(59));
        if (fixture.here.Admit(bad) == ContentAdmission::kTrial) {
          fixture.here.OnCrash(bad, EndpointRun(200 + hours), fixture.clock.GetNow(), AnswerProgress::kHeader);
        }
      }
      CHECK(fixture.here.GetReports().front().trials == 3);
    }
  }
  SECTION("an answer ends the block everywhere") {
    fixture.clock.Advance(Milliseconds(100));
    fixture.here.OnAnswered(bad);
    fixture.peer.ApplyReports(kPeer, fixture.here.GetReports());
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
    fixture.peer.ApplyReports(kPeer, fixture.here.GetReports());
    fixture.here.ApplyReports(kPeer, fixture.peer.GetReports());
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
      to->ApplyReports(kPeer, reports);
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
  fixture.clock.Advance(std::chrono::minutes(61));
  fixture.Crash({"bad"});
  auto repeated = reports;
  AddAge(repeated, std::chrono::minutes(61) + Milliseconds(200));
  fixture.here.ApplyReports(kPeer, repeated);
  CHECK_FALSE(fixture.IsBlocked({"bad"}));
  CHECK(fixture.here.GetReports().front().crashes.size() == 1);
}

// Guards against a block that is lost when all entries restart at once while other processes live on.
TEST_CASE("A process without requests keeps blocks for entries that start") {
  QuarantineFixture fixture;
  CrashQuarantine keeper(fixture.clock);
  for (int i = 0; i < 3; ++i) fixture.Crash({"bad", "s" + std::to_string(i)});
  keeper.ApplyVerdicts(kPeer, fixture.here.GetReports());

  SECTION("but no evidence, of which it cannot learn that it was wrong") { CHECK(keeper.GetReports().empty()); }
  SECTION("a block, with its ages") {
    fixture.Crash({"bad", "s3"});
    const auto known = fixture.here.GetReports();
    keeper.ApplyVerdicts(kPeer, known);
    fixture.clock.Advance(std::chrono::minutes(5));
    CrashQuarantine started(fixture.clock);
    started.ApplyReports(kPeer, keeper.GetReports());
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
  cut_off.ApplyVerdicts(kPeer, fixture.here.GetReports());
  fixture.clock.Advance(Milliseconds(100));
  fixture.here.OnAnswered(MakeParts({"part"}));
  keeper.ApplyVerdicts(kPeer, fixture.here.GetReports());
  fixture.clock.Advance(std::chrono::minutes(50));

  SECTION("to the entry that saw the answer") {
    fixture.here.ApplyReports(kPeer, cut_off.GetReports());
    CHECK_FALSE(fixture.IsBlocked({"part"}));
  }
  SECTION("to an entry that has started since") {
    for (const bool is_cut_off_first : {false, true}) {
      CrashQuarantine started(fixture.clock);
      if (is_cut_off_first) started.ApplyReports(kPeer, cut_off.GetReports());
      started.ApplyReports(kPeer, SendInBeacon(keeper.GetReports()));
      started.ApplyReports(kPeer, cut_off.GetReports());
      CHECK_FALSE(started.IsBlocked(MakeParts({"part"})));
    }
  }
  SECTION("and the process that was cut off learns of the answer") {
    cut_off.ApplyVerdicts(kPeer, keeper.GetReports());
    CHECK_FALSE(cut_off.IsBlocked(MakeParts({"part"})));
  }
  SECTION("but ends after the answer block it again, everywhere") {
    for (int i = 0; i < 4; ++i) fixture.Crash({"part"});
    for (CrashQuarantine* process : {&cut_off, &keeper}) {
      process->ApplyVerdicts(kPeer, fixture.here.GetReports());
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
    fixture.peer.ApplyVerdicts(kPeer, reports);
    fixture.clock.Advance(std::chrono::seconds(1));
  }
  CHECK(fixture.peer.GetBlockedCount() == 20);
}

}  // namespace
}  // namespace plantain
