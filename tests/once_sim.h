// Simulates log, service and network for several OnceCore instances with a virtual clock, for property tests.

#ifndef PLANTAIN_TESTS_ONCE_SIM_H_
#define PLANTAIN_TESTS_ONCE_SIM_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "failure_type.h"
#include "once_core.h"

namespace plantain {

// Result of an append. Three values stand for success, so that it is the most frequent result.
enum class AppendResult {
  kOk,
  kOkSecond,
  kOkThird,
  kResponseLost,
  kLost,
  // The record is written now and the append stays in flight, so it is written again later.
  kDuplicatedLater,
  // The log reports that it is unavailable, or that its append rate is exceeded.
  kRefused,
  kLimited,
};

// Result of a call sent to the service.
enum class CallResult { kResponded, kResponseLost, kLost, kUnreachable };

// Messages stay in flight until a step delivers, drops or duplicates them, in any order.
class OnceSim {
 public:
  static constexpr size_t kAgentCount = 3;

  explicit OnceSim(size_t keys) : m_keys(keys) {
    for (size_t i = 0; i < kAgentCount; ++i) m_agents.push_back(std::make_unique<Agent>(*this, i, 0));
    for (size_t i = 0; i < kAgentCount; ++i) DeliverFreshRead(i);
  }

  // Performs the step selected by `code`. Most codes select normal steps, so that calls make enough progress for the
  // rare steps to have an effect.
  void Step(uint32_t code) {
    const uint32_t kind = code % kCodeCount;
    const uint32_t arg = code / kCodeCount;
    if (kind < 10) {
      TickAll(Milliseconds(20));
    } else if (kind < 18) {
      Submit(arg % kAgentCount, arg / kAgentCount % m_keys, Milliseconds(200 + arg % 4000));
    } else if (kind < 28) {
      DeliverFreshRead(arg % kAgentCount);
    } else if (kind < 38) {
      FinishAppend(arg, static_cast<AppendResult>(arg / 5 % 8));
    } else if (kind < 43) {
      FinishRun(arg, static_cast<CallResult>(arg / 7 % 4));
    } else if (kind < 45) {
      m_reads.push_back(MakeRead(arg % kAgentCount));
    } else if (kind < 47) {
      DeliverRead(arg, arg / 3 % 2 == 0);
    } else if (kind == 47) {
      Restart(arg % kAgentCount);
    } else if (kind == 48) {
      m_clock.Advance(arg % 4 == 0 ? std::chrono::seconds(70) : std::chrono::seconds(1));
    } else {
      m_agents[arg % kAgentCount]->core->OnReadFailed();
    }
  }

  // Whether a code restarts an agent.
  static bool IsRestart(uint32_t code) { return code % kCodeCount == 47; }

  // Delivers all messages in flight until no work is left.
  void RunUntilIdle() {
    for (int i = 0; i < 300; ++i) {
      TickAll(Milliseconds(500));
      while (!m_appends.empty()) FinishAppend(0, AppendResult::kOk);
      while (!m_reads.empty()) DeliverRead(0, false);
      for (size_t agent = 0; agent < kAgentCount; ++agent) DeliverFreshRead(agent);
      while (!m_runs.empty()) FinishRun(0, CallResult::kResponded);
    }
  }

  void Submit(size_t agent, size_t key, Duration time) {
    const std::string name = "key-" + std::to_string(key);
    OnceCall call;
    call.key = OnceKey(name);
    call.fingerprint = Digest("fingerprint");
    call.call = "seal";
    call.caller_key = name;
    call.deadline = m_clock.GetNow() + time;
    ++requested[name];
    m_agents[agent]->core->Submit(std::move(call), [this, name](const OnceAnswer& answer) {
      ++answer_counts[name];
      if (!answer.outcome.has_value() && answer.refusal.not_run) ++not_run[name];
      if (answer.outcome.has_value()) bodies[name].push_back(answer.outcome->body);
    });
  }

  void TickAll(Duration step) {
    m_clock.Advance(step);
    for (const auto& agent : m_agents) agent->core->Tick();
  }

  // Restarts an agent with a new incarnation. Messages that it sent before stay in flight.
  void Restart(size_t agent) {
    const uint64_t generation = m_agents[agent]->generation + 1;
    m_retired.push_back(std::move(m_agents[agent]));
    m_agents[agent] = std::make_unique<Agent>(*this, agent, generation);
  }

  void DeliverFreshRead(size_t agent) {
    m_reads.push_back(MakeRead(agent));
    DeliverRead(static_cast<uint32_t>(m_reads.size() - 1), false);
  }

  // Expires the records of the log before `offset`.
  void ExpireBefore(uint64_t offset) { m_first = offset; }

  // Completes one append in flight with the given result.
  void FinishAppend(uint32_t arg, AppendResult completion) {
    if (m_appends.empty()) return;
    if (completion == AppendResult::kDuplicatedLater) {
      m_records.push_back(m_appends[arg % m_appends.size()].record);
      return;
    }
    const AppendInFlight append = RemoveAt(m_appends, arg);
    const bool is_lost = completion == AppendResult::kLost || completion == AppendResult::kRefused ||
                         completion == AppendResult::kLimited;
    if (!is_lost) m_records.push_back(append.record);
    if (OnceCore* core = FindCore(append.agent, append.generation))
      core->OnAppended(append.id, GetAppendStatus(completion));
  }

  // Completes one call to the service with the given result.
  void FinishRun(uint32_t arg, CallResult completion) {
    if (m_runs.empty()) return;
    const RunInFlight run = RemoveAt(m_runs, arg);
    RunResult result;
    result.is_sent = completion != CallResult::kUnreachable;
    if (completion == CallResult::kResponded || completion == CallResult::kResponseLost)
      ++run_counts[run.call.caller_key];
    if (completion == CallResult::kResponded) result.outcome = OnceOutcome{200, "outcome of " + run.call.caller_key};
    if (OnceCore* core = FindCore(run.agent, run.generation)) core->OnRunDone(run.claim, result);
  }

  OnceCore& GetCore(size_t agent) { return *m_agents[agent]->core; }
  size_t GetAppendsInFlight() const { return m_appends.size(); }
  size_t GetRunsInFlight() const { return m_runs.size(); }
  VirtualClock& GetClock() { return m_clock; }

  // Results by key.
  std::map<std::string, int> run_counts;
  std::map<std::string, int> requested;
  std::map<std::string, int> answer_counts;
  std::map<std::string, int> not_run;
  std::map<std::string, std::vector<std::string>> bodies;

 private:
  static constexpr uint32_t kCodeCount = 50;

  static absl::Status GetAppendStatus(AppendResult completion) {
    if (completion == AppendResult::kResponseLost || completion == AppendResult::kLost)
      return MakeFailure(FailureCode::kTimeout, "lost");
    if (completion == AppendResult::kRefused) return MakeFailure(FailureCode::kLogUnavailable, "down");
    if (completion == AppendResult::kLimited) return MakeFailure(FailureCode::kLogRateLimited, "too many");
    return absl::OkStatus();
  }

  struct Agent : public OnceHost {
    Agent(OnceSim& sim_in, size_t index_in, uint64_t generation_in)
        : sim(sim_in), index(index_in), generation(generation_in), random(index_in * 100 + generation_in) {
      OnceOptions options;
      options.vm = VmId("vm-" + std::to_string(index));
      options.incarnation = Incarnation(1000 + generation);
      core = std::make_unique<OnceCore>(sim.m_clock, random, *this, options);
    }
    void Append(uint64_t id, const std::string& record) override {
      sim.m_appends.push_back({index, generation, id, record});
    }
    void Run(const ClaimId& claim, const OnceCall& call) override {
      sim.m_runs.push_back({index, generation, claim, call});
    }

    OnceSim& sim;
    size_t index;
    uint64_t generation;
    SeededRandom random;
    std::unique_ptr<OnceCore> core;
  };

  struct AppendInFlight {
    size_t agent;
    uint64_t generation;
    uint64_t id;
    std::string record;
  };
  struct ReadInFlight {
    size_t agent;
    uint64_t generation;
    LogOffset from;
    LogBatch batch;
  };
  struct RunInFlight {
    size_t agent;
    uint64_t generation;
    ClaimId claim;
    OnceCall call;
  };

  template <typename T>
  static T RemoveAt(std::vector<T>& items, uint32_t arg) {
    const auto position = items.begin() + static_cast<ptrdiff_t>(arg % items.size());
    T item = std::move(*position);
    items.erase(position);
    return item;
  }

  OnceCore* FindCore(size_t agent, uint64_t generation) {
    return m_agents[agent]->generation == generation ? m_agents[agent]->core.get() : nullptr;
  }

  ReadInFlight MakeRead(size_t agent) {
    ReadInFlight read{agent, m_agents[agent]->generation, m_agents[agent]->core->GetReadFrom(), {}};
    read.batch.first_offset = LogOffset(m_first);
    read.batch.next_offset = LogOffset(m_records.size());
    if (read.from.Get() < m_first) return read;
    for (uint64_t i = read.from.Get(); i < m_records.size(); ++i) {
      read.batch.records.push_back({LogOffset(i), m_clock.GetWallTime(), m_records[i]});
    }
    return read;
  }

  void DeliverRead(uint32_t arg, bool is_duplicated) {
    if (m_reads.empty()) return;
    const ReadInFlight read = m_reads[arg % m_reads.size()];
    if (!is_duplicated) RemoveAt(m_reads, arg);
    if (OnceCore* core = FindCore(read.agent, read.generation)) core->OnRead(read.from, read.batch);
  }

  const size_t m_keys;
  VirtualClock m_clock;
  std::vector<std::unique_ptr<Agent>> m_agents;
  std::vector<std::unique_ptr<Agent>> m_retired;
  std::vector<std::string> m_records;
  uint64_t m_first = 0;
  std::vector<AppendInFlight> m_appends;
  std::vector<ReadInFlight> m_reads;
  std::vector<RunInFlight> m_runs;
};

}  // namespace plantain

#endif  // PLANTAIN_TESTS_ONCE_SIM_H_
