// Loopback addresses for tests that listen on a fixed port.

#ifndef PLANTAIN_TESTS_LOOPBACK_ADDRESS_H_
#define PLANTAIN_TESTS_LOOPBACK_ADDRESS_H_

#include <unistd.h>

#include <string>

#include "core_type.h"

namespace plantain {

// Returns a loopback address that no other running process gets for the same `network`. HttpServer listens with
// SO_REUSEPORT, so that two test processes with one address would take each other's connections.
inline IpAddress MakeLoopbackAddress(int network) {
  constexpr int kByteValues = 256;
  const auto pid = static_cast<int>(getpid());
  return IpAddress("127." + std::to_string(network) + "." + std::to_string(pid / kByteValues % kByteValues) + "." +
                   std::to_string(pid % kByteValues));
}

}  // namespace plantain

#endif  // PLANTAIN_TESTS_LOOPBACK_ADDRESS_H_
