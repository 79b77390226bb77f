// Stand-in for the platform's append-only log.

#include <iostream>
#include <map>

#include "clock.h"
#include "failure_type.h"
#include "log_store.h"
#include "standin_base.h"
#include "token_bucket.h"

namespace plantain::standin {
namespace {

constexpr char kExamples[] =
    "  standin-log --port 9100 --retention-ms 60000\n"
    "  curl -X POST --data-binary @record 127.0.0.1:9100/streams/config/records\n"
    "  curl '127.0.0.1:9100/streams/config/records?from=0&max=100&wait_ms=1000'\n"
    "  curl -X POST -d '{\"down\":true}' 127.0.0.1:9100/control\n"
    "  curl -X POST -d '{\"rewind\":3}' 127.0.0.1:9100/control\n";
constexpr size_t kMaxRecordBytes = 4 * 1024 * 1024;
constexpr uint64_t kDefaultMaxRecords = 1000;
constexpr int64_t kMaxWaitMs = 60'000;

// Serves appends, reads and long polls of all streams.
class LogStandin {
 public:
  LogStandin(HttpStandin& standin, const Clock& clock, int64_t retention_ms, double max_appends_per_s)
      : m_standin(standin),
        m_clock(clock),
        m_retention_ms(retention_ms),
        m_append_limiter(clock, max_appends_per_s, max_appends_per_s) {}

  void Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    const std::vector<std::string> parts = SplitPath(GetPath(request.target));
    if (parts.size() == 1 && parts[0] == "stats") {
      responder->Send(MakeJsonResponse(200, GetStats().dump()));
      return;
    }
    if (parts.size() != 3 || parts[0] != "streams" || parts[2] != "records") {
      responder->Send(MakeErrorResponse(404, "not_found"));
    } else if (request.method == "POST") {
      Append(parts[1], request, responder);
    } else if (request.method == "GET") {
      HandleRead(parts[1], request, responder);
    } else {
      responder->Send(MakeErrorResponse(405, "method"));
    }
  }

  absl::Status Control(const nlohmann::json& fields) {
    m_rewind = fields.value("rewind", m_rewind);
    m_is_duplicating = fields.value("duplicate", m_is_duplicating);
    m_retention_ms = fields.value("retention_ms", m_retention_ms);
    if (fields.contains("max_appends_per_s")) {
      const double rate = fields["max_appends_per_s"].get<double>();
      m_append_limiter.SetRate(rate, rate);
    }
    for (auto& [name, stream] : m_streams) stream.store.SetRetention(Milliseconds(m_retention_ms));
    for (auto& [name, stream] : m_streams) {
      if (m_standin.GetFaults().is_down) {
        FailPolls(stream);
      } else {
        AnswerPolls(stream);
      }
    }
    return absl::OkStatus();
  }

 private:
  struct Poll {
    uint64_t from;
    uint64_t max;
    std::shared_ptr<HttpResponder> responder;
  };

  struct Stream {
    LogStore store;
    std::map<uint64_t, Poll> polls;
  };

  Stream& GetStream(const std::string& name) {
    const auto found = m_streams.find(name);
    if (found != m_streams.end()) return found->second;
    return m_streams.emplace(name, Stream{LogStore(m_clock, Milliseconds(m_retention_ms)), {}}).first->second;
  }

  void Append(const std::string& name, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    if (!m_append_limiter.TryTake(1)) {
      ++m_refused;
      HttpResponse response = MakeErrorResponse(429, "append_rate");
      response.headers.Add("Retry-After", "1");
      responder->Send(std::move(response));
      return;
    }
    ++m_appended;
    Stream& stream = GetStream(name);
    const uint64_t offset = stream.store.Append(request.body);
    responder->Send(MakeJsonResponse(200, R"({"offset":)" + std::to_string(offset) + "}"));
    AnswerPolls(stream);
  }

  // Offset at which reads of a stream end. The `rewind` fault hides the newest records.
  uint64_t GetEnd(const Stream& stream) const {
    const uint64_t next = stream.store.GetNextOffset();
    return next - std::min(m_rewind, next - stream.store.GetFirstOffset());
  }

  void HandleRead(const std::string& name, const HttpRequest& request,
                  const std::shared_ptr<HttpResponder>& responder) {
    const std::string max_text = GetQueryValue(request.target, "max");
    Poll poll{strtoull(GetQueryValue(request.target, "from").c_str(), nullptr, 10),
              max_text.empty() ? kDefaultMaxRecords : strtoull(max_text.c_str(), nullptr, 10), responder};
    const int64_t wait_ms =
        std::min<int64_t>(kMaxWaitMs, strtoll(GetQueryValue(request.target, "wait_ms").c_str(), nullptr, 10));
    Stream& stream = GetStream(name);
    stream.store.Expire();
    if (wait_ms <= 0 || poll.from < GetEnd(stream)) {
      AnswerRead(stream, poll);
      return;
    }
    const uint64_t id = ++m_last_poll;
    responder->SetOnClosed([&stream, id] { stream.polls.erase(id); });
    stream.polls.emplace(id, std::move(poll));
    RunDetached(m_standin.GetLoop(), Milliseconds(wait_ms), [this, &stream, id] {
      const auto found = stream.polls.find(id);
      if (found == stream.polls.end()) return;
      const Poll expired = found->second;
      stream.polls.erase(found);
      AnswerRead(stream, expired);
    });
  }

  void AnswerRead(Stream& stream, const Poll& poll) {
    stream.store.Expire();
    ++m_reads;
    HttpResponse response;
    response.headers.Add("X-First-Offset", std::to_string(stream.store.GetFirstOffset()));
    if (poll.from < stream.store.GetFirstOffset()) {
      response.status = 410;
      response.headers.Add("Content-Type", "application/json");
      response.headers.Add("X-Next-Offset", std::to_string(GetEnd(stream)));
      response.body = R"({"error":{"type":"offset_expired"}})";
      poll.responder->Send(std::move(response));
      return;
    }
    uint64_t next = 0;
    response.body = stream.store.Read(poll.from, poll.max, GetEnd(stream), next);
    if (m_is_duplicating) response.body += std::string(response.body);
    response.headers.Add("X-Next-Offset", std::to_string(next));
    response.headers.Add("Content-Type", "application/octet-stream");
    poll.responder->Send(std::move(response));
  }

  void AnswerPolls(Stream& stream) {
    const uint64_t end = GetEnd(stream);
    for (auto it = stream.polls.begin(); it != stream.polls.end();) {
      if (it->second.from >= end) {
        ++it;
        continue;
      }
      const Poll poll = it->second;
      it = stream.polls.erase(it);
      AnswerRead(stream, poll);
    }
  }

  void FailPolls(Stream& stream) {
    const std::map<uint64_t, Poll> polls = std::move(stream.polls);
    stream.polls.clear();
    for (const auto& [id, poll] : polls) poll.responder->Send(MakeErrorResponse(503, "down"));
  }

  nlohmann::json GetStats() const {
    nlohmann::json stats = {{"appended", m_appended}, {"refused", m_refused}, {"reads", m_reads}};
    for (const auto& [name, stream] : m_streams) {
      stats["streams"][name] = {{"first", stream.store.GetFirstOffset()}, {"next", stream.store.GetNextOffset()}};
    }
    return stats;
  }

  HttpStandin& m_standin;
  const Clock& m_clock;
  int64_t m_retention_ms;
  TokenBucket m_append_limiter;
  uint64_t m_rewind = 0;
  bool m_is_duplicating = false;
  std::map<std::string, Stream> m_streams;
  uint64_t m_last_poll = 0;
  uint64_t m_appended = 0;
  uint64_t m_refused = 0;
  uint64_t m_reads = 0;
};

int Run(int argc, char** argv) {
  CommandLine command_line("standin-log", 9100, "Append-only log with streams, retention and an append rate limit.",
                           kExamples);
  int64_t retention_ms = 0;
  double max_appends_per_s = 400;
  command_line.GetDescription().add_options()("retention-ms",
                                              boost::program_options::value(&retention_ms)->default_value(retention_ms),
                                              "Retention time of records; 0 keeps them forever.")(
      "max-appends-per-s", boost::program_options::value(&max_appends_per_s)->default_value(max_appends_per_s),
      "Appends/s over all streams; more are answered with 429. 0 means no limit.");
  if (const auto exit_code = command_line.Parse(argc, argv)) return *exit_code;

  Loop loop;
  SystemClock clock;
  SeededRandom random(command_line.GetSeed());
  HttpStandin standin(loop, random);
  LogStandin log(standin, clock, retention_ms, max_appends_per_s);
  standin.SetControlHandler([&](const nlohmann::json& fields) { return log.Control(fields); });
  const absl::Status started = standin.Listen(
      command_line.GetAddress(), command_line.GetPort(), kMaxRecordBytes,
      [&](HttpRequest request, std::shared_ptr<HttpResponder> responder) { log.Handle(request, responder); });
  return RunUntilTerminated(loop, command_line.GetProgram(), started);
}

}  // namespace
}  // namespace plantain::standin

int main(int argc, char** argv) { return plantain::standin::Run(argc, argv); }
