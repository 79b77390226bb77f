// Deterministic text of generated tokens. The engine stand-in produces it and the load tool recomputes it, so that an
// answer to a different prompt or from different weights is detected by its bytes.

#ifndef PLANTAIN_TOKEN_TEXT_H_
#define PLANTAIN_TOKEN_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace plantain {

// Returns the seed for all tokens of one answer. `weights` is the manifest digest in lower-case hex.
uint64_t MakeTokenSeed(std::string_view prompt, std::string_view weights);

// Appends the token with the given index: seven lower-case letters and a space.
void AppendToken(uint64_t seed, uint32_t index, std::string& out);

// Returns the token with the given index.
std::string MakeToken(uint64_t seed, uint32_t index);

// Returns the plain-service stand-in's answer body for a call.
std::string MakeServiceAnswer(std::string_view call, std::string_view body);

// Returns the cache key of a prompt's prefix: a hash of its first `prefix_bytes` bytes as 16 hex digits.
std::string MakePrefixName(std::string_view prompt, size_t prefix_bytes);

}  // namespace plantain

#endif  // PLANTAIN_TOKEN_TEXT_H_
