#include "standin_base.h"

#include <iostream>

#include "caller_memory.h"
#include "clock.h"
#include "failure_type.h"

namespace plantain::standin {
namespace {

namespace options = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// Lets the handler execute the request, but closes the connection instead of sending the answer.
class DroppingResponder : public HttpResponder {
 public:
  explicit DroppingResponder(std::shared_ptr<HttpResponder> inner) : m_inner(std::move(inner)) {}

  void Send(HttpResponse) override { m_inner->Abort(); }
  void StartStream(int, const HttpHeaders&) override { m_inner->Abort(); }
  void SendChunk(std::string) override {}
  void EndStream() override {}
  void Abort() override { m_inner->Abort(); }
  void SetOnClosed(std::function<void()> callback) override { m_inner->SetOnClosed(std::move(callback)); }
  size_t GetUnsentBytes() const override { return 0; }

 private:
  std::shared_ptr<HttpResponder> m_inner;
};

}  // namespace

CommandLine::CommandLine(std::string program, uint16_t default_port, std::string summary, std::string examples)
    : m_program(std::move(program)),
      m_summary(std::move(summary)),
      m_examples(std::move(examples)),
      m_port(default_port),
      m_description("Options") {
  m_description.add_options()("help,h", "Show this help and exit.")(
      "address", options::value(&m_address)->default_value(m_address), "IP address to listen on.")(
      "port", options::value(&m_port)->default_value(m_port), "TCP port to listen on.")(
      "seed", options::value(&m_seed)->default_value(m_seed), "Seed of random choices.");
}

std::optional<int> CommandLine::Parse(int argc, char** argv) {
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, m_description), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << m_program << ": " << error.what() << "\n" << m_description;
    return kExitUsage;
  }
  if (values.count("help") == 0) return std::nullopt;
  std::cout << "Usage: " << m_program << " [options]\n" << m_summary << "\n\n" << m_description;
  std::cout << "\nExamples:\n" << m_examples;
  return kExitOk;
}

void RunDetached(Loop& loop, Duration delay, std::function<void()> task) {
  const auto holder = std::make_shared<std::unique_ptr<Timer>>();
  *holder = loop.RunAfter(delay, [holder, task = std::move(task)] {
    const std::unique_ptr<Timer> timer = std::move(*holder);
    task();
  });
}

HttpResponse MakeErrorResponse(int status, const std::string& type) {
  return MakeJsonResponse(status, R"({"error":{"type":")" + type + R"("}})");
}

absl::Status HttpStandin::Listen(const IpAddress& address, Port port, size_t max_body_bytes, HttpHandler handler) {
  m_handler = std::move(handler);
  // Stand-ins hold what tests make them hold.
  static const SystemClock clock;
  const auto memory = std::make_shared<CallerMemory>(clock, CallerMemoryLimits());
  m_server = std::make_unique<HttpServer>(m_loop, memory, address, port, max_body_bytes,
                                          [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                                            Handle(std::move(request), std::move(responder));
                                          });
  return m_server->Start();
}

void HttpStandin::Handle(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  const std::string_view path = GetPath(request.target);
  if (path == "/control") {
    responder->Send(AnswerControl(request));
    return;
  }
  if (path == "/stats" || path == "/ledger") {
    m_handler(std::move(request), std::move(responder));
    return;
  }
  if (m_faults.delay_ms > 0) {
    auto shared_request = std::make_shared<HttpRequest>(std::move(request));
    RunDetached(m_loop, Milliseconds(m_faults.delay_ms),
                [this, shared_request, responder] { Dispatch(std::move(*shared_request), responder); });
    return;
  }
  Dispatch(std::move(request), std::move(responder));
}

void HttpStandin::Dispatch(HttpRequest request, std::shared_ptr<HttpResponder> responder) {
  if (m_faults.is_stalled) {
    m_stalled_requests.push_back({std::move(request), std::move(responder)});
    return;
  }
  if (m_faults.is_down) {
    responder->Send(MakeErrorResponse(503, "down"));
    return;
  }
  if (ShouldInject(m_faults.lose_answer_share)) responder = std::make_shared<DroppingResponder>(std::move(responder));
  m_handler(std::move(request), std::move(responder));
}

HttpResponse HttpStandin::AnswerControl(const HttpRequest& request) {
  const nlohmann::json fields = nlohmann::json::parse(request.body, nullptr, false);
  if (request.method != "POST" || !fields.is_object()) return MakeErrorResponse(400, "bad_control");
  try {
    const absl::Status status = ApplyControl(fields);
    if (!status.ok()) {
      nlohmann::json body;
      body["error"]["type"] = "bad_control";
      body["error"]["text"] = GetFailureText(status);
      return MakeJsonResponse(400, body.dump());
    }
  } catch (const nlohmann::json::exception& error) {
    nlohmann::json body;
    body["error"]["type"] = "bad_control";
    body["error"]["text"] = error.what();
    return MakeJsonResponse(400, body.dump());
  }
  return MakeJsonResponse(200, "{}");
}

absl::Status HttpStandin::ApplyControl(const nlohmann::json& fields) {
  Faults faults = m_faults;
  faults.is_down = fields.value("down", faults.is_down);
  faults.is_stalled = fields.value("stall", faults.is_stalled);
  faults.delay_ms = fields.value("delay_ms", faults.delay_ms);
  faults.lose_answer_share = fields.value("lose_answer_share", faults.lose_answer_share);
  const bool is_stall_over = m_faults.is_stalled && !faults.is_stalled;
  m_faults = faults;
  absl::Status status = absl::OkStatus();
  if (m_control_handler) status = m_control_handler(fields);
  if (is_stall_over) DispatchStalled();
  return status;
}

void HttpStandin::DispatchStalled() {
  std::vector<StalledRequest> stalled_requests = std::move(m_stalled_requests);
  m_stalled_requests.clear();
  for (StalledRequest& stalled : stalled_requests) Dispatch(std::move(stalled.request), std::move(stalled.responder));
}

int RunUntilTerminated(Loop& loop, const std::string& program, const absl::Status& started) {
  if (!started.ok()) {
    std::cerr << program << ": " << GetFailureText(started) << "\n";
    return kExitFailed;
  }
  loop.OnTermination([&loop] { loop.Stop(); });
  loop.Run();
  return kExitOk;
}

}  // namespace plantain::standin
