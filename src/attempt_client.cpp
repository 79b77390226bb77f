#include "attempt_client.h"

#include <utility>

#include "http_status.h"

namespace plantain {
namespace {

// Mask for the random first id of a process. The random start keeps late messages for attempts of an earlier process
// from matching a current attempt. The top bit stays clear and ids never wrap to zero.
constexpr uint64_t kIdMask = (1ULL << 62) - 1;

}  // namespace

std::string_view GetAttemptLossName(AttemptLoss loss) {
  switch (loss) {
    case AttemptLoss::kEndpointGone:
      return "endpoint_gone";
    case AttemptLoss::kProtocol:
      return "protocol";
  }
  return "unknown";
}

std::string_view GetMessageDropReasonName(MessageDropReason reason) {
  switch (reason) {
    case MessageDropReason::kUnreadable:
      return "unreadable";
    case MessageDropReason::kUnknownAttempt:
      return "unknown_attempt";
    case MessageDropReason::kWrongEndpoint:
      return "wrong_endpoint";
    case MessageDropReason::kDuplicateToken:
      return "duplicate_token";
    case MessageDropReason::kUnexpected:
      return "unexpected";
  }
  return "unknown";
}

AttemptClient::AttemptClient(const Clock& clock, Random& random, AttemptTransport& transport, AttemptObserver& observer,
                             AttemptOptions options)
    : m_clock(clock),
      m_transport(transport),
      m_observer(observer),
      m_options(options),
      m_next_id((random.GetBits() & kIdMask) + 1) {}

AttemptId AttemptClient::Start(const VmId& to, proto::AttemptStart start, AttemptListener& listener) {
  const AttemptId id = m_next_id;
  m_next_id = m_next_id.Next();
  start.set_attempt(id.Get());
  Attempt attempt;
  attempt.vm = to;
  attempt.listener = &listener;
  attempt.is_completion = start.has_completion();
  attempt.next_index = start.completion().resume_from();
  attempt.expected_manifest = Digest(start.completion().manifest());
  attempt.heard_at = m_loop_time.GetElapsed();
  proto::AttemptMessage message;
  *message.mutable_start() = std::move(start);
  if (!m_transport.Send(to, message.SerializeAsString())) return AttemptId();
  m_attempts.emplace(id, std::move(attempt));
  return id;
}

void AttemptClient::Cancel(AttemptId attempt) {
  const auto found = m_attempts.find(attempt);
  if (found == m_attempts.end()) return;
  const VmId vm = found->second.vm;
  m_attempts.erase(found);
  SendCancel(vm, attempt);
}

void AttemptClient::SendCancel(const VmId& vm, AttemptId id) {
  proto::AttemptMessage message;
  message.mutable_cancel()->set_attempt(id.Get());
  m_transport.Send(vm, message.SerializeAsString());
}

void AttemptClient::HandleMessage(const VmId& from, std::string_view bytes) {
  proto::AttemptMessage message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    m_observer.OnDropped(MessageDropReason::kUnreadable);
    return;
  }
  switch (message.body_case()) {
    case proto::AttemptMessage::kToken:
      return HandleToken(from, *message.mutable_token());
    case proto::AttemptMessage::kEnd:
      return HandleEnd(from, *message.mutable_end());
    case proto::AttemptMessage::kRefused:
      return HandleRefused(from, message.refused());
    case proto::AttemptMessage::kLeaving:
      return HandleLeaving(from, bytes);
    default:
      m_observer.OnDropped(MessageDropReason::kUnexpected);
  }
}

// The observer sends nothing more to the agent, so that the notice that goes back is the last on the connection.
void AttemptClient::HandleLeaving(const VmId& from, std::string_view notice) {
  m_observer.OnLeaving(from);
  m_transport.Send(from, notice);
}

// Returns the attempt with this id if the message came from the endpoint that runs it; otherwise discards the message
// and returns null.
AttemptClient::Attempt* AttemptClient::Find(const VmId& from, uint64_t id) {
  const auto found = m_attempts.find(AttemptId(id));
  if (found == m_attempts.end()) {
    m_observer.OnDropped(MessageDropReason::kUnknownAttempt);
    return nullptr;
  }
  if (found->second.vm != from) {
    m_observer.OnDropped(MessageDropReason::kWrongEndpoint);
    return nullptr;
  }
  found->second.heard_at = m_loop_time.GetElapsed();
  return &found->second;
}

void AttemptClient::HandleToken(const VmId& from, proto::AttemptToken& token) {
  Attempt* attempt = Find(from, token.attempt());
  if (attempt == nullptr) return;
  const AttemptId id(token.attempt());
  if (!attempt->is_completion) return ReportLost(id, AttemptLoss::kProtocol);
  if (token.index() < attempt->next_index) {
    m_observer.OnDropped(MessageDropReason::kDuplicateToken);
    return;
  }
  if (token.index() > attempt->next_index) return ReportLost(id, AttemptLoss::kProtocol);
  if (!AcceptManifest(*attempt, token.manifest())) return ReportLost(id, AttemptLoss::kProtocol);
  ++attempt->next_index;
  attempt->has_token = true;
  const Digest manifest = attempt->manifest;
  attempt->listener->OnToken(id, std::move(*token.mutable_text()), manifest);
}

// Checks that all tokens of an attempt come from the same weights, and from the requested ones if any were requested.
bool AttemptClient::AcceptManifest(Attempt& attempt, const std::string& manifest) {
  if (manifest.empty()) return !attempt.manifest.IsEmpty();
  if (!attempt.manifest.IsEmpty()) return attempt.manifest.Get() == manifest;
  if (!attempt.expected_manifest.IsEmpty() && attempt.expected_manifest.Get() != manifest) return false;
  attempt.manifest = Digest(manifest);
  return true;
}

void AttemptClient::HandleEnd(const VmId& from, proto::AttemptEnd& end) {
  EndAttempt(from, end);
  // Runs after the attempt is removed, since the reported load no longer includes it.
  ReportLoad(from, end.has_load(), end.load());
}

void AttemptClient::EndAttempt(const VmId& from, proto::AttemptEnd& end) {
  Attempt* attempt = Find(from, end.attempt());
  if (attempt == nullptr) return;
  const AttemptId id(end.attempt());
  // A count that differs from the tokens received means that tokens were lost in transit.
  if (attempt->is_completion && end.tokens() != attempt->next_index) return ReportLost(id, AttemptLoss::kProtocol);
  // Agents of earlier versions pass on whatever a service has sent. The end of a completion states no status.
  if (!attempt->is_completion && !IsHttpStatus(end.status())) return ReportLost(id, AttemptLoss::kProtocol);
  AttemptListener* listener = attempt->listener;
  m_attempts.erase(id);
  listener->OnEnd(id, static_cast<int>(end.status()), std::move(*end.mutable_body()));
}

void AttemptClient::HandleRefused(const VmId& from, const proto::AttemptRefused& refused) {
  ReportLoad(from, refused.has_load(), refused.load());
  const Attempt* attempt = Find(from, refused.attempt());
  if (attempt == nullptr) return;
  AttemptListener* listener = attempt->listener;
  // A refusal cannot be "not run" once tokens were received, so the flag from the agent is overridden.
  proto::AttemptRefused checked = refused;
  if (attempt->has_token) checked.set_not_run(false);
  m_attempts.erase(AttemptId(refused.attempt()));
  listener->OnRefused(AttemptId(refused.attempt()), checked);
}

void AttemptClient::ReportLoad(const VmId& vm, bool has_load, const proto::EndpointLoad& load) {
  if (has_load) m_observer.OnLoad(vm, {load.limit(), load.in_flight(), load.queued(), load.cold()});
}

void AttemptClient::ReportLost(AttemptId id, AttemptLoss loss) {
  const auto found = m_attempts.find(id);
  if (found == m_attempts.end()) return;
  const Attempt attempt = std::move(found->second);
  m_attempts.erase(found);
  SendCancel(attempt.vm, id);
  attempt.listener->OnLost(id, loss);
}

std::vector<AttemptId> AttemptClient::GetAttemptsAt(const VmId& vm) const {
  std::vector<AttemptId> ids;
  for (const auto& [id, attempt] : m_attempts) {
    if (attempt.vm == vm) ids.push_back(id);
  }
  return ids;
}

void AttemptClient::HandleEndpointGone(const VmId& vm) {
  for (const AttemptId id : GetAttemptsAt(vm)) ReportLost(id, AttemptLoss::kEndpointGone);
}

void AttemptClient::HandleEndpointSuspect(const VmId& vm) {
  for (const AttemptId id : GetAttemptsAt(vm)) ReportSilent(id);
}

// Does nothing for an attempt that has ended, which a listener may do to other attempts than its own.
void AttemptClient::ReportSilent(AttemptId id) {
  const auto found = m_attempts.find(id);
  if (found == m_attempts.end()) return;
  found->second.heard_at = m_loop_time.GetElapsed();
  found->second.listener->OnSilent(id);
}

void AttemptClient::CheckTimeouts() {
  m_loop_time.Update(m_clock.GetNow());
  std::vector<AttemptId> silent;
  for (const auto& [id, attempt] : m_attempts) {
    const Duration timeout = attempt.has_token ? m_options.silence_timeout : m_options.first_timeout;
    if (m_loop_time.GetElapsed() - attempt.heard_at > timeout) silent.push_back(id);
  }
  for (const AttemptId id : silent) ReportSilent(id);
}

}  // namespace plantain
