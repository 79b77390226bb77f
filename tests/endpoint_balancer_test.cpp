#include "endpoint_balancer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <numeric>

#include "forward_fake.h"

namespace plantain {
namespace {

struct BalancerFixture {
  explicit BalancerFixture(std::vector<EndpointInfo> endpoints)
      : random(20261204), balancer(clock, random, {VmId("self"), ZoneName("praha"), RegionName("praha")}) {
    fleet = MakeFleet(std::move(endpoints));
    balancer.SetFleet(fleet);
  }

  EndpointChoice Choose(uint32_t prompt = 900, const RegionName& only = RegionName()) {
    rule.regions.clear();
    if (!only.IsEmpty()) rule.regions.push_back(only);
    EndpointQuery query;
    query.pool = kEnginePool;
    query.rule = &rule;
    query.model = kVeilModel;
    query.prompt_tokens = prompt;
    query.min_version = min_version;
    return balancer.Choose(query);
  }

  std::string Send(uint32_t prompt = 900) {
    const EndpointChoice choice = Choose(prompt);
    if (choice.endpoint == nullptr) return "";
    balancer.OnSent(choice.endpoint->id, prompt);
    return choice.endpoint->id.Get();
  }

  VirtualClock clock;
  SeededRandom random;
  EndpointBalancer balancer;
  std::shared_ptr<FleetView> fleet;
  RouteRule rule;
  std::optional<WeightVersion> min_version;
};

// Guards against sending several prompts to one endpoint while others have none to process.
TEST_CASE("Requests go to the endpoint with the earliest expected first event") {
  BalancerFixture fixture({MakeEndpoint("e1", kEnginePool, "praha"), MakeEndpoint("e2", kEnginePool, "praha")});

  SECTION("an endpoint that is still processing a long prompt is avoided") {
    const std::string first = fixture.Send(4000);
    CHECK(fixture.Send(100) != first);
    CHECK(fixture.Send(100) != first);
  }
  SECTION("a processed prompt no longer counts") {
    const std::string first = fixture.Send(4000);
    const std::string second = fixture.Send(100);
    fixture.balancer.OnPrefillDone(EndpointId(first), 4000);
    fixture.balancer.OnEnded(EndpointId(first), AttemptEnd::kSuccess, fixture.clock.GetNow());
    CHECK(fixture.Send(100) == first);
    CHECK(second != first);
  }
  SECTION("load from other entries counts as reported by the agent") {
    fixture.balancer.OnLoad({EndpointId("e1"), 4, 2, false, 1, {}});
    CHECK(fixture.Send() == "e2");
    CHECK(fixture.Choose().load <= 1);
  }
  SECTION("a slow endpoint is avoided") {
    fixture.balancer.OnLoad({EndpointId("e1"), 0, 0, false, 5, {}});
    CHECK(fixture.Send() == "e2");
  }
  SECTION("full endpoints get no requests") {
    for (int i = 0; i < 10; ++i) CHECK_FALSE(fixture.Send().empty());
    CHECK(fixture.Choose().endpoint == nullptr);
    CHECK(fixture.Choose().failure == NoEndpointReason::kBusy);
  }
}

// Guards against needless traffic between zones and regions, and against requests sent outside the allowed regions.
TEST_CASE("The local zone is preferred and disallowed regions are never used") {
  BalancerFixture fixture({MakeEndpoint("e1", kEnginePool, "praha"), MakeEndpoint("e2", kEnginePool, "brno")});
  CHECK(fixture.Send(100) == "e1");
  CHECK(fixture.Choose(900, RegionName("brno")).endpoint->id == EndpointId("e2"));
  CHECK(fixture.Choose(900, RegionName("ostrava")).failure == NoEndpointReason::kNoneEligible);

  SECTION("a zone out of service gets no requests") {
    fixture.fleet = std::make_shared<FleetView>(*fixture.fleet);
    fixture.fleet->zones_out.insert(ZoneName("praha"));
    fixture.balancer.SetFleet(fixture.fleet);
    CHECK(fixture.Send(100) == "e2");
  }
  SECTION("a leaving endpoint gets no requests") {
    fixture.fleet = std::make_shared<FleetView>(*fixture.fleet);
    fixture.fleet->endpoints[0].is_leaving = true;
    fixture.balancer.SetFleet(fixture.fleet);
    CHECK(fixture.Send(100) == "e2");
  }
  SECTION("an endpoint that is loading weights gets no requests") {
    fixture.balancer.OnLoad({EndpointId("e1"), 0, 0, true, 1, {}});
    CHECK(fixture.Send(100) == "e2");
  }
  SECTION("endpoints with old weights get no requests once a minimum version is required") {
    fixture.min_version = WeightVersion(2);
    fixture.balancer.OnLoad({EndpointId("e2"), 0, 0, false, 1, {{kVeilModel, WeightVersion(2)}}});
    CHECK(fixture.Send(100) == "e2");
    CHECK(fixture.Choose().version == WeightVersion(2));
  }
}

// Guards against repeatedly sending requests to dead or failing endpoints.
TEST_CASE("Failed endpoints are backed off according to the failure") {
  BalancerFixture fixture({MakeEndpoint("e1", kEnginePool, "praha"), MakeEndpoint("e2", kEnginePool, "brno")});

  SECTION("an unreachable endpoint is used again after its backoff") {
    fixture.balancer.OnEnded(EndpointId("e1"), AttemptEnd::kUnreachable, fixture.clock.GetNow());
    CHECK(fixture.Choose().endpoint->id == EndpointId("e2"));
    fixture.clock.Advance(Milliseconds(450));
    CHECK(fixture.Choose().endpoint->id == EndpointId("e1"));
  }
  SECTION("each consecutive failure doubles the backoff") {
    for (int i = 0; i < 3; ++i)
      fixture.balancer.OnEnded(EndpointId("e1"), AttemptEnd::kUnreachable, fixture.clock.GetNow());
    fixture.clock.Advance(Milliseconds(1500));
    CHECK(fixture.Choose().endpoint->id == EndpointId("e2"));
  }
  SECTION("a full endpoint is used again after a short pause") {
    fixture.balancer.OnEnded(EndpointId("e1"), AttemptEnd::kFull, fixture.clock.GetNow());
    CHECK(fixture.Choose().endpoint->id == EndpointId("e2"));
    fixture.clock.Advance(Milliseconds(70));
    CHECK(fixture.Choose().endpoint->id == EndpointId("e1"));
  }
  SECTION("an endpoint with a far higher error rate than the others is avoided") {
    for (int i = 0; i < 12; ++i) {
      fixture.balancer.OnEnded(EndpointId("e1"), AttemptEnd::kError, fixture.clock.GetNow());
      fixture.balancer.OnEnded(EndpointId("e2"), AttemptEnd::kSuccess, fixture.clock.GetNow());
    }
    CHECK(fixture.Choose().endpoint->id == EndpointId("e2"));
  }
  SECTION("a restart clears the backoff") {
    fixture.balancer.OnSilent(EndpointId("e1"), Incarnation(1), fixture.clock.GetNow());
    CHECK(fixture.Choose().endpoint->id == EndpointId("e2"));
    fixture.fleet = std::make_shared<FleetView>(*fixture.fleet);
    fixture.fleet->endpoints[0].incarnation = Incarnation(2);
    fixture.balancer.SetFleet(fixture.fleet);
    CHECK(fixture.Choose().endpoint->id == EndpointId("e1"));
  }
}

BalancerOptions MakeOptions(size_t entry) {
  return {VmId("entry-" + std::to_string(entry)), ZoneName("praha"), RegionName("praha")};
}

std::vector<EntryDemand> MakeEntries(const std::vector<double>& demands) {
  std::vector<EntryDemand> entries;
  for (const double demand : demands) {
    entries.push_back({MakeOptions(entries.size()).self, ZoneName("praha"), {{kEnginePool, demand}}});
  }
  return entries;
}

// Simulates entries that always have requests waiting, with one endpoint that reports its load every 200 ms.
struct Saturation {
  static constexpr Duration kStep = Milliseconds(5);
  static constexpr Duration kAnswer = Milliseconds(900);
  static constexpr Duration kReportPeriod = Milliseconds(200);
  static constexpr uint32_t kSlots = 16;

  explicit Saturation(const std::vector<double>& demands) : random(20261204) {
    const auto fleet = MakeFleet({MakeEndpoint("e1", kEnginePool, "praha", kSlots)});
    for (size_t i = 0; i < demands.size(); ++i) {
      balancers.push_back(std::make_unique<EndpointBalancer>(clock, random, MakeOptions(i)));
      balancers.back()->SetFleet(fleet);
      balancers.back()->SetEntries(MakeEntries(demands));
    }
    sent.resize(demands.size());
    m_query.pool = kEnginePool;
    m_query.rule = &m_rule;
    m_query.model = kVeilModel;
  }

  void Run(Duration length) {
    for (const TimePoint end = clock.GetNow() + length; clock.GetNow() < end; clock.Advance(kStep)) {
      FinishDue();
      Report();
      for (size_t i = 0; i < balancers.size(); ++i) Send(i);
      max_running = std::max(max_running, m_running.size());
    }
  }

  VirtualClock clock;
  SeededRandom random;
  std::vector<std::unique_ptr<EndpointBalancer>> balancers;
  std::vector<int> sent;
  // Maximum number of concurrent requests at the endpoint.
  size_t max_running = 0;

 private:
  struct Running {
    size_t entry;
    TimePoint ends_at;
  };

  void FinishDue() {
    while (!m_running.empty() && m_running.front().ends_at <= clock.GetNow()) {
      balancers[m_running.front().entry]->OnEnded(EndpointId("e1"), AttemptEnd::kSuccess, clock.GetNow());
      m_running.pop_front();
    }
  }

  void Report() {
    if (clock.GetNow() < m_report_at) return;
    m_report_at = clock.GetNow() + kReportPeriod;
    const auto total = static_cast<uint32_t>(m_running.size());
    const uint32_t in_slots = std::min(total, kSlots);
    for (const auto& balancer : balancers)
      balancer->OnLoad({EndpointId("e1"), in_slots, total - in_slots, false, 1, {}});
  }

  void Send(size_t entry) {
    while (balancers[entry]->Choose(m_query).endpoint != nullptr) {
      balancers[entry]->OnSent(EndpointId("e1"), 0);
      // Varies the durations so that answers do not all end at once.
      m_running.push_back({entry, clock.GetNow() + kAnswer + Milliseconds(m_running.size() % 5)});
      ++sent[entry];
    }
  }

  RouteRule m_rule;
  EndpointQuery m_query;
  std::deque<Running> m_running;
  TimePoint m_report_at;
};

// Guards against entries that all send to the same free slot and exceed the endpoint's slots, so that all of their
// requests queue there and are late.
TEST_CASE("Entries with waiting requests fill the slots of an endpoint without exceeding them") {
  SECTION("with equal demand") {
    Saturation load({50, 50, 50, 50});
    load.Run(std::chrono::seconds(20));
    CHECK(load.max_running <= Saturation::kSlots + 1);
    // 16 slots, 900 ms per answer.
    const int total = std::accumulate(load.sent.begin(), load.sent.end(), 0);
    CHECK(total > 320);
  }
  SECTION("in proportion to their demand") {
    Saturation load({150, 50, 50, 50});
    load.Run(std::chrono::seconds(20));
    CHECK(load.max_running <= Saturation::kSlots + 1);
    CHECK(load.sent[0] > 2 * load.sent[1]);
    CHECK(load.sent[3] > 40);
  }
  SECTION("an entry uses the slots that others leave free") {
    Saturation load({50, 0});
    load.Run(std::chrono::seconds(5));
    CHECK(load.max_running >= 12);
  }
}

// Guards against a total rate from all entries that exceeds what a cold endpoint can handle.
TEST_CASE("All entries together stay below the maximum rate of a cold endpoint") {
  const uint32_t entries = GENERATE(1U, 4U, 7U);
  constexpr double kColdPerS = 28;
  constexpr double kAllowed = kColdPerS * 1.5 + 5;
  VirtualClock clock;
  SeededRandom random(20261204);
  auto fleet = MakeFleet({MakeEndpoint("e1", kEnginePool, "praha", 1000)});
  auto document = std::make_shared<RoutingDocument>(*fleet->routing);
  document->pools[0].cold_requests_per_s = kColdPerS;
  fleet->routing = document;
  fleet->endpoints[0].cold_until = clock.GetNow() + std::chrono::seconds(30);
  std::vector<std::unique_ptr<EndpointBalancer>> balancers;
  for (uint32_t i = 0; i < entries; ++i) {
    balancers.push_back(std::make_unique<EndpointBalancer>(clock, random, MakeOptions(i)));
    balancers.back()->SetEntries(MakeEntries(std::vector<double>(entries, 1)));
    balancers.back()->SetFleet(fleet);
  }
  RouteRule rule;
  EndpointQuery query;
  query.pool = kEnginePool;
  query.rule = &rule;
  query.model = kVeilModel;
  std::vector<int> sent_in_step;
  for (int step = 0; step < 300; ++step) {
    clock.Advance(Milliseconds(10));
    int sent = 0;
    for (const auto& balancer : balancers) {
      while (balancer->Choose(query).endpoint != nullptr) {
        balancer->OnSent(EndpointId("e1"), 0);
        ++sent;
      }
    }
    sent_in_step.push_back(sent);
  }
  for (size_t begin = 0; begin + 100 <= sent_in_step.size(); ++begin) {
    int sum = 0;
    for (size_t i = begin; i < begin + 100; ++i) sum += sent_in_step[i];
    CHECK(sum <= kAllowed);
  }
}

}  // namespace
}  // namespace plantain
