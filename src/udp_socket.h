// UDP socket on a Loop.

#ifndef PLANTAIN_UDP_SOCKET_H_
#define PLANTAIN_UDP_SOCKET_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "http_type.h"
#include "loop.h"

namespace plantain {

// Must only be used on the loop's thread.
class UdpSocket {
 public:
  using OnDatagram = std::function<void(std::string_view data)>;

  UdpSocket(Loop& loop, IpAddress address, Port port, OnDatagram on_datagram);
  ~UdpSocket();

  // Binds and starts to receive. Fails with kAddressInUse.
  absl::Status Start();
  void Stop();

  // Sends one datagram; it may be lost.
  void Send(const HttpTarget& target, const std::string& data);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace plantain

#endif  // PLANTAIN_UDP_SOCKET_H_
