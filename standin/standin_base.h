// Common parts of all stand-ins: command line, HTTP server, and fault injection by `POST /control`.

#ifndef PLANTAIN_STANDIN_BASE_H_
#define PLANTAIN_STANDIN_BASE_H_

#include <boost/program_options.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "http_server.h"
#include "loop.h"
#include "random.h"

namespace plantain::standin {

// Command line of a stand-in: `--help`, `--address`, `--port`, `--seed` and program-specific options.
class CommandLine {
 public:
  CommandLine(std::string program, uint16_t default_port, std::string summary, std::string examples);

  boost::program_options::options_description& GetDescription() { return m_description; }

  // Returns an exit code if the process should exit immediately, for example after `--help`.
  std::optional<int> Parse(int argc, char** argv);

  IpAddress GetAddress() const { return IpAddress(m_address); }
  Port GetPort() const { return Port(m_port); }
  uint64_t GetSeed() const { return m_seed; }
  const std::string& GetProgram() const { return m_program; }

 private:
  std::string m_program;
  std::string m_summary;
  std::string m_examples;
  std::string m_address = "127.0.0.1";
  uint16_t m_port;
  uint64_t m_seed = 1;
  boost::program_options::options_description m_description;
};

// Faults that every HTTP stand-in can inject.
struct Faults {
  // Every request is answered with 503.
  bool is_down = false;
  // Requests are held without an answer until the stall ends.
  bool is_stalled = false;
  int64_t delay_ms = 0;
  // Share of requests that are executed, but whose connection is closed without an answer.
  double lose_answer_share = 0;
};

// Runs `task` after `delay`. Unlike with a Timer, the caller holds no handle and cannot cancel it.
void RunDetached(Loop& loop, Duration delay, std::function<void()> task);

// Makes an answer with the JSON body `{"error":{"type":...}}`.
HttpResponse MakeErrorResponse(int status, const std::string& type);

// Serves one HTTP port, injects the common faults and passes requests to the program's handler. `/control`, `/stats`
// and `/ledger` are exempt from faults, because tests use them while faults are set.
class HttpStandin {
 public:
  using ControlHandler = std::function<absl::Status(const nlohmann::json&)>;

  HttpStandin(Loop& loop, Random& random) : m_loop(loop), m_random(random) {}

  // Sets the handler for the program-specific fields of `POST /control`.
  void SetControlHandler(ControlHandler handler) { m_control_handler = std::move(handler); }

  absl::Status Listen(const IpAddress& address, Port port, size_t max_body_bytes, HttpHandler handler);

  const Faults& GetFaults() const { return m_faults; }
  Loop& GetLoop() { return m_loop; }

  // Returns true with the probability `share`.
  bool ShouldInject(double share) { return share > 0 && m_random.GetUnit() < share; }

 private:
  struct StalledRequest {
    HttpRequest request;
    std::shared_ptr<HttpResponder> responder;
  };

  void Handle(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void Dispatch(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  HttpResponse AnswerControl(const HttpRequest& request);
  absl::Status ApplyControl(const nlohmann::json& fields);
  void DispatchStalled();

  Loop& m_loop;
  Random& m_random;
  Faults m_faults;
  ControlHandler m_control_handler;
  HttpHandler m_handler;
  std::vector<StalledRequest> m_stalled_requests;
  std::unique_ptr<HttpServer> m_server;
};

// Runs `loop` until SIGTERM. Returns the process's exit code.
int RunUntilTerminated(Loop& loop, const std::string& program, const absl::Status& started);

}  // namespace plantain::standin

#endif  // PLANTAIN_STANDIN_BASE_H_
