#include "token_text.h"

#include <xxhash.h>

namespace plantain {
namespace {

constexpr int kTokenLetters = 7;

std::string ToHex(uint64_t value) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (int i = 15; i >= 0; --i) {
    text[i] = kDigits[value & 15];
    value >>= 4;
  }
  return text;
}

}  // namespace

uint64_t MakeTokenSeed(std::string_view prompt, std::string_view weights) {
  return XXH64(prompt.data(), prompt.size(), XXH64(weights.data(), weights.size(), 0));
}

void AppendToken(uint64_t seed, uint32_t index, std::string& out) {
  uint64_t bits = XXH64(&index, sizeof(index), seed);
  for (int i = 0; i < kTokenLetters; ++i) {
    out += static_cast<char>('a' + bits % 26);
    bits /= 26;
  }
  out += ' ';
}

std::string MakeToken(uint64_t seed, uint32_t index) {
  std::string text;
  AppendToken(seed, index, text);
  return text;
}

std::string MakeServiceAnswer(std::string_view call, std::string_view body) {
  const uint64_t bits = XXH64(body.data(), body.size(), XXH64(call.data(), call.size(), 1));
  return R"({"call":")" + std::string(call) + R"(","receipt":")" + ToHex(bits) + R"("})";
}

std::string MakePrefixName(std::string_view prompt, size_t prefix_bytes) {
  const std::string_view prefix = prompt.substr(0, prefix_bytes);
  return ToHex(XXH64(prefix.data(), prefix.size(), 2));
}

}  // namespace plantain
