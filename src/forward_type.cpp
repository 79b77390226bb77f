#include "forward_type.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace plantain {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopFields = {"connection",        "keep-alive", "proxy-authenticate",
                                                             "proxy-connection",  "te",         "trailer",
                                                             "transfer-encoding", "upgrade",    "content-length"};

// Returns whether a comma-separated list contains the field name.
bool ContainsFieldName(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const size_t comma = list.find(',');
    std::string_view item = list.substr(0, comma);
    while (!item.empty() && item.front() == ' ') item.remove_prefix(1);
    while (!item.empty() && item.back() == ' ') item.remove_suffix(1);
    if (IsSameFieldName(item, name)) return true;
    if (comma == std::string_view::npos) return false;
    list.remove_prefix(comma + 1);
  }
  return false;
}

}  // namespace

bool IsHopByHopField(std::string_view name) {
  return std::any_of(kHopByHopFields.begin(), kHopByHopFields.end(),
                     [&](std::string_view field) { return IsSameFieldName(field, name); });
}

HttpHeaders RemoveHopByHopFields(const HttpHeaders& headers) {
  const std::string_view connection = headers.Find("Connection");
  HttpHeaders kept;
  for (const auto& [name, value] : headers.GetFields()) {
    if (!IsHopByHopField(name) && !ContainsFieldName(connection, name)) kept.Add(name, value);
  }
  return kept;
}

std::string_view GetForwardFailureName(ForwardFailure failure) {
  switch (failure) {
    case ForwardFailure::kNone:
      return "none";
    case ForwardFailure::kMalformed:
      return "malformed";
    case ForwardFailure::kNoConfig:
      return "no_config";
    case ForwardFailure::kNoRoute:
      return "no_route";
    case ForwardFailure::kUnknownKey:
      return "unknown_key";
    case ForwardFailure::kOverloaded:
      return "overloaded";
    case ForwardFailure::kNoEndpoint:
      return "no_endpoint";
    case ForwardFailure::kDraining:
      return "draining";
    case ForwardFailure::kUnknownOutcome:
      return "unknown_outcome";
    case ForwardFailure::kBrokenAnswer:
      return "broken_answer";
    case ForwardFailure::kTimeout:
      return "timeout";
    case ForwardFailure::kBlockedContent:
      return "blocked_content";
    case ForwardFailure::kCallerGone:
      return "caller_gone";
  }
  return "unknown";
}

std::optional<ForwardFailure> ParseForwardFailure(std::string_view name) {
  for (auto number = static_cast<int>(ForwardFailure::kNone); number <= static_cast<int>(ForwardFailure::kCallerGone);
       ++number) {
    const auto failure = static_cast<ForwardFailure>(number);
    if (GetForwardFailureName(failure) == name) return failure;
  }
  return std::nullopt;
}

int GetForwardFailureStatus(ForwardFailure failure) {
  switch (failure) {
    case ForwardFailure::kMalformed:
      return 400;
    case ForwardFailure::kNoRoute:
      return 404;
    case ForwardFailure::kUnknownKey:
      return 401;
    case ForwardFailure::kUnknownOutcome:
    case ForwardFailure::kBrokenAnswer:
      return 502;
    case ForwardFailure::kTimeout:
      return 504;
    default:
      return 503;
  }
}

HttpResponse MakeForwardErrorResponse(ForwardFailure failure, Duration retry_after) {
  const std::string type(GetForwardFailureName(failure));
  HttpResponse response = MakeJsonResponse(GetForwardFailureStatus(failure), R"({"error":{"type":")" + type + R"("}})");
  if (retry_after > Duration::zero()) {
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f", std::chrono::duration<double>(retry_after).count());
    response.headers.Add("Retry-After", text);
  }
  return response;
}

}  // namespace plantain
