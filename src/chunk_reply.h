// Serialization of chunk replies.

#ifndef PLANTAIN_CHUNK_REPLY_H_
#define PLANTAIN_CHUNK_REPLY_H_

#include <cstdint>
#include <string>

#include "core_type.h"

namespace plantain {

// Returns a serialized TransferMessage with a ChunkReply. Copies the content once, whereas protobuf's own serialization
// copies it into the message and again into the output.
std::string FormatChunkReply(const VmId& sender, uint64_t id, const Digest& chunk, const std::string& content);

}  // namespace plantain

#endif  // PLANTAIN_CHUNK_REPLY_H_
