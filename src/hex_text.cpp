#include "hex_text.h"

namespace plantain {
namespace {

int GetDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

std::string FormatHex(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const unsigned char byte : bytes) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

std::optional<std::string> ParseHex(std::string_view text) {
  if (text.size() % 2 != 0) return std::nullopt;
  std::string bytes;
  bytes.reserve(text.size() / 2);
  for (size_t i = 0; i < text.size(); i += 2) {
    const int high = GetDigit(text[i]);
    const int low = GetDigit(text[i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    bytes += static_cast<char>(high * 16 + low);
  }
  return bytes;
}

}  // namespace plantain
