#include "answer_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "token_text.h"

namespace plantain::standin {
namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kEndMarker = "[DONE]";

}  // namespace

void AnswerCheck::SetWrong(std::string detail) {
  m_is_wrong = true;
  if (m_detail.empty()) m_detail = std::move(detail);
}

uint32_t AnswerCheck::AddStreamBytes(std::string_view bytes) {
  const uint32_t before = m_next_index;
  while (!bytes.empty()) {
    const size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      m_line += bytes;
      break;
    }
    if (m_line.empty()) {
      HandleLine(bytes.substr(0, end));
    } else {
      m_line += bytes.substr(0, end);
      HandleLine(m_line);
      m_line.clear();
    }
    bytes.remove_prefix(end + 1);
  }
  return m_next_index - before;
}

void AnswerCheck::HandleLine(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.substr(0, kDataPrefix.size()) != kDataPrefix) return;
  const std::string_view data = line.substr(kDataPrefix.size());
  if (data == kEndMarker) {
    if (m_has_end_marker) SetWrong("duplicate end marker");
    m_has_end_marker = true;
    return;
  }
  HandleEvent(data);
}

bool AnswerCheck::MatchExpectedEvent(std::string_view data) {
  if (m_event_start.empty() || m_has_end_marker) return false;
  m_expected = m_event_start;
  m_expected += std::to_string(m_next_index);
  m_expected += ",\"token\":\"";
  AppendToken(m_seed, m_next_index, m_expected);
  m_expected += m_event_end;
  if (data != m_expected) return false;
  ++m_next_index;
  return true;
}

void AnswerCheck::HandleEvent(std::string_view data) {
  if (MatchExpectedEvent(data)) return;
  const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
  if (!event.is_object()) {
    SetWrong("event is not a JSON object: " + std::string(data));
    return;
  }
  const auto error = event.find("error");
  if (error != event.end()) {
    m_error_type = error->is_object() ? error->value("type", "untyped") : "untyped";
    return;
  }
  if (m_has_end_marker) SetWrong("token after the end marker");
  const auto id = event.find("id");
  const auto index = event.find("index");
  const auto token = event.find("token");
  const auto weights = event.find("weights");
  if (index == event.end() || !index->is_number_unsigned() || token == event.end() || !token->is_string()) {
    SetWrong("event without index or token: " + std::string(data));
    return;
  }
  if (id != event.end() && *id != m_request.id) SetWrong("token of request " + id->dump());
  const std::string weights_text = weights != event.end() && weights->is_string() ? weights->get<std::string>() : "";
  CheckToken(index->get<uint32_t>(), token->get_ref<const std::string&>(), weights_text);
}

bool AnswerCheck::UpdateWeights(std::string_view weights) {
  if (weights.empty() || weights == m_weights) return !m_weights.empty();
  if (!m_weights.empty()) {
    m_is_mixed = true;
    if (m_detail.empty()) m_detail = "weights changed from " + m_weights + " to " + std::string(weights);
  }
  m_weights = weights;
  m_seed = MakeTokenSeed(m_request.prompt, m_weights);
  m_event_start = "{\"id\":" + nlohmann::json(m_request.id).dump() + ",\"index\":";
  m_event_end = "\",\"weights\":\"" + m_weights + "\"}";
  if (!m_manifests.empty() && std::find(m_manifests.begin(), m_manifests.end(), m_weights) == m_manifests.end()) {
    SetWrong("weights " + m_weights + " are not allowed");
  }
  return true;
}

void AnswerCheck::CheckToken(uint32_t index, std::string_view token, std::string_view weights) {
  if (!UpdateWeights(weights)) {
    SetWrong("token without a weights digest");
    return;
  }
  if (index != m_next_index) {
    SetWrong("index " + std::to_string(index) + " instead of " + std::to_string(m_next_index));
    m_next_index = index;
  }
  m_expected.clear();
  AppendToken(m_seed, index, m_expected);
  if (token != m_expected) SetWrong("token " + std::string(token) + " instead of " + m_expected);
  ++m_next_index;
}

AnswerVerdict AnswerCheck::GetStreamVerdict() const {
  if (m_is_wrong || m_next_index > m_request.tokens) return AnswerVerdict::kWrong;
  if (m_is_mixed) return AnswerVerdict::kMixed;
  if (!m_error_type.empty()) return AnswerVerdict::kError;
  return m_has_end_marker && m_next_index == m_request.tokens ? AnswerVerdict::kCorrect : AnswerVerdict::kTruncated;
}

void AnswerCheck::CheckText(std::string_view text, const nlohmann::json* count) {
  std::string expected;
  size_t token_bytes = 1;
  for (uint32_t i = 0; i < m_request.tokens; ++i) {
    AppendToken(m_seed, i, expected);
    if (i == 0) token_bytes = expected.size();
  }
  m_next_index = static_cast<uint32_t>(text.size() / token_bytes);
  const bool is_prefix = expected.compare(0, text.size(), text) == 0;
  if (!is_prefix) SetWrong("text differs from the expected tokens");
  if (count != nullptr && *count != m_next_index) SetWrong("token count " + count->dump());
}

AnswerVerdict AnswerCheck::CheckUnary(std::string_view body) {
  if (m_request.is_service) {
    if (body == MakeServiceAnswer(m_request.call.call, m_request.body)) return AnswerVerdict::kCorrect;
    SetWrong("answer " + std::string(body.substr(0, 200)));
    return AnswerVerdict::kWrong;
  }
  const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
  if (!answer.is_object()) return AnswerVerdict::kTruncated;
  const auto id = answer.find("id");
  if (id != answer.end() && *id != m_request.id) SetWrong("answer of request " + id->dump());
  const auto weights = answer.find("weights");
  const std::string weights_text = weights != answer.end() && weights->is_string() ? weights->get<std::string>() : "";
  const auto tokens = answer.find("tokens");
  const auto text = answer.find("text");
  if (tokens != answer.end() && tokens->is_array()) {
    for (const auto& token : *tokens) {
      CheckToken(m_next_index, token.is_string() ? token.get<std::string>() : "", weights_text);
    }
  } else if (text != answer.end() && text->is_string() && UpdateWeights(weights_text)) {
    CheckText(text->get_ref<const std::string&>(), tokens == answer.end() ? nullptr : &*tokens);
  } else {
    SetWrong("answer without tokens or weights");
  }
  m_has_end_marker = true;
  return GetStreamVerdict();
}

}  // namespace plantain::standin
