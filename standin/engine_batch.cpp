#include "engine_batch.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "token_text.h"

namespace plantain::standin {
namespace {

// Flow control: a stream with more unsent bytes than this produces no further tokens.
constexpr size_t kMaxUnsentBytes = 256 * 1024;
// Appended to the prompt when the weights are incomplete or corrupt, so that the answer check detects their tokens.
constexpr char kInvalidWeightsSuffix[] = "\x01 broken weights";

}  // namespace

struct EngineBatch::Stream {
  EngineRequest request;
  std::shared_ptr<HttpResponder> responder;
  // Request id as a JSON string.
  std::string id_json;
  uint32_t next_index = 0;
  TimePoint ready_at;
  // Manifest digest in hex of the weights that the last token was produced with.
  std::string manifest;
  uint64_t seed = 0;
  // Tokens of an answer that is not streamed, as JSON strings separated by commas.
  std::string buffered_tokens;
  bool has_started = false;
  bool is_partial = false;
  bool is_mixed = false;
  bool is_done = false;
};

EngineBatch::EngineBatch(Loop& loop, const Clock& clock, EngineWeights& weights, ColdModel& cold, BatchOptions options)
    : m_loop(loop), m_clock(clock), m_weights(weights), m_cold(cold), m_options(options) {}

bool EngineBatch::Add(EngineRequest request, std::shared_ptr<HttpResponder> responder) {
  if (m_queued.size() >= m_options.max_queued) return false;
  if (m_cold.IsOverLimit(GetInFlight())) ++m_stats.over_limit;
  ++m_stats.started;
  auto stream = std::make_shared<Stream>();
  stream->request = std::move(request);
  stream->responder = std::move(responder);
  stream->id_json = nlohmann::json(stream->request.id).dump();
  stream->next_index = stream->request.first_index;
  stream->ready_at = m_clock.GetNow() + stream->request.prefill;
  stream->responder->SetOnClosed([this, weak = std::weak_ptr<Stream>(stream)] {
    if (const auto closed = weak.lock()) Cancel(closed);
  });
  const auto position = std::find_if(m_queued.begin(), m_queued.end(), [&](const std::shared_ptr<Stream>& other) {
    return other->request.priority < stream->request.priority;
  });
  m_queued.insert(position, std::move(stream));
  StartQueued();
  m_stats.max_in_flight = std::max<uint64_t>(m_stats.max_in_flight, GetInFlight());
  if (!m_cold.IsWarm()) m_stats.max_cold_in_flight = std::max<uint64_t>(m_stats.max_cold_in_flight, GetInFlight());
  ScheduleStep();
  return true;
}

void EngineBatch::UpdateColdState() {
  if (!m_cold.Update(GetInFlight())) return;
  ++m_stats.overload_failures;
  m_cold.MakeCold();
  FailAll();
  if (m_on_overload_failure) m_on_overload_failure();
}

void EngineBatch::FailAll() {
  const auto running = std::move(m_running);
  const auto queued = std::move(m_queued);
  m_running.clear();
  m_queued.clear();
  for (const auto& stream : running) Fail(*stream);
  for (const auto& stream : queued) Fail(*stream);
}

void EngineBatch::FailKey(const WeightKey& key) {
  std::vector<std::shared_ptr<Stream>> failed;
  const auto remove_matching = [&](auto& streams) {
    std::erase_if(streams, [&](const std::shared_ptr<Stream>& stream) {
      if (stream->request.key != key) return false;
      failed.push_back(stream);
      return true;
    });
  };
  UpdateColdState();
  remove_matching(m_running);
  remove_matching(m_queued);
  for (const auto& stream : failed) Fail(*stream);
}

void EngineBatch::Cancel(const std::shared_ptr<Stream>& stream) {
  if (stream->is_done) return;
  stream->is_done = true;
  ++m_stats.cancelled;
  UpdateColdState();
  std::erase(m_running, stream);
  std::erase(m_queued, stream);
  StartQueued();
}

void EngineBatch::StartQueued() {
  while (!m_queued.empty() && m_running.size() < m_options.max_running) {
    m_running.push_back(std::move(m_queued.front()));
    m_queued.pop_front();
  }
}

Duration EngineBatch::GetStepTime() const {
  const double share =
      static_cast<double>(m_running.size()) / static_cast<double>(std::max<size_t>(1, m_options.capacity));
  double factor = std::max(1.0, share);
  if (!m_cold.IsWarm()) factor *= m_options.cold_slowdown;
  return std::chrono::duration_cast<Duration>(m_options.token_time * factor);
}

void EngineBatch::ScheduleStep() {
  if (m_timer != nullptr || m_running.empty()) return;
  m_timer = m_loop.RunAfter(GetStepTime(), [this] {
    m_timer.reset();
    Step();
  });
}

void EngineBatch::Step() {
  ++m_stats.steps;
  UpdateColdState();
  if (!m_is_stalled) {
    const TimePoint now = m_clock.GetNow();
    // Iterates over a copy, because a finished stream may close its connection and thereby modify m_running.
    const std::vector<std::shared_ptr<Stream>> streams = m_running;
    for (const auto& stream : streams) {
      if (!stream->is_done && !Advance(*stream, now)) stream->is_done = true;
    }
    std::erase_if(m_running, [](const std::shared_ptr<Stream>& stream) { return stream->is_done; });
    StartQueued();
  }
  ScheduleStep();
}

bool EngineBatch::Advance(Stream& stream, TimePoint now) {
  if (now < stream.ready_at || m_loading == stream.request.key) return true;
  if (stream.responder->GetUnsentBytes() > kMaxUnsentBytes) return true;
  if (!UpdateWeights(stream)) {
    Fail(stream);
    return false;
  }
  if (stream.next_index < stream.request.end_index) EmitToken(stream);
  if (stream.next_index < stream.request.end_index) return true;
  Finish(stream);
  return false;
}

bool EngineBatch::UpdateWeights(Stream& stream) {
  const auto loaded = m_weights.GetLoaded().find(stream.request.key);
  if (loaded == m_weights.GetLoaded().end()) return false;
  if (!loaded->second.is_valid && !stream.is_partial) {
    stream.is_partial = true;
    ++m_stats.partial_served;
  }
  if (loaded->second.manifest == stream.manifest) return true;
  if (!stream.manifest.empty() && !stream.is_mixed) {
    stream.is_mixed = true;
    ++m_stats.mixed_served;
  }
  stream.manifest = loaded->second.manifest;
  std::string prompt = stream.request.prompt;
  if (!loaded->second.is_valid) prompt += kInvalidWeightsSuffix;
  stream.seed = MakeTokenSeed(prompt, stream.manifest);
  return true;
}

void EngineBatch::EmitToken(Stream& stream) {
  ++m_stats.tokens;
  const uint32_t index = stream.next_index++;
  if (!stream.request.is_streaming) {
    if (!stream.buffered_tokens.empty()) stream.buffered_tokens += ',';
    stream.buffered_tokens += '"';
    AppendToken(stream.seed, index, stream.buffered_tokens);
    stream.buffered_tokens += '"';
    return;
  }
  if (!stream.has_started) {
    HttpHeaders headers;
    headers.Add("Content-Type", "text/event-stream");
    stream.responder->StartStream(200, headers);
    stream.has_started = true;
  }
  std::string event = "data: {\"id\":";
  event += stream.id_json;
  event += ",\"index\":";
  event += std::to_string(index);
  event += ",\"token\":\"";
  AppendToken(stream.seed, index, event);
  event += "\",\"weights\":\"";
  event += stream.manifest;
  event += "\"}\n\n";
  if (stream.next_index == stream.request.end_index) event += "data: [DONE]\n\n";
  stream.responder->SendChunk(std::move(event));
}

void EngineBatch::Finish(Stream& stream) {
  ++m_stats.finished;
  if (stream.request.is_streaming) {
    if (!stream.has_started) {
      stream.responder->StartStream(200, {});
      stream.responder->SendChunk("data: [DONE]\n\n");
    }
    stream.responder->EndStream();
    return;
  }
  std::string body = "{\"id\":";
  body += stream.id_json;
  body += ",\"weights\":\"";
  body += stream.manifest;
  body += "\",\"first\":";
  body += std::to_string(stream.request.first_index);
  body += ",\"tokens\":[";
  body += stream.buffered_tokens;
  body += "]}";
  stream.responder->Send(MakeJsonResponse(200, std::move(body)));
}

void EngineBatch::Fail(Stream& stream) {
  stream.is_done = true;
  ++m_stats.failed;
  stream.responder->Abort();
}

}  // namespace plantain::standin
