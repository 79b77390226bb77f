// Implements CtlPlatform over HTTP.

#include <openssl/rand.h>

#include <array>
#include <charconv>
#include <optional>

#include "clock.h"
#include "ctl_type.h"
#include "failure_type.h"
#include "hex_text.h"
#include "http_client.h"
#include "log_client.h"
#include "loop.h"
#include "vm_list.h"

namespace plantain {
namespace {

constexpr char kConfigStream[] = "config";
constexpr size_t kReadRecords = 1000;
constexpr Port kAdminPort{8081};
constexpr size_t kMaxStatusBytes = 4 * 1024 * 1024;
// Several times the largest batch, since an answer may hold half of it at most.
constexpr Bytes kAnswerMemory{256 * 1024 * 1024};

absl::StatusOr<HttpTarget> ParseTarget(const std::string& option, const std::string& text) {
  const size_t colon = text.rfind(':');
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  if (colon == std::string::npos || std::from_chars(text.data() + colon + 1, end, port).ptr != end || port == 0) {
    return MakeFailure(FailureCode::kUsage, option + ": expected HOST:PORT, got \"" + text + "\"");
  }
  return HttpTarget{IpAddress(text.substr(0, colon)), Port(port)};
}

class HttpCtlPlatform : public CtlPlatform {
 public:
  HttpCtlPlatform(std::optional<HttpTarget> log, std::optional<HttpTarget> vms, ZoneName zone, Duration timeout)
      : m_log_target(std::move(log)), m_vms_target(std::move(vms)), m_zone(std::move(zone)), m_timeout(timeout) {}

  absl::StatusOr<std::vector<LogRecord>> ReadConfigRecords() override {
    if (!m_log_target.has_value()) return MakeFailure(FailureCode::kUsage, "--log: expected HOST:PORT");
    std::vector<LogRecord> records;
    LogOffset from;
    for (;;) {
      absl::StatusOr<LogBatch> batch = ReadBatch(from);
      if (!batch.ok()) return batch.status();
      const bool is_expired = batch->first_offset > from;
      if (batch->records.empty() && !is_expired) return records;
      for (LogRecord& record : batch->records) records.push_back(std::move(record));
      from = batch->records.empty() ? batch->first_offset : records.back().offset.Next();
      if (from >= batch->next_offset) return records;
    }
  }

  absl::StatusOr<LogOffset> AppendConfigRecord(const std::string& record) override {
    if (!m_log_target.has_value()) return MakeFailure(FailureCode::kUsage, "--log: expected HOST:PORT");
    LogClient client(m_http, *m_log_target, m_timeout);
    return Await<LogOffset>([&](auto done) { client.Append(kConfigStream, record, done); });
  }

  absl::StatusOr<std::vector<VmListRow>> GetVms() override {
    if (!m_vms_target.has_value()) return MakeFailure(FailureCode::kUsage, "--vms: expected HOST:PORT");
    VmListClient client(m_http, *m_vms_target, m_zone, m_timeout);
    const auto result = Await<VmListResult>([&](auto done) { client.Read(done); });
    if (!result.ok()) return result.status();
    return result->rows;
  }

  std::vector<absl::StatusOr<std::string>> FetchFromAll(const std::vector<VmListRow>& vms,
                                                        const std::string& path) override {
    std::vector<absl::StatusOr<std::string>> responses(vms.size(), MakeFailure(FailureCode::kTimeout, "no response"));
    size_t pending = vms.size();
    if (pending == 0) return responses;
    HttpCallOptions options(kMaxStatusBytes);
    options.timeout = m_timeout;
    for (size_t i = 0; i < vms.size(); ++i) {
      const HttpRequest request{"GET", path, {}, ""};
      m_http.Fetch({vms[i].address, kAdminPort}, request, options,
                   [&, i](const absl::StatusOr<HttpResponse>& response) {
                     responses[i] = response.ok() ? absl::StatusOr<std::string>(response->body)
                                                  : absl::StatusOr<std::string>(response.status());
                     if (--pending == 0) m_loop.Stop();
                   });
    }
    RunLoop();
    return responses;
  }

  void Wait(Duration time) override {
    const auto timer = m_loop.RunAfter(time, [this] { m_loop.Stop(); });
    RunLoop();
  }

  TimePoint GetNow() const override { return m_clock.GetNow(); }
  WallTime GetWallTime() const override { return m_clock.GetWallTime(); }

  std::string GenerateId() override {
    std::array<unsigned char, 16> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return FormatHex({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
  }

 private:
  // Starts an asynchronous call and runs the event loop until it completes.
  template <typename T>
  absl::StatusOr<T> Await(const std::function<void(std::function<void(absl::StatusOr<T>)>)>& start) {
    absl::StatusOr<T> result = MakeFailure(FailureCode::kTimeout, "no response");
    start([&](absl::StatusOr<T> value) {
      result = std::move(value);
      m_loop.Stop();
    });
    RunLoop();
    return result;
  }

  void RunLoop() {
    m_loop.Restart();
    m_loop.Run();
  }

  absl::StatusOr<LogBatch> ReadBatch(LogOffset from) {
    LogClient client(m_http, *m_log_target, m_timeout);
    return Await<LogBatch>([&](auto done) { client.Read(kConfigStream, from, kReadRecords, Duration(0), done); });
  }

  std::optional<HttpTarget> m_log_target;
  std::optional<HttpTarget> m_vms_target;
  ZoneName m_zone;
  Duration m_timeout;
  SystemClock m_clock;
  MemoryBudget m_answer_memory{kAnswerMemory};
  Loop m_loop;
  HttpClient m_http{m_loop, m_answer_memory};
};

}  // namespace

absl::StatusOr<std::unique_ptr<CtlPlatform>> MakeHttpCtlPlatform(const CtlPlatformOptions& options) {
  std::optional<HttpTarget> log;
  std::optional<HttpTarget> vms;
  if (!options.log.empty()) {
    const absl::StatusOr<HttpTarget> target = ParseTarget("--log", options.log);
    if (!target.ok()) return target.status();
    log = *target;
  }
  if (!options.vms.empty()) {
    const absl::StatusOr<HttpTarget> target = ParseTarget("--vms", options.vms);
    if (!target.ok()) return target.status();
    vms = *target;
  }
  return std::unique_ptr<CtlPlatform>(
      std::make_unique<HttpCtlPlatform>(std::move(log), std::move(vms), options.zone, options.timeout));
}

}  // namespace plantain
