#include "http_address.h"

#include <arpa/inet.h>

#include <charconv>
#include <string>

namespace plantain {
namespace {

bool IsAddress(const std::string& text) {
  in6_addr parsed;
  return inet_pton(AF_INET, text.c_str(), &parsed) == 1 || inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

}  // namespace

std::optional<HttpTarget> ParseHttpTarget(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  const std::string address(text.substr(0, colon));
  const std::string_view digits = text.substr(colon + 1);
  if (!IsAddress(address)) return std::nullopt;
  uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() || port == 0) return std::nullopt;
  return HttpTarget{IpAddress(address), Port(port)};
}

}  // namespace plantain
