#include "completion_stream.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "hex_text.h"

namespace plantain {
namespace {

constexpr size_t kMaxEventBytes = 64 * 1024;
constexpr std::string_view kEndOfStreamMarker = "[DONE]";

// Parsed fields of one token event.
struct TokenEvent {
  std::string id;
  uint32_t index = 0;
  std::string text;
  std::string weights;
};

std::optional<TokenEvent> ParseTokenEvent(std::string_view data) {
  const auto json = nlohmann::json::parse(data, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  const auto id = json.find("id");
  const auto index = json.find("index");
  const auto token = json.find("token");
  const auto weights = json.find("weights");
  if (id == json.end() || index == json.end() || token == json.end() || weights == json.end()) return std::nullopt;
  if (!id->is_string() || !index->is_number_unsigned() || !token->is_string() || !weights->is_string()) {
    return std::nullopt;
  }
  return TokenEvent{id->get<std::string>(), index->get<uint32_t>(), token->get<std::string>(),
                    weights->get<std::string>()};
}

}  // namespace

CompletionStream::CompletionStream(StreamExpectation expectation, OnToken on_token)
    : m_expectation(std::move(expectation)),
      m_expected_manifest_hex(FormatHex(m_expectation.manifest.Get())),
      m_on_token(std::move(on_token)),
      m_parser(kMaxEventBytes, [this](std::string_view data) { ProcessEvent(data); }),
      m_next_index(m_expectation.first_index) {}

StreamState CompletionStream::Feed(std::string_view bytes) {
  if (m_state != StreamState::kOpen) return m_state;
  if (!m_parser.Feed(bytes).ok() && m_state == StreamState::kOpen) m_state = StreamState::kInvalid;
  return m_state;
}

void CompletionStream::ProcessEvent(std::string_view data) {
  if (m_state != StreamState::kOpen) return;
  if (data == kEndOfStreamMarker) {
    m_state = StreamState::kComplete;
    return;
  }
  const std::optional<TokenEvent> event = ParseTokenEvent(data);
  if (!event.has_value() || event->id != m_expectation.engine_id || event->index != m_next_index) {
    m_state = StreamState::kInvalid;
    return;
  }
  if (event->weights != m_expected_manifest_hex) {
    m_mismatched_manifest = Digest(ParseHex(event->weights).value_or(""));
    m_state = StreamState::kWeightsMismatch;
    return;
  }
  m_on_token(m_next_index++, event->text);
}

}  // namespace plantain
