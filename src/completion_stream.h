// Checks an engine's answer to one completion while it arrives.

#ifndef PLANTAIN_COMPLETION_STREAM_H_
#define PLANTAIN_COMPLETION_STREAM_H_

#include <functional>
#include <string>
#include <string_view>

#include "core_type.h"
#include "sse_parser.h"

namespace plantain {

enum class StreamState {
  kOpen,
  // The engine sent its end mark.
  kComplete,
  // A token came from other weights than expected.
  kMismatch,
  // The answer is malformed, belongs to another request or skips a token.
  kBroken,
};

// What the engine's answer must be.
struct StreamExpectation {
  // Id that was sent with the request; each event repeats it.
  std::string engine_id;
  Digest manifest;
  uint32_t first_index = 0;
};

// Reads the events of one answer and reports each token that passes all checks. Without I/O.
class CompletionStream {
 public:
  using OnToken = std::function<void(uint32_t index, const std::string& text)>;

  CompletionStream(StreamExpectation expectation, OnToken on_token);

  // Takes the next bytes. Once the state is not kOpen, nothing more is reported.
  StreamState Feed(std::string_view bytes);

  // Index of the next token, which is also the number of tokens of the whole answer.
  uint32_t GetNextIndex() const { return m_next_index; }

  // The weights that a mismatched event named, if they were a digest.
  const Digest& GetSeenManifest() const { return m_seen; }

 private:
  void TakeEvent(std::string_view data);

  const StreamExpectation m_expectation;
  const std::string m_expected_hex;
  const OnToken m_on_token;
  SseParser m_parser;
  StreamState m_state = StreamState::kOpen;
  uint32_t m_next_index;
  Digest m_seen;
};

}  // namespace plantain

#endif  // PLANTAIN_COMPLETION_STREAM_H_
