#include "fair_sender.h"

namespace plantain::standin {
namespace {

constexpr size_t kSliceBytes = 16 * 1024;
// Flow control: an answer with more unsent bytes than this gets no further slice.
constexpr size_t kMaxUnsentBytes = 256 * 1024;
// Interval between two scheduling rounds.
constexpr Duration kStepTime = Milliseconds(2);
// Burst size in seconds at the configured rate; at least one slice.
constexpr double kBurstSeconds = 0.02;

double GetBurstBytes(double bytes_per_s) { return std::max<double>(kSliceBytes, bytes_per_s * kBurstSeconds); }

}  // namespace

FairSender::FairSender(Loop& loop, const Clock& clock, double bytes_per_s)
    : m_loop(loop), m_bucket(clock, bytes_per_s, GetBurstBytes(bytes_per_s)) {}

void FairSender::SetRate(double bytes_per_s) { m_bucket.SetRate(bytes_per_s, GetBurstBytes(bytes_per_s)); }

void FairSender::SetPaused(bool is_paused) {
  m_is_paused = is_paused;
  ScheduleStep();
}

void FairSender::Add(std::shared_ptr<HttpResponder> responder, std::string body) {
  HttpHeaders headers;
  headers.Add("Content-Type", "application/octet-stream");
  responder->StartStream(200, headers);
  auto transfer = std::make_shared<Transfer>();
  transfer->responder = std::move(responder);
  transfer->body = std::move(body);
  transfer->responder->SetOnClosed([transfer] { transfer->is_closed = true; });
  m_transfers.push_back(std::move(transfer));
  ScheduleStep();
}

void FairSender::AbortAll() {
  const auto transfers = std::move(m_transfers);
  m_transfers.clear();
  for (const auto& transfer : transfers) transfer->responder->Abort();
}

void FairSender::ScheduleStep() {
  if (m_timer != nullptr || m_transfers.empty() || m_is_paused) return;
  m_timer = m_loop.RunAfter(kStepTime, [this] {
    m_timer.reset();
    Step();
  });
}

bool FairSender::SendSlice(Transfer& transfer) {
  if (transfer.responder->GetUnsentBytes() > kMaxUnsentBytes) return false;
  const size_t size = std::min(kSliceBytes, transfer.body.size() - transfer.sent);
  if (!m_bucket.TryTake(static_cast<double>(size))) return false;
  transfer.responder->SendChunk(transfer.body.substr(transfer.sent, size));
  transfer.sent += size;
  m_sent_bytes += size;
  return true;
}

void FairSender::Step() {
  if (m_is_paused) return;
  size_t idle_turns = 0;
  while (!m_transfers.empty() && idle_turns < m_transfers.size()) {
    const std::shared_ptr<Transfer> transfer = m_transfers.front();
    m_transfers.pop_front();
    if (transfer->is_closed) continue;
    idle_turns = SendSlice(*transfer) ? 0 : idle_turns + 1;
    if (transfer->sent < transfer->body.size()) {
      m_transfers.push_back(transfer);
    } else {
      transfer->responder->EndStream();
    }
  }
  ScheduleStep();
}

}  // namespace plantain::standin
