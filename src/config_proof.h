// Authenticates a configuration document and its position in the log.

#ifndef PLANTAIN_CONFIG_PROOF_H_
#define PLANTAIN_CONFIG_PROOF_H_

#include <string>
#include <string_view>

#include "core_type.h"

namespace plantain {

// Identifies an accepted document. The proof authenticates the other fields with the fleet key.
struct ConfigRefInfo {
  ConfigVersion version;
  LogOffset publish_offset;
  Digest digest;
  std::string proof;
};

// Returns the HMAC-SHA-256 of version, offset and digest, keyed with the fleet key.
std::string MakeConfigProof(std::string_view key, ConfigVersion version, LogOffset publish_offset,
                            const Digest& digest);

// Returns whether the proof matches the other fields. The comparison takes constant time.
bool IsConfigProofValid(std::string_view key, const ConfigRefInfo& ref);

}  // namespace plantain

#endif  // PLANTAIN_CONFIG_PROOF_H_
