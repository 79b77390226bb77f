#include "http_address.h"

#include <charconv>
#include <string>

namespace plantain {
namespace {

constexpr std::string_view kAddressCharacters = "0123456789abcdefABCDEF.:";

}  // namespace

std::optional<HttpTarget> ParseHttpTarget(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  const std::string_view address = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  if (address.find_first_not_of(kAddressCharacters) != std::string_view::npos) return std::nullopt;
  uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() || port == 0) return std::nullopt;
  return HttpTarget{IpAddress(std::string(address)), Port(port)};
}

}  // namespace plantain
