#include "burn_window.h"

#include <algorithm>

namespace plantain {
namespace {

constexpr int64_t kMinuteSeconds = 60;
// Time between two scrapes of a process above which a gap is counted.
constexpr int64_t kGapSeconds = 150;
constexpr int64_t kNeverScraped = -1;

size_t ToIndex(BurnMeasure measure) { return static_cast<size_t>(measure); }

int64_t ToMinutes(Duration window) { return std::chrono::duration_cast<std::chrono::minutes>(window).count(); }

}  // namespace

std::string_view GetBurnMeasureName(BurnMeasure measure) {
  switch (measure) {
    case BurnMeasure::kAvailability:
      return "availability";
    case BurnMeasure::kFirstToken:
      return "first_token";
    case BurnMeasure::kTokenGap:
      return "token_gap";
    case BurnMeasure::kReplicas:
      return "replicas";
    case BurnMeasure::kZoneChange:
      return "zone_change";
  }
  return "unknown";
}

BurnAccumulator::BurnAccumulator(Duration period) : m_slots(static_cast<size_t>(ToMinutes(period)) + 1) {}

BurnSeriesIndex BurnAccumulator::DefineSeries(const BurnSeriesKey& key) {
  const auto [found, is_new] = m_index.try_emplace(key, BurnSeriesIndex(static_cast<uint32_t>(m_series.size())));
  if (is_new) {
    Series series;
    series.key = key;
    m_series.push_back(std::move(series));
  }
  return found->second;
}

void BurnAccumulator::AddScrape(UnixSeconds time, uint32_t process, std::span<const BurnValue> values) {
  if (process >= m_last_scrape.size()) m_last_scrape.resize(process + 1, kNeverScraped);
  int64_t& last_scrape = m_last_scrape[process];
  if (last_scrape != kNeverScraped && time.Get() <= last_scrape) return;
  if (m_first_time.Get() == 0) m_first_time = time;
  m_last_time = std::max(m_last_time, time);
  const bool is_first = last_scrape == kNeverScraped;
  if (!is_first && time.Get() - last_scrape > kGapSeconds) ++m_gaps;
  bool is_reset = false;
  for (const BurnValue& value : values) {
    Series& series = m_series[value.series.Get()];
    uint64_t events = value.value;
    if (series.has_last_value && value.value >= series.last) events = value.value - series.last;
    if (series.has_last_value && value.value < series.last) is_reset = true;
    // The time of events before the first scrape of a process is unknown, so they are ignored. A series that is new in
    // a later scrape started after the previous one, so its whole value is counted.
    const bool has_known_start = series.has_last_value || !is_first;
    series.last = value.value;
    series.has_last_value = true;
    if (has_known_start && events > 0) {
      AddEvents(series, UnixSeconds(last_scrape), time, static_cast<double>(events));
      series.total += static_cast<double>(events);
    }
  }
  if (is_reset) ++m_resets;
  last_scrape = time.Get();
}

void BurnAccumulator::AddEvents(const Series& series, UnixSeconds from, UnixSeconds to, double events) {
  const int64_t last = to.Get() / kMinuteSeconds;
  int64_t first = std::min(last, from.Get() / kMinuteSeconds + 1);
  first = std::max(first, last - static_cast<int64_t>(m_slots.size()) + 1);
  const double share = events / static_cast<double>(last - first + 1);
  for (int64_t minute = first; minute <= last; ++minute) {
    BurnCount& count = GetSlot(minute).counts[ToIndex(series.key.measure)];
    (series.key.is_bad ? count.bad : count.good) += share;
  }
}

BurnAccumulator::Slot& BurnAccumulator::GetSlot(int64_t minute) {
  Slot& slot = m_slots[static_cast<size_t>(minute) % m_slots.size()];
  if (slot.minute < minute) {
    slot = Slot{};
    slot.minute = minute;
  }
  return slot;
}

BurnCount BurnAccumulator::SumMinutes(BurnMeasure measure, int64_t first, int64_t last) const {
  BurnCount sum;
  first = std::max(first, last - static_cast<int64_t>(m_slots.size()) + 1);
  for (int64_t minute = first; minute <= last; ++minute) {
    const Slot& slot = m_slots[static_cast<size_t>(minute) % m_slots.size()];
    if (slot.minute != minute) continue;
    sum.good += slot.counts[ToIndex(measure)].good;
    sum.bad += slot.counts[ToIndex(measure)].bad;
  }
  return sum;
}

BurnCount BurnAccumulator::GetWindow(BurnMeasure measure, Duration window) const {
  const int64_t last = m_last_time.Get() / kMinuteSeconds;
  return SumMinutes(measure, last - ToMinutes(window) + 1, last);
}

std::vector<BurnContributor> BurnAccumulator::GetTopContributors(BurnMeasure measure, std::string BurnSeriesKey::*label,
                                                                 size_t max_rows) const {
  std::map<std::string, double> sums;
  for (const Series& series : m_series) {
    if (series.key.measure != measure || !series.key.is_bad || series.total <= 0) continue;
    const std::string& name = series.key.*label;
    if (!name.empty()) sums[name] += series.total;
  }
  std::vector<BurnContributor> rows;
  for (const auto& [name, bad] : sums) rows.push_back({name, bad});
  std::stable_sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) { return a.bad > b.bad; });
  if (rows.size() > max_rows) rows.resize(max_rows);
  return rows;
}

std::vector<double> BurnAccumulator::GetBadShareOverTime(BurnMeasure measure, size_t interval_count) const {
  std::vector<double> shares;
  const int64_t first = m_first_time.Get() / kMinuteSeconds;
  const int64_t span = m_last_time.Get() / kMinuteSeconds - first + 1;
  for (size_t i = 0; i < interval_count; ++i) {
    const int64_t begin = first + span * static_cast<int64_t>(i) / static_cast<int64_t>(interval_count);
    const int64_t end = first + span * static_cast<int64_t>(i + 1) / static_cast<int64_t>(interval_count);
    shares.push_back(SumMinutes(measure, begin, std::max(begin, end - 1)).GetBadShare());
  }
  return shares;
}

}  // namespace plantain
