// TCP socket options that are shared by several modules.

#ifndef PLANTAIN_SOCKET_OPTION_H_
#define PLANTAIN_SOCKET_OPTION_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace plantain {

// Time without an acknowledgement after which a connection is closed. Longer than the retransmission of a lost packet
// takes, and shorter than callers wait.
inline constexpr unsigned kDeadPeerTimeoutMs = 3000;

// Makes the kernel close the connection if the peer vanished without closing it. If this fails the kernel's default
// remains, which only detects it later.
inline void SetDeadPeerTimeout(int socket) {
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kDeadPeerTimeoutMs, sizeof(kDeadPeerTimeoutMs));
}

}  // namespace plantain

#endif  // PLANTAIN_SOCKET_OPTION_H_
