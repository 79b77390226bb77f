#include "endpoint_speed.h"

#include <algorithm>

namespace plantain {
namespace {

// Answers of one endpoint that the median spans, and the number needed. Three let two outvote one slow answer.
constexpr size_t kMaxAnswers = 5;
constexpr size_t kMinAnswers = 3;
// Older answers and reports do not count.
constexpr Duration kMaxAge = std::chrono::seconds(1);
// Answers of a pool that the usual time is the median of, and the number needed. A minority of slow endpoints does not
// move it.
constexpr size_t kMaxUsual = 31;
constexpr size_t kMinUsual = 5;
// Other entries are told of endpoints that are slower than this multiple, and for some time that they no longer are.
constexpr double kReportedSlowness = 1.5;
constexpr Duration kReportTime = std::chrono::seconds(2);

double GetMedian(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

double ToMs(Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

}  // namespace

void EndpointSpeeds::SetEndpoints(const std::map<EndpointId, Incarnation>& listed) {
  for (const auto& [id, incarnation] : listed) {
    Observed& observed = m_observed[id];
    if (observed.incarnation != incarnation) observed = Observed();
    observed.incarnation = incarnation;
  }
  std::erase_if(m_observed, [&](const auto& entry) { return !listed.contains(entry.first); });
}

void EndpointSpeeds::SetEntries(const std::set<VmId>& live) {
  for (auto& [id, observed] : m_observed) {
    std::erase_if(observed.received, [&](const auto& entry) { return !live.contains(entry.first); });
  }
}

std::optional<double> EndpointSpeeds::OnAnswerBegun(const EndpointId& id, Incarnation incarnation, const PoolName& pool,
                                                    Duration delay, Duration expected) {
  const auto found = m_observed.find(id);
  if (found == m_observed.end() || found->second.incarnation != incarnation) return std::nullopt;
  const double time = expected > Duration::zero() ? ToMs(delay) / ToMs(expected) : ToMs(delay);
  std::deque<double>& usual = m_usual[pool];
  usual.push_back(time);
  if (usual.size() > kMaxUsual) usual.pop_front();
  if (usual.size() < kMinUsual) return std::nullopt;
  const double median = GetMedian({usual.begin(), usual.end()});
  if (median <= 0) return std::nullopt;
  const double slowness = time / median;
  std::deque<Answer>& answers = found->second.answers;
  answers.push_back({m_clock.GetNow(), slowness});
  if (answers.size() > kMaxAnswers) answers.pop_front();
  return slowness;
}

std::vector<double> EndpointSpeeds::GetOwn(const Observed& observed) const {
  std::vector<double> own;
  for (const Answer& answer : observed.answers) {
    if (m_clock.GetNow() - answer.at < kMaxAge) own.push_back(answer.slowness);
  }
  return own;
}

std::optional<double> EndpointSpeeds::GetSlowness(const EndpointId& id) const {
  const auto found = m_observed.find(id);
  if (found == m_observed.end()) return std::nullopt;
  std::vector<double> all = GetOwn(found->second);
  for (const auto& [entry, received] : found->second.received) {
    if (m_clock.GetNow() - received.at >= kMaxAge) continue;
    all.insert(all.end(), std::min<size_t>(kMinAnswers, received.report.answers), received.report.slowness);
  }
  if (all.size() < kMinAnswers) return std::nullopt;
  return GetMedian(std::move(all));
}

std::vector<SpeedReport> EndpointSpeeds::GetReport() {
  const TimePoint now = m_clock.GetNow();
  std::vector<SpeedReport> reports;
  for (auto& [id, observed] : m_observed) {
    const std::vector<double> own = GetOwn(observed);
    if (own.empty()) continue;
    const double slowness = GetMedian(own);
    if (slowness > kReportedSlowness) observed.report_until = now + kReportTime;
    if (now >= observed.report_until) continue;
    reports.push_back({id, observed.incarnation, slowness, static_cast<uint32_t>(own.size())});
  }
  if (reports.size() <= kMaxSpeedReports) return reports;
  // The slowest matter most.
  std::sort(reports.begin(), reports.end(),
            [](const SpeedReport& a, const SpeedReport& b) { return a.slowness > b.slowness; });
  reports.resize(kMaxSpeedReports);
  return reports;
}

void EndpointSpeeds::ApplyReport(const VmId& from, const std::vector<SpeedReport>& reports) {
  for (const SpeedReport& report : reports) {
    const auto found = m_observed.find(report.endpoint);
    if (found == m_observed.end() || found->second.incarnation != report.incarnation) continue;
    found->second.received[from] = {m_clock.GetNow(), report};
  }
}

}  // namespace plantain
