#include "engine_standin.h"

#include "failure_type.h"
#include "token_text.h"

namespace plantain::standin {
namespace {

constexpr uint32_t kDefaultMaxTokens = 16;
// Interval at which an order in progress checks whether a stall is over.
constexpr Duration kStallPoll = Milliseconds(20);

int GetOrderErrorStatus(WeightResult result) { return result == WeightResult::kNotLoaded ? 404 : 422; }

}  // namespace

EngineStandin::EngineStandin(HttpStandin& standin, const Clock& clock, Random& random, EngineOptions options)
    : m_standin(standin),
      m_clock(clock),
      m_options(options),
      m_weights(options.is_verifying),
      m_cold(clock, options.cold),
      m_prefixes(clock, random, options.prefix),
      m_batch(standin.GetLoop(), clock, m_weights, m_cold, options.batch) {
  m_incarnation = MakeIncarnation();
  m_batch.SetOnOverloadFailure([this] { HandleOverloadFailure(); });
  if (m_options.load_lag <= Duration(0)) return;
  m_sample_timer = standin.GetLoop().RunEvery(m_options.load_lag, [this] {
    m_reported_load = m_sampled_load;
    m_sampled_load = {m_batch.GetRunning(), m_batch.GetQueued()};
    m_batch.UpdateColdState();
  });
}

void EngineStandin::Handle(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  const std::vector<std::string> parts = SplitPath(GetPath(request.target));
  const std::string first = parts.empty() ? "" : parts[0];
  if (first == "v1" && request.method == "POST") {
    HandleCompletion(request, responder);
  } else if (first == "status") {
    responder->Send(MakeJsonResponse(200, GetStatus().dump()));
  } else if (first == "staging" && request.method == "PUT") {
    HandleStaging(parts, std::move(request), responder);
  } else if (first == "orders" && request.method == "POST") {
    AcceptOrder(request, responder);
  } else if (first == "events") {
    const uint64_t after = strtoull(GetQueryValue(request.target, "after").c_str(), nullptr, 10);
    responder->Send(MakeJsonResponse(200, m_prefixes.GetEventsJson(after)));
  } else if (first == "ledger") {
    responder->Send(MakeJsonResponse(200, GetLedger()));
  } else if (first == "stats") {
    responder->Send(MakeJsonResponse(200, GetStats().dump()));
  } else {
    responder->Send(MakeErrorResponse(404, "not_found"));
  }
}

void EngineStandin::HandleCompletion(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  m_batch.UpdateColdState();
  const nlohmann::json fields = nlohmann::json::parse(request.body, nullptr, false);
  EngineRequest completion;
  try {
    completion.id = fields.value("id", "");
    completion.key = {fields.value("model", ""), fields.value("adapter", "")};
    completion.prompt = fields.value("prompt", "");
    completion.first_index = fields.value("resume_from", 0u);
    completion.end_index = fields.value("max_tokens", kDefaultMaxTokens);
    completion.priority = fields.value("priority", 0u);
    completion.is_streaming = fields.value("stream", false);
  } catch (const nlohmann::json::exception&) {
    ++m_stats.refused;
    responder->Send(MakeErrorResponse(400, "bad_request"));
    return;
  }
  const bool is_loading = !m_order_queue.empty() && m_order_queue.front().key == completion.key;
  if (is_loading) ++m_stats.begun_while_loading;
  if (is_loading || m_weights.GetLoaded().count(completion.key) == 0) {
    ++m_stats.refused;
    responder->Send(MakeErrorResponse(503, "not_loaded"));
    return;
  }
  CountLateAdmission();
  const bool is_cached = m_prefixes.LookUpOrInsert(MakePrefixName(completion.prompt, m_options.prefix_bytes));
  if (!is_cached) completion.prefill = m_options.prefill_time;
  const std::string prompt = completion.prompt;
  if (m_batch.Add(std::move(completion), responder)) {
    CountStarted(prompt);
    return;
  }
  ++m_stats.refused;
  responder->Send(MakeErrorResponse(429, "queue_full"));
}

void EngineStandin::HandleStaging(const std::vector<std::string>& parts, HttpRequest request,
                                  const std::shared_ptr<HttpResponder>& responder) {
  WeightResult result = WeightResult::kBadIndex;
  if (parts.size() == 2) {
    result = m_weights.StageManifest(parts[1], request.body);
  } else if (parts.size() == 3) {
    m_stats.staged_bytes += request.body.size();
    ++m_stats.staged_chunks;
    const auto index = static_cast<uint32_t>(strtoul(parts[2].c_str(), nullptr, 10));
    result = m_weights.StageChunk(parts[1], index, std::move(request.body));
    if (result == WeightResult::kDigestMismatch) ++m_stats.rejected_chunks;
  }
  if (result == WeightResult::kOk) {
    responder->Send(MakeJsonResponse(200, "{}"));
  } else {
    responder->Send(MakeErrorResponse(result == WeightResult::kNoManifest ? 409 : 422, GetWeightResultName(result)));
  }
}

void EngineStandin::AcceptOrder(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
  const nlohmann::json fields = nlohmann::json::parse(request.body, nullptr, false);
  Order order;
  try {
    order.fence = fields.value("fence", uint64_t{0});
    order.type = fields.value("order", "");
    order.key = {fields.value("model", ""), fields.value("adapter", "")};
    order.manifest = fields.value("manifest", "");
    order.role = fields.value("role", "");
  } catch (const nlohmann::json::exception&) {
    responder->Send(MakeErrorResponse(400, "bad_request"));
    return;
  }
  if (order.type != "load" && order.type != "unload" && order.type != "role") {
    responder->Send(MakeErrorResponse(400, "bad_order"));
    return;
  }
  if (m_options.has_fences && order.fence < m_fence) {
    ++m_stats.orders_fenced;
    responder->Send(MakeJsonResponse(409, nlohmann::json{{"error", {{"type", "fenced"}}}, {"fence", m_fence}}.dump()));
    return;
  }
  if (m_options.has_fences) m_fence = order.fence;
  order.responder = responder;
  m_order_queue.push_back(std::move(order));
  if (m_order_queue.size() == 1) StartNextOrder();
}

void EngineStandin::StartNextOrder() {
  if (m_order_queue.empty()) return;
  const Order& order = m_order_queue.front();
  if (order.type == "load" && m_weights.CheckLoad(order.key, order.manifest) == WeightResult::kOk) {
    m_batch.SetLoading(order.key);
  }
  RunDetached(m_standin.GetLoop(), m_options.order_time + m_order_delay,
              [this, incarnation = m_incarnation] { FinishOrder(incarnation); });
}

void EngineStandin::FinishOrder(uint64_t incarnation) {
  if (incarnation != m_incarnation) return;
  if (m_standin.GetFaults().is_stalled) {
    RunDetached(m_standin.GetLoop(), kStallPoll, [this, incarnation] { FinishOrder(incarnation); });
    return;
  }
  m_batch.SetLoading(std::nullopt);
  const Order order = std::move(m_order_queue.front());
  m_order_queue.pop_front();
  AnswerOrder(order, ExecuteOrder(order));
  StartNextOrder();
}

WeightResult EngineStandin::ExecuteOrder(const Order& order) {
  WeightResult result = WeightResult::kOk;
  if (order.type == "load") {
    const auto before = m_weights.GetLoaded().find(order.key);
    const bool is_same = before != m_weights.GetLoaded().end() && before->second.manifest == order.manifest;
    result = m_weights.Load(order.key, order.manifest);
    const bool is_base_change = result == WeightResult::kOk && !is_same && order.key.second.empty();
    if (is_base_change) {
      m_prefixes.Clear();
      if (m_options.is_cold_after_load) m_cold.MakeCold();
    }
  } else if (order.type == "unload") {
    m_batch.FailKey(order.key);
    result = m_weights.Unload(order.key);
  } else {
    m_role = order.role;
  }
  if (result == WeightResult::kOk) ++m_orders;
  return result;
}

void EngineStandin::AnswerOrder(const Order& order, WeightResult result) {
  if (m_order_answers_to_lose > 0) {
    --m_order_answers_to_lose;
    ++m_stats.order_answers_lost;
    order.responder->Abort();
    return;
  }
  if (result == WeightResult::kOk) {
    ++m_stats.orders_done;
    order.responder->Send(MakeJsonResponse(200, nlohmann::json{{"orders", m_orders}, {"fence", m_fence}}.dump()));
  } else {
    ++m_stats.orders_failed;
    order.responder->Send(MakeErrorResponse(GetOrderErrorStatus(result), GetWeightResultName(result)));
  }
}

void EngineStandin::Crash() {
  m_batch.FailAll();
  m_batch.SetLoading(std::nullopt);
  const std::deque<Order> orders = std::move(m_order_queue);
  m_order_queue.clear();
  m_weights.Clear();
  m_prefixes.Clear();
  m_cold.MakeCold();
  m_orders = 0;
  m_fence = 0;
  m_role.clear();
  m_incarnation = MakeIncarnation();
  for (const Order& order : orders) order.responder->Abort();
}

void EngineStandin::HandleOverloadFailure() {
  m_prefixes.Clear();
  if (m_options.is_unloaded_by_overload) Crash();
}

void EngineStandin::CountLateAdmission() {
  if (m_no_work_after.has_value() && m_clock.GetNow() > *m_no_work_after) ++m_stats.late_admissions;
}

void EngineStandin::CountStarted(const std::string& prompt) {
  const std::string key = MakePrefixName(prompt, prompt.size());
  const auto found = m_ledger.find(key);
  if (found != m_ledger.end()) {
    ++found->second;
  } else if (m_ledger.size() < m_options.ledger_entries) {
    m_ledger.emplace(key, 1);
  }
}

std::string EngineStandin::GetLedger() const {
  std::string text = R"({"calls":[)";
  for (const auto& [key, count] : m_ledger) {
    if (text.back() == '}') text += ',';
    text += R"({"call":"completion","key":")" + key + R"(","count":)" + std::to_string(count) + "}";
  }
  return text + "]}";
}

uint64_t EngineStandin::MakeIncarnation() {
  const auto now = static_cast<uint64_t>(m_clock.GetWallTime().time_since_epoch().count());
  return std::max(now, m_incarnation + 1);
}

absl::Status EngineStandin::Control(const nlohmann::json& fields) {
  m_batch.SetStalled(m_standin.GetFaults().is_stalled);
  m_is_cold_hidden = fields.value("hide_cold", m_is_cold_hidden);
  if (fields.value("go_cold", false)) {
    m_cold.MakeCold();
    m_prefixes.Clear();
  }
  if (fields.value("go_warm", false)) m_cold.MakeWarm();
  if (fields.value("crash", false)) Crash();
  if (fields.contains("lose_order_answer")) {
    const nlohmann::json& count = fields["lose_order_answer"];
    m_order_answers_to_lose = count.is_boolean() ? (count.get<bool>() ? 1 : 0) : count.get<uint64_t>();
  }
  if (fields.contains("delay_order_ms")) m_order_delay = Milliseconds(fields["delay_order_ms"].get<int64_t>());
  if (fields.contains("order_ms")) m_options.order_time = Milliseconds(fields["order_ms"].get<int64_t>());
  if (fields.contains("token_ms")) {
    const std::chrono::duration<double, std::milli> token_time(fields["token_ms"].get<double>());
    m_batch.SetTokenTime(std::chrono::duration_cast<Duration>(token_time));
  }
  if (fields.contains("capacity")) m_batch.SetCapacity(fields["capacity"].get<size_t>());
  m_options.has_fences = fields.value("fences", m_options.has_fences);
  if (fields.contains("verify")) m_weights.SetVerifying(fields["verify"].get<bool>());
  if (fields.contains("no_work_after_ms")) {
    const int64_t after_ms = fields["no_work_after_ms"].get<int64_t>();
    m_no_work_after.reset();
    if (after_ms >= 0) m_no_work_after = m_clock.GetNow() + Milliseconds(after_ms);
  }
  return absl::OkStatus();
}

std::string EngineStandin::GetState() const {
  if (m_weights.GetLoaded().empty()) return "empty";
  return m_cold.IsWarm() || m_is_cold_hidden ? "warm" : "cold";
}

nlohmann::json EngineStandin::GetStatus() const {
  const bool is_lagging = m_options.load_lag > Duration(0);
  const LoadSample load = is_lagging ? m_reported_load : LoadSample{m_batch.GetRunning(), m_batch.GetQueued()};
  nlohmann::json loaded = nlohmann::json::array();
  for (const auto& [key, weights] : m_weights.GetLoaded()) {
    loaded.push_back({{"model", key.first}, {"adapter", key.second}, {"manifest", weights.manifest}});
  }
  return {{"incarnation", m_incarnation},
          {"state", GetState()},
          {"orders", m_orders},
          {"fence", m_fence},
          {"role", m_role},
          {"loaded", std::move(loaded)},
          {"staged", {{"manifest", m_weights.GetStagedManifest()}, {"have", m_weights.GetStagedMap()}}},
          {"in_flight", load.in_flight},
          {"queued", load.queued},
          {"capacity", m_batch.GetOptions().capacity}};
}

nlohmann::json EngineStandin::GetStats() {
  const BatchStats& batch = m_batch.GetStats();
  return {{"started", batch.started},
          {"finished", batch.finished},
          {"cancelled", batch.cancelled},
          {"failed", batch.failed},
          {"tokens", batch.tokens},
          {"over_limit", batch.over_limit},
          {"fell_over", batch.overload_failures},
          {"partial_served", batch.partial_served},
          {"mixed_served", batch.mixed_served},
          {"max_in_flight", batch.max_in_flight},
          {"max_cold_in_flight", batch.max_cold_in_flight},
          {"in_flight", m_batch.GetInFlight()},
          {"refused", m_stats.refused},
          {"begun_while_loading", m_stats.begun_while_loading},
          {"late_admissions", m_stats.late_admissions},
          {"orders_done", m_stats.orders_done},
          {"orders_failed", m_stats.orders_failed},
          {"orders_fenced", m_stats.orders_fenced},
          {"order_answers_lost", m_stats.order_answers_lost},
          {"staged_chunks", m_stats.staged_chunks},
          {"staged_bytes", m_stats.staged_bytes},
          {"rejected_chunks", m_stats.rejected_chunks}};
}

}  // namespace plantain::standin
