#include "attempt_server.h"

#include <utility>

namespace plantain {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(10);
// Far above the number of entries in any fleet; bounds memory when connections are opened and closed repeatedly.
constexpr size_t kMaxConnections = 4096;

// Time for the last replies to leave the process.
constexpr Duration kLinger = Milliseconds(500);
// Valid messages between entries and agents are always smaller; larger ones are rejected.
constexpr size_t kMaxMessageBytes = 4 * 1024 * 1024;

ChannelOptions MakeChannelOptions(Duration silence_timeout) {
  ChannelOptions options;
  options.max_message_bytes = kMaxMessageBytes;
  options.linger = kLinger;
  options.silence_timeout = silence_timeout;
  return options;
}

RunnerDeps WithSendCallback(RunnerDeps deps, ServerChannel& channel) {
  deps.send = [&channel](const ConnectionId& to, const proto::AttemptMessage& message) {
    return channel.Send(to, message.SerializeAsString());
  };
  return deps;
}

}  // namespace

AttemptServer::AttemptServer(Loop& traffic_loop, Loop& control_loop, ChannelContext& channels,
                             AttemptServerOptions options, RunnerDeps deps, DrainOnce drain_once)
    : m_traffic_loop(traffic_loop),
      m_control_loop(control_loop),
      m_clock(deps.clock),
      m_options(std::move(options)),
      m_admission(deps.admission),
      m_metrics(deps.metrics),
      m_drain_once(std::move(drain_once)),
      m_channel(traffic_loop, channels, MakeChannelOptions(m_options.silence_timeout),
                [this](const ConnectionId& from, std::string_view bytes) { OnMessage(from, bytes); }),
      m_runner(WithSendCallback(std::move(deps), m_channel)) {}

absl::Status AttemptServer::Start() {
  m_tick = m_traffic_loop.RunEvery(kTickPeriod, [this] { OnTick(); });
  return m_channel.Start(m_options.address, m_options.port);
}

void AttemptServer::Stop() { m_tick.reset(); }

void AttemptServer::OnMessage(const ConnectionId& from, std::string_view bytes) {
  proto::AttemptMessage message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    m_metrics.malformed.Increment();
    return;
  }
  if (m_connections.size() < kMaxConnections) m_connections.insert(from);
  if (m_is_leaving && !m_leave.IsNotified(from)) NotifyLeaving(from);
  if (message.has_leaving()) {
    m_leave.OnReply(from);
  } else if (message.has_start()) {
    m_runner.Begin(from, message.start());
  } else if (message.has_cancel()) {
    m_runner.Cancel({from, AttemptId(message.cancel().attempt())});
  } else {
    m_metrics.malformed.Increment();
  }
}

void AttemptServer::OnTick() {
  m_admission.Tick();
  m_runner.Tick();
  if (!m_on_drained) return;
  const TimePoint now = m_clock.GetNow();
  const bool is_late = now >= m_drain_deadline;
  const bool may_get_more = m_runner.GetInProgress() > 0 || !m_leave.IsComplete(now);
  if (may_get_more && !is_late) return;
  if (m_leave.GetWaiting() > 0) LogEvent(LogLevel::kWarn, "leave_not_confirmed", {{"entries", m_leave.GetWaiting()}});
  if (is_late) LogEvent(LogLevel::kWarn, "drain_limit_reached", {{"in_progress", m_runner.GetInProgress()}});
  FinishDrain();
}

void AttemptServer::BeginLeaving() {
  m_traffic_loop.Post([this] { AnnounceLeaving(); });
}

void AttemptServer::AnnounceLeaving() {
  if (m_is_leaving) return;
  m_is_leaving = true;
  LogEvent(LogLevel::kInfo, "leaving", {{"in_progress", m_runner.GetInProgress()}});
  m_runner.BeginLeaving();
  for (const ConnectionId& connection : m_connections) NotifyLeaving(connection);
}

void AttemptServer::NotifyLeaving(const ConnectionId& connection) {
  proto::AttemptMessage message;
  message.mutable_leaving();
  // Nothing can come on a connection that is closed.
  if (m_channel.Send(connection, message.SerializeAsString())) m_leave.OnNotified(connection, m_clock.GetNow());
}

void AttemptServer::BeginDrain(std::function<void()> done) {
  m_traffic_loop.Post([this, done = std::move(done)] {
    AnnounceLeaving();
    m_drain_deadline = m_clock.GetNow() + m_options.drain_limit;
    m_on_drained = done;
  });
}

// At-most-once calls are drained too, because the outcomes of the last calls must reach the log before the process
// exits.
void AttemptServer::FinishDrain() {
  const std::function<void()> done = std::exchange(m_on_drained, nullptr);
  m_control_loop.Post([this, done] {
    if (m_drain_once) {
      m_drain_once(done);
    } else {
      done();
    }
  });
}

}  // namespace plantain
