#include "http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <vector>

#include "clock.h"
#include "event_log.h"
#include "failure_type.h"
#include "http_session_asio.h"
#include "socket_option.h"

namespace plantain {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr int kListenBacklog = 1024;
// Resolution of the time limits on connections.
constexpr Duration kSweepPeriod = Milliseconds(250);
// Time until connections are accepted again after the process had no descriptor left for one. Waiting for the socket
// that listens would return at once.
constexpr Duration kAcceptRetryDelay = Milliseconds(50);

bool IsOutOfDescriptors(const ErrorCode& error) {
  return error == asio::error::no_descriptors || error == boost::system::errc::too_many_files_open_in_system;
}

bool HasTimeLimits(const HttpLimits& limits) {
  return limits.header_timeout > Duration::zero() || limits.idle_timeout > Duration::zero();
}

}  // namespace

void HttpServer::Impl::StartSweep() {
  if (is_sweeping) return;
  is_sweeping = true;
  SweepLater();
}

void HttpServer::Impl::SweepLater() {
  sweep_timer.expires_after(kSweepPeriod);
  sweep_timer.async_wait([weak = weak_from_this()](const ErrorCode& error) {
    const auto self = weak.lock();
    if (error || self == nullptr) return;
    self->Sweep();
    self->is_sweeping = HasTimeLimits(self->limits) || self->lingering > 0;
    if (self->is_sweeping) self->SweepLater();
  });
}

void HttpServer::Impl::Sweep() {
  const TimePoint now = GetMonotonicTime();
  // A session that closes may leave the set.
  const std::vector<HttpSession*> all(sessions.begin(), sessions.end());
  size_t closed = 0;
  for (HttpSession* session : all) {
    if (sessions.contains(session) && session->CheckTime(now)) ++closed;
  }
  if (closed == 0) return;
  LogEvent(
      LogLevel::kInfo, "idle_connections_closed",
      {{"connections", closed}, {"idle_limit_ms", ToMilliseconds(limits.idle_timeout)}, {"left", sessions.size()}});
}

void HttpServer::Impl::WaitForConnections() {
  acceptor.async_wait(tcp::acceptor::wait_read, [self = shared_from_this()](const ErrorCode& error) {
    if (error || !self->acceptor.is_open()) return;
    if (self->AcceptWaiting()) {
      self->WaitForConnections();
    } else {
      self->AcceptLater();
    }
  });
}

void HttpServer::Impl::AcceptLater() {
  accept_timer.expires_after(kAcceptRetryDelay);
  accept_timer.async_wait([weak = weak_from_this()](const ErrorCode& error) {
    const auto self = weak.lock();
    if (error || self == nullptr || !self->acceptor.is_open()) return;
    self->WaitForConnections();
  });
}

bool HttpServer::Impl::AcceptWaiting() {
  while (acceptor.is_open()) {
    ErrorCode error;
    tcp::socket socket = acceptor.accept(error);
    if (error == asio::error::connection_aborted) continue;
    if (error == asio::error::would_block) return true;
    if (error) {
      if (IsOutOfDescriptors(error) && memory->ShedConnection()) continue;
      return false;
    }
    // Closes the new connection if there is no room for it.
    if (!memory->AdmitConnection()) continue;
    ErrorCode ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    SetDeadPeerTimeout(socket.native_handle());
    std::make_shared<HttpSession>(std::move(socket), shared_from_this())->Start();
  }
  return true;
}

void HttpServer::Impl::ShedExcessSoon() {
  if (is_shed_posted || !memory->IsOver()) return;
  is_shed_posted = true;
  asio::post(context, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->is_shed_posted = false;
    self->memory->ShedExcess();
  });
}

HttpServer::HttpServer(Loop& loop, std::shared_ptr<CallerMemory> memory, IpAddress address, Port port,
                       size_t max_body_bytes, HttpHandler handler)
    : m_impl(std::make_shared<Impl>(loop, std::move(memory), std::move(address), port, max_body_bytes,
                                    std::move(handler))) {}

HttpServer::~HttpServer() {
  ErrorCode ignored;
  m_impl->acceptor.close(ignored);
  m_impl->sweep_timer.cancel();
  m_impl->accept_timer.cancel();
}

absl::Status HttpServer::Start() {
  ErrorCode error;
  tcp::acceptor& acceptor = m_impl->acceptor;
  const auto address = asio::ip::make_address(m_impl->address.Get(), error);
  const std::string name = m_impl->address.Get() + ":" + std::to_string(m_impl->port.Get());
  if (error) return MakeFailure(FailureCode::kSettingInvalid, name + ": expected an IP address");
  const tcp::endpoint endpoint(address, m_impl->port.Get());
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.set_option(ReusePort(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(kListenBacklog, error);
  if (!error) acceptor.non_blocking(true, error);
  if (error) return MakeFailure(FailureCode::kAddressInUse, name + ": " + error.message());
  m_impl->WaitForConnections();
  if (HasTimeLimits(m_impl->limits)) m_impl->StartSweep();
  return absl::OkStatus();
}

void HttpServer::SetLimits(const HttpLimits& limits) {
  m_impl->limits = limits;
  m_impl->memory->SetLargestRequest(limits.max_header_bytes, limits.max_body_bytes);
  if (m_impl->acceptor.is_open() && HasTimeLimits(limits)) m_impl->StartSweep();
}

void HttpServer::CloseIdle(TimePoint now) {
  const std::vector<HttpSession*> all(m_impl->sessions.begin(), m_impl->sessions.end());
  for (HttpSession* session : all) {
    if (m_impl->sessions.contains(session)) session->CloseIfIdle(now);
  }
}

void HttpServer::CloseAfterAnswers() { m_impl->is_keeping_alive = false; }

void HttpServer::StopAccepting() {
  m_impl->is_keeping_alive = false;
  // Connections that wait in the backlog would be reset.
  m_impl->AcceptWaiting();
  ErrorCode ignored;
  m_impl->acceptor.close(ignored);
}

size_t HttpServer::GetInFlight() const { return m_impl->in_flight; }

size_t HttpServer::GetConnectionCount() const { return m_impl->sessions.size(); }

size_t HttpServer::CountUnread() const {
  return static_cast<size_t>(std::count_if(m_impl->sessions.begin(), m_impl->sessions.end(),
                                           [](const HttpSession* session) { return session->HasUnread(); }));
}

}  // namespace plantain
