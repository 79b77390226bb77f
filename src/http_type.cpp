#include "http_type.h"

#include <strings.h>

#include <charconv>

namespace plantain {
namespace {

std::string DecodePercent(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    if (text[i] == '%' && i + 2 < text.size() + 0 &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr == text.data() + i + 3) {
      out += static_cast<char>(value);
      i += 2;
    } else {
      out += text[i] == '+' ? ' ' : text[i];
    }
  }
  return out;
}

}  // namespace

bool IsSameFieldName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view HttpHeaders::Find(std::string_view name) const {
  for (const auto& [key, value] : m_fields) {
    if (IsSameFieldName(key, name)) return value;
  }
  return {};
}

std::string_view GetPath(std::string_view target) { return target.substr(0, target.find('?')); }

std::string GetQueryValue(std::string_view target, std::string_view name) {
  const size_t question = target.find('?');
  if (question == std::string_view::npos) return "";
  std::string_view query = target.substr(question + 1);
  while (!query.empty()) {
    const size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos ? "" : DecodePercent(pair.substr(equals + 1));
    }
    if (end == std::string_view::npos) break;
    query.remove_prefix(end + 1);
  }
  return "";
}

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> parts;
  if (!path.empty() && path.front() == '/') path.remove_prefix(1);
  while (!path.empty()) {
    const size_t slash = path.find('/');
    parts.emplace_back(path.substr(0, slash));
    if (slash == std::string_view::npos) break;
    path.remove_prefix(slash + 1);
  }
  return parts;
}

HttpResponse MakeJsonResponse(int status, std::string body) {
  HttpResponse response{status, {}, std::move(body)};
  response.headers.Add("Content-Type", "application/json");
  return response;
}

HttpResponse MakeTextResponse(int status, std::string body) {
  HttpResponse response{status, {}, std::move(body)};
  response.headers.Add("Content-Type", "text/plain; charset=utf-8");
  return response;
}

}  // namespace plantain
