// Stand-in for a plain service whose calls have side effects.

#include <map>

#include "clock.h"
#include "standin_base.h"
#include "token_text.h"

namespace plantain::standin {
namespace {

constexpr char kExamples[] =
    "  standin-service --address 127.0.1.9 --call-ms 5\n"
    "  curl -X POST -H 'X-Call-Key: seal-17' -d '{\"bed\":3}' 127.0.1.9:9000/calls/seal\n"
    "  curl 127.0.1.9:9000/ledger\n"
    "  curl -X POST -d '{\"lose_answer_share\":0.2}' 127.0.1.9:9000/control\n";
constexpr size_t kMaxBodyBytes = 1024 * 1024;

// Executes calls and counts the executions of each key.
class ServiceStandin {
 public:
  ServiceStandin(Loop& loop, const Clock& clock, int64_t call_ms) : m_loop(loop), m_clock(clock), m_call_ms(call_ms) {}

  void Handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    const std::vector<std::string> parts = SplitPath(GetPath(request.target));
    if (parts.size() == 2 && parts[0] == "calls" && request.method == "POST") {
      Execute(parts[1], request, responder);
    } else if (parts.size() == 1 && parts[0] == "ledger") {
      responder->Send(MakeJsonResponse(200, GetLedger().dump()));
    } else if (parts.size() == 1 && parts[0] == "status") {
      responder->Send(MakeJsonResponse(200, R"({"state":"warm"})"));
    } else if (parts.size() == 1 && parts[0] == "stats") {
      responder->Send(MakeJsonResponse(200, GetStats().dump()));
    } else {
      responder->Send(MakeErrorResponse(404, "not_found"));
    }
  }

  absl::Status Control(const nlohmann::json& fields) {
    m_call_ms = fields.value("call_ms", m_call_ms);
    if (fields.contains("no_work_after_ms")) {
      const int64_t after_ms = fields["no_work_after_ms"].get<int64_t>();
      m_no_work_after.reset();
      if (after_ms >= 0) m_no_work_after = m_clock.GetNow() + Milliseconds(after_ms);
    }
    return absl::OkStatus();
  }

 private:
  // The call takes effect on arrival, so a caller that gives up cannot cancel it.
  void Execute(const std::string& call, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    const std::string key(request.headers.Find("X-Call-Key"));
    ++m_executed;
    if (m_no_work_after.has_value() && m_clock.GetNow() > *m_no_work_after) ++m_late_admissions;
    if (++m_ledger[{call, key}] > 1 && !key.empty()) ++m_repeated;
    HttpResponse response = MakeJsonResponse(200, MakeServiceAnswer(call, request.body));
    if (m_call_ms <= 0) {
      responder->Send(std::move(response));
      return;
    }
    RunDetached(m_loop, Milliseconds(m_call_ms), [responder, response] { responder->Send(response); });
  }

  nlohmann::json GetLedger() const {
    nlohmann::json calls = nlohmann::json::array();
    for (const auto& [id, count] : m_ledger) {
      calls.push_back({{"call", id.first}, {"key", id.second}, {"count", count}});
    }
    return {{"calls", std::move(calls)}};
  }

  nlohmann::json GetStats() const {
    return {{"started", m_executed},
            {"late_admissions", m_late_admissions},
            {"keys", m_ledger.size()},
            {"repeated", m_repeated}};
  }

  Loop& m_loop;
  const Clock& m_clock;
  int64_t m_call_ms;
  std::map<std::pair<std::string, std::string>, uint64_t> m_ledger;
  uint64_t m_executed = 0;
  // Executions of a key after its first.
  uint64_t m_repeated = 0;
  // Calls that arrive after this time count as late admissions.
  std::optional<TimePoint> m_no_work_after;
  uint64_t m_late_admissions = 0;
};

int Run(int argc, char** argv) {
  CommandLine command_line("standin-service", 9000, "Plain service that keeps a ledger of executed calls.", kExamples);
  int64_t call_ms = 2;
  command_line.GetDescription().add_options()("call-ms",
                                              boost::program_options::value(&call_ms)->default_value(call_ms),
                                              "Time between the execution of a call and its answer.");
  if (const auto exit_code = command_line.Parse(argc, argv)) return *exit_code;

  Loop loop;
  SeededRandom random(command_line.GetSeed());
  HttpStandin standin(loop, random);
  SystemClock clock;
  ServiceStandin service(loop, clock, call_ms);
  standin.SetControlHandler([&](const nlohmann::json& fields) { return service.Control(fields); });
  const absl::Status started = standin.Listen(
      command_line.GetAddress(), command_line.GetPort(), kMaxBodyBytes,
      [&](HttpRequest request, std::shared_ptr<HttpResponder> responder) { service.Handle(request, responder); });
  return RunUntilTerminated(loop, command_line.GetProgram(), started);
}

}  // namespace
}  // namespace plantain::standin

int main(int argc, char** argv) { return plantain::standin::Run(argc, argv); }
