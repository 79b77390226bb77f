#include "rollout.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <optional>
#include <string>

#include "clock.h"
#include "document_func.h"
#include "random.h"

namespace plantain {
namespace {

const Digest kOld(std::string(32, 'o'));
const Digest kNew(std::string(32, 'n'));
const WeightSlot kSlot{ModelName("drafting"), AdapterName()};

Document MakeDocument() {
  Document document;
  ZoneSpec zone;
  zone.name = ZoneName("praha");
  document.zones.push_back(zone);
  document.rollout.floor = 0.5;
  document.rollout.wave = 0.5;
  return document;
}

// Returns a VM that serves the old version and has all chunks of the new one.
MemberInfo MakeMember(int number, uint32_t limit, uint32_t in_flight) {
  MemberInfo member;
  member.vm = VmId("vm-" + std::to_string(number));
  member.zone = ZoneName("praha");
  member.pool = PoolName("drafting");
  member.kind = MemberKind::kEndpoint;
  member.state = MemberState::kServing;
  member.limit = limit;
  member.in_flight = in_flight;
  member.holdings = {{kSlot.model, kSlot.adapter, kOld, true, 1000}, {kSlot.model, kSlot.adapter, kNew, false, 1000}};
  return member;
}

// Returns the same VM after its swap: cold, with a low concurrency limit.
MemberInfo MakeSwappedMember(int number) {
  MemberInfo member = MakeMember(number, 2, 2);
  member.holdings = {{kSlot.model, kSlot.adapter, kNew, true, 1000}};
  return member;
}

// Returns the number of VMs that have not swapped yet and may do so now.
size_t CountAllowedSwaps(RolloutPolicy& policy, const Document& document, const MemberView& view) {
  size_t count = 0;
  for (const MemberInfo& member : view.members) {
    if (member.holdings.size() == 1) continue;
    const SwapQuery query{member.vm, member.zone, member.pool, kSlot, kNew};
    count += policy.Decide(document, view, query) == SwapDecision::kGo ? 1 : 0;
  }
  return count;
}

// Guards against a rollout that removes capacity needed for the current load.
TEST_CASE("A rollout limits how many VMs swap at the same time") {
  VirtualClock clock;
  RolloutPolicy policy(clock, Duration(0));
  Document document = MakeDocument();
  MemberView view;
  for (int i = 0; i < 6; ++i) view.members.push_back(MakeMember(i, 16, 0));

  SECTION("given an idle pool, as many VMs swap at once as the wave size allows") {
    CHECK(CountAllowedSwaps(policy, document, view) == 3);
  }

  SECTION("given cold VMs that have just loaded and a load that exceeds the capacity of the others, the rest wait") {
    for (int i = 0; i < 4; ++i) view.members[i] = MakeSwappedMember(i);
    view.members[4].in_flight = 8;
    view.members[5].in_flight = 8;
    CHECK(CountAllowedSwaps(policy, document, view) == 0);

    SECTION("but only for a bounded time, since an overload may persist") {
      clock.Advance(std::chrono::seconds(19));
      CHECK(CountAllowedSwaps(policy, document, view) == 0);
      clock.Advance(std::chrono::seconds(1));
      CHECK(CountAllowedSwaps(policy, document, view) == 1);
    }

    SECTION("and a hurried rollout waits for a shorter time") {
      document.rollout.priority = RolloutPriority::kUrgent;
      clock.Advance(std::chrono::seconds(2));
      CHECK(CountAllowedSwaps(policy, document, view) == 1);
    }

    SECTION("and continue once the loaded VMs are warm") {
      for (MemberInfo& member : view.members) member.limit = 16;
      CHECK(CountAllowedSwaps(policy, document, view) > 0);
    }
  }

  SECTION("given a pool of one VM, it swaps without waiting, since capacity would never become available") {
    view.members.resize(1);
    view.members[0].in_flight = 10;
    CHECK(CountAllowedSwaps(policy, document, view) == 1);
  }

  SECTION("given a high error rate, the rollout pauses") {
    AdmissionReport report;
    policy.OnAdmission(report);
    report.succeeded = 50;
    report.failed = 50;
    policy.OnAdmission(report);
    CHECK(CountAllowedSwaps(policy, document, view) == 0);
  }
}

// Simulates a pool whose VMs see each other's state with a delay, as with heartbeats.
class DelayedViewPool {
 public:
  DelayedViewPool(size_t count, Duration settle, uint64_t seed) : m_random(seed), m_document(MakeDocument()) {
    m_document.rollout.wave = 0.34;
    for (size_t i = 0; i < count; ++i) {
      MemberInfo member = MakeMember(static_cast<int>(i), 16, 0);
      member.holdings[1].permille = 900;
      const TimePoint ready_at = m_clock.GetNow() + Milliseconds(m_random.GetBelow(300));
      m_nodes.push_back({RolloutPolicy(m_clock, settle), std::move(member), ready_at, std::nullopt});
    }
  }

  // Runs until all VMs have swapped or a minute has passed. Returns the minimum number of VMs that were serving.
  size_t Run() {
    size_t smallest = m_nodes.size();
    for (int step = 0; step < 1200 && !IsDone(); ++step) {
      Step();
      smallest = std::min(smallest, CountServing());
    }
    return smallest;
  }

  bool IsDone() const {
    return std::all_of(m_nodes.begin(), m_nodes.end(),
                       [](const Node& node) { return node.member.holdings.size() == 1; });
  }

 private:
  static constexpr Duration kStep = Milliseconds(50);
  static constexpr Duration kSwapTime = Milliseconds(600);
  // Maximum delay of a view, in steps.
  static constexpr size_t kMaxViewDelaySteps = 20;

  struct Node {
    RolloutPolicy policy;
    MemberInfo member;
    TimePoint ready_at;
    std::optional<TimePoint> swap_done_at;
  };

  void Step() {
    MemberView now;
    for (const Node& node : m_nodes) now.members.push_back(node.member);
    m_views.push_back(std::move(now));
    if (m_views.size() > kMaxViewDelaySteps + 1) m_views.pop_front();
    for (size_t i = 0; i < m_nodes.size(); ++i) StepNode(i);
    m_clock.Advance(kStep);
  }

  void StepNode(size_t index) {
    Node& node = m_nodes[index];
    if (m_clock.GetNow() >= node.ready_at && node.member.holdings.size() == 2) node.member.holdings[1].permille = 1000;
    if (node.swap_done_at.has_value()) {
      if (m_clock.GetNow() < *node.swap_done_at) return;
      node.member.holdings = {{kSlot.model, kSlot.adapter, kNew, true, 1000}};
      node.swap_done_at.reset();
      return;
    }
    if (node.member.holdings.size() == 1 || node.member.holdings[1].permille < 1000) return;
    MemberView view = m_views[m_random.GetBelow(m_views.size())];
    view.members[index] = node.member;
    const SwapQuery query{node.member.vm, node.member.zone, node.member.pool, kSlot, kNew};
    if (node.policy.Decide(m_document, view, query) != SwapDecision::kGo) return;
    node.member.holdings[0].is_serving = false;
    node.swap_done_at = m_clock.GetNow() + kSwapTime;
  }

  size_t CountServing() const {
    return static_cast<size_t>(std::count_if(m_nodes.begin(), m_nodes.end(),
                                             [](const Node& node) { return node.member.holdings.front().is_serving; }));
  }

  VirtualClock m_clock;
  SeededRandom m_random;
  Document m_document;
  std::vector<Node> m_nodes;
  std::deque<MemberView> m_views;
};

// Guards against VMs that become ready at the same time and all swap at once, because their views are outdated.
TEST_CASE("The serving floor holds with outdated views") {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    DelayedViewPool pool(9, kReadinessSettle, seed);
    CHECK(pool.Run() >= 5);
    CHECK(pool.IsDone());
  }

  SECTION("and is violated without the settle time, which shows that the settle time is needed") {
    DelayedViewPool pool(9, Duration(0), 1);
    CHECK(pool.Run() < 5);
  }
}

}  // namespace
}  // namespace plantain
