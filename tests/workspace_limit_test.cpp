#include "workspace_limit.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <numeric>

#include "fair_share.h"
#include "random.h"

namespace plantain {
namespace {

constexpr uint64_t kSeed = 20261204;

EntryRequest MakeRequest(const std::string& workspace) {
  EntryRequest request;
  request.workspace = WorkspaceName(workspace);
  request.key.model = ModelName("veil");
  return request;
}

WorkspaceSpec MakeSpec(const std::string& name, double requests_per_s, uint32_t concurrency, double tokens_per_s) {
  return {WorkspaceName(name), 1, requests_per_s, concurrency, tokens_per_s};
}

bool Start(WorkspaceLimits& limits, const EntryRequest& request) {
  if (!limits.Check(request).IsAdmitted()) return false;
  limits.OnStarted(request);
  return true;
}

// Guards against workspaces that exceed their limits, at one entry and over several.
TEST_CASE("Request rate, concurrency and token rate of a workspace stay within its limits") {
  VirtualClock clock;
  const EntryRequest request = MakeRequest("looms");

  SECTION("a workspace that the document does not define is refused") {
    WorkspaceLimits limits(clock);
    limits.SetLimits({MakeSpec("looms", 10, 10, 10)}, 1);
    CHECK(limits.Check(MakeRequest("other")).failure == EntryFailure::kUnknownWorkspace);
  }

  SECTION("concurrency") {
    WorkspaceLimits limits(clock);
    limits.SetLimits({MakeSpec("looms", 0, 2, 0)}, 1);
    CHECK(Start(limits, request));
    CHECK(Start(limits, request));
    CHECK(limits.Check(request).failure == EntryFailure::kConcurrencyLimited);
    limits.OnFinished(request);
    CHECK(Start(limits, request));
  }

  SECTION("token rate: a workspace with a negative bucket level is refused until it is refilled") {
    WorkspaceLimits limits(clock);
    limits.SetLimits({MakeSpec("looms", 0, 0, 100)}, 1);
    CHECK(Start(limits, request));
    limits.OnTokens(request.workspace, 200);
    const AdmitResult result = limits.Check(request);
    CHECK(result.failure == EntryFailure::kTokensLimited);
    CHECK(result.retry_after >= Milliseconds(1000));
    clock.Advance(result.retry_after);
    CHECK(limits.Check(request).IsAdmitted());
  }

  SECTION("rate over four entries with even load balancing: at most the limit plus a burst, at least 0.95 of it") {
    std::vector<std::unique_ptr<WorkspaceLimits>> entries;
    for (int i = 0; i < 4; ++i) {
      entries.push_back(std::make_unique<WorkspaceLimits>(clock));
      entries.back()->SetLimits({MakeSpec("looms", 100, 0, 0)}, 4);
    }
    int admitted = 0;
    const int seconds = 20;
    for (int step = 0; step < seconds * 1000; ++step) {
      WorkspaceLimits& entry = *entries[static_cast<size_t>(step) % 4];
      if (Start(entry, request)) {
        ++admitted;
        entry.OnFinished(request);
      }
      clock.Advance(Milliseconds(1));
    }
    CHECK(admitted <= 100 * seconds + 100 + 4);
    CHECK(admitted >= 0.95 * 100 * seconds);
  }

  SECTION("after one of four entries has died, the others take over exactly its share") {
    WorkspaceLimits limits(clock);
    limits.SetLimits({MakeSpec("looms", 0, 12, 0)}, 4);
    for (int i = 0; i < 3; ++i) CHECK(Start(limits, request));
    CHECK_FALSE(limits.Check(request).IsAdmitted());
    limits.SetLimits({MakeSpec("looms", 0, 12, 0)}, 3);
    CHECK(Start(limits, request));
    CHECK_FALSE(limits.Check(request).IsAdmitted());
  }
}

// Simulation of one entry that admits requests of several workspaces to `capacity` slots. Each request takes 200 ms.
class FairShareSimulation {
 public:
  struct Caller {
    std::string workspace;
    double weight;
    // Mean number of requests offered per second, with random arrival times.
    double rate;
    bool is_retry = false;
  };

  FairShareSimulation(double capacity, std::vector<Caller> callers)
      : m_capacity(capacity),
        m_callers(std::move(callers)),
        m_random(kSeed),
        m_share(m_clock),
        m_offered(m_callers.size()) {
    for (const Caller& caller : m_callers) m_share.SetWeight(WorkspaceName(caller.workspace), caller.weight);
    m_share.SetCapacity(capacity, 1, 0);
  }

  // Returns the number of admitted requests per second for each caller.
  std::vector<double> Run(int seconds) {
    std::vector<double> admitted_per_s(m_callers.size());
    for (int step = 0; step < seconds * 1000; ++step) {
      while (!m_ends.empty() && m_ends.front().first <= m_clock.GetNow()) {
        m_share.OnFinished(WorkspaceName(m_callers[m_ends.front().second].workspace));
        m_ends.pop_front();
      }
      for (size_t i = 0; i < m_callers.size(); ++i) {
        if (m_random.GetUnit() >= m_callers[i].rate / 1000) continue;
        ++m_offered[i];
        if (!m_share.Admit(WorkspaceName(m_callers[i].workspace), m_callers[i].is_retry).IsAdmitted()) continue;
        ++admitted_per_s[i];
        m_ends.emplace_back(m_clock.GetNow() + Milliseconds(200), i);
      }
      m_in_flight_sum += m_share.GetInFlight();
      m_clock.Advance(Milliseconds(1));
      if (step % 10 == 0) m_share.SetCapacity(m_capacity, 1, 0);
    }
    for (double& count : admitted_per_s) count /= seconds;
    m_mean_in_flight = m_in_flight_sum / (seconds * 1000.0);
    return admitted_per_s;
  }

  // Returns the number of requests offered per second by one caller.
  double GetOffered(size_t caller, int seconds) const { return m_offered[caller] / seconds; }

  double GetMeanInFlight() const { return m_mean_in_flight; }

 private:
  const double m_capacity;
  const std::vector<Caller> m_callers;
  VirtualClock m_clock;
  SeededRandom m_random;
  FairShare m_share;
  std::deque<std::pair<TimePoint, size_t>> m_ends;
  std::vector<double> m_offered;
  double m_in_flight_sum = 0;
  double m_mean_in_flight = 0;
};

// Guards against starvation of small workspaces by large ones, and against capacity left unused by fair sharing.
TEST_CASE("Under overload each workspace gets its weighted fair share") {
  SECTION("small workspaces get all they request while large ones overload the fleet") {
    // 20 slots at 200 ms serve 100 requests/s; the two large workspaces offer 500.
    std::vector<FairShareSimulation::Caller> callers = {{"large1", 1, 250}, {"large2", 1, 250}};
    for (int i = 0; i < 8; ++i) callers.push_back({"small" + std::to_string(i), 1, 5});
    FairShareSimulation simulation(20, callers);
    const auto admitted_per_s = simulation.Run(30);
    for (size_t i = 2; i < admitted_per_s.size(); ++i) CHECK(admitted_per_s[i] >= 0.95 * simulation.GetOffered(i, 30));
    CHECK(admitted_per_s[0] == Approx(admitted_per_s[1]).epsilon(0.1));
    CHECK(std::accumulate(admitted_per_s.begin(), admitted_per_s.end(), 0.0) >= 0.9 * 100);
    CHECK(simulation.GetMeanInFlight() <= 1.1 * 20);
  }

  SECTION("shares below one concurrent request are met on average") {
    // 4 slots serve 20 requests/s; each of ten workspaces offers more than its share of 2 requests/s.
    std::vector<FairShareSimulation::Caller> callers = {{"large1", 1, 100}, {"large2", 1, 100}};
    for (int i = 0; i < 8; ++i) callers.push_back({"small" + std::to_string(i), 1, 10});
    FairShareSimulation simulation(4, callers);
    const auto admitted_per_s = simulation.Run(60);
    for (size_t i = 2; i < admitted_per_s.size(); ++i) CHECK(admitted_per_s[i] >= 0.95 * 2);
  }

  SECTION("a workspace with three times the weight gets three times the throughput") {
    FairShareSimulation simulation(20, {{"heavy", 3, 300}, {"light", 1, 300}});
    const auto admitted_per_s = simulation.Run(30);
    CHECK(admitted_per_s[0] / admitted_per_s[1] == Approx(3).epsilon(0.15));
  }

  SECTION("a single workspace can use the whole capacity") {
    FairShareSimulation simulation(20, {{"only", 1, 500}});
    CHECK(simulation.Run(30)[0] >= 0.95 * 100);
  }

  SECTION("callers' retries do not displace first attempts") {
    FairShareSimulation without_retries(20, {{"looms", 1, 120, false}});
    FairShareSimulation with_retries(20, {{"looms", 1, 120, false}, {"looms", 1, 400, true}});
    // Without a queue, 20 slots refuse about a quarter of 120 requests/s even without retries.
    CHECK(with_retries.Run(30)[0] >= 0.95 * without_retries.Run(30)[0]);
  }

  SECTION("refusals by endpoints lower the loop's part of the capacity, and it rises again without refusals") {
    VirtualClock clock;
    FairShare share(clock);
    share.SetCapacity(40, 4, 0);
    CHECK(share.GetLimit() == Approx(10));
    share.OnOverload();
    share.OnOverload();
    CHECK(share.GetLimit() == Approx(8.5));
    for (int i = 0; i < 200; ++i) {
      clock.Advance(Milliseconds(50));
      share.SetCapacity(40, 4, 0);
      while (share.Admit(WorkspaceName("looms"), false).IsAdmitted()) {
      }
    }
    // Other entries leave capacity unused, so this one can use more than an even part.
    CHECK(share.GetLimit() > 10);
  }
}

}  // namespace
}  // namespace plantain
