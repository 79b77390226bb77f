#include "route_choose.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "entry_fake.h"

namespace plantain {
namespace {

constexpr uint64_t kSeed = 20261204;

std::vector<MemberInfo> MakeEngines(const std::string& zone, int count, uint32_t limit = 8) {
  std::vector<MemberInfo> members;
  for (int i = 0; i < count; ++i) members.push_back(MakeEngineMember(zone + std::to_string(i), zone, limit));
  return members;
}

// Selects an endpoint and counts the attempt as in flight.
std::optional<VmId> ChooseAndStart(RouteChooser& chooser, const RouteQuery& query) {
  const RouteChoice choice = chooser.Choose(query);
  if (choice.vm.has_value()) chooser.OnAttemptStarted(*choice.vm);
  return choice.vm;
}

RouteQuery MakeQuery() {
  RouteQuery query;
  query.key = kVeilModelKey;
  return query;
}

// Guards against requests sent to zones that are out of service, to leaving or cold-restarted endpoints, and to
// endpoints with the wrong weights.
TEST_CASE("Endpoint selection uses only endpoints that can serve the request and prefers near zones") {
  VirtualClock clock;
  SeededRandom random(kSeed);
  RouteChooser chooser(clock, random, {});
  const auto config = MakeEntryConfig();
  std::vector<MemberInfo> members = {MakeEngineMember("p1", "praha", 2), MakeEngineMember("b1", "brno", 2),
                                     MakeEngineMember("f1", "fes", 2)};

  SECTION("fills the own zone first, then the own region, then other regions") {
    chooser.SetTable(MakeTable(config, members));
    std::vector<std::string> order;
    // Each endpoint runs two requests and queues eight.
    for (int i = 0; i < 30; ++i) order.push_back(ChooseAndStart(chooser, MakeQuery())->Get());
    std::vector<std::string> expected(30, "f1");
    std::fill_n(expected.begin(), 10, "p1");
    std::fill_n(expected.begin() + 10, 10, "b1");
    CHECK(order == expected);
    CHECK(chooser.Choose(MakeQuery()).failure == RouteFailure::kAllFull);
  }

  SECTION("a zone out of service gets no requests") {
    config->document.zones[0].is_in_service = false;
    chooser.SetTable(MakeTable(config, members));
    CHECK(chooser.Choose(MakeQuery()).vm == VmId("b1"));
  }

  SECTION("leaving, suspect, dead and starting endpoints get no requests") {
    for (const MemberState state :
         {MemberState::kLeaving, MemberState::kSuspect, MemberState::kDead, MemberState::kStarting}) {
      members[0].state = state;
      chooser.SetTable(MakeTable(config, members));
      CHECK(chooser.Choose(MakeQuery()).vm == VmId("b1"));
    }
  }

  SECTION("an endpoint whose agent is leaving gets no requests until it has restarted") {
    chooser.SetTable(MakeTable(config, members));
    chooser.OnLeaving(VmId("p1"));
    CHECK(chooser.Choose(MakeQuery()).vm == VmId("b1"));
    chooser.SetTable(MakeTable(config, members));
    CHECK(chooser.Choose(MakeQuery()).vm == VmId("b1"));
    members[0].incarnation = Incarnation(2);
    chooser.SetTable(MakeTable(config, members));
    CHECK(chooser.Choose(MakeQuery()).vm == VmId("p1"));
  }

  SECTION("endpoints with unconfirmed weights, in another pool or with other weights are not eligible") {
    members[0].holdings[0].is_serving = false;
    chooser.SetTable(MakeTable(config, members));
    CHECK(chooser.Choose(MakeQuery()).vm == VmId("b1"));
    members[0].holdings[0].is_serving = true;
    members[0].pool = PoolName("other");
    chooser.SetTable(MakeTable(config, members));
    CHECK(chooser.Choose(MakeQuery()).vm == VmId("b1"));
    members[2].holdings[0].manifest = kWeightsB;
    chooser.SetTable(MakeTable(config, members));
    RouteQuery query = MakeQuery();
    query.manifest = kWeightsB;
    CHECK(chooser.Choose(query).vm == VmId("f1"));
    query.key.adapter = AdapterName("soft");
    CHECK(chooser.Choose(query).failure == RouteFailure::kNoEndpoint);
    query.key.model = ModelName("other");
    CHECK(chooser.Choose(query).failure == RouteFailure::kUnknownKey);
  }

  SECTION("the backoff of an endpoint grows with each refusal and is reset by a success") {
    chooser.SetTable(MakeTable(config, {members[0]}));
    chooser.OnRefused(VmId("p1"), {});
    const RouteChoice choice = chooser.Choose(MakeQuery());
    CHECK(choice.failure == RouteFailure::kAllBackedOff);
    CHECK(choice.retry_after >= Milliseconds(50));
    CHECK(choice.retry_after <= Milliseconds(75));
    clock.Advance(choice.retry_after);
    CHECK(chooser.Choose(MakeQuery()).vm.has_value());
    chooser.OnRefused(VmId("p1"), {});
    CHECK(chooser.Choose(MakeQuery()).retry_after >= Milliseconds(100));
    clock.Advance(std::chrono::seconds(1));
    chooser.OnSuccess(VmId("p1"));
    chooser.OnRefused(VmId("p1"), {});
    CHECK(chooser.Choose(MakeQuery()).retry_after <= Milliseconds(75));
  }

  SECTION("the number of requests in flight in other zones is limited") {
    RouteOptions options;
    options.spill_limit = 2;
    RouteChooser bounded(clock, random, options);
    bounded.SetTable(MakeTable(config, MakeEngines("brno", 4)));
    CHECK(ChooseAndStart(bounded, MakeQuery()).has_value());
    const auto second = ChooseAndStart(bounded, MakeQuery());
    CHECK(second.has_value());
    CHECK(bounded.Choose(MakeQuery()).failure == RouteFailure::kAllFull);
    bounded.OnAttemptEnded(*second, Milliseconds(100));
    CHECK(bounded.Choose(MakeQuery()).vm.has_value());
  }
}

// Guards against overload of one endpoint when many prompts share a prefix.
TEST_CASE("Prompts with a common prefix are sent to few endpoints, within the load cap") {
  VirtualClock clock;
  SeededRandom random(kSeed);
  const int endpoints = 8;
  const auto table = MakeTable(MakeEntryConfig(), MakeEngines("praha", endpoints, 64));

  SECTION("entries select the same endpoint for a new prefix without communication") {
    SeededRandom other_random(kSeed + 1);
    RouteChooser first(clock, random, {});
    RouteChooser second(clock, other_random, {});
    first.SetTable(table);
    second.SetTable(table);
    for (int i = 0; i < 8; ++i) {
      RouteQuery query = MakeQuery();
      query.prefix = HashPrefix(std::string(64, static_cast<char>('a' + i)));
      RouteChooser fresh_first(clock, random, {});
      RouteChooser fresh_second(clock, other_random, {});
      fresh_first.SetTable(table);
      fresh_second.SetTable(table);
      CHECK(fresh_first.Choose(query).vm == fresh_second.Choose(query).vm);
    }
  }

  SECTION("a hot prefix is spread so that no endpoint gets more than 1.25 times the mean") {
    for (const int prefixes : {1, 3, 20, 500}) {
      RouteChooser chooser(clock, random, {});
      chooser.SetTable(table);
      std::map<VmId, int> counts;
      const int requests = 4000;
      for (int i = 0; i < requests; ++i) {
        RouteQuery query = MakeQuery();
        // Skewed distribution: at least half of the requests share the first prefix.
        const uint64_t prefix = random.GetBelow(2) == 0 ? 0 : random.GetBelow(static_cast<uint64_t>(prefixes));
        query.prefix = HashPrefix("system prompt number " + std::to_string(prefix) + std::string(64, '.'));
        const auto vm = ChooseAndStart(chooser, query);
        REQUIRE(vm.has_value());
        ++counts[*vm];
        chooser.OnAttemptEnded(*vm, Milliseconds(100));
        clock.Advance(Milliseconds(2));
      }
      const double mean = static_cast<double>(requests) / endpoints;
      int largest = 0;
      for (const auto& [vm, count] : counts) largest = std::max(largest, count);
      CHECK(largest <= 1.25 * mean);
    }
  }

  SECTION("a conversation stays at its endpoint while that has free slots") {
    RouteChooser chooser(clock, random, {});
    chooser.SetTable(table);
    std::map<int, std::string> prompts;
    std::map<int, VmId> assigned_vms;
    int hits = 0;
    int turns = 0;
    for (int round = 0; round < 10; ++round) {
      for (int conversation = 0; conversation < 40; ++conversation) {
        std::string& prompt = prompts[conversation];
        if (prompt.empty()) prompt = std::string(64, 's');
        prompt += "talk " + std::to_string(conversation) + std::string(60, static_cast<char>('a' + round));
        RouteQuery query = MakeQuery();
        query.prefix = HashPrefix(prompt);
        const auto vm = ChooseAndStart(chooser, query);
        REQUIRE(vm.has_value());
        chooser.OnAttemptEnded(*vm, Milliseconds(100));
        clock.Advance(Milliseconds(5));
        if (round > 0) ++turns;
        if (round > 0 && assigned_vms[conversation] == *vm) ++hits;
        assigned_vms[conversation] = *vm;
      }
    }
    // Affinity target of the design: at least 0.85 of the hits that perfect knowledge would give.
    CHECK(hits >= 0.85 * turns);
  }

  SECTION("the number of remembered prefixes is limited") {
    PrefixAffinityTable memory(100);
    for (int i = 0; i < 1000; ++i) memory.RecordSent(HashPrefix(std::to_string(i)), 1);
    CHECK(memory.GetSize() == 100);
  }
}

// Discrete-time simulation of a fleet. Endpoints run up to `limit` requests and queue the rest. Entries see the load
// only in periodic heartbeats.
class LoadBalancingSimulation {
 public:
  enum class Policy { kChooser, kRoundRobin, kLeastReported };

  explicit LoadBalancingSimulation(Policy policy) : m_policy(policy), m_random(kSeed) {
    for (int i = 0; i < kEndpoints; ++i) {
      // A quarter of the endpoints have half the limit.
      m_endpoints.push_back({i % 4 == 0 ? 4U : 8U, {}, {}});
    }
    for (int i = 0; i < kEntries; ++i) {
      m_randoms.push_back(std::make_unique<SeededRandom>(kSeed + static_cast<uint64_t>(i) + 1));
      m_choosers.push_back(std::make_unique<RouteChooser>(m_clock, *m_randoms.back(), RouteOptions{}));
    }
  }

  // Runs kSteps steps of 1 ms and returns the 99th percentile of the queue wait at endpoints.
  Duration Run() {
    for (int step = 0; step < kSteps; ++step) {
      if (step % kReportSteps == 0) Report();
      if (m_random.GetUnit() < kArrivalsPerStep - 1) Arrive();
      Arrive();
      Serve();
      m_clock.Advance(Milliseconds(1));
    }
    std::sort(m_waits.begin(), m_waits.end());
    return m_waits[m_waits.size() * 99 / 100];
  }

  int GetRefused() const { return m_refused; }

 private:
  static constexpr int kEndpoints = 20;
  static constexpr int kEntries = 16;
  static constexpr int kSteps = 20'000;
  // Heartbeats are sent every half second, as with the default of peer.period_ms.
  static constexpr int kReportSteps = 500;
  static constexpr int kServiceMs = 80;
  // 80% of the capacity: 140 slots at 80 ms per request serve 1.75 requests per millisecond.
  static constexpr double kArrivalsPerStep = 1.4;

  struct Job {
    size_t entry;
    TimePoint arrived;
    TimePoint ends;
  };

  struct Endpoint {
    uint32_t limit;
    std::vector<Job> running;
    std::vector<Job> queue;
  };

  void Report() {
    std::vector<MemberInfo> members;
    for (int i = 0; i < kEndpoints; ++i) {
      const Endpoint& endpoint = m_endpoints[static_cast<size_t>(i)];
      MemberInfo member = MakeEngineMember(std::to_string(i), "praha", endpoint.limit);
      member.in_flight = static_cast<uint32_t>(endpoint.running.size() + endpoint.queue.size());
      members.push_back(member);
    }
    for (int i = 0; i < kEntries; ++i) members.push_back(MakeEntryMember("entry" + std::to_string(i), "praha"));
    m_reported = members;
    const auto table = MakeTable(MakeEntryConfig(), members);
    for (const auto& chooser : m_choosers) chooser->SetTable(table);
  }

  void Arrive() {
    const size_t entry = m_random.GetBelow(kEntries);
    const auto index = Choose(entry);
    if (!index.has_value()) {
      ++m_refused;
      return;
    }
    m_endpoints[*index].queue.push_back({entry, m_clock.GetNow(), {}});
  }

  std::optional<size_t> Choose(size_t entry) {
    switch (m_policy) {
      case Policy::kRoundRobin:
        return m_next_endpoint++ % kEndpoints;
      case Policy::kLeastReported:
        return ChooseLeastReported();
      case Policy::kChooser:
        break;
    }
    const auto vm = ChooseAndStart(*m_choosers[entry], MakeQuery());
    if (!vm.has_value()) return std::nullopt;
    return std::stoul(vm->Get());
  }

  size_t ChooseLeastReported() const {
    size_t best = 0;
    for (size_t i = 0; i < kEndpoints; ++i) {
      const auto load = [&](size_t k) { return static_cast<double>(m_reported[k].in_flight) / m_reported[k].limit; };
      if (load(i) < load(best)) best = i;
    }
    return best;
  }

  void Serve() {
    const TimePoint now = m_clock.GetNow();
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
      Endpoint& endpoint = m_endpoints[i];
      for (size_t k = 0; k < endpoint.running.size();) {
        if (endpoint.running[k].ends > now) {
          ++k;
          continue;
        }
        End(i, endpoint.running[k]);
        endpoint.running.erase(endpoint.running.begin() + static_cast<int64_t>(k));
      }
      while (!endpoint.queue.empty() && endpoint.running.size() < endpoint.limit) {
        Job job = endpoint.queue.front();
        endpoint.queue.erase(endpoint.queue.begin());
        m_waits.push_back(now - job.arrived);
        const double scale = -std::log(1 - m_random.GetUnit());
        job.ends = now + Duration(static_cast<int64_t>(scale * 1e6 * kServiceMs));
        endpoint.running.push_back(job);
      }
    }
  }

  void End(size_t index, const Job& job) {
    const Endpoint& endpoint = m_endpoints[index];
    const VmId vm(std::to_string(index));
    m_choosers[job.entry]->OnAttemptEnded(vm, m_clock.GetNow() - job.arrived);
    // The reply contains the endpoint's load, so the entry that receives it learns the load at once.
    m_choosers[job.entry]->OnLoad(vm, {endpoint.limit, static_cast<uint32_t>(endpoint.running.size()) - 1,
                                       static_cast<uint32_t>(endpoint.queue.size()), false});
  }

  const Policy m_policy;
  VirtualClock m_clock;
  SeededRandom m_random;
  std::vector<Endpoint> m_endpoints;
  std::vector<std::unique_ptr<SeededRandom>> m_randoms;
  std::vector<std::unique_ptr<RouteChooser>> m_choosers;
  std::vector<MemberInfo> m_reported;
  std::vector<Duration> m_waits;
  size_t m_next_endpoint = 0;
  int m_refused = 0;
};

// Guards against herding: all entries send to the endpoint that was idle in the last heartbeat.
TEST_CASE("Many entries with delayed load reports do not herd onto one endpoint") {
  using Policy = LoadBalancingSimulation::Policy;
  LoadBalancingSimulation chooser(Policy::kChooser);
  LoadBalancingSimulation round_robin(Policy::kRoundRobin);
  LoadBalancingSimulation least(Policy::kLeastReported);
  const Duration chooser_wait = chooser.Run();
  const Duration round_robin_wait = round_robin.Run();
  const Duration least_wait = least.Run();
  const auto to_ms = [](Duration wait) { return std::chrono::duration_cast<Milliseconds>(wait).count(); };
  WARN("seed " << kSeed << ": p99 queue wait in ms: RouteChooser " << to_ms(chooser_wait) << ", round robin "
               << to_ms(round_robin_wait) << ", least reported " << to_ms(least_wait) << "; refused by RouteChooser "
               << chooser.GetRefused());
  CHECK(chooser_wait < round_robin_wait);
  CHECK(chooser_wait < least_wait);
  // One mean service time: no request waits for more than one other.
  CHECK(chooser_wait <= Milliseconds(80));
  CHECK(chooser.GetRefused() == 0);
}

}  // namespace
}  // namespace plantain
