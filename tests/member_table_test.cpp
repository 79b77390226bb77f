#include "member_table.h"

#include <catch2/catch.hpp>

namespace plantain {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
const VmId kSelf("self");
const VmId kMember("x");
const VmId kObserver("other");

VmListRow MakeRow(const VmId& vm, bool is_leaving = false) {
  VmListRow row;
  row.vm = vm;
  row.zone = ZoneName("praha");
  row.kind = MemberKind::kEndpoint;
  row.address = IpAddress("127.0.0.1");
  row.is_leaving = is_leaving;
  return row;
}

MemberHeartbeat MakeHeartbeat(const VmId& vm, uint64_t incarnation, uint64_t sequence,
                              MemberState state = MemberState::kServing) {
  MemberHeartbeat heartbeat;
  heartbeat.vm = vm;
  heartbeat.incarnation = Incarnation(incarnation);
  heartbeat.sequence = sequence;
  heartbeat.state = state;
  heartbeat.zone = ZoneName("praha");
  heartbeat.kind = MemberKind::kEndpoint;
  heartbeat.detail = HashDetail(heartbeat);
  return heartbeat;
}

MemberHeartbeat MakeClaim(const VmId& vm, uint64_t incarnation, uint64_t sequence, MemberState state) {
  MemberHeartbeat claim = MakeHeartbeat(vm, incarnation, sequence, state);
  claim.is_brief = true;
  return claim;
}

class MemberTableFixture {
 public:
  MemberTableFixture() : m_table(m_clock, MakeOptions()) { m_table.SetVmList({MakeRow(kMember)}); }

  const MemberInfo* Find(const VmId& vm) {
    m_table.Tick();
    m_view = m_table.MakeView();
    for (const MemberInfo& member : m_view->members) {
      if (member.vm == vm) return &member;
    }
    return nullptr;
  }

  MemberState GetState(const VmId& vm) {
    const MemberInfo* member = Find(vm);
    REQUIRE(member != nullptr);
    return member->state;
  }

  void Advance(Duration step) { m_clock.Advance(step); }
  MemberTable& GetTable() { return m_table; }
  uint64_t GetWallMicroseconds() const {
    return static_cast<uint64_t>(m_clock.GetWallTime().time_since_epoch().count());
  }

 private:
  static MemberTableOptions MakeOptions() {
    MemberTableOptions options;
    options.self = kSelf;
    options.max_unlisted = 3;
    return options;
  }

  VirtualClock m_clock;
  MemberTable m_table;
  std::shared_ptr<const MemberView> m_view;
};

// Guards against requests sent to failed members, and against declaring members dead that never sent a heartbeat.
TEST_CASE("A member's state follows its heartbeats, its silence and the VM list") {
  MemberTableFixture fixture;
  MemberTable& table = fixture.GetTable();

  SECTION("a listed VM without any heartbeat stays unknown") {
    fixture.Advance(std::chrono::hours(1));
    CHECK(fixture.GetState(kMember) == MemberState::kUnknown);
  }

  SECTION("after a first heartbeat") {
    CHECK(table.HandleHeartbeat(MakeHeartbeat(kMember, 5, 1), kMember) == HeartbeatVerdict::kNew);
    CHECK(fixture.GetState(kMember) == MemberState::kServing);

    SECTION("silence makes it suspect, then dead; a later heartbeat of the same incarnation makes it serve again") {
      fixture.Advance(4 * kSecond);
      CHECK(fixture.GetState(kMember) == MemberState::kSuspect);
      fixture.Advance(7 * kSecond);
      CHECK(fixture.GetState(kMember) == MemberState::kDead);
      CHECK(table.HandleHeartbeat(MakeHeartbeat(kMember, 5, 2), kMember) == HeartbeatVerdict::kChanged);
      CHECK(fixture.GetState(kMember) == MemberState::kServing);
    }
    SECTION("a replayed or older heartbeat does not make it live") {
      fixture.Advance(11 * kSecond);
      CHECK(table.HandleHeartbeat(MakeHeartbeat(kMember, 5, 1), kMember) == HeartbeatVerdict::kStale);
      CHECK(table.HandleHeartbeat(MakeHeartbeat(kMember, 4, 9), kMember) == HeartbeatVerdict::kStale);
      CHECK(fixture.GetState(kMember) == MemberState::kDead);
    }
    SECTION("a new incarnation replaces the old one, whose late heartbeats are ignored") {
      CHECK(table.HandleHeartbeat(MakeHeartbeat(kMember, 6, 1, MemberState::kStarting), kMember) ==
            HeartbeatVerdict::kChanged);
      CHECK(table.HandleHeartbeat(MakeHeartbeat(kMember, 5, 7), kMember) == HeartbeatVerdict::kStale);
      CHECK(fixture.GetState(kMember) == MemberState::kStarting);
    }
    SECTION("the leaving state is applied immediately") {
      table.HandleHeartbeat(MakeHeartbeat(kMember, 5, 2, MemberState::kLeaving), kMember);
      CHECK(fixture.GetState(kMember) == MemberState::kLeaving);
    }
    SECTION("the platform's leave notice applies to this incarnation and not to the next one") {
      table.SetVmList({MakeRow(kMember, true)});
      CHECK(fixture.GetState(kMember) == MemberState::kLeaving);
      fixture.Advance(kSecond);
      table.HandleHeartbeat(MakeHeartbeat(kMember, fixture.GetWallMicroseconds(), 1), kMember);
      CHECK(fixture.GetState(kMember) == MemberState::kServing);
    }
    SECTION("when it is no longer listed it stays while it sends heartbeats and is removed when silent") {
      table.SetVmList({});
      CHECK(fixture.GetState(kMember) == MemberState::kServing);
      fixture.Advance(11 * kSecond);
      CHECK(fixture.Find(kMember) == nullptr);
    }
  }
}

// Guards against false failure reports by an observer that has lost contact with only one member.
TEST_CASE("Claims apply to members known through others, and newer heartbeats refute them") {
  MemberTableFixture fixture;
  MemberTable& table = fixture.GetTable();

  SECTION("a claim does not change the state of a member heard directly") {
    table.HandleHeartbeat(MakeHeartbeat(kMember, 5, 3), kMember);
    table.HandleHeartbeat(MakeClaim(kMember, 5, 3, MemberState::kDead), kObserver);
    CHECK(fixture.GetState(kMember) == MemberState::kServing);
    CHECK(table.HandleHeartbeat(MakeClaim(kMember, 5, 2, MemberState::kDead), kObserver) ==
          HeartbeatVerdict::kNeedsAnswer);
    CHECK(table.AnswerQuestion(MakeClaim(kMember, 5, 2, MemberState::kDead))->sequence == 3);
  }
  SECTION("a member known through others") {
    table.HandleHeartbeat(MakeHeartbeat(kMember, 5, 3), kObserver);
    fixture.Advance(60 * kSecond);
    CHECK(fixture.GetState(kMember) == MemberState::kServing);

    SECTION("is dead when an observer claims so, and serves again after a newer heartbeat") {
      CHECK(table.HandleHeartbeat(MakeClaim(kMember, 5, 3, MemberState::kDead), kObserver) ==
            HeartbeatVerdict::kChanged);
      CHECK(fixture.GetState(kMember) == MemberState::kDead);
      table.HandleHeartbeat(MakeHeartbeat(kMember, 5, 4), kObserver);
      CHECK(fixture.GetState(kMember) == MemberState::kServing);
    }
    SECTION("is not affected by a claim about an unknown incarnation or sequence") {
      CHECK(table.HandleHeartbeat(MakeClaim(kMember, 9, 1, MemberState::kDead), kObserver) == HeartbeatVerdict::kStale);
      CHECK(fixture.GetState(kMember) == MemberState::kServing);
    }
    SECTION("becomes suspect after a long time without any heartbeat or claim") {
      fixture.Advance(std::chrono::minutes(11));
      CHECK(fixture.GetState(kMember) == MemberState::kSuspect);
    }
  }
  SECTION("half the suspect time-out causes a question with the newest known sequence") {
    table.HandleHeartbeat(MakeHeartbeat(kMember, 5, 3), kMember);
    CHECK(table.GetQuestions(10).empty());
    fixture.Advance(2 * kSecond);
    const auto questions = table.GetQuestions(10);
    REQUIRE(questions.size() == 1);
    CHECK(questions[0].sequence == 3);
    CHECK(questions[0].is_question);
  }
}

// Guards against invalid heartbeats that fill the table, block a member or impersonate this process.
TEST_CASE("The table rejects impossible heartbeats and stays bounded") {
  MemberTableFixture fixture;
  MemberTable& table = fixture.GetTable();
  const auto future = fixture.GetWallMicroseconds() + 3'600'000'000;
  CHECK(table.HandleHeartbeat(MakeHeartbeat(kMember, future, 1), kMember) == HeartbeatVerdict::kRefusedFuture);
  CHECK(table.HandleHeartbeat(MakeHeartbeat(kSelf, 5, 1), kObserver) == HeartbeatVerdict::kRefusedSelf);
  for (int i = 0; i < 3; ++i) {
    CHECK(table.HandleHeartbeat(MakeHeartbeat(VmId("u" + std::to_string(i)), 5, 1), kObserver) ==
          HeartbeatVerdict::kNew);
  }
  CHECK(table.HandleHeartbeat(MakeHeartbeat(VmId("u3"), 5, 1), kObserver) == HeartbeatVerdict::kRefusedFull);
  // A member without an address is not part of the view, since addresses come from the VM list and the seeds only.
  CHECK(fixture.Find(VmId("u0")) == nullptr);
  table.SetSeedAddress(VmId("u0"), IpAddress("127.0.0.9"));
  CHECK(fixture.GetState(VmId("u0")) == MemberState::kServing);
  fixture.Advance(11 * kSecond);
  CHECK(fixture.Find(VmId("u0")) == nullptr);
  CHECK(table.HandleHeartbeat(MakeHeartbeat(VmId("u3"), 5, 1), kObserver) == HeartbeatVerdict::kNew);
}

// Guards against missing a change of holdings because the heartbeat was brief.
TEST_CASE("A brief heartbeat with a different detail hash requires the full heartbeat") {
  MemberTableFixture fixture;
  MemberTable& table = fixture.GetTable();
  table.HandleHeartbeat(MakeHeartbeat(kMember, 5, 1), kMember);
  MemberHeartbeat full = MakeHeartbeat(kMember, 5, 2);
  full.holdings.push_back({ModelName("m"), AdapterName(), Digest(std::string(32, 'd')), true, 1000});
  full.detail = HashDetail(full);
  MemberHeartbeat brief = full;
  brief.is_brief = true;
  brief.holdings.clear();

  CHECK(table.HandleHeartbeat(brief, kMember) == HeartbeatVerdict::kDetailMissing);
  CHECK(fixture.Find(kMember)->holdings.empty());
  full.sequence = 3;
  CHECK(table.HandleHeartbeat(full, kMember) == HeartbeatVerdict::kChanged);
  CHECK(fixture.Find(kMember)->holdings.size() == 1);
  brief.sequence = 4;
  CHECK(table.HandleHeartbeat(brief, kMember) == HeartbeatVerdict::kAdvanced);
  CHECK(fixture.Find(kMember)->holdings.size() == 1);
}

}  // namespace
}  // namespace plantain
