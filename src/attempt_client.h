// Entry side of the attempt protocol: sends attempts to agents, validates replies and dispatches them to listeners.

#ifndef PLANTAIN_ATTEMPT_CLIENT_H_
#define PLANTAIN_ATTEMPT_CLIENT_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "attempt.pb.h"
#include "clock.h"
#include "core_type.h"
#include "loop_time.h"
#include "random.h"
#include "route_choose.h"

namespace plantain {

// Sends messages to agents.
class AttemptTransport {
 public:
  virtual ~AttemptTransport() = default;

  // Queues a message. Returns false only if the message was definitely not sent.
  virtual bool Send(const VmId& to, std::string_view message) = 0;
};

// Why an attempt ended without a valid final reply from its agent. The request may have been executed.
enum class AttemptLoss { kEndpointGone, kProtocol };

// Returns the name used in metrics and events.
std::string_view GetAttemptLossName(AttemptLoss loss);

// Receives the replies of attempts. OnEnd, OnRefused and OnLost are final: no further call follows for that attempt.
class AttemptListener {
 public:
  virtual ~AttemptListener() = default;

  // Tokens are delivered in order, without gaps or duplicates, and with the same manifest for the whole attempt.
  virtual void OnToken(AttemptId attempt, std::string text, const Digest& manifest) = 0;
  virtual void OnEnd(AttemptId attempt, int status, std::string body) = 0;
  virtual void OnRefused(AttemptId attempt, const proto::AttemptRefused& refused) = 0;
  virtual void OnLost(AttemptId attempt, AttemptLoss loss) = 0;
  // Nothing has come for the attempt within its timeout. It goes on; called again after each further timeout.
  virtual void OnSilent(AttemptId attempt) = 0;
};

// Why a message from an agent was discarded.
enum class MessageDropReason { kUnreadable, kUnknownAttempt, kWrongEndpoint, kDuplicateToken, kUnexpected };

std::string_view GetMessageDropReasonName(MessageDropReason reason);

// Receives notifications of discarded messages and the state that endpoints report about themselves.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  virtual void OnDropped(MessageDropReason reason) = 0;
  virtual void OnLoad(const VmId& vm, const LoadReport& load) = 0;
  // No attempt may be started on the VM from now on, until it has restarted.
  virtual void OnLeaving(const VmId& vm) = 0;
};

struct AttemptOptions {
  // Time without the first token, or the response of a service call, after which an attempt is silent.
  Duration first_timeout = std::chrono::seconds(15);
  // The same between two messages once the first token has arrived.
  Duration silence_timeout = std::chrono::seconds(2);
};

// Tracks the attempts in flight on one traffic loop. Performs no I/O itself. Not thread-safe.
class AttemptClient {
 public:
  AttemptClient(const Clock& clock, Random& random, AttemptTransport& transport, AttemptObserver& observer,
                AttemptOptions options);

  // Assigns an id to the attempt, sends it and returns the id, or zero if it was definitely not sent.
  AttemptId Start(const VmId& to, proto::AttemptStart start, AttemptListener& listener);

  // Cancels an attempt and notifies its agent. Later messages for it are discarded.
  void Cancel(AttemptId attempt);

  // Processes one message from the agent on VM `from`.
  void HandleMessage(const VmId& from, std::string_view message);

  // Reports all attempts on a VM that was removed or has restarted as lost.
  void HandleEndpointGone(const VmId& vm);

  // Reports all attempts on a VM that is suspected to be down as silent. They go on: the VM may only be standing still,
  // or its heartbeats are lost on a path that its replies do not take.
  void HandleEndpointSuspect(const VmId& vm);

  // Reports attempts that exceeded a timeout as silent. Must be called periodically.
  void CheckTimeouts();

  size_t GetInFlight() const { return m_attempts.size(); }

 private:
  struct Attempt {
    VmId vm;
    AttemptListener* listener = nullptr;
    bool is_completion = false;
    uint32_t next_index = 0;
    Digest expected_manifest;
    Digest manifest;
    // Time of the loop at which the last message came, or the attempt was last reported as silent.
    Duration heard_at{};
    bool has_token = false;
  };

  Attempt* Find(const VmId& from, uint64_t id);
  void HandleLeaving(const VmId& from, std::string_view notice);
  void HandleToken(const VmId& from, proto::AttemptToken& token);
  void HandleEnd(const VmId& from, proto::AttemptEnd& end);
  void EndAttempt(const VmId& from, proto::AttemptEnd& end);
  void HandleRefused(const VmId& from, const proto::AttemptRefused& refused);
  bool AcceptManifest(Attempt& attempt, const std::string& manifest);
  std::vector<AttemptId> GetAttemptsAt(const VmId& vm) const;
  void ReportLost(AttemptId id, AttemptLoss loss);
  void ReportSilent(AttemptId id);
  void SendCancel(const VmId& vm, AttemptId id);
  void ReportLoad(const VmId& vm, bool has_load, const proto::EndpointLoad& load);

  const Clock& m_clock;
  AttemptTransport& m_transport;
  AttemptObserver& m_observer;
  const AttemptOptions m_options;
  // Advanced by CheckTimeouts. The silence of agents is measured on it.
  LoopTime m_loop_time;
  AttemptId m_next_id;
  std::unordered_map<AttemptId, Attempt> m_attempts;
};

}  // namespace plantain

#endif  // PLANTAIN_ATTEMPT_CLIENT_H_
