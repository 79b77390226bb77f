// Client of the platform's append-only log over HTTP.

#ifndef PLANTAIN_LOG_CLIENT_H_
#define PLANTAIN_LOG_CLIENT_H_

#include <functional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "http_client.h"
#include "log_type.h"

namespace plantain {

// Decodes the body of a read response: repeated u64 offset, u64 unix milliseconds, u32 length and bytes, little-endian.
absl::StatusOr<std::vector<LogRecord>> ParseLogRecords(std::string_view body);

// Whether a failed append certainly wrote no record. After any other failure the record may be in the log.
bool IsCertainlyNotAppended(const absl::Status& status);

// Appends to and reads from the log. Must be used on the HTTP client's loop; callbacks run on that loop.
class LogClient {
 public:
  // `timeout` applies to one call and excludes the wait time of a long poll.
  LogClient(HttpClient& http, HttpTarget target, Duration timeout);

  // Appends one record and reports its offset. Fails with kLogRateLimited, kLogUnavailable or the failure of the
  // HTTP call.
  void Append(const std::string& stream, std::string record, std::function<void(absl::StatusOr<LogOffset>)> on_done);

  // Reads records with offsets from `from` on. If there are none yet, the log waits up to `wait` for the next one.
  void Read(const std::string& stream, LogOffset from, size_t max_records, Duration wait,
            std::function<void(absl::StatusOr<LogBatch>)> on_done);

 private:
  HttpClient& m_http;
  const HttpTarget m_target;
  const Duration m_timeout;
};

}  // namespace plantain

#endif  // PLANTAIN_LOG_CLIENT_H_
