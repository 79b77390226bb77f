// Reading of addresses with ports.

#ifndef PLANTAIN_HTTP_ADDRESS_H_
#define PLANTAIN_HTTP_ADDRESS_H_

#include <optional>
#include <string_view>

#include "http_type.h"

namespace plantain {

// Reads `IP:PORT`. Returns nothing for any other text.
std::optional<HttpTarget> ParseHttpTarget(std::string_view text);

}  // namespace plantain

#endif  // PLANTAIN_HTTP_ADDRESS_H_
