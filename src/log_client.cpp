#include "log_client.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "failure_type.h"

namespace plantain {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusGone = 410;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;
constexpr size_t kRecordHeaderBytes = 20;
constexpr size_t kMaxAppendAnswerBytes = 64 * 1024;
constexpr size_t kMaxBatchBytes = 16 * 1024 * 1024;
// End of the year 9999. Larger values would overflow when converted to microseconds.
constexpr uint64_t kMaxTimeMs = 253'402'300'799'999;

template <typename T>
T ReadLittleEndian(std::string_view bytes) {
  T value = 0;
  for (size_t i = 0; i < sizeof(T); ++i) value |= static_cast<T>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  return value;
}

std::optional<uint64_t> ParseNumber(std::string_view text) {
  uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

absl::Status MakeStatusFailure(int status) {
  if (status == kStatusTooManyRequests) {
    return MakeFailure(FailureCode::kLogRateLimited, "log append rate exceeded");
  }
  if (status == kStatusGone) return MakeFailure(FailureCode::kLogOffsetExpired, "log offset has expired");
  if (status == kStatusUnavailable) return MakeFailure(FailureCode::kLogUnavailable, "log is unavailable");
  return MakeFailure(FailureCode::kProtocol, "log returned HTTP status " + std::to_string(status));
}

absl::StatusOr<LogOffset> ParseAppend(const absl::StatusOr<HttpResponse>& response) {
  if (!response.ok()) return response.status();
  if (response->status != kStatusOk) return MakeStatusFailure(response->status);
  const auto json = nlohmann::json::parse(response->body, nullptr, false);
  const auto offset = json.is_object() ? json.find("offset") : json.end();
  if (offset == json.end() || !offset->is_number_unsigned()) {
    return MakeFailure(FailureCode::kProtocol, "append response of the log contains no offset");
  }
  return LogOffset(offset->get<uint64_t>());
}

absl::StatusOr<LogBatch> ParseRead(LogOffset from, const absl::StatusOr<HttpResponse>& response) {
  if (!response.ok()) return response.status();
  const bool is_gone = response->status == kStatusGone;
  if (response->status != kStatusOk && !is_gone) return MakeStatusFailure(response->status);
  const auto first = ParseNumber(response->headers.Find("X-First-Offset"));
  const auto next = ParseNumber(response->headers.Find("X-Next-Offset"));
  if (is_gone && (!first || *first <= from.Get())) return MakeStatusFailure(kStatusGone);
  if (!first || !next) return MakeFailure(FailureCode::kProtocol, "read response of the log lacks offsets");
  LogBatch batch;
  batch.first_offset = LogOffset(*first);
  batch.next_offset = LogOffset(*next);
  if (is_gone) return batch;
  absl::StatusOr<std::vector<LogRecord>> records = ParseLogRecords(response->body);
  if (!records.ok()) return records.status();
  batch.records = *std::move(records);
  return batch;
}

}  // namespace

absl::StatusOr<std::vector<LogRecord>> ParseLogRecords(std::string_view body) {
  std::vector<LogRecord> records;
  while (!body.empty()) {
    if (body.size() < kRecordHeaderBytes) return MakeFailure(FailureCode::kProtocol, "log record is truncated");
    LogRecord record;
    record.offset = LogOffset(ReadLittleEndian<uint64_t>(body));
    const auto time_ms = ReadLittleEndian<uint64_t>(body.substr(8));
    if (time_ms > kMaxTimeMs) return MakeFailure(FailureCode::kProtocol, "log record timestamp is out of range");
    record.time = WallTime(std::chrono::milliseconds(time_ms));
    const size_t length = ReadLittleEndian<uint32_t>(body.substr(16));
    body.remove_prefix(kRecordHeaderBytes);
    if (body.size() < length) return MakeFailure(FailureCode::kProtocol, "log record is truncated");
    record.data = std::string(body.substr(0, length));
    body.remove_prefix(length);
    records.push_back(std::move(record));
  }
  return records;
}

bool IsCertainlyNotAppended(const absl::Status& status) {
  const FailureCode code = GetFailureCode(status);
  return code == FailureCode::kConnectFailed || code == FailureCode::kLogRateLimited ||
         code == FailureCode::kLogUnavailable;
}

LogClient::LogClient(HttpClient& http, HttpTarget target, Duration timeout)
    : m_http(http), m_target(std::move(target)), m_timeout(timeout) {}

void LogClient::Append(const std::string& stream, std::string record,
                       std::function<void(absl::StatusOr<LogOffset>)> on_done) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/streams/" + stream + "/records";
  request.headers.Add("Content-Type", "application/octet-stream");
  request.body = std::move(record);
  HttpCallOptions options(kMaxAppendAnswerBytes);
  options.timeout = m_timeout;
  m_http.Fetch(
      m_target, request, options,
      [on_done = std::move(on_done)](const absl::StatusOr<HttpResponse>& response) { on_done(ParseAppend(response)); });
}

void LogClient::Read(const std::string& stream, LogOffset from, size_t max_records, Duration wait,
                     std::function<void(absl::StatusOr<LogBatch>)> on_done) {
  const auto wait_ms = std::chrono::duration_cast<Milliseconds>(wait).count();
  HttpRequest request;
  request.method = "GET";
  request.target = "/streams/" + stream + "/records?from=" + std::to_string(from.Get()) +
                   "&max=" + std::to_string(max_records) + "&wait_ms=" + std::to_string(wait_ms);
  HttpCallOptions options(kMaxBatchBytes);
  options.timeout = m_timeout + wait;
  m_http.Fetch(m_target, request, options,
               [from, on_done = std::move(on_done)](const absl::StatusOr<HttpResponse>& response) {
                 on_done(ParseRead(from, response));
               });
}

}  // namespace plantain
