// Open-loop load generator that checks every answer byte by byte.

#include <boost/program_options.hpp>
#include <iostream>
#include <thread>

#include "failure_type.h"
#include "load_worker.h"

namespace plantain::standin {
namespace {

namespace options = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr char kExamples[] =
    "\nExamples:\n"
    "  plantain-load --targets 127.0.1.1:8080,127.0.1.2:8080 --rate 200 --duration-s 30 --model tatami,tatami:sewing "
    "\\\n"
    "    --workspaces tokyo:5,osaka --max-tokens 8-64 --deadline-ms 5000 --timeline-ms 1000\n"
    "  plantain-load --targets 127.0.1.1:8080 --rate 100 --duration-s 10 --model tatami --service-share 0.3 \\\n"
    "    --service register --once-call seal --repeat-call lookup --once-share 0.5 --retries 3 --ignore-retry-after\n";

// Command-line options before parsing and unit conversion.
struct RawOptions {
  std::string targets;
  std::string models = "model";
  std::string workspaces = "default";
  std::string tokens = "16";
  std::string service;
  std::string once_call;
  std::string repeat_call;
  std::string manifests;
  std::string ledgers;
  int64_t retry_pause_ms = 20;
  int64_t deadline_ms = 0;
  int64_t timeline_ms = 0;
};

void DescribeOptions(options::options_description& description, RawOptions& raw, LoadOptions& load) {
  using options::value;
  auto add = description.add_options();
  add("help,h", "Show this help and exit.");
  add("targets", value(&raw.targets), "Entries as ip:port,... (required).");
  add("rate", value(&load.rate)->default_value(load.rate), "Requests/s over all threads.");
  add("duration-s", value(&load.duration_s)->default_value(load.duration_s), "Time for which requests are sent.");
  add("seed", value(&load.seed)->default_value(load.seed), "Seed of requests and arrival times.");
  add("run", value(&load.run), "Prefix of request ids; defaults to the start time. Set it to reproduce a run exactly.");
  add("threads", value(&load.threads)->default_value(load.threads), "Threads, each with its own connections.");
  add("model", value(&raw.models)->default_value(raw.models), "Models as model[:adapter],...");
  add("workspaces", value(&raw.workspaces)->default_value(raw.workspaces), "Workspaces as name[:weight],...");
  add("prompts", value(&load.prompts)->default_value(load.prompts), "Number of distinct prompt prefixes.");
  add("prompt-bytes", value(&load.prompt_bytes)->default_value(load.prompt_bytes), "Length of a prompt prefix.");
  add("max-tokens", value(&raw.tokens)->default_value(raw.tokens), "Tokens of an answer, n or low-high.");
  add("stream-share", value(&load.stream_share)->default_value(load.stream_share), "Share of streamed completions.");
  add("service-share", value(&load.service_share)->default_value(load.service_share),
      "Share of requests that are calls of plain services.");
  add("service", value(&raw.service), "Plain service to call.");
  add("once-call", value(&raw.once_call), "At-most-once call of the service; carries an idempotency key.");
  add("repeat-call", value(&raw.repeat_call), "Repeatable call of the service.");
  add("once-share", value(&load.once_share)->default_value(load.once_share), "Share of once-call among calls.");
  add("retries", value(&load.retries)->default_value(load.retries), "Maximum number of client retries for a request.");
  add("ignore-retry-after", options::bool_switch(&load.is_ignoring_retry_after),
      "Ignore the retry delay in answers; always wait for retry-pause-ms.");
  add("retry-pause-ms", value(&raw.retry_pause_ms)->default_value(raw.retry_pause_ms),
      "Minimum pause before a client retry.");
  add("deadline-ms", value(&raw.deadline_ms)->default_value(raw.deadline_ms), "X-Deadline-Ms; 0 sends none.");
  add("priority", value(&load.priority)->default_value(load.priority), "X-Priority; 0 sends none.");
  add("manifests", value(&raw.manifests), "Manifest digests in hex that answers may come from, joined by commas.");
  add("ledgers", value(&raw.ledgers),
      "Services and engines as ip:port,... whose ledgers are compared with the received answers.");
  add("timeline-ms", value(&raw.timeline_ms)->default_value(raw.timeline_ms),
      "Length of a timeline interval; 0 disables the timeline.");
}

absl::Status FillOptions(const RawOptions& raw, LoadOptions& load) {
  const auto targets = ParseTargets(raw.targets);
  if (!targets.ok()) return targets.status();
  load.targets = *targets;
  if (load.targets.empty()) return MakeFailure(FailureCode::kUsage, "expected --targets ip:port,...");
  const auto ledgers = ParseTargets(raw.ledgers);
  if (!ledgers.ok()) return ledgers.status();
  load.ledgers = *ledgers;
  const auto workspaces = ParseWorkspaces(raw.workspaces);
  if (!workspaces.ok()) return workspaces.status();
  load.workspaces = *workspaces;
  load.service = raw.service;
  load.once_call = raw.once_call;
  load.repeat_call = raw.repeat_call;
  if (load.service.empty()) load.service_share = 0;
  if (load.once_call.empty()) load.once_share = 0;
  if (load.repeat_call.empty()) load.once_share = 1;
  load.models = ParseModels(raw.models);
  for (const LoadModel& manifest : ParseModels(raw.manifests)) load.manifests.push_back(manifest.model);
  if (load.workspaces.empty() || load.models.empty() || load.threads == 0 || load.prompts == 0 || load.rate <= 0) {
    return MakeFailure(FailureCode::kUsage, "expected workspaces, models, threads, prompts and a rate above 0");
  }
  load.retry_pause = Milliseconds(raw.retry_pause_ms);
  load.deadline = Milliseconds(raw.deadline_ms);
  load.timeline = Milliseconds(raw.timeline_ms);
  return ParseTokens(raw.tokens, load);
}

nlohmann::json RunLoad(const LoadOptions& load) {
  SystemClock clock;
  std::vector<std::unique_ptr<LoadWorker>> workers;
  for (size_t i = 0; i < load.threads; ++i) workers.push_back(std::make_unique<LoadWorker>(load, i, clock));
  std::vector<std::thread> threads;
  for (const auto& worker : workers) threads.emplace_back([&worker] { worker->Run(); });
  for (std::thread& thread : threads) thread.join();
  LoadReport report(load);
  for (const auto& worker : workers) report.Merge(worker->GetReport());
  report.CheckLedgers();
  return report.ToJson(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(load.duration_s)));
}

// Returns a run name that is unique among the runs against one fleet.
std::string MakeRunName() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return "load" + std::to_string(std::chrono::duration_cast<Milliseconds>(now).count());
}

int Run(int argc, char** argv) {
  RawOptions raw;
  LoadOptions load;
  options::options_description description("Options");
  load.run = MakeRunName();
  DescribeOptions(description, raw, load);
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "plantain-load: " << error.what() << "\n" << description;
    return kExitUsage;
  }
  if (values.count("help") != 0) {
    std::cout << "Usage: plantain-load --targets ip:port,... [options]\n" << description << kExamples;
    return kExitOk;
  }
  const absl::Status status = FillOptions(raw, load);
  if (!status.ok()) {
    std::cerr << "plantain-load: " << GetFailureText(status) << "\n";
    return kExitUsage;
  }
  std::cout << RunLoad(load).dump() << "\n";
  return kExitOk;
}

}  // namespace
}  // namespace plantain::standin

int main(int argc, char** argv) { return plantain::standin::Run(argc, argv); }
