#include "member_table.h"

#include <catch2/catch.hpp>

namespace plantain {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
const VmId kSelf("self");
const VmId kX("x");
const VmId kOther("other");

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

class TableStory {
 public:
  TableStory() : m_table(m_clock, MakeOptions()) { m_table.SetVmList({MakeRow(kX)}); }

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
  TableStory story;
  MemberTable& table = story.GetTable();

  SECTION("a listed VM without any heartbeat stays unknown") {
    story.Advance(std::chrono::hours(1));
    CHECK(story.GetState(kX) == MemberState::kUnknown);
  }

  SECTION("after a first heartbeat") {
    CHECK(table.TakeHeartbeat(MakeHeartbeat(kX, 5, 1), kX) == HeartbeatVerdict::kNew);
    CHECK(story.GetState(kX) == MemberState::kServing);

    SECTION("silence makes it suspect, then dead; a later heartbeat of the same incarnation makes it serve again") {
      story.Advance(4 * kSecond);
      CHECK(story.GetState(kX) == MemberState::kSuspect);
      story.Advance(7 * kSecond);
      CHECK(story.GetState(kX) == MemberState::kDead);
      CHECK(table.TakeHeartbeat(MakeHeartbeat(kX, 5, 2), kX) == HeartbeatVerdict::kChanged);
      CHECK(story.GetState(kX) == MemberState::kServing);
    }
    SECTION("a replayed or older heartbeat does not make it live") {
      story.Advance(11 * kSecond);
      CHECK(table.TakeHeartbeat(MakeHeartbeat(kX, 5, 1), kX) == HeartbeatVerdict::kStale);
      CHECK(table.TakeHeartbeat(MakeHeartbeat(kX, 4, 9), kX) == HeartbeatVerdict::kStale);
      CHECK(story.GetState(kX) == MemberState::kDead);
    }
    SECTION("a new incarnation replaces the old one, whose late heartbeats are ignored") {
      CHECK(table.TakeHeartbeat(MakeHeartbeat(kX, 6, 1, MemberState::kStarting), kX) == HeartbeatVerdict::kChanged);
      CHECK(table.TakeHeartbeat(MakeHeartbeat(kX, 5, 7), kX) == HeartbeatVerdict::kStale);
      CHECK(story.GetState(kX) == MemberState::kStarting);
    }
    SECTION("the leaving state is applied immediately") {
      table.TakeHeartbeat(MakeHeartbeat(kX, 5, 2, MemberState::kLeaving), kX);
      CHECK(story.GetState(kX) == MemberState::kLeaving);
    }
    SECTION("the platform's leave notice applies to this incarnation and not to the next one") {
      table.SetVmList({MakeRow(kX, true)});
      CHECK(story.GetState(kX) == MemberState::kLeaving);
      story.Advance(kSecond);
      table.TakeHeartbeat(MakeHeartbeat(kX, story.GetWallMicroseconds(), 1), kX);
      CHECK(story.GetState(kX) == MemberState::kServing);
    }
    SECTION("when it is no longer listed it stays while it sends heartbeats and is removed when silent") {
      table.SetVmList({});
      CHECK(story.GetState(kX) == MemberState::kServing);
      story.Advance(11 * kSecond);
      CHECK(story.Find(kX) == nullptr);
    }
  }
}

// Guards against false failure reports by an observer that has lost contact with only one member.
TEST_CASE("Claims apply to members known through others, and newer heartbeats refute them") {
  TableStory story;
  MemberTable& table = story.GetTable();

  SECTION("a claim does not change the state of a member heard directly") {
    table.TakeHeartbeat(MakeHeartbeat(kX, 5, 3), kX);
    table.TakeHeartbeat(MakeClaim(kX, 5, 3, MemberState::kDead), kOther);
    CHECK(story.GetState(kX) == MemberState::kServing);
    CHECK(table.TakeHeartbeat(MakeClaim(kX, 5, 2, MemberState::kDead), kOther) == HeartbeatVerdict::kToAnswer);
    CHECK(table.AnswerQuestion(MakeClaim(kX, 5, 2, MemberState::kDead))->sequence == 3);
  }
  SECTION("a member known through others") {
    table.TakeHeartbeat(MakeHeartbeat(kX, 5, 3), kOther);
    story.Advance(60 * kSecond);
    CHECK(story.GetState(kX) == MemberState::kServing);

    SECTION("is dead when an observer claims so, and serves again after a newer heartbeat") {
      CHECK(table.TakeHeartbeat(MakeClaim(kX, 5, 3, MemberState::kDead), kOther) == HeartbeatVerdict::kChanged);
      CHECK(story.GetState(kX) == MemberState::kDead);
      table.TakeHeartbeat(MakeHeartbeat(kX, 5, 4), kOther);
      CHECK(story.GetState(kX) == MemberState::kServing);
    }
    SECTION("is not affected by a claim about an unknown incarnation or sequence") {
      CHECK(table.TakeHeartbeat(MakeClaim(kX, 9, 1, MemberState::kDead), kOther) == HeartbeatVerdict::kStale);
      CHECK(story.GetState(kX) == MemberState::kServing);
    }
    SECTION("becomes suspect after a long time without any heartbeat or claim") {
      story.Advance(std::chrono::minutes(11));
      CHECK(story.GetState(kX) == MemberState::kSuspect);
    }
  }
  SECTION("half the suspect time-out causes a question with the newest known sequence") {
    table.TakeHeartbeat(MakeHeartbeat(kX, 5, 3), kX);
    CHECK(table.GetQuestions(10).empty());
    story.Advance(2 * kSecond);
    const auto questions = table.GetQuestions(10);
    REQUIRE(questions.size() == 1);
    CHECK(questions[0].sequence == 3);
    CHECK(questions[0].is_question);
  }
}

// Guards against invalid heartbeats that fill the table, block a member or impersonate this process.
TEST_CASE("The table rejects impossible heartbeats and stays bounded") {
  TableStory story;
  MemberTable& table = story.GetTable();
  const auto future = story.GetWallMicroseconds() + 3'600'000'000;
  CHECK(table.TakeHeartbeat(MakeHeartbeat(kX, future, 1), kX) == HeartbeatVerdict::kRefusedFuture);
  CHECK(table.TakeHeartbeat(MakeHeartbeat(kSelf, 5, 1), kOther) == HeartbeatVerdict::kRefusedSelf);
  for (int i = 0; i < 3; ++i) {
    CHECK(table.TakeHeartbeat(MakeHeartbeat(VmId("u" + std::to_string(i)), 5, 1), kOther) == HeartbeatVerdict::kNew);
  }
  CHECK(table.TakeHeartbeat(MakeHeartbeat(VmId("u3"), 5, 1), kOther) == HeartbeatVerdict::kRefusedFull);
  // A member without an address is not part of the view, since addresses come from the VM list and the seeds only.
  CHECK(story.Find(VmId("u0")) == nullptr);
  table.SetSeedAddress(VmId("u0"), IpAddress("127.0.0.9"));
  CHECK(story.GetState(VmId("u0")) == MemberState::kServing);
  story.Advance(11 * kSecond);
  CHECK(story.Find(VmId("u0")) == nullptr);
  CHECK(table.TakeHeartbeat(MakeHeartbeat(VmId("u3"), 5, 1), kOther) == HeartbeatVerdict::kNew);
}

// Guards against missing a change of holdings because the heartbeat was brief.
TEST_CASE("A brief heartbeat with a different detail hash requires the full heartbeat") {
  TableStory story;
  MemberTable& table = story.GetTable();
  table.TakeHeartbeat(MakeHeartbeat(kX, 5, 1), kX);
  MemberHeartbeat full = MakeHeartbeat(kX, 5, 2);
  full.holdings.push_back({ModelName("m"), AdapterName(), Digest(std::string(32, 'd')), true, 1000});
  full.detail = HashDetail(full);
  MemberHeartbeat brief = full;
  brief.is_brief = true;
  brief.holdings.clear();

  CHECK(table.TakeHeartbeat(brief, kX) == HeartbeatVerdict::kDetailMissing);
  CHECK(story.Find(kX)->holdings.empty());
  full.sequence = 3;
  CHECK(table.TakeHeartbeat(full, kX) == HeartbeatVerdict::kChanged);
  CHECK(story.Find(kX)->holdings.size() == 1);
  brief.sequence = 4;
  CHECK(table.TakeHeartbeat(brief, kX) == HeartbeatVerdict::kAdvanced);
  CHECK(story.Find(kX)->holdings.size() == 1);
}

}  // namespace
}  // namespace plantain
