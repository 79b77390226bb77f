#include "start_pace.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace plantain {
namespace {

// Endpoints that are listed within this time after the first ones are not new: an entry that starts gets the directory
// in parts.
constexpr Duration kSettleTime = std::chrono::seconds(3);
// Time for which the end of a slow start is reported, so that entries that missed earlier reports end it too. Also the
// time in which answers at other entries show that an endpoint out of reach of this entry is not down.
constexpr Duration kReportTime = std::chrono::seconds(10);
// Time after which an endpoint that is not listed is forgotten. Records may vanish for a while and come back.
constexpr Duration kUnlistedRetention = std::chrono::seconds(30);
// Endpoints with more slots are divided without a fixed order, which would take long to compute.
constexpr uint32_t kMaxOrderedSlots = 4096;

// Returns the lowest `bits` bits of a number in reverse order.
uint32_t ReverseBits(uint32_t value, int bits) {
  uint32_t reversed = 0;
  for (int i = 0; i < bits; ++i) reversed |= ((value >> i) & 1U) << (bits - 1 - i);
  return reversed;
}

}  // namespace

uint32_t GetStartSlots(const ShareRange& range, const EndpointId& endpoint, uint32_t slots, const StartNumber& number) {
  if (number.number >= slots) return GetOwnSlots(range, endpoint, slots);
  if (slots > kMaxOrderedSlots) return GetOwnSlots(range, endpoint, number.number);
  const SlotRange own = GetOwnSlotRange(range, endpoint, slots);
  const auto bits = static_cast<int>(std::bit_width(slots - 1));
  uint32_t used = 0;
  uint32_t owned = 0;
  for (uint32_t i = 0; used < number.number; ++i) {
    const uint32_t index = ReverseBits(i, bits);
    if (index >= slots) continue;
    ++used;
    const uint32_t slot = (index + number.rotation % slots) % slots;
    if (own.Contains(slot) || own.Contains(slot + slots)) ++owned;
  }
  return owned;
}

void StartPace::SetEndpoints(const std::map<EndpointId, StartRun>& listed) {
  const TimePoint now = m_clock.GetNow();
  const bool is_settled = m_first_listed_at.has_value() && now - *m_first_listed_at >= kSettleTime;
  for (const auto& [id, info] : listed) {
    const auto [found, is_new] = m_runs.try_emplace(id);
    Run& run = found->second;
    // Without an incarnation an endpoint that comes back cannot be told from one that has started.
    const bool is_back = run.unlisted_since.has_value() && info.incarnation == Incarnation();
    const bool is_other_run = !is_new && (run.info.incarnation != info.incarnation || is_back);
    if (is_other_run) run = Run();
    run.info = info;
    run.unlisted_since.reset();
    const bool begins = is_other_run || (is_new && (is_settled || info.is_cold));
    // With so few slots there is nothing to bound.
    if (begins && info.slots > kFirstStartSlots) Begin(id, run, 1, kFirstStartSlots, false);
    FinishIfFull(id, run, false);
  }
  for (auto& [id, run] : m_runs) {
    if (!listed.contains(id) && !run.unlisted_since.has_value()) run.unlisted_since = now;
  }
  std::erase_if(m_runs, [&](const auto& entry) {
    const std::optional<TimePoint>& since = entry.second.unlisted_since;
    return since.has_value() && now - *since > kUnlistedRetention;
  });
  if (!listed.empty() && !m_first_listed_at.has_value()) m_first_listed_at = now;
}

void StartPace::SetEntries(const std::set<VmId>& live) {
  for (auto& [id, run] : m_runs) {
    std::erase_if(run.received, [&](const auto& entry) { return !live.contains(entry.first); });
  }
}

StartPace::Run* StartPace::FindRunning(const EndpointId& id) {
  const auto found = m_runs.find(id);
  return found == m_runs.end() || found->second.unlisted_since.has_value() ? nullptr : &found->second;
}

uint32_t StartPace::GetNumber(const Run& run) const {
  uint64_t sum = uint64_t{run.base} + run.good;
  for (const auto& [entry, count] : run.received) sum += count.good;
  return static_cast<uint32_t>(std::clamp<uint64_t>(sum, 1, std::max(1U, run.info.slots)));
}

std::optional<StartNumber> StartPace::Get(const EndpointId& id) const {
  const auto found = m_runs.find(id);
  if (found == m_runs.end() || found->second.is_done) return std::nullopt;
  const Run& run = found->second;
  // Only a probe without success moves to other entries: moving the slots of requests in progress would exceed the sum.
  return StartNumber{GetNumber(run), run.base <= 1 ? run.epoch : 0};
}

size_t StartPace::GetCount() const {
  return static_cast<size_t>(std::count_if(m_runs.begin(), m_runs.end(), [](const auto& entry) {
    return !entry.second.is_done && !entry.second.unlisted_since.has_value();
  }));
}

uint32_t StartPace::GetSlots() const {
  uint32_t slots = 0;
  for (const auto& [id, run] : m_runs) {
    if (!run.is_done && !run.unlisted_since.has_value()) slots += GetNumber(run);
  }
  return slots;
}

void StartPace::BeginEpoch(Run& run, uint32_t epoch, uint32_t base) {
  run.epoch = epoch;
  run.base = base;
  run.good = 0;
  run.epoch_at = m_clock.GetNow();
  run.received.clear();
}

void StartPace::Begin(const EndpointId& id, Run& run, uint32_t epoch, uint32_t base, bool is_from_peer) {
  BeginEpoch(run, epoch, base);
  run.is_done = false;
  run.began_at = run.epoch_at;
  run.refused = 0;
  m_changes.push_back({id, false, is_from_peer, {}, 0});
}

void StartPace::FinishIfFull(const EndpointId& id, Run& run, bool is_from_peer) {
  if (run.is_done || GetNumber(run) < run.info.slots) return;
  run.is_done = true;
  const TimePoint now = m_clock.GetNow();
  run.report_until = now + kReportTime;
  m_changes.push_back({id, true, is_from_peer, now - run.began_at, run.refused});
}

void StartPace::OnAnswerBegun(const EndpointId& id, Incarnation incarnation, TimePoint sent_at, bool is_timely) {
  Run* run = FindRunning(id);
  if (run == nullptr || run->is_done || run->info.incarnation != incarnation) return;
  if (!is_timely || sent_at < run->epoch_at) return;
  // The first answer ends the backoff of entries that wait for the endpoint.
  if (GetNumber(*run) <= run->base) m_has_news = true;
  ++run->good;
  FinishIfFull(id, *run, false);
}

void StartPace::OnFailed(const EndpointId& id, TimePoint sent_at, bool is_refusal) {
  Run* run = FindRunning(id);
  if (run == nullptr || run->is_done) return;
  if (is_refusal) ++run->refused;
  if (sent_at < run->epoch_at) return;
  BeginEpoch(*run, run->epoch + 1, std::max(1U, GetNumber(*run) / 2));
  m_has_news = true;
}

// While other entries get answers, only the path from this entry is broken, which is no reason to keep others off.
bool StartPace::HasPeerAnswers(const Run& run) const {
  return run.peer_answered_at.has_value() && m_clock.GetNow() - *run.peer_answered_at < kReportTime;
}

void StartPace::OnInterrupted(const EndpointId& id, TimePoint sent_at) {
  Run* run = FindRunning(id);
  if (run == nullptr || sent_at < run->epoch_at || HasPeerAnswers(*run)) return;
  if (!run->is_done) {
    OnFailed(id, sent_at, false);
    return;
  }
  Begin(id, *run, run->epoch + 1, kFirstStartSlots, false);
  m_has_news = true;
}

std::vector<StartCount> StartPace::GetReport() {
  const TimePoint now = m_clock.GetNow();
  std::vector<StartCount> all;
  for (const auto& [id, run] : m_runs) {
    if (run.unlisted_since.has_value() || (run.is_done && now >= run.report_until)) continue;
    all.push_back({id, run.info.incarnation, run.epoch, run.base, run.good, run.is_done});
  }
  if (all.size() <= kMaxStartCounts) return all;
  std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(m_report_begin % all.size()), all.end());
  m_report_begin = (m_report_begin + kMaxStartCounts) % all.size();
  all.resize(kMaxStartCounts);
  return all;
}

std::vector<EndpointId> StartPace::ApplyReport(const VmId& from, const std::vector<StartCount>& counts) {
  std::vector<EndpointId> answered;
  for (const StartCount& count : counts) {
    Run* run = FindRunning(count.endpoint);
    if (run == nullptr || run->info.incarnation != count.incarnation) continue;
    if (Apply(from, *run, count)) answered.push_back(count.endpoint);
  }
  return answered;
}

void StartPace::Adopt(const EndpointId& id, Run& run, const StartCount& count) {
  if (run.is_done && !count.is_done) {
    Begin(id, run, count.epoch, count.base, true);
  } else {
    BeginEpoch(run, count.epoch, count.base);
  }
}

// Returns whether the sender has got new answers.
bool StartPace::Apply(const VmId& from, Run& run, const StartCount& count) {
  const TimePoint now = m_clock.GetNow();
  if (count.epoch < run.epoch || (run.is_done && count.epoch == run.epoch)) {
    // The sender has not heard of the end or of a later epoch.
    if (!count.is_done) run.report_until = now + kReportTime;
    return false;
  }
  if (count.epoch > run.epoch) Adopt(count.endpoint, run, count);
  run.base = std::min(run.base, count.base);
  StartCount& known = run.received[from];
  const bool has_answers = count.good > known.good || (count.is_done && !run.is_done);
  known = count;
  if (has_answers) run.peer_answered_at = now;
  // The sender knew counts that have not arrived here, or never will.
  if (count.is_done) run.base = std::max(run.base, run.info.slots);
  // A number that begins at all slots shows no answer.
  if (has_answers) FinishIfFull(count.endpoint, run, true);
  return has_answers;
}

bool StartPace::TakeHasNews() { return std::exchange(m_has_news, false); }

}  // namespace plantain
