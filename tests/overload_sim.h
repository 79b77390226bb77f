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
};

// What became of the requests that callers first sent within one second.
struct SecondOutcome {
  int asked = 0;
  int in_time = 0;
  int late = 0;

  double GetShareInTime() const { return asked == 0 ? 0 : static_cast<double>(in_time) / asked; }
};

class OverloadSim {
 public:
  static constexpr Duration kStep = Milliseconds(10);
  static constexpr uint32_t kSlots = 8;
  static constexpr size_t kEndpointQueue = 16;
  // Time from the start of a request in a slot to its first event, and to its end, which varies by half of that.
  static constexpr Duration kFirstEvent = Milliseconds(120);
  static constexpr Duration kEventGap = Milliseconds(300);
  static constexpr Duration kAnswer = Milliseconds(1000);
  static constexpr Duration kTarget = Milliseconds(400);
  static constexpr Duration kDeadline = Milliseconds(6000);

  explicit OverloadSim(OverloadOptions options) : m_options(options), m_random(options.seed) {
    std::vector<EndpointInfo> endpoints;
    for (size_t i = 0; i < options.endpoints; ++i) {
      endpoints.push_back(MakeEndpoint("i-" + std::to_string(i), kEnginePool, GetZone(i), kSlots));
      endpoints.back().target.port = Port(static_cast<uint16_t>(kFirstPort + i));
    }
    m_endpoints.resize(options.endpoints);
    const auto fleet = MakeFleet(std::move(endpoints));
    for (size_t i = 0; i < options.entries; ++i) {
      m_entries.push_back(std::make_unique<Entry>(*this, i));
      m_entries.back()->traffic.SetFleet(fleet);
    }
  }

  void Run(Duration length) {
    const TimePoint start = m_clock.GetNow();
    const double per_step =
        m_options.load * static_cast<double>(m_options.endpoints * kSlots) / ToSeconds(kAnswer) * ToSeconds(kStep);
    double owed = 0;
    for (int step = 0; m_clock.GetNow() - start < length; ++step) {
      m_is_out = m_clock.GetNow() - start >= m_options.outage_at &&
                 m_clock.GetNow() - start < m_options.outage_at + m_options.outage;
      for (Endpoint& endpoint : m_endpoints) Advance(endpoint);
      if (step % 10 == 0) ReportLoads();
      if (step % 20 == 0) ShareDemand();
      for (owed += per_step; owed >= 1; owed -= 1) Ask(static_cast<size_t>(ToSeconds(m_clock.GetNow() - start)));
      ReturnCallers();
      for (const auto& entry : m_entries) entry->traffic.CheckDue();
      Collect();
      m_clock.Advance(kStep);
    }
  }

  const SecondOutcome& GetSecond(size_t second) const { return m_seconds.at(second); }

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

  struct Call : HttpCall {
    void Cancel() override { is_cancelled = true; }
    bool IsSent() const override { return true; }
    bool IsOnKeptConnection() const override { return true; }

    HttpCallbacks callbacks;
    std::string id;
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
    size_t second = 0;
    TimePoint first_sent_at;
    bool has_returned = false;
    TimePoint returns_at;
  };

  struct Entry : AttemptSender {
    Entry(OverloadSim& sim_in, size_t number)
        : sim(sim_in),
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
      sim.m_endpoints.at(target.port.Get() - kFirstPort).queue.push_back(call);
      return call;
    }

    OverloadSim& sim;
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
    while (!endpoint.queue.empty() && endpoint.running.size() < kSlots) {
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
    for (const auto& entry : m_entries) entry->traffic.OnLoad(loads);
  }

  void ShareDemand() {
    EntryView view;
    for (size_t i = 0; i < m_entries.size(); ++i) {
      view.entries.push_back({GetVm(i), ZoneName(GetZone(i)), m_entries[i]->traffic.GetDemand()});
    }
    for (const auto& entry : m_entries) entry->traffic.SetEntries(view);
  }

  void Ask(size_t second) {
    if (m_seconds.size() <= second) m_seconds.resize(second + 1);
    ++m_seconds[second].asked;
    m_open.push_back({nullptr, second, m_clock.GetNow(), false, {}});
    Send(m_open.back());
  }

  void Send(OpenRequest& ask) {
    const Duration left = kDeadline - (m_clock.GetNow() - ask.first_sent_at);
    HttpRequest request;
    request.method = "POST";
    request.target = "/draft/x";
    request.headers.Add("Host", "h.example");
    request.headers.Add("Plantainmast-Attempt-Id", "r" + std::to_string(++m_requests));
    request.headers.Add("Plantainmast-Deadline-Ms", std::to_string(ToMilliseconds(left)));
    request.headers.Add("Plantainmast-Model", kVeilModel.Get());
    request.headers.Add("Plantainmast-Token-Usage", "900,100");
    ask.caller = std::make_shared<FakeForwardCaller>();
    m_entries[m_random.GetBelow(m_entries.size())]->traffic.HandleHttp(std::move(request), ask.caller);
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
        ++(spent <= kTarget ? m_seconds[ask.second].in_time : m_seconds[ask.second].late);
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
  uint64_t m_requests = 0;
  bool m_is_out = false;
};

}  // namespace plantain

#endif  // PLANTAIN_TESTS_OVERLOAD_SIM_H_
