// Conversion between bytes and hex digits. Digests are formatted in lower case.

#ifndef PLANTAIN_HEX_TEXT_H_
#define PLANTAIN_HEX_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

namespace plantain {

std::string FormatHex(std::string_view bytes);

// Returns nullopt unless the text is an even number of hex digits.
std::optional<std::string> ParseHex(std::string_view text);

}  // namespace plantain

#endif  // PLANTAIN_HEX_TEXT_H_
