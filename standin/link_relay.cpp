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
  void Begin(tcp::socket& source, tcp::socket& sink, std::function<void(bool)> on_over) {
    m_source = &source;
    m_sink = &sink;
    m_on_over = std::move(on_over);
    Read();
  }

  // Resumes forwarding after a partition has been healed.
  void Resume() {
    Read();
    Deliver();
  }

  void Stop() {
    m_is_over = true;
    m_timer.cancel();
    m_on_over = nullptr;
  }

 private:
  struct Piece {
    std::string bytes;
    TimePoint arrives_at;
  };

  bool IsCut() const { return m_network.IsCut(m_direction.zones.first, m_direction.zones.second); }

  void Read() {
    if (m_is_over || m_is_reading || m_is_ended || m_on_way >= kWindowBytes || IsCut()) return;
    m_is_reading = true;
    m_source->async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const ErrorCode& error, size_t size) {
      self->OnRead(error, size);
    });
  }

  void OnRead(const ErrorCode& error, size_t size) {
    m_is_reading = false;
    if (m_is_over) return;
    if (error && error != asio::error::eof) {
      Finish(false);
      return;
    }
    m_is_ended = error == asio::error::eof;
    const TimePoint arrives_at = m_clock.GetNow() + m_network.Transmit(m_direction, size);
    m_on_way += size;
    m_pieces.push_back({std::string(m_buffer.data(), size), arrives_at});
    Deliver();
    Read();
  }

  void Deliver() {
    if (m_is_over || m_is_writing || m_pieces.empty() || IsCut()) return;
    const TimePoint arrives_at = m_pieces.front().arrives_at;
    if (m_clock.GetNow() < arrives_at) {
      if (m_is_waiting) return;
      m_is_waiting = true;
      m_timer.expires_at(arrives_at);
      m_timer.async_wait([self = shared_from_this()](const ErrorCode& error) {
        self->m_is_waiting = false;
        if (!error) self->Deliver();
      });
      return;
    }
    Write();
  }

  // Writes all segments that are due in one call.
  void Write() {
    m_writing.clear();
    const TimePoint now = m_clock.GetNow();
    while (!m_pieces.empty() && m_pieces.front().arrives_at <= now) {
      m_writing += m_pieces.front().bytes;
      m_pieces.pop_front();
    }
    if (m_writing.empty()) {
      OnWritten({});
      return;
    }
    m_is_writing = true;
    asio::async_write(*m_sink, asio::buffer(m_writing), [self = shared_from_this()](const ErrorCode& error, size_t) {
      self->m_is_writing = false;
      self->OnWritten(error);
    });
  }

  void OnWritten(const ErrorCode& error) {
    if (m_is_over) return;
    if (error) {
      Finish(false);
      return;
    }
    m_on_way -= m_writing.size();
    if (m_is_ended && m_pieces.empty()) {
      ErrorCode ignored;
      m_sink->shutdown(tcp::socket::shutdown_send, ignored);
      Finish(true);
      return;
    }
    Deliver();
    Read();
  }

  void Finish(bool is_clean) {
    m_is_over = true;
    m_timer.cancel();
    const auto on_over = std::move(m_on_over);
    m_on_over = nullptr;
    if (on_over) on_over(is_clean);
  }

  const Clock& m_clock;
  LinkNetwork& m_network;
  const LinkNetwork::Direction m_direction;
  asio::steady_timer m_timer;
  tcp::socket* m_source = nullptr;
  tcp::socket* m_sink = nullptr;
  std::function<void(bool)> m_on_over;
  std::array<char, kReadBytes> m_buffer;
  std::deque<Piece> m_pieces;
  std::string m_writing;
  size_t m_on_way = 0;
  bool m_is_reading = false;
  bool m_is_writing = false;
  bool m_is_waiting = false;
  bool m_is_ended = false;
  bool m_is_over = false;
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
  RelayConnection(LinkRelays::Impl& relays, RelaySpec spec, tcp::socket near)
      : m_relays(relays),
        m_spec(std::move(spec)),
        m_near(std::move(near)),
        m_far(relays.context),
        m_timer(relays.context),
        m_there(std::make_shared<Pipe>(relays.context, relays.clock, relays.network, GetDirection(m_spec, true))),
        m_back(std::make_shared<Pipe>(relays.context, relays.clock, relays.network, GetDirection(m_spec, false))) {}

  // Connects to the target after the simulated handshake time. Waits while the zones are cut off.
  void Begin() {
    if (m_has_begun || m_relays.network.IsCut(m_spec.from_zone, m_spec.to_zone)) return;
    m_has_begun = true;
    m_relays.network.CountConnection({m_spec.from_zone, m_spec.to_zone});
    m_timer.expires_after(2 * m_relays.network.Transmit(GetDirection(m_spec, true), 0));
    m_timer.async_wait([self = shared_from_this()](const ErrorCode& error) {
      if (!error) self->Connect();
    });
  }

  void Close() {
    const auto self = shared_from_this();
    m_timer.cancel();
    m_there->Stop();
    m_back->Stop();
    ErrorCode ignored;
    m_near.close(ignored);
    m_far.close(ignored);
    m_relays.connections.erase(self);
  }

  bool IsBetween(const std::string& one, const std::string& other) const {
    return (m_spec.from_zone == one && m_spec.to_zone == other) || (m_spec.from_zone == other && m_spec.to_zone == one);
  }

  // Closes both sockets with a TCP reset instead of an orderly shutdown.
  void Reset() {
    ErrorCode ignored;
    m_near.set_option(asio::socket_base::linger(true, 0), ignored);
    m_far.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  void Resume() {
    if (!m_has_begun) {
      Begin();
    } else if (m_is_connected) {
      m_there->Resume();
      m_back->Resume();
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
    m_far.async_connect(tcp::endpoint(address, m_spec.target_port),
                        [self = shared_from_this()](const ErrorCode& connect_error) {
                          if (connect_error) {
                            self->Close();
                          } else {
                            self->Carry();
                          }
                        });
  }

  void Carry() {
    m_is_connected = true;
    ErrorCode ignored;
    m_near.set_option(tcp::no_delay(true), ignored);
    m_far.set_option(tcp::no_delay(true), ignored);
    const auto on_over = [self = shared_from_this()](bool is_clean) { self->OnPipeOver(is_clean); };
    m_there->Begin(m_near, m_far, on_over);
    m_back->Begin(m_far, m_near, on_over);
  }

  void OnPipeOver(bool is_clean) {
    ++m_pipes_over;
    if (!is_clean || m_pipes_over == 2) Close();
  }

  LinkRelays::Impl& m_relays;
  const RelaySpec m_spec;
  tcp::socket m_near;
  tcp::socket m_far;
  asio::steady_timer m_timer;
  std::shared_ptr<Pipe> m_there;
  std::shared_ptr<Pipe> m_back;
  int m_pipes_over = 0;
  bool m_has_begun = false;
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
      connection->Begin();
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

void LinkRelays::Reset(const std::string& one, const std::string& other) {
  const auto connections = m_impl->connections;
  for (const auto& connection : connections) {
    if (connection->IsBetween(one, other)) connection->Reset();
  }
}

}  // namespace plantain::standin
