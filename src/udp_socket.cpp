#include "udp_socket.h"

#include "loop_asio.h"

#include <array>
#include <boost/asio/ip/udp.hpp>

#include "failure_type.h"

namespace plantain {
namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;
using ErrorCode = boost::system::error_code;

constexpr size_t kMaxDatagramBytes = 8 * 1024;

}  // namespace

struct UdpSocket::Impl : std::enable_shared_from_this<UdpSocket::Impl> {
  Impl(asio::io_context& context, IpAddress address_in, Port port_in, OnDatagram on_datagram_in)
      : socket(context), address(std::move(address_in)), port(port_in), on_datagram(std::move(on_datagram_in)) {}

  void Receive() {
    socket.async_receive_from(asio::buffer(buffer), sender, [self = shared_from_this()](ErrorCode error, size_t size) {
      if (self->is_stopped || error == asio::error::operation_aborted) return;
      // Other errors report that an earlier datagram was not delivered, which is expected.
      if (!error) self->on_datagram(std::string_view(self->buffer.data(), size));
      self->Receive();
    });
  }

  udp::socket socket;
  IpAddress address;
  Port port;
  OnDatagram on_datagram;
  udp::endpoint sender;
  std::array<char, kMaxDatagramBytes> buffer;
  bool is_stopped = false;
};

UdpSocket::UdpSocket(Loop& loop, IpAddress address, Port port, OnDatagram on_datagram)
    : m_impl(std::make_shared<Impl>(loop.GetImpl().context, std::move(address), port, std::move(on_datagram))) {}

UdpSocket::~UdpSocket() { Stop(); }

absl::Status UdpSocket::Start() {
  ErrorCode error;
  const auto address = asio::ip::make_address(m_impl->address.Get(), error);
  if (!error) m_impl->socket.open(udp::v4(), error);
  if (!error) m_impl->socket.bind(udp::endpoint(address, m_impl->port.Get()), error);
  if (!error) m_impl->socket.non_blocking(true, error);
  if (error) {
    return MakeFailure(FailureCode::kAddressInUse,
                       m_impl->address.Get() + ":" + std::to_string(m_impl->port.Get()) + "/udp: " + error.message());
  }
  m_impl->Receive();
  return absl::OkStatus();
}

void UdpSocket::Stop() {
  m_impl->is_stopped = true;
  ErrorCode ignored;
  m_impl->socket.close(ignored);
}

void UdpSocket::Send(const HttpTarget& target, const std::string& data) {
  ErrorCode error;
  const auto address = asio::ip::make_address(target.address.Get(), error);
  if (error) return;
  // If the buffer is full the datagram is lost, as it may be in the network.
  m_impl->socket.send_to(asio::buffer(data), udp::endpoint(address, target.port.Get()), 0, error);
}

}  // namespace plantain
