// Compares an answer byte by byte with the expected output of the engine or service.

#ifndef PLANTAIN_ANSWER_CHECK_H_
#define PLANTAIN_ANSWER_CHECK_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "load_plan.h"

namespace plantain::standin {

enum class AnswerVerdict {
  // Complete and correct, from one weight version.
  kCorrect,
  // The end marker or tokens are missing.
  kTruncated,
  // Contains bytes that differ from the expected answer.
  kWrong,
  // Contains tokens from more than one weight version.
  kMixed,
  // The stream ended with a typed error.
  kError,
};

// Incremental check of one answer.
class AnswerCheck {
 public:
  // `manifests` holds the allowed manifest digests in hex; empty allows all. Both references must outlive the check.
  AnswerCheck(const LoadRequest& request, const std::vector<std::string>& manifests)
      : m_request(request), m_manifests(manifests) {}

  // Processes the next bytes of a streamed answer. Returns the number of tokens completed by them.
  uint32_t AddStreamBytes(std::string_view bytes);

  // Returns the verdict on a streamed answer. Call after its last byte.
  AnswerVerdict GetStreamVerdict() const;

  // Checks an answer that is not streamed.
  AnswerVerdict CheckUnary(std::string_view body);

  // Type of the error event, or empty.
  const std::string& GetErrorType() const { return m_error_type; }
  // Description of the first mismatch, for the report.
  const std::string& GetDetail() const { return m_detail; }
  uint32_t GetTokens() const { return m_next_index; }
  const std::string& GetWeights() const { return m_weights; }

 private:
  void HandleLine(std::string_view line);
  void HandleEvent(std::string_view data);
  // Fast path: accepts an event with exactly the expected bytes without parsing its JSON.
  bool MatchExpectedEvent(std::string_view data);
  void CheckToken(uint32_t index, std::string_view token, std::string_view weights);
  void CheckText(std::string_view text, const nlohmann::json* count);
  bool UpdateWeights(std::string_view weights);
  void SetWrong(std::string detail);

  const LoadRequest& m_request;
  const std::vector<std::string>& m_manifests;
  std::string m_line;
  std::string m_weights;
  std::string m_expected;
  // Parts of the expected event before the index and after the token.
  std::string m_event_start;
  std::string m_event_end;
  uint64_t m_seed = 0;
  uint32_t m_next_index = 0;
  bool m_has_end_marker = false;
  bool m_is_wrong = false;
  bool m_is_mixed = false;
  std::string m_error_type;
  std::string m_detail;
};

}  // namespace plantain::standin

#endif  // PLANTAIN_ANSWER_CHECK_H_
