// Options of TCP sockets that several modules set.

#ifndef PLANTAIN_SOCKET_OPTION_H_
#define PLANTAIN_SOCKET_OPTION_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace plantain {

// Time after which a connection is given up whose peer acknowledges nothing. Longer than a lost packet takes to be sent
// again, shorter than a caller waits.
inline constexpr unsigned kDeadPeerTimeoutMs = 3000;

// Makes the kernel close the connection when the peer is gone without a word. A failure leaves the kernel's default,
// which only notices later.
inline void SetDeadPeerTimeout(int socket) {
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kDeadPeerTimeoutMs, sizeof(kDeadPeerTimeoutMs));
}

}  // namespace plantain

#endif  // PLANTAIN_SOCKET_OPTION_H_
