// Stand-in for a model engine with continuous batching.

#include <iostream>

#include "engine_standin.h"

namespace plantain::standin {
namespace {

constexpr char kExamples[] =
    "  standin-engine --address 127.0.1.7 --token-ms 20 --capacity 16 --cold-capacity 2 --warm-ms 4000\n"
    "  curl 127.0.1.7:9000/status\n"
    "  curl -N -X POST -d '{\"model\":\"tatami\",\"prompt\":\"p\",\"max_tokens\":5,\"stream\":true,\"id\":\"r1\"}' "
    "127.0.1.7:9000/v1/completions\n"
    "  curl -X POST -d '{\"go_cold\":true,\"hide_cold\":true}' 127.0.1.7:9000/control\n"
    "  curl -X POST -d '{\"lose_order_answer\":1,\"delay_order_ms\":2000}' 127.0.1.7:9000/control\n";
// Maximum size of a staged chunk.
constexpr size_t kMaxBodyBytes = 64 * 1024 * 1024;

// Command-line options before unit conversion.
struct RawOptions {
  double token_ms = 20;
  size_t capacity = 16;
  size_t max_running = 64;
  size_t max_queued = 1024;
  double cold_slowdown = 2;
  size_t cold_capacity = 2;
  int64_t warm_ms = 5000;
  int64_t overload_ms = 300;
  bool has_fences = true;
  bool is_verifying = true;
  bool is_cold_after_load = true;
  std::string fall_over = "cold";
  int64_t load_lag_ms = 500;
  int64_t order_ms = 200;
  int64_t prefill_ms = 40;
  size_t prefix_entries = 64;
  size_t prefix_bytes = 64;
  int64_t event_lag_ms = 500;
  double event_loss_share = 0.05;
  size_t ledger_entries = 200'000;
};

void DescribeOptions(boost::program_options::options_description& description, RawOptions& raw) {
  using boost::program_options::value;
  auto add = description.add_options();
  add("token-ms", value(&raw.token_ms)->default_value(raw.token_ms), "Time between two tokens of a request.");
  add("capacity", value(&raw.capacity)->default_value(raw.capacity),
      "Requests that run at full speed; more slow down all.");
  add("max-running", value(&raw.max_running)->default_value(raw.max_running),
      "Maximum batch size; more requests are queued.");
  add("max-queued", value(&raw.max_queued)->default_value(raw.max_queued),
      "Maximum queue length; more requests get 429.");
  add("cold-slowdown", value(&raw.cold_slowdown)->default_value(raw.cold_slowdown, "2"),
      "Factor by which the token time grows while cold.");
  add("cold-capacity", value(&raw.cold_capacity)->default_value(raw.cold_capacity),
      "Requests that a cold engine can sustain.");
  add("warm-ms", value(&raw.warm_ms)->default_value(raw.warm_ms), "Time under light load until a cold engine is warm.");
  add("overload-ms", value(&raw.overload_ms)->default_value(raw.overload_ms),
      "Time above the cold capacity after which a cold engine fails all requests.");
  add("fall-over", value(&raw.fall_over)->default_value(raw.fall_over),
      "State after such a failure: cold (weights stay loaded) or empty (weights are lost).");
  add("fences", value(&raw.has_fences)->default_value(raw.has_fences, "1"),
      "Whether orders with an outdated fencing token are rejected.");
  add("verify", value(&raw.is_verifying)->default_value(raw.is_verifying, "1"), "Whether digests are verified.");
  add("cold-after-load", value(&raw.is_cold_after_load)->default_value(raw.is_cold_after_load, "1"),
      "Whether loading a base model makes the engine cold.");
  add("load-lag-ms", value(&raw.load_lag_ms)->default_value(raw.load_lag_ms), "Delay of the load values in /status.");
  add("order-ms", value(&raw.order_ms)->default_value(raw.order_ms), "Execution time of an order.");
  add("prefill-ms", value(&raw.prefill_ms)->default_value(raw.prefill_ms),
      "Time until the first token of a prompt whose prefix is not cached.");
  add("prefix-entries", value(&raw.prefix_entries)->default_value(raw.prefix_entries),
      "Maximum number of cached prefixes.");
  add("prefix-bytes", value(&raw.prefix_bytes)->default_value(raw.prefix_bytes),
      "Length of the prompt prefix used as the cache key.");
  add("event-lag-ms", value(&raw.event_lag_ms)->default_value(raw.event_lag_ms),
      "Delay until a cache event is published.");
  add("event-loss-share", value(&raw.event_loss_share)->default_value(raw.event_loss_share, "0.05"),
      "Share of cache events that are never published.");
  add("ledger-entries", value(&raw.ledger_entries)->default_value(raw.ledger_entries),
      "Maximum number of prompts in GET /ledger.");
}

EngineOptions MakeOptions(const RawOptions& raw) {
  EngineOptions options;
  const std::chrono::duration<double, std::milli> token_time(raw.token_ms);
  options.batch.token_time = std::chrono::duration_cast<Duration>(token_time);
  options.batch.capacity = raw.capacity;
  options.batch.max_running = raw.max_running;
  options.batch.max_queued = raw.max_queued;
  options.batch.cold_slowdown = raw.cold_slowdown;
  options.cold.cold_capacity = raw.cold_capacity;
  options.cold.warm_time = Milliseconds(raw.warm_ms);
  options.cold.overload_time = Milliseconds(raw.overload_ms);
  options.has_fences = raw.has_fences;
  options.is_verifying = raw.is_verifying;
  options.is_cold_after_load = raw.is_cold_after_load;
  options.is_unloaded_by_overload = raw.fall_over == "empty";
  options.load_lag = Milliseconds(raw.load_lag_ms);
  options.order_time = Milliseconds(raw.order_ms);
  options.prefill_time = Milliseconds(raw.prefill_ms);
  options.prefix.max_entries = raw.prefix_entries;
  options.prefix.event_lag = Milliseconds(raw.event_lag_ms);
  options.prefix.event_loss_share = raw.event_loss_share;
  options.prefix_bytes = raw.prefix_bytes;
  options.ledger_entries = raw.ledger_entries;
  return options;
}

int Run(int argc, char** argv) {
  CommandLine command_line("standin-engine", 9000, "Batching model engine with cold start, orders and faults.",
                           kExamples);
  RawOptions raw;
  DescribeOptions(command_line.GetDescription(), raw);
  if (const auto exit_code = command_line.Parse(argc, argv)) return *exit_code;

  Loop loop;
  SystemClock clock;
  SeededRandom random(command_line.GetSeed());
  HttpStandin standin(loop, random);
  EngineStandin engine(standin, clock, random, MakeOptions(raw));
  standin.SetControlHandler([&](const nlohmann::json& fields) { return engine.Control(fields); });
  const absl::Status started = standin.Listen(command_line.GetAddress(), command_line.GetPort(), kMaxBodyBytes,
                                              [&](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                                                engine.Handle(std::move(request), std::move(responder));
                                              });
  return RunUntilTerminated(loop, command_line.GetProgram(), started);
}

}  // namespace
}  // namespace plantain::standin

int main(int argc, char** argv) { return plantain::standin::Run(argc, argv); }
