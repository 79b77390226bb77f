#include "load_report.h"

namespace plantain::standin {
namespace {

constexpr size_t kMaxProblems = 10;
// Limits the timeline's memory if an answer arrives very late.
constexpr size_t kMaxIntervals = 100'000;

}  // namespace

void LoadCounts::Merge(const LoadCounts& other) {
  sent += other.sent;
  attempts += other.attempts;
  answered += other.answered;
  refused += other.refused;
  failed += other.failed;
  wrong += other.wrong;
  mixed += other.mixed;
  truncated += other.truncated;
  tokens += other.tokens;
}

void LoadCounts::CountOutcome(LoadOutcome outcome) {
  switch (outcome) {
    case LoadOutcome::kAnswered:
      ++answered;
      break;
    case LoadOutcome::kRefused:
      ++refused;
      break;
    case LoadOutcome::kFailed:
      ++failed;
      break;
    case LoadOutcome::kWrong:
      ++wrong;
      break;
    case LoadOutcome::kMixed:
      ++mixed;
      break;
    case LoadOutcome::kTruncated:
      ++truncated;
      break;
  }
}

nlohmann::json LoadCounts::ToJson() const {
  return {{"sent", sent},   {"attempts", attempts}, {"answered", answered},   {"refused", refused}, {"failed", failed},
          {"wrong", wrong}, {"mixed", mixed},       {"truncated", truncated}, {"tokens", tokens}};
}

LoadReport::LoadReport(const LoadOptions& options) : m_options(options), m_workspaces(options.workspaces.size()) {}

LoadCounts* LoadReport::GetInterval(Duration since_start) {
  if (m_options.timeline <= Duration(0)) return nullptr;
  const auto interval = static_cast<size_t>(std::max<int64_t>(0, since_start / m_options.timeline));
  if (interval >= kMaxIntervals) return nullptr;
  if (m_timeline.size() <= interval) m_timeline.resize(interval + 1);
  return &m_timeline[interval];
}

void LoadReport::AddSent(const LoadRequest& request, Duration since_start) {
  ++m_counts.sent;
  ++m_workspaces[request.workspace].counts.sent;
  if (LoadCounts* interval = GetInterval(since_start)) ++interval->sent;
}

void LoadReport::AddAttempt(const LoadRequest& request) {
  ++m_counts.attempts;
  ++m_workspaces[request.workspace].counts.attempts;
}

void LoadReport::AddResult(const LoadRequest& request, const LoadResult& result, Duration since_start) {
  Workspace& workspace = m_workspaces[request.workspace];
  LoadCounts* interval = GetInterval(since_start);
  for (LoadCounts* counts : {&m_counts, &workspace.counts, interval}) {
    if (counts == nullptr) continue;
    counts->CountOutcome(result.outcome);
    counts->tokens += result.tokens;
  }
  if (!m_options.ledgers.empty()) {
    const bool is_answered = result.outcome == LoadOutcome::kAnswered;
    const ClientOutcome unanswered = result.is_never_run ? ClientOutcome::kNotRun : ClientOutcome::kUnknown;
    m_ledger.AddRequest(request, is_answered ? ClientOutcome::kAnswered : unanswered);
  }
  if (result.outcome == LoadOutcome::kRefused) {
    ++m_refused_types[result.type];
    if (result.is_not_run) ++m_refused_not_run;
  }
  if (result.outcome == LoadOutcome::kFailed) ++m_failed_types[result.type];
  if (result.outcome != LoadOutcome::kAnswered) return;
  m_total.Add(result.total);
  workspace.total.Add(result.total);
  if (request.is_service) return;
  m_first_token.Add(result.first_token);
  workspace.first_token.Add(result.first_token);
}

void LoadReport::AddProblem(const LoadRequest& request, const std::string& detail) {
  if (m_problems.size() < kMaxProblems) m_problems.push_back(request.id + ": " + detail);
}

void LoadReport::Merge(const LoadReport& other) {
  m_counts.Merge(other.m_counts);
  for (size_t i = 0; i < m_workspaces.size(); ++i) {
    m_workspaces[i].counts.Merge(other.m_workspaces[i].counts);
    m_workspaces[i].first_token.Merge(other.m_workspaces[i].first_token);
    m_workspaces[i].total.Merge(other.m_workspaces[i].total);
  }
  for (const auto& [type, count] : other.m_refused_types) m_refused_types[type] += count;
  for (const auto& [type, count] : other.m_failed_types) m_failed_types[type] += count;
  m_refused_not_run += other.m_refused_not_run;
  m_sent_late += other.m_sent_late;
  m_ledger.Merge(other.m_ledger);
  m_first_token.Merge(other.m_first_token);
  m_token_gap.Merge(other.m_token_gap);
  m_total.Merge(other.m_total);
  if (m_timeline.size() < other.m_timeline.size()) m_timeline.resize(other.m_timeline.size());
  for (size_t i = 0; i < other.m_timeline.size(); ++i) m_timeline[i].Merge(other.m_timeline[i]);
  for (const std::string& problem : other.m_problems) {
    if (m_problems.size() < kMaxProblems) m_problems.push_back(problem);
  }
}

nlohmann::json LoadReport::MakeQuantiles(const LatencyHistogram& histogram) {
  return {{"p50", histogram.GetQuantileMs(0.5)},
          {"p95", histogram.GetQuantileMs(0.95)},
          {"p99", histogram.GetQuantileMs(0.99)},
          {"count", histogram.GetCount()}};
}

nlohmann::json LoadReport::ToJson(Duration elapsed) const {
  const double seconds = std::chrono::duration<double>(elapsed).count();
  nlohmann::json json = m_counts.ToJson();
  json["seed"] = m_options.seed;
  json["run"] = m_options.run;
  json["elapsed_s"] = seconds;
  json["refused_by_type"] = m_refused_types;
  json["refused_not_run"] = m_refused_not_run;
  json["failed_by_type"] = m_failed_types;
  json["sent_late"] = m_sent_late;
  json["first_token_ms"] = MakeQuantiles(m_first_token);
  json["token_gap_ms"] = MakeQuantiles(m_token_gap);
  json["total_ms"] = MakeQuantiles(m_total);
  json["goodput_per_s"] = seconds > 0 ? static_cast<double>(m_counts.answered) / seconds : 0;
  json["tokens_per_s"] = seconds > 0 ? static_cast<double>(m_counts.tokens) / seconds : 0;
  json["problems"] = m_problems;
  json["workspaces"] = nlohmann::json::object();
  for (size_t i = 0; i < m_workspaces.size(); ++i) {
    nlohmann::json workspace = m_workspaces[i].counts.ToJson();
    workspace["first_token_ms"] = MakeQuantiles(m_workspaces[i].first_token);
    workspace["total_ms"] = MakeQuantiles(m_workspaces[i].total);
    json["workspaces"][m_options.workspaces[i].name] = std::move(workspace);
  }
  if (!m_options.ledgers.empty()) json["ledger"] = m_ledger.ToJson();
  if (m_options.timeline <= Duration(0)) return json;
  json["timeline_ms"] = std::chrono::duration_cast<Milliseconds>(m_options.timeline).count();
  json["timeline"] = nlohmann::json::array();
  for (const LoadCounts& interval : m_timeline) {
    nlohmann::json counts = interval.ToJson();
    counts.erase("attempts");
    json["timeline"].push_back(std::move(counts));
  }
  return json;
}

}  // namespace plantain::standin
