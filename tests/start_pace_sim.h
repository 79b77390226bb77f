// Simulation of entries with requests waiting, and of endpoints one of which returns from a crash or an outage.

#ifndef PLANTAIN_TESTS_START_PACE_SIM_H_
#define PLANTAIN_TESTS_START_PACE_SIM_H_

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "forward_fake.h"

namespace plantain {

struct PaceSimOptions {
  size_t entries = 4;
  size_t zones = 1;
  // Whether the endpoints are engines, which report their load, or plain ones.
  bool is_engine = true;
  uint32_t slots = 12;
  bool learns_pace = true;
  double cold_per_s = 0;
  uint64_t seed = 20261206;
};

// Endpoint 0 of zone 0 is the one that fails and returns. After a start it takes 4 requests at a time and one more for
// each answer that it has given.
class PaceSim {
 public:
  static constexpr Duration kStep = Milliseconds(5);
  static constexpr Duration kFirstEvent = Milliseconds(100);
  static constexpr Duration kAnswer = Milliseconds(600);
  static constexpr Duration kPlainAnswer = Milliseconds(120);
  static constexpr uint32_t kFirstCapacity = 4;
  // Requests beyond its slots that a warm endpoint takes.
  static constexpr uint32_t kQueue = 4;

  explicit PaceSim(const PaceSimOptions& options) : m_options(options), m_random(options.seed) {
    m_pool = options.is_engine ? kEnginePool : kRegisterPool;
    for (size_t i = 0; i < options.zones; ++i) {
      infos.push_back(MakeEndpoint("e" + std::to_string(i), m_pool, GetZone(i), options.slots));
    }
    m_endpoints.resize(options.zones);
    for (Endpoint& endpoint : m_endpoints) endpoint.capacity = options.slots + kQueue;
    std::vector<EntryDemand> demand;
    for (size_t i = 0; i < options.entries; ++i) {
      const VmId vm("10.0.0." + std::to_string(100 + i));
      demand.push_back({vm, ZoneName(GetZone(i)), {{m_pool, 50}}});
      BalancerOptions own{vm, ZoneName(GetZone(i)), RegionName(GetZone(i))};
      own.learns_pace = options.learns_pace;
      balancers.push_back(std::make_unique<EndpointBalancer>(clock, m_random, std::move(own)));
    }
    for (const auto& balancer : balancers) balancer->SetEntries(demand);
    m_demand = demand;
    Publish();
    m_query.pool = m_pool;
    m_query.rule = &m_rule;
    if (options.is_engine) m_query.model = kVeilModel;
  }

  // Gives all entries the present directory.
  void Publish() {
    auto fleet = MakeFleet(infos);
    auto document = std::make_shared<RoutingDocument>(*fleet->routing);
    for (PoolSpec& pool : document->pools) {
      pool.cold_requests_per_s = m_options.cold_per_s;
      if (pool.engine.has_value()) pool.engine->slots = m_options.slots;
    }
    fleet->routing = document;
    for (const auto& balancer : balancers) balancer->SetFleet(fleet);
  }

  // The endpoint ends; its requests are lost, and the directory drops it.
  void Crash() {
    for (const Running& running : std::exchange(m_endpoints[0].running, {})) {
      balancers[running.entry]->OnEnded(infos[0].id, AttemptEnd::kConnectionLost, running.sent_at);
    }
    m_crashed = infos[0];
    infos.erase(infos.begin());
    m_is_unreachable = true;
    m_is_listed = false;
    Publish();
  }

  // The endpoint is listed again as a new run.
  void Restart(Duration cold = {}) {
    m_crashed.incarnation = Incarnation(m_crashed.incarnation.Get() + 1);
    m_crashed.cold_until = clock.GetNow() + cold;
    infos.insert(infos.begin(), m_crashed);
    m_is_listed = true;
    m_is_unreachable = false;
    m_endpoints[0].capacity = kFirstCapacity;
    ResetCounts();
    Publish();
  }

  // The endpoint takes no connections, or takes them again, while the directory goes on to list it.
  void SetReachable(bool is_reachable) {
    m_is_unreachable = !is_reachable;
    if (is_reachable) {
      m_endpoints[0].capacity = kFirstCapacity;
      ResetCounts();
      return;
    }
    for (const Running& running : std::exchange(m_endpoints[0].running, {})) {
      balancers[running.entry]->OnEnded(infos[0].id, AttemptEnd::kConnectionLost, running.sent_at);
    }
  }

  void Run(Duration length) {
    for (const TimePoint end = clock.GetNow() + length; clock.GetNow() < end; clock.Advance(kStep)) {
      for (size_t i = 0; i < m_endpoints.size(); ++i) Advance(i);
      if (m_step % 20 == 0 && m_options.is_engine) ReportLoads();
      if (m_step % 50 == 0) {
        for (const auto& balancer : balancers) balancer->SetEntries(m_demand);
      }
      Exchange();
      sent_in_step.push_back(0);
      for (size_t i = 0; i < balancers.size(); ++i) Send((i + m_step) % balancers.size());
      const auto in_use = static_cast<uint32_t>(m_endpoints[0].running.size());
      slots_in_use.push_back(in_use);
      if (AreAllStarting())
        max_excess = std::max(max_excess, static_cast<int>(in_use) - static_cast<int>(GetHighestNumber()));
      ++m_step;
    }
  }

  // Mean number of slots in use at the endpoint from `from` to `to` after it returned, relative to its slots.
  double GetUse(Duration from, Duration to) const {
    const auto first = static_cast<size_t>(from / kStep);
    const auto last = std::min(static_cast<size_t>(to / kStep), slots_in_use.size());
    double sum = 0;
    for (size_t i = first; i < last; ++i) sum += slots_in_use[i];
    return sum / static_cast<double>(last - first) / m_options.slots;
  }
  double GetRefusedShare() const { return sent == 0 ? 0 : static_cast<double>(refused) / sent; }

  // Largest number of requests sent to the endpoint within any second since it returned.
  int GetMaxPerSecond() const {
    constexpr size_t kSteps = std::chrono::seconds(1) / kStep;
    int most = 0;
    for (size_t begin = 0; begin < sent_in_step.size(); ++begin) {
      int sum = 0;
      for (size_t i = begin; i < std::min(begin + kSteps, sent_in_step.size()); ++i) sum += sent_in_step[i];
      most = std::max(most, sum);
    }
    return most;
  }

  // The same while an entry still counted the endpoint as one in slow start.
  double GetStartRefusedShare() const { return start_sent == 0 ? 0 : static_cast<double>(start_refused) / start_sent; }
  bool AreAllStarting() const {
    return std::all_of(balancers.begin(), balancers.end(),
                       [](const auto& balancer) { return balancer->GetStartPace().Get(EndpointId("e0")).has_value(); });
  }
  bool IsAnyStarting() const {
    return std::any_of(balancers.begin(), balancers.end(),
                       [](const auto& balancer) { return balancer->GetStartPace().Get(EndpointId("e0")).has_value(); });
  }

  // Largest number of slots that an entry takes for usable by all.
  uint32_t GetHighestNumber() const {
    uint32_t highest = 0;
    for (const auto& balancer : balancers) {
      const auto number = balancer->GetStartPace().Get(EndpointId("e0"));
      highest = std::max(highest, number.has_value() ? number->number : m_options.slots);
    }
    return highest;
  }

  VirtualClock clock;
  std::vector<EndpointInfo> infos;
  std::vector<std::unique_ptr<EndpointBalancer>> balancers;
  // Since the endpoint returned: requests sent to it and refused by it, slots in use at each step, and by how many they
  // exceeded the largest number that an entry knew while all entries counted it as one in slow start.
  int sent = 0;
  int refused = 0;
  int start_sent = 0;
  int start_refused = 0;
  std::vector<uint32_t> slots_in_use;
  std::vector<int> sent_in_step;
  int max_excess = 0;
  // Entries whose reports do not arrive.
  std::set<size_t> muted;

 private:
  struct Running {
    size_t entry = 0;
    TimePoint sent_at;
    Duration expected{};
    Duration length{};
    bool has_begun = false;
  };
  struct Endpoint {
    std::vector<Running> running;
    uint32_t capacity = 0;
  };

  std::string GetZone(size_t number) const { return "zone-" + std::to_string(number % m_options.zones); }
  EndpointId GetId(size_t endpoint) const { return EndpointId("e" + std::to_string(endpoint)); }
  Incarnation GetIncarnation(size_t endpoint) const {
    return endpoint == 0 && m_is_listed ? infos[0].incarnation : Incarnation(1);
  }

  void ResetCounts() {
    sent = 0;
    refused = 0;
    start_sent = 0;
    start_refused = 0;
    max_excess = 0;
    slots_in_use.clear();
    sent_in_step.clear();
  }

  void Advance(size_t number) {
    Endpoint& endpoint = m_endpoints[number];
    const TimePoint now = clock.GetNow();
    for (Running& running : endpoint.running) {
      const Duration first = m_options.is_engine ? kFirstEvent : running.length;
      if (running.has_begun || now - running.sent_at < first) continue;
      running.has_begun = true;
      EndpointBalancer& balancer = *balancers[running.entry];
      balancer.OnPrefillDone(GetId(number), 0);
      balancer.OnAnswerBegun(GetId(number), GetIncarnation(number), running.sent_at, running.expected);
      if (number == 0) endpoint.capacity = std::min(m_options.slots + kQueue, endpoint.capacity + 1);
    }
    std::vector<Running> ended;
    std::erase_if(endpoint.running, [&](const Running& running) {
      if (now - running.sent_at < running.length) return false;
      ended.push_back(running);
      return true;
    });
    for (const Running& running : ended) {
      balancers[running.entry]->OnEnded(GetId(number), AttemptEnd::kSuccess, running.sent_at);
    }
  }

  void ReportLoads() {
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
      if (i == 0 && m_is_unreachable) continue;
      const auto running = static_cast<uint32_t>(m_endpoints[i].running.size());
      const EndpointLoad load{GetId(i), running, 0, false, 1, {{kVeilModel, WeightVersion(1)}}};
      for (const auto& balancer : balancers) balancer->OnLoad(load);
    }
  }

  // Entries report every 100 ms to their own zone and every 300 ms to others, or at once if there is news.
  void Exchange() {
    constexpr size_t kOwnZoneSteps = 20;
    constexpr size_t kOtherSteps = 60;
    for (size_t from = 0; from < balancers.size(); ++from) {
      const bool has_news = balancers[from]->GetStartPace().TakeHasNews();
      const bool is_due = (m_step + from) % kOwnZoneSteps == 0;
      const bool is_due_elsewhere = (m_step + from) % kOtherSteps == 0;
      if ((!has_news && !is_due) || muted.contains(from)) continue;
      const PaceReport report = balancers[from]->GetPaceReport();
      for (size_t to = 0; to < balancers.size(); ++to) {
        const bool is_own_zone = GetZone(from) == GetZone(to);
        if (to == from || (!has_news && !is_own_zone && !is_due_elsewhere)) continue;
        balancers[to]->ApplyPaceReport(m_demand[from].entry, report);
      }
    }
  }

  void Send(size_t entry) {
    EndpointBalancer& balancer = *balancers[entry];
    for (EndpointChoice choice = balancer.Choose(m_query); choice.endpoint != nullptr;
         choice = balancer.Choose(m_query)) {
      const EndpointId id = choice.endpoint->id;
      const auto number = static_cast<size_t>(std::stoi(id.Get().substr(1)));
      Endpoint& endpoint = m_endpoints[number];
      const TimePoint now = clock.GetNow();
      balancer.OnSent(id, 0);
      if (number == 0 && m_is_unreachable) {
        balancer.OnEnded(id, AttemptEnd::kUnreachable, now);
        continue;
      }
      const bool is_starting = number == 0 && IsAnyStarting();
      if (number == 0) ++sent;
      if (is_starting) ++start_sent;
      if (number == 0) ++sent_in_step.back();
      if (endpoint.running.size() >= endpoint.capacity) {
        if (number == 0) ++refused;
        if (is_starting) ++start_refused;
        balancer.OnEnded(id, AttemptEnd::kFull, now);
        continue;
      }
      const Duration usual = m_options.is_engine ? kAnswer : kPlainAnswer;
      const double factor = 0.75 + 0.5 * m_random.GetUnit();
      endpoint.running.push_back({entry, now, choice.expected, std::chrono::duration_cast<Duration>(usual * factor)});
    }
  }

  const PaceSimOptions m_options;
  SeededRandom m_random;
  PoolName m_pool;
  RouteRule m_rule;
  EndpointQuery m_query;
  std::vector<EntryDemand> m_demand;
  std::vector<Endpoint> m_endpoints;
  EndpointInfo m_crashed;
  bool m_is_unreachable = false;
  bool m_is_listed = true;
  size_t m_step = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_TESTS_START_PACE_SIM_H_
