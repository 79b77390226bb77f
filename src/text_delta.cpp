#include "text_delta.h"

#include <algorithm>

namespace plantain {

TextDelta MakeTextDelta(std::string_view base, std::string_view text) {
  TextDelta delta;
  const auto [base_end, text_end] = std::mismatch(base.begin(), base.end(), text.begin(), text.end());
  delta.prefix = static_cast<size_t>(text_end - text.begin());
  const size_t max_suffix = std::min(base.size(), text.size()) - delta.prefix;
  while (delta.suffix < max_suffix && base[base.size() - 1 - delta.suffix] == text[text.size() - 1 - delta.suffix]) {
    ++delta.suffix;
  }
  delta.middle = std::string(text.substr(delta.prefix, text.size() - delta.prefix - delta.suffix));
  return delta;
}

std::optional<std::string> ApplyTextDelta(std::string_view base, const TextDelta& delta) {
  if (delta.prefix > base.size() || delta.suffix > base.size()) return std::nullopt;
  std::string text(base.substr(0, delta.prefix));
  text += delta.middle;
  text += base.substr(base.size() - delta.suffix);
  return text;
}

}  // namespace plantain
