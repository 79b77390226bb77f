#include "load_plan.h"

#include <charconv>
#include <cmath>

#include "failure_type.h"

namespace plantain::standin {
namespace {

// Distance between the seeds of two threads, so that each has its own random sequence.
constexpr uint64_t kThreadSeedStep = 0x9e3779b97f4a7c15ull;

std::vector<std::string> SplitText(const std::string& text, char separator) {
  std::vector<std::string> parts;
  size_t at = 0;
  while (at <= text.size() && !text.empty()) {
    const size_t end = text.find(separator, at);
    parts.push_back(text.substr(at, end - at));
    if (end == std::string::npos) break;
    at = end + 1;
  }
  return parts;
}

absl::Status MakeUsageFailure(const std::string& option, const std::string& value, const std::string& expected) {
  return MakeFailure(FailureCode::kUsage, "--" + option + " " + value + ": expected " + expected);
}

bool ParseNumber(const std::string& text, uint32_t& out) {
  const auto result = std::from_chars(text.data(), text.data() + text.size(), out);
  return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

}  // namespace

absl::StatusOr<std::vector<LoadWorkspace>> ParseWorkspaces(const std::string& text) {
  std::vector<LoadWorkspace> workspaces;
  for (const std::string& part : SplitText(text, ',')) {
    const std::vector<std::string> fields = SplitText(part, ':');
    if (fields.empty() || fields.size() > 2) return MakeUsageFailure("workspaces", text, "name[:weight],...");
    const double weight = fields.size() == 2 ? strtod(fields[1].c_str(), nullptr) : 1;
    if (weight <= 0) return MakeUsageFailure("workspaces", text, "weights above 0");
    workspaces.push_back({fields[0], weight});
  }
  return workspaces;
}

absl::StatusOr<std::vector<HttpTarget>> ParseTargets(const std::string& text) {
  std::vector<HttpTarget> targets;
  for (const std::string& part : SplitText(text, ',')) {
    const size_t colon = part.rfind(':');
    uint32_t port = 0;
    if (colon == std::string::npos || !ParseNumber(part.substr(colon + 1), port) || port > 65535) {
      return MakeFailure(FailureCode::kUsage, text + ": expected ip:port,...");
    }
    targets.push_back({IpAddress(part.substr(0, colon)), Port(static_cast<uint16_t>(port))});
  }
  return targets;
}

std::vector<LoadModel> ParseModels(const std::string& text) {
  std::vector<LoadModel> models;
  for (const std::string& part : SplitText(text, ',')) {
    const size_t colon = part.find(':');
    models.push_back({part.substr(0, colon), colon == std::string::npos ? "" : part.substr(colon + 1)});
  }
  return models;
}

absl::Status ParseTokens(const std::string& text, LoadOptions& options) {
  const size_t dash = text.find('-');
  const std::string min_text = text.substr(0, dash);
  const std::string max_text = dash == std::string::npos ? min_text : text.substr(dash + 1);
  if (!ParseNumber(min_text, options.min_tokens) || !ParseNumber(max_text, options.max_tokens) ||
      options.min_tokens > options.max_tokens || options.min_tokens == 0) {
    return MakeUsageFailure("max-tokens", text, "a number or low-high");
  }
  return absl::OkStatus();
}

LoadPlan::LoadPlan(const LoadOptions& options, size_t thread)
    : m_options(options), m_thread(thread), m_random(options.seed + thread * kThreadSeedStep) {
  for (const LoadWorkspace& workspace : options.workspaces) m_total_weight += workspace.weight;
}

Duration LoadPlan::GetNextInterarrivalTime() {
  const double rate = m_options.rate / static_cast<double>(m_options.threads);
  const double interval_s = -std::log(1 - m_random.GetUnit()) / rate;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval_s));
}

size_t LoadPlan::ChooseWorkspace() {
  double at = m_random.GetUnit() * m_total_weight;
  for (size_t i = 0; i < m_options.workspaces.size(); ++i) {
    at -= m_options.workspaces[i].weight;
    if (at < 0) return i;
  }
  return m_options.workspaces.size() - 1;
}

LoadRequest LoadPlan::MakeNextRequest() {
  LoadRequest request;
  request.id = m_options.run + "-" + std::to_string(m_options.seed) + "-" + std::to_string(m_thread) + "-" +
               std::to_string(++m_count);
  request.workspace = ChooseWorkspace();
  request.is_service = m_random.GetUnit() < m_options.service_share;
  if (request.is_service) {
    const bool is_at_most_once = m_random.GetUnit() < m_options.once_share;
    request.call = {m_options.service, is_at_most_once ? m_options.once_call : m_options.repeat_call, !is_at_most_once};
    request.body = R"({"item":")" + request.id + R"("})";
    return request;
  }
  request.model = m_options.models[m_random.GetBelow(m_options.models.size())];
  request.tokens =
      m_options.min_tokens + static_cast<uint32_t>(m_random.GetBelow(m_options.max_tokens - m_options.min_tokens + 1));
  request.is_streaming = m_random.GetUnit() < m_options.stream_share;
  // Many requests share a prefix. The request id makes each prompt, and therefore each answer, unique.
  request.prompt = "prompt " + std::to_string(m_random.GetBelow(m_options.prompts)) + " ";
  if (request.prompt.size() < m_options.prompt_bytes) request.prompt.resize(m_options.prompt_bytes, '.');
  request.prompt += request.id;
  return request;
}

}  // namespace plantain::standin
