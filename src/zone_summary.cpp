#include "zone_summary.h"

#include <algorithm>
#include <utility>

namespace plantain {
namespace {

constexpr size_t kMaxZones = 300;
constexpr size_t kMaxModels = 256;
// Sequences are times of the reporter's clock. Accepting one further ahead would block later summaries.
constexpr std::chrono::microseconds kMaxClockLead = std::chrono::minutes(10);

}  // namespace

ZoneSummaries::ZoneSummaries(const Clock& clock, ZoneName own_zone) : m_clock(clock), m_own_zone(std::move(own_zone)) {}

void ZoneSummaries::UpdateOwnSummary(const MemberView& view, const VmId& reporter) {
  std::map<std::pair<ModelName, Digest>, ZoneModelInfo> models;
  for (const MemberInfo& member : view.members) {
    if (member.zone != m_own_zone || member.state != MemberState::kServing) continue;
    for (const HoldingInfo& holding : member.holdings) {
      if (!holding.is_serving || !holding.adapter.IsEmpty()) continue;
      ZoneModelInfo& model = models[{holding.model, holding.manifest}];
      model.model = holding.model;
      model.manifest = holding.manifest;
      ++model.serving;
      model.limit += member.limit;
      model.in_flight += member.in_flight;
    }
  }
  ZoneSummaryInfo summary;
  summary.zone = m_own_zone;
  summary.reporter = reporter;
  summary.sequence = static_cast<uint64_t>(m_clock.GetWallTime().time_since_epoch().count());
  for (auto& [key, model] : models) {
    if (summary.models.size() < kMaxModels) summary.models.push_back(std::move(model));
  }
  Entry& entry = m_entries[m_own_zone];
  entry.summary = std::move(summary);
  entry.change = ++m_change;
}

bool ZoneSummaries::Take(ZoneSummaryInfo summary) {
  const auto latest = m_clock.GetWallTime().time_since_epoch() + kMaxClockLead;
  if (summary.zone == m_own_zone || summary.zone.IsEmpty() || summary.models.size() > kMaxModels) return false;
  if (summary.sequence > static_cast<uint64_t>(latest.count())) return false;
  const auto found = m_entries.find(summary.zone);
  if (found == m_entries.end() && m_entries.size() >= kMaxZones) return false;
  if (found != m_entries.end() && found->second.summary.sequence >= summary.sequence) return false;
  Entry& entry = m_entries[summary.zone];
  entry.summary = std::move(summary);
  entry.change = ++m_change;
  return true;
}

std::vector<const ZoneSummaryInfo*> ZoneSummaries::GetChangesAfter(uint64_t& number, size_t max) const {
  std::vector<const Entry*> entries;
  for (const auto& [zone, entry] : m_entries) {
    if (entry.change > number) entries.push_back(&entry);
  }
  std::sort(entries.begin(), entries.end(), [](const Entry* a, const Entry* b) { return a->change < b->change; });
  if (entries.size() > max) entries.resize(max);
  std::vector<const ZoneSummaryInfo*> out;
  for (const Entry* entry : entries) {
    out.push_back(&entry->summary);
    number = entry->change;
  }
  return out;
}

std::vector<ZoneSummaryInfo> ZoneSummaries::GetOtherZones() const {
  std::vector<ZoneSummaryInfo> out;
  for (const auto& [zone, entry] : m_entries) {
    if (zone != m_own_zone) out.push_back(entry.summary);
  }
  return out;
}

}  // namespace plantain
