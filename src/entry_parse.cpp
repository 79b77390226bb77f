#include "entry_parse.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace plantain {
namespace {

using nlohmann::json;

constexpr size_t kMaxHeaderValue = 256;
constexpr uint64_t kMaxCallerAttempt = 1000;
constexpr uint64_t kMaxDeadlineMs = 3'600'000;
constexpr uint64_t kMaxPriority = 9;
constexpr uint64_t kMaxTokens = 1'000'000;

EntryError MakeBadRequest(std::string detail) {
  return {EntryFailure::kBadRequest, true, Milliseconds(0), std::move(detail)};
}

bool IsValidHeaderValue(std::string_view value) {
  if (value.size() > kMaxHeaderValue) return false;
  return std::all_of(value.begin(), value.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

// Parses an integer header in the range 0 to `max`. Returns `missing` if the header is absent or empty, and nullopt if
// it is invalid.
std::optional<uint64_t> ReadNumber(const HttpHeaders& headers, std::string_view name, uint64_t max,
                                   uint64_t default_value) {
  const std::string_view text = headers.Find(name);
  if (text.empty()) return default_value;
  uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value > max) return std::nullopt;
  return value;
}

// Parses the headers common to all requests into `out`. Returns an error message, empty on success.
std::string ReadHeaders(const HttpHeaders& headers, const Clock& clock, Random& random, const ParseOptions& options,
                        EntryRequest& out) {
  for (const std::string_view name : {"X-Workspace", "X-Request-Id", "Idempotency-Key"}) {
    if (!IsValidHeaderValue(headers.Find(name))) {
      return std::string(name) + ": expected at most 256 visible ASCII characters";
    }
  }
  out.workspace = WorkspaceName(std::string(headers.Find("X-Workspace")));
  if (out.workspace.IsEmpty()) return "X-Workspace: expected a workspace name";
  out.id = RequestId(std::string(headers.Find("X-Request-Id")));
  if (out.id.IsEmpty()) out.id = RequestId("entry-" + std::to_string(random.GetBits()));
  const auto attempt = ReadNumber(headers, "X-Attempt", kMaxCallerAttempt, 0);
  if (!attempt.has_value()) return "X-Attempt: expected an integer from 0 to 1000";
  const auto deadline = ReadNumber(headers, "X-Deadline-Ms", kMaxDeadlineMs, 0);
  if (!deadline.has_value()) return "X-Deadline-Ms: expected an integer from 0 to 3600000";
  const auto priority = ReadNumber(headers, "X-Priority", kMaxPriority, 0);
  if (!priority.has_value()) return "X-Priority: expected an integer from 0 to 9";
  out.caller_attempt = static_cast<uint32_t>(*attempt);
  out.priority = static_cast<uint32_t>(*priority);
  const bool has_deadline = !headers.Find("X-Deadline-Ms").empty();
  out.deadline = clock.GetNow() + (has_deadline ? Duration(Milliseconds(*deadline)) : options.default_deadline);
  out.idempotency_key = std::string(headers.Find("Idempotency-Key"));
  return "";
}

// Reads a string member into `out`. Returns false if it is not a string, or if it is required and missing.
bool ReadString(const json& body, const char* name, bool is_required, std::string& out) {
  const auto found = body.find(name);
  if (found == body.end()) return !is_required;
  if (!found->is_string()) return false;
  out = found->get<std::string>();
  return true;
}

std::string ReadCompletion(const std::string& text, EntryRequest& out) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object()) return "body: expected a JSON object";
  std::string model;
  std::string adapter;
  if (!ReadString(body, "model", true, model) || model.empty()) return "model: expected a model name";
  if (!ReadString(body, "adapter", false, adapter)) return "adapter: expected an adapter name";
  if (!ReadString(body, "prompt", true, out.prompt)) return "prompt: expected a string";
  const auto max_tokens = body.find("max_tokens");
  if (max_tokens == body.end() || !max_tokens->is_number_unsigned() || max_tokens->get<uint64_t>() == 0 ||
      max_tokens->get<uint64_t>() > kMaxTokens) {
    return "max_tokens: expected an integer from 1 to 1000000";
  }
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_boolean()) return "stream: expected true or false";
  out.max_tokens = max_tokens->get<uint32_t>();
  out.is_stream = stream != body.end() && stream->get<bool>();
  out.key = {ModelName(std::move(model)), AdapterName(std::move(adapter)), {}};
  return "";
}

ParseResult ParseCompletion(const HttpRequest& http, const RouteTable& table, EntryRequest request) {
  std::string error_message = ReadCompletion(http.body, request);
  if (!error_message.empty()) return MakeBadRequest(std::move(error_message));
  if (!table.IsKnown(request.key)) return EntryError{EntryFailure::kUnknownModel, true, Milliseconds(0), "model"};
  return request;
}

ParseResult ParseService(HttpRequest http, const std::vector<std::string>& path, const RouteTable& table,
                         EntryRequest request) {
  request.key = {{}, {}, ServiceName(path[1])};
  request.call = path[2];
  const ServiceCallSpec* call = table.FindCall(request.key.service, request.call);
  if (call == nullptr)
    return EntryError{EntryFailure::kUnknownService, true, Milliseconds(0), "unknown service or call"};
  request.is_idempotent = call->is_repeatable;
  if (!request.is_idempotent && request.idempotency_key.empty()) {
    return MakeBadRequest("Idempotency-Key: required, because this call is not idempotent");
  }
  request.body = std::move(http.body);
  return request;
}

uint64_t MakeFingerprint(const HttpRequest& http) {
  const uint64_t seed = XXH3_64bits(http.target.data(), http.target.size());
  const std::string_view key = http.headers.Find("Idempotency-Key");
  const uint64_t with_key = XXH3_64bits_withSeed(key.data(), key.size(), seed);
  return XXH3_64bits_withSeed(http.body.data(), http.body.size(), with_key);
}

}  // namespace

ParseResult ParseEntryRequest(HttpRequest request, const RouteTable& table, const Clock& clock, Random& random,
                              const ParseOptions& options) {
  const std::vector<std::string> path = SplitPath(GetPath(request.target));
  const bool is_completion = path.size() == 2 && path[0] == "v1" && path[1] == "completions";
  const bool is_service = path.size() == 3 && path[0] == "services";
  if (request.method != "POST" || (!is_completion && !is_service)) {
    return EntryError{EntryFailure::kNotFound, true, Milliseconds(0), "unknown method or path"};
  }
  EntryRequest out;
  std::string error_message = ReadHeaders(request.headers, clock, random, options, out);
  if (!error_message.empty()) return MakeBadRequest(std::move(error_message));
  out.fingerprint = MakeFingerprint(request);
  if (is_completion) return ParseCompletion(request, table, std::move(out));
  return ParseService(std::move(request), path, table, std::move(out));
}

void AppendJsonString(std::string_view text, std::string& out) {
  constexpr char kHex[] = "0123456789abcdef";
  out += '"';
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (c == '\n') {
      out += "\\n";
    } else if (byte < ' ') {
      out += "\\u00";
      out += kHex[byte >> 4];
      out += kHex[byte & 15];
    } else {
      out += c;
    }
  }
  out += '"';
}

std::string FormatErrorJson(const EntryError& error) {
  std::string out = R"({"error":{"type":")";
  out += GetEntryFailureName(error.type);
  out += R"(","not_run":)";
  out += error.is_not_run ? "true" : "false";
  out += R"(,"retry_after_ms":)";
  out += std::to_string(error.retry_after.count());
  out += R"(,"detail":)";
  AppendJsonString(error.detail, out);
  out += "}}";
  return out;
}

HttpResponse MakeErrorResponse(const EntryError& error) {
  HttpResponse response = MakeJsonResponse(GetEntryFailureStatus(error.type), FormatErrorJson(error));
  // Retry-After has a resolution of one second; the JSON body has the time in milliseconds.
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retry_after).count();
  response.headers.Add("Retry-After", std::to_string(seconds));
  return response;
}

}  // namespace plantain
