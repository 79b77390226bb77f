#include "link_relay.h"

#include "loop_asio.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>

#include "failure_type.h"

namespace plantain::standin {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr size_t kReadBytes = 16 * 1024;
// Maximum number of bytes in transit in one direction of a connection, like a TCP window.
constexpr size_t kWindowBytes = 128 * 1024;

LinkNetwork::Direction GetDirection(const RelaySpec& spec, bool is_forward) {
  if (is_forward) return {{spec.from_zone, spec.to_zone}, {spec.from_region, spec.to_region}, spec.delay};
  return {{spec.to_zone, spec.from_zone}, {spec.to_region, spec.from_region}, spec.delay};
}

}  // namespace

// Forwards one direction of a connection.
class Pipe : public std::enable_shared_from_this<Pipe> {
 public:
  Pipe(asio::io_context& context, const Clock& clock, LinkNetwork& network, LinkNetwork::Direction direction)
      : m_clock(clock), m_network(network), m_direction(std::move(direction)), m_timer(context) {}

  // `on_over` runs once: with true after an orderly end of the stream, with false after a failure.
  void Start(tcp::socket& source, tcp::socket& sink, std::function<void(bool)> on_closed) {
    m_source = &source;
    m_sink = &sink;
    m_on_closed = std::move(on_closed);
    Read();
  }

  // Resumes forwarding after a partition has been healed.
  void Resume() {
    Read();
    Deliver();
  }

  void Stop() {
    m_is_closed = true;
    m_timer.cancel();
    m_on_closed = nullptr;
  }

 private:
  struct Segment {
    std::string bytes;
    TimePoint arrives_at;
  };

  bool IsCut() const { return m_network.IsCut(m_direction.zones.first, m_direction.zones.second); }

  void Read() {
    if (m_is_closed || m_is_reading || m_is_eof || m_bytes_in_transit >= kWindowBytes || IsCut()) return;
    m_is_reading = true;
    m_source->async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const ErrorCode& error, size_t size) {
      self->OnRead(error, size);
    });
  }

  void OnRead(const ErrorCode& error, size_t size) {
    m_is_reading = false;
    if (m_is_closed) return;
    if (error && error != asio::error::eof) {
      Finish(false);
      return;
    }
    m_is_eof = error == asio::error::eof;
    const TimePoint arrives_at = m_clock.GetNow() + m_network.Transmit(m_direction, size);
    m_bytes_in_transit += size;
    m_segments.push_back({std::string(m_buffer.data(), size), arrives_at});
    Deliver();
    Read();
  }

  void Deliver() {
    if (m_is_closed || m_is_writing || m_segments.empty() || IsCut()) return;
    const TimePoint arrives_at = m_segments.front().arrives_at;
    if (m_clock.GetNow() < arrives_at) {
      if (m_is_timer_set) return;
      m_is_timer_set = true;
      m_timer.expires_at(arrives_at);
      m_timer.async_wait([self = shared_from_this()](const ErrorCode& error) {
        self->m_is_timer_set = false;
        if (!error) self->Deliver();
      });
      return;
    }
    Write();
  }

  // Writes all segments that are due in one call.
  void Write() {
    m_write_buffer.clear();
    const TimePoint now = m_clock.GetNow();
    while (!m_segments.empty() && m_segments.front().arrives_at <= now) {
      m_write_buffer += m_segments.front().bytes;
      m_segments.pop_front();
    }
    if (m_write_buffer.empty()) {
      OnWritten({});
      return;
    }
    m_is_writing = true;
    asio::async_write(*m_sink, asio::buffer(m_write_buffer),
                      [self = shared_from_this()](const ErrorCode& error, size_t) {
                        self->m_is_writing = false;
                        self->OnWritten(error);
                      });
  }

  void OnWritten(const ErrorCode& error) {
    if (m_is_closed) return;
    if (error) {
      Finish(false);
      return;
    }
    m_bytes_in_transit -= m_write_buffer.size();
    if (m_is_eof && m_segments.empty()) {
      ErrorCode ignored;
      m_sink->shutdown(tcp::socket::shutdown_send, ignored);
      Finish(true);
      return;
    }
    Deliver();
    Read();
  }

  void Finish(bool is_clean) {
    m_is_closed = true;
    m_timer.cancel();
    const auto on_closed = std::move(m_on_closed);
    m_on_closed = nullptr;
    if (on_closed) on_closed(is_clean);
  }

  const Clock& m_clock;
  LinkNetwork& m_network;
  const LinkNetwork::Direction m_direction;
  asio::steady_timer m_timer;
  tcp::socket* m_source = nullptr;
  tcp::socket* m_sink = nullptr;
  std::function<void(bool)> m_on_closed;
  std::array<char, kReadBytes> m_buffer;
  std::deque<Segment> m_segments;
  std::string m_write_buffer;
  size_t m_bytes_in_transit = 0;
  bool m_is_reading = false;
  bool m_is_writing = false;
  bool m_is_timer_set = false;
  bool m_is_eof = false;
  bool m_is_closed = false;
};

class RelayConnection;

struct LinkRelays::Impl {
  Impl(asio::io_context& context_in, const Clock& clock_in, LinkNetwork& network_in)
      : context(context_in), clock(clock_in), network(network_in) {}

  asio::io_context& context;
  const Clock& clock;
  LinkNetwork& network;
  std::vector<std::shared_ptr<tcp::acceptor>> acceptors;
  std::set<std::shared_ptr<RelayConnection>> connections;
};

// An accepted connection and its connection to the target.
class RelayConnection : public std::enable_shared_from_this<RelayConnection> {
 public:
  RelayConnection(LinkRelays::Impl& relays, RelaySpec spec, tcp::socket client_socket)
      : m_relays(relays),
        m_spec(std::move(spec)),
        m_client_socket(std::move(client_socket)),
        m_target_socket(relays.context),
        m_timer(relays.context),
        m_forward_pipe(
            std::make_shared<Pipe>(relays.context, relays.clock, relays.network, GetDirection(m_spec, true))),
        m_backward_pipe(
            std::make_shared<Pipe>(relays.context, relays.clock, relays.network, GetDirection(m_spec, false))) {}

  // Connects to the target after the simulated handshake time. Waits while the zones are cut off.
  void Start() {
    if (m_is_started || m_relays.network.IsCut(m_spec.from_zone, m_spec.to_zone)) return;
    m_is_started = true;
    m_relays.network.CountConnection({m_spec.from_zone, m_spec.to_zone});
    m_timer.expires_after(2 * m_relays.network.Transmit(GetDirection(m_spec, true), 0));
    m_timer.async_wait([self = shared_from_this()](const ErrorCode& error) {
      if (!error) self->Connect();
    });
  }

  void Close() {
    const auto self = shared_from_this();
    m_timer.cancel();
    m_forward_pipe->Stop();
    m_backward_pipe->Stop();
    ErrorCode ignored;
    m_client_socket.close(ignored);
    m_target_socket.close(ignored);
    m_relays.connections.erase(self);
  }

  bool IsBetween(const std::string& zone_a, const std::string& zone_b) const {
    return (m_spec.from_zone == zone_a && m_spec.to_zone == zone_b) ||
           (m_spec.from_zone == zone_b && m_spec.to_zone == zone_a);
  }

  // Closes both sockets with a TCP reset instead of an orderly shutdown.
  void Reset() {
    ErrorCode ignored;
    m_client_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_target_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  void Resume() {
    if (!m_is_started) {
      Start();
    } else if (m_is_connected) {
      m_forward_pipe->Resume();
      m_backward_pipe->Resume();
    }
  }

 private:
  void Connect() {
    ErrorCode error;
    const auto address = asio::ip::make_address(m_spec.target_address, error);
    if (error) {
      Close();
      return;
    }
    m_target_socket.async_connect(tcp::endpoint(address, m_spec.target_port),
                                  [self = shared_from_this()](const ErrorCode& connect_error) {
                                    if (connect_error) {
                                      self->Close();
                                    } else {
                                      self->StartPipes();
                                    }
                                  });
  }

  void StartPipes() {
    m_is_connected = true;
    ErrorCode ignored;
    m_client_socket.set_option(tcp::no_delay(true), ignored);
    m_target_socket.set_option(tcp::no_delay(true), ignored);
    const auto on_closed = [self = shared_from_this()](bool is_clean) { self->OnPipeClosed(is_clean); };
    m_forward_pipe->Start(m_client_socket, m_target_socket, on_closed);
    m_backward_pipe->Start(m_target_socket, m_client_socket, on_closed);
  }

  void OnPipeClosed(bool is_clean) {
    ++m_closed_pipes;
    if (!is_clean || m_closed_pipes == 2) Close();
  }

  LinkRelays::Impl& m_relays;
  const RelaySpec m_spec;
  tcp::socket m_client_socket;
  tcp::socket m_target_socket;
  asio::steady_timer m_timer;
  std::shared_ptr<Pipe> m_forward_pipe;
  std::shared_ptr<Pipe> m_backward_pipe;
  int m_closed_pipes = 0;
  bool m_is_started = false;
  bool m_is_connected = false;
};

namespace {

void Accept(const std::shared_ptr<LinkRelays::Impl>& relays, const std::shared_ptr<tcp::acceptor>& acceptor,
            const RelaySpec& spec) {
  acceptor->async_accept([relays, acceptor, spec](const ErrorCode& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      const auto connection = std::make_shared<RelayConnection>(*relays, spec, std::move(socket));
      relays->connections.insert(connection);
      connection->Start();
    }
    Accept(relays, acceptor, spec);
  });
}

}  // namespace

LinkRelays::LinkRelays(Loop& loop, const Clock& clock, LinkNetwork& network)
    : m_impl(std::make_shared<Impl>(loop.GetImpl().context, clock, network)) {}

LinkRelays::~LinkRelays() {
  const auto connections = m_impl->connections;
  for (const auto& connection : connections) connection->Close();
}

absl::Status LinkRelays::Add(const RelaySpec& spec) {
  const std::string name = spec.listen_address + ":" + std::to_string(spec.listen_port);
  ErrorCode error;
  const auto address = asio::ip::make_address(spec.listen_address, error);
  if (error) return MakeFailure(FailureCode::kSettingInvalid, name + ": expected an IP address");
  const tcp::endpoint endpoint(address, spec.listen_port);
  const auto acceptor = std::make_shared<tcp::acceptor>(m_impl->context);
  acceptor->open(endpoint.protocol(), error);
  if (!error) acceptor->set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor->bind(endpoint, error);
  if (!error) acceptor->listen(asio::socket_base::max_listen_connections, error);
  if (error) return MakeFailure(FailureCode::kAddressInUse, name + ": " + error.message());
  m_impl->acceptors.push_back(acceptor);
  Accept(m_impl, acceptor, spec);
  return absl::OkStatus();
}

void LinkRelays::Resume() {
  const auto connections = m_impl->connections;
  for (const auto& connection : connections) connection->Resume();
}

void LinkRelays::Reset(const std::string& zone_a, const std::string& zone_b) {
  const auto connections = m_impl->connections;
  for (const auto& connection : connections) {
    if (connection->IsBetween(zone_a, zone_b)) connection->Reset();
  }
}

}  // namespace plantain::standin
