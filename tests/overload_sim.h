// Simulation of entries that share endpoints, with callers that return once when a refusal tells them when.

#ifndef PLANTAIN_TESTS_OVERLOAD_SIM_H_
#define PLANTAIN_TESTS_OVERLOAD_SIM_H_

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "forward_fake.h"

namespace plantain {

// Requests of one kind: their part of the load, and what an answer is worth to its caller.
struct SimKind {
  uint32_t priority = 0;
  Duration target = Milliseconds(400);
  double part = 1;
  double value = 1;
  double late_value = 0;
};

struct OverloadOptions {
  size_t zones = 1;
  size_t entries = 1;
  size_t endpoints = 40;
  // Offered load relative to what the endpoints can serve.
  double load = 1.05;
  // When all endpoints stop accepting requests, and for how long.
  Duration outage_at{};
  Duration outage{};
  uint64_t seed = 20261205;
  uint32_t slots = 8;
  // Kinds of requests; if there are none, all take the route of MakeForwardDocument.
  std::vector<SimKind> kinds{};
  // The kind of which there are `burst` times as many requests from `burst_at` on, for `burst_length`.
  size_t burst_kind = 0;
  double burst = 1;
  Duration burst_at{};
  Duration burst_length{};
  // When the first entry is killed, and when the last one neither sends nor receives beacons any more; never if zero.
  Duration killed_at{};
  Duration cut_off_at{};
};

// What became of the requests that callers first sent within one second.
struct SecondOutcome {
  int asked = 0;
  int in_time = 0;
  int late = 0;

  double GetShareServed() const { return asked == 0 ? 0 : static_cast<double>(in_time + late) / asked; }

  double GetShareInTime() const { return asked == 0 ? 0 : static_cast<double>(in_time) / asked; }
};

class OverloadSim {
 public:
  static constexpr Duration kStep = Milliseconds(10);
  static constexpr size_t kEndpointQueue = 16;
  // Time from the start of a request in a slot to its first event, and to its end, which varies by half of that.
  static constexpr Duration kFirstEvent = Milliseconds(120);
  static constexpr Duration kEventGap = Milliseconds(300);
  static constexpr Duration kAnswer = Milliseconds(1000);
  static constexpr Duration kTarget = Milliseconds(400);
  static constexpr Duration kDeadline = Milliseconds(6000);

  explicit OverloadSim(const OverloadOptions& options) : m_options(options), m_random(options.seed) {
    if (m_options.kinds.empty()) m_kinds = {SimKind()};
    m_owed.resize(m_kinds.size());
    m_outcomes.resize(m_kinds.size());
    std::vector<EndpointInfo> endpoints;
    for (size_t i = 0; i < options.endpoints; ++i) {
      endpoints.push_back(MakeEndpoint("i-" + std::to_string(i), kEnginePool, GetZone(i), options.slots));
      endpoints.back().target.port = Port(static_cast<uint16_t>(kFirstPort + i));
    }
    m_endpoints.resize(options.endpoints);
    const auto fleet = MakeFleet(std::move(endpoints));
    if (!m_options.kinds.empty()) fleet->routing = MakeDocument();
    for (size_t i = 0; i < options.entries; ++i) {
      m_entries.push_back(std::make_unique<Entry>(*this, i));
      m_entries.back()->traffic.SetFleet(fleet);
    }
  }

  void Run(Duration length) {
    const TimePoint start = m_clock.GetNow();
    const double per_step = m_options.load * static_cast<double>(m_options.endpoints * m_options.slots) /
                            ToSeconds(kAnswer) * ToSeconds(kStep);
    for (int step = 0; m_clock.GetNow() - start < length; ++step) {
      m_is_out = m_clock.GetNow() - start >= m_options.outage_at &&
                 m_clock.GetNow() - start < m_options.outage_at + m_options.outage;
      m_passed = m_clock.GetNow() - start;
      Kill();
      for (Endpoint& endpoint : m_endpoints) Advance(endpoint);
      CountRunning();
      if (step % 10 == 0) ReportLoads();
      if (step % 20 == 0) ShareDemand();
      for (size_t kind = 0; kind < m_kinds.size(); ++kind) {
        double& owed = m_owed[kind];
        for (owed += per_step * m_kinds[kind].part * GetBurst(kind); owed >= 1; owed -= 1) Ask(kind);
      }
      ReturnCallers();
      for (size_t i = GetFirstAlive(); i < m_entries.size(); ++i) m_entries[i]->traffic.CheckDue();
      Collect();
      m_clock.Advance(kStep);
    }
  }

  const SecondOutcome& GetSecond(size_t second) const { return m_seconds.at(second); }

  // What became of the requests of a kind that were first sent from second `from` to before second `to`.
  SecondOutcome GetOutcome(size_t kind, size_t from, size_t to) const {
    SecondOutcome sum;
    for (size_t second = from; second < to; ++second) {
      sum.asked += m_outcomes[kind].at(second).asked;
      sum.in_time += m_outcomes[kind].at(second).in_time;
      sum.late += m_outcomes[kind].at(second).late;
    }
    return sum;
  }

  // Share of the value that the requests of a kind could have had.
  double GetValueShare(size_t kind, size_t from, size_t to) const {
    const SecondOutcome sum = GetOutcome(kind, from, to);
    const SimKind& terms = m_kinds[kind];
    return (sum.in_time * terms.value + sum.late * terms.late_value) / (sum.asked * terms.value);
  }

  // Mean part of the slots that are in use in second `from` to before second `to`.
  double GetSlotsInUse(size_t from, size_t to) const {
    double running = 0;
    for (size_t second = from; second < to; ++second) running += m_running.at(second);
    const double steps = static_cast<double>(to - from) * ToSeconds(std::chrono::seconds(1)) / ToSeconds(kStep);
    return running / steps / static_cast<double>(m_options.endpoints * m_options.slots);
  }

  // Most requests that an endpoint had in its slots and its queue.
  size_t GetLongestLoad() const { return m_longest_load; }

  // Mean share in time of the requests first sent from second `from` to before second `to`.
  double GetShareInTime(size_t from, size_t to) const {
    SecondOutcome sum;
    for (size_t second = from; second < to; ++second) {
      sum.asked += m_seconds[second].asked;
      sum.in_time += m_seconds[second].in_time;
    }
    return sum.GetShareInTime();
  }

 private:
  static constexpr uint16_t kFirstPort = 9000;
  static constexpr uint32_t kUsualPriority = 5;
  // Time without beacons after which an entry counts as dead.
  static constexpr Duration kBeaconTimeout = Milliseconds(2500);

  struct Call : HttpCall {
    void Cancel() override { is_cancelled = true; }
    bool IsSent() const override { return true; }
    bool IsOnKeptConnection() const override { return true; }

    HttpCallbacks callbacks;
    std::string id;
    uint32_t priority = 0;
    size_t entry = 0;
    bool is_cancelled = false;
    int events = 0;
    TimePoint started_at;
    Duration length{};
  };

  struct Endpoint {
    std::vector<std::shared_ptr<Call>> running;
    std::deque<std::shared_ptr<Call>> queue;
  };

  // One caller's request, over both of its attempts.
  struct OpenRequest {
    std::shared_ptr<FakeForwardCaller> caller;
    size_t kind = 0;
    size_t entry = 0;
    size_t second = 0;
    TimePoint first_sent_at;
    bool has_returned = false;
    TimePoint returns_at;
  };

  struct Entry : AttemptSender {
    Entry(OverloadSim& sim_in, size_t number)
        : sim(sim_in),
          number(number),
          forward_metrics(metrics),
          traffic(sim.m_clock, sim.m_random, protocol, *this, answer_memory, forward_metrics,
                  MakeOptions(number, sim)) {}

    static ForwardOptions MakeOptions(size_t number, const OverloadSim& sim) {
      ForwardOptions options;
      options.balancer = {GetVm(number), ZoneName(sim.GetZone(number)), RegionName(sim.GetZone(number))};
      options.retry_slack = 100;
      return options;
    }

    std::shared_ptr<HttpCall> Send(const HttpTarget& target, const HttpRequest& request, HttpCallOptions,
                                   HttpCallbacks callbacks) override {
      auto call = std::make_shared<Call>();
      call->callbacks = std::move(callbacks);
      call->length = std::chrono::duration_cast<Duration>(kAnswer * (0.5 + sim.m_random.GetUnit()));
      call->id = std::string(request.headers.Find("Plantainmast-Attempt-Id"));
      call->entry = number;
      const std::string_view priority = request.headers.Find("Plantainmast-Request-Priority");
      call->priority = priority.empty() ? kUsualPriority : static_cast<uint32_t>(priority.front() - '0');
      // Engines admit more urgent requests first.
      auto& queue = sim.m_endpoints.at(target.port.Get() - kFirstPort).queue;
      const auto position =
          std::find_if(queue.begin(), queue.end(), [&](const auto& other) { return other->priority > call->priority; });
      queue.insert(position, call);
      return call;
    }

    OverloadSim& sim;
    size_t number;
    hosted::HostedCallerProtocol protocol;
    Metrics metrics;
    ForwardMetrics forward_metrics;
    MemoryBudget answer_memory{Bytes(64 * 1024 * 1024)};
    ForwardTraffic traffic;
  };

  static VmId GetVm(size_t number) { return VmId("10.0.0." + std::to_string(100 + number)); }
  std::string GetZone(size_t number) const { return "zone-" + std::to_string(number % m_options.zones); }

  static void Respond(const Call& call, int status, const std::string& field, const std::string& value) {
    HttpHeaders headers;
    headers.Add("Plantainmast-Attempt-Id", call.id);
    headers.Add(field, value);
    if (status == 200) headers.Add("Content-Type", "text/event-stream");
    if (status == 200) headers.Add("Plantainmast-Weight-Versions", "1");
    call.callbacks.on_head(status, headers);
  }

  static void SendEvent(Call& call) {
    if (call.events == 0) Respond(call, 200, "Plantainmast-Server-Stamp", "s");
    ++call.events;
    call.callbacks.on_data("id: " + std::to_string(call.events) + "\ndata: x\n\n");
  }

  std::shared_ptr<const RoutingDocument> MakeDocument() const {
    const auto document = MakeForwardDocument();
    const RouteRule draft = document->routes.front();
    document->routes.clear();
    for (size_t i = 0; i < m_kinds.size(); ++i) {
      RouteRule rule = draft;
      rule.name = "kind-" + std::to_string(i);
      rule.path_prefix = "/" + rule.name + "/";
      rule.priority = m_kinds[i].priority;
      rule.latency_target = m_kinds[i].target;
      document->routes.push_back(rule);
    }
    return document;
  }

  double GetBurst(size_t kind) const {
    const bool is_burst = kind == m_options.burst_kind && m_passed >= m_options.burst_at &&
                          m_passed < m_options.burst_at + m_options.burst_length;
    return is_burst ? m_options.burst : 1;
  }

  bool IsKilled() const { return m_options.killed_at > Duration::zero() && m_passed >= m_options.killed_at; }
  size_t GetFirstAlive() const { return IsKilled() ? 1 : 0; }

  // The callers of a killed entry lose their connections and do not return.
  void Kill() {
    if (!IsKilled()) return;
    std::erase_if(m_open, [](const OpenRequest& ask) { return ask.caller != nullptr && ask.entry == 0; });
    for (Endpoint& endpoint : m_endpoints) {
      for (const auto& call : endpoint.running) call->is_cancelled = call->is_cancelled || call->entry == 0;
      for (const auto& call : endpoint.queue) call->is_cancelled = call->is_cancelled || call->entry == 0;
    }
  }

  void CountRunning() {
    const auto second = static_cast<size_t>(ToSeconds(m_passed));
    if (m_running.size() <= second) m_running.resize(second + 1);
    for (const Endpoint& endpoint : m_endpoints) {
      m_running[second] += static_cast<double>(endpoint.running.size());
      m_longest_load = std::max(m_longest_load, endpoint.running.size() + endpoint.queue.size());
    }
  }

  // Whether one entry still counts another one as live.
  bool IsInView(size_t viewer, size_t other) const {
    if (viewer == other) return true;
    const auto is_lost = [&](Duration at) { return at > Duration::zero() && m_passed >= at + kBeaconTimeout; };
    if (other == 0 && is_lost(m_options.killed_at)) return false;
    const size_t last = m_entries.size() - 1;
    return !((viewer == last || other == last) && is_lost(m_options.cut_off_at));
  }

  void Advance(Endpoint& endpoint) {
    const TimePoint now = m_clock.GetNow();
    const auto is_cancelled = [](const auto& call) { return call->is_cancelled; };
    std::erase_if(endpoint.running, is_cancelled);
    std::erase_if(endpoint.queue, is_cancelled);
    const std::vector<std::shared_ptr<Call>> running = endpoint.running;
    for (const auto& call : running) {
      if (now - call->started_at >= kFirstEvent + call->events * kEventGap) SendEvent(*call);
      if (now - call->started_at < call->length) continue;
      std::erase(endpoint.running, call);
      call->callbacks.on_done(absl::OkStatus());
    }
    while (endpoint.queue.size() > (m_is_out ? 0 : kEndpointQueue)) {
      const std::shared_ptr<Call> refused = endpoint.queue.back();
      endpoint.queue.pop_back();
      Respond(*refused, 503, "Plantainmast-Not-Executed", "1");
      refused->callbacks.on_done(absl::OkStatus());
    }
    while (!endpoint.queue.empty() && endpoint.running.size() < m_options.slots) {
      endpoint.running.push_back(endpoint.queue.front());
      endpoint.queue.pop_front();
      endpoint.running.back()->started_at = now;
    }
  }

  void ReportLoads() {
    std::vector<EndpointLoad> loads;
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
      const auto running = static_cast<uint32_t>(m_endpoints[i].running.size());
      const auto queued = static_cast<uint32_t>(m_endpoints[i].queue.size());
      loads.push_back(
          {EndpointId("i-" + std::to_string(i)), running, queued, m_is_out, 1, {{kVeilModel, WeightVersion(1)}}});
    }
    for (size_t i = GetFirstAlive(); i < m_entries.size(); ++i) m_entries[i]->traffic.OnLoad(loads);
  }

  void ShareDemand() {
    std::vector<EntryDemand> demands;
    for (size_t i = 0; i < m_entries.size(); ++i) {
      const ForwardTraffic& traffic = m_entries[i]->traffic;
      demands.push_back({GetVm(i), ZoneName(GetZone(i)), traffic.GetDemand(), traffic.GetPriorityDemand()});
    }
    for (size_t viewer = GetFirstAlive(); viewer < m_entries.size(); ++viewer) {
      EntryView view;
      for (size_t i = 0; i < demands.size(); ++i) {
        if (IsInView(viewer, i)) view.entries.push_back(demands[i]);
      }
      m_entries[viewer]->traffic.SetEntries(std::move(view));
    }
  }

  void Ask(size_t kind) {
    const auto second = static_cast<size_t>(ToSeconds(m_passed));
    for (auto& outcomes : m_outcomes) {
      if (outcomes.size() <= second) outcomes.resize(second + 1);
    }
    if (m_seconds.size() <= second) m_seconds.resize(second + 1);
    ++m_seconds[second].asked;
    ++m_outcomes[kind][second].asked;
    m_open.push_back({nullptr, kind, 0, second, m_clock.GetNow(), false, {}});
    Send(m_open.back());
  }

  void Send(OpenRequest& ask) {
    const Duration left = kDeadline - (m_clock.GetNow() - ask.first_sent_at);
    HttpRequest request;
    request.method = "POST";
    request.target = m_options.kinds.empty() ? "/draft/x" : "/kind-" + std::to_string(ask.kind) + "/x";
    request.headers.Add("Host", "h.example");
    request.headers.Add("Plantainmast-Attempt-Id", "r" + std::to_string(++m_requests));
    request.headers.Add("Plantainmast-Deadline-Ms", std::to_string(ToMilliseconds(left)));
    request.headers.Add("Plantainmast-Model", kVeilModel.Get());
    request.headers.Add("Plantainmast-Token-Usage", "900,100");
    ask.caller = std::make_shared<FakeForwardCaller>();
    ask.entry = GetFirstAlive() + m_random.GetBelow(m_entries.size() - GetFirstAlive());
    m_entries[ask.entry]->traffic.HandleHttp(std::move(request), ask.caller);
  }

  void ReturnCallers() {
    for (OpenRequest& ask : m_open) {
      if (ask.caller != nullptr || ask.returns_at > m_clock.GetNow()) continue;
      ask.has_returned = true;
      Send(ask);
    }
  }

  // Counts answers that have begun, and lets refused callers return once.
  void Collect() {
    std::erase_if(m_open, [&](OpenRequest& ask) {
      if (ask.caller == nullptr || ask.caller->status == 0) return false;
      const Duration spent = m_clock.GetNow() - ask.first_sent_at;
      if (ask.caller->status == 200) {
        const bool is_in_time = spent <= m_kinds[ask.kind].target;
        ++(is_in_time ? m_seconds[ask.second].in_time : m_seconds[ask.second].late);
        SecondOutcome& outcome = m_outcomes[ask.kind][ask.second];
        ++(is_in_time ? outcome.in_time : outcome.late);
        return true;
      }
      const std::string after(ask.caller->headers.Find("Retry-After"));
      if (ask.has_returned || after.empty()) return true;
      const double most_s = ToSeconds(kDeadline - spent) / 3;
      const double wait_s = std::min(most_s, std::strtod(after.c_str(), nullptr));
      ask.returns_at = m_clock.GetNow() + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait_s));
      ask.caller = nullptr;
      return false;
    });
  }

  const OverloadOptions m_options;
  VirtualClock m_clock;
  SeededRandom m_random;
  std::vector<Endpoint> m_endpoints;
  std::vector<std::unique_ptr<Entry>> m_entries;
  std::deque<OpenRequest> m_open;
  std::vector<SecondOutcome> m_seconds;
  std::vector<SimKind> m_kinds = m_options.kinds;
  // Requests of each kind that are to be sent, with fractions, and what became of them by second.
  std::vector<double> m_owed;
  std::vector<std::vector<SecondOutcome>> m_outcomes;
  // Sum over the steps of each second of the slots in use.
  std::vector<double> m_running;
  size_t m_longest_load = 0;
  Duration m_passed{};
  uint64_t m_requests = 0;
  bool m_is_out = false;
};

}  // namespace plantain

#endif  // PLANTAIN_TESTS_OVERLOAD_SIM_H_
