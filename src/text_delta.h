// Delta between two texts that differ in one place, as most consecutive versions of a document do.

#ifndef PLANTAIN_TEXT_DELTA_H_
#define PLANTAIN_TEXT_DELTA_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace plantain {

// A text made of the first `prefix` bytes of a base text, `middle`, and the last `suffix` bytes of the base text.
struct TextDelta {
  size_t prefix = 0;
  size_t suffix = 0;
  std::string middle;
};

TextDelta MakeTextDelta(std::string_view base, std::string_view text);

// Returns the text, or nullopt if the delta does not match the length of the base text.
std::optional<std::string> ApplyTextDelta(std::string_view base, const TextDelta& delta);

}  // namespace plantain

#endif  // PLANTAIN_TEXT_DELTA_H_
