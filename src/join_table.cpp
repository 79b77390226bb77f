#include "join_table.h"

#include <algorithm>

namespace plantain {

void SharedAnswer::AddSink(std::shared_ptr<AnswerSink> sink) {
  uint32_t index = 0;
  for (const std::string& token : m_answer.tokens) sink->OnToken(index++, token, m_answer.manifest);
  if (!m_is_finished) {
    m_sinks.push_back(std::move(sink));
  } else if (m_answer.is_complete) {
    sink->OnComplete(m_answer);
  } else {
    sink->OnFailed(m_error);
  }
}

void SharedAnswer::RemoveSink(const AnswerSink* sink) {
  const auto matches = [sink](const std::shared_ptr<AnswerSink>& item) { return item.get() == sink; };
  m_sinks.erase(std::remove_if(m_sinks.begin(), m_sinks.end(), matches), m_sinks.end());
}

void SharedAnswer::PublishToken(std::string text, const Digest& manifest) {
  const auto index = static_cast<uint32_t>(m_answer.tokens.size());
  if (index == 0) m_answer.manifest = manifest;
  m_answer.tokens.push_back(std::move(text));
  // Iterates over a copy, because a sink that overflows removes itself from m_sinks.
  const auto sinks = m_sinks;
  for (const auto& sink : sinks) sink->OnToken(index, m_answer.tokens.back(), m_answer.manifest);
}

void SharedAnswer::PublishComplete(int status, std::string body) {
  m_answer.status = status;
  m_answer.body = std::move(body);
  m_answer.is_complete = true;
  m_is_finished = true;
  const auto sinks = std::move(m_sinks);
  m_sinks.clear();
  for (const auto& sink : sinks) sink->OnComplete(m_answer);
}

void SharedAnswer::PublishFailed(const EntryError& error) {
  m_error = error;
  m_is_finished = true;
  const auto sinks = std::move(m_sinks);
  m_sinks.clear();
  for (const auto& sink : sinks) sink->OnFailed(error);
}

void JoinTable::Add(const EntryRequest& request, std::shared_ptr<SharedAnswer> answer) {
  EvictExpired();
  Entry& entry = m_entries[{request.workspace, request.id}];
  m_bytes -= entry.bytes;
  entry = {request.fingerprint, std::move(answer), 0};
}

std::shared_ptr<SharedAnswer> JoinTable::Find(const EntryRequest& request) {
  EvictExpired();
  const auto found = m_entries.find({request.workspace, request.id});
  if (found == m_entries.end() || found->second.fingerprint != request.fingerprint) return nullptr;
  return found->second.answer;
}

void JoinTable::OnFinished(const EntryRequest& request, const SharedAnswer& answer) {
  const Key key{request.workspace, request.id};
  const auto found = m_entries.find(key);
  if (found == m_entries.end() || found->second.answer.get() != &answer) return;
  if (!answer.GetAnswer().is_complete) {
    m_entries.erase(found);
    return;
  }
  found->second.bytes = answer.GetAnswer().GetMemoryBytes();
  m_bytes += found->second.bytes;
  m_cached.push_back({m_clock.GetNow() + m_options.retention, key, &answer});
  EvictExpired();
}

void JoinTable::EvictExpired() {
  const TimePoint now = m_clock.GetNow();
  while (!m_cached.empty() && (m_cached.front().expires_at <= now || m_bytes > m_options.max_bytes)) EvictOldest();
}

void JoinTable::EvictOldest() {
  const CachedAnswer cached = std::move(m_cached.front());
  m_cached.pop_front();
  const auto found = m_entries.find(cached.key);
  if (found == m_entries.end() || found->second.answer.get() != cached.answer) return;
  m_bytes -= found->second.bytes;
  m_entries.erase(found);
}

}  // namespace plantain
