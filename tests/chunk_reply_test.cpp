#include "chunk_reply.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <string>

#include "manifest_func.h"
#include "transfer.pb.h"

namespace plantain {
namespace {

// Guards against manual serialization that protobuf parses differently.
TEST_CASE("Protobuf parses a serialized chunk reply into the same fields") {
  CHECK(rc::check([](uint64_t id, const std::string& content) {
    // The sender is a protobuf string, whose parser rejects invalid UTF-8. VM ids come from JSON, so they are valid.
    const auto sender = *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
    const Digest digest = ComputeDigest(content);
    proto::TransferMessage message;
    RC_ASSERT(message.ParseFromString(FormatChunkReply(VmId(sender), id, digest, content)));
    RC_ASSERT(message.sender() == sender);
    RC_ASSERT(message.reply().id() == id);
    RC_ASSERT(message.reply().digest() == digest.Get());
    RC_ASSERT(message.reply().content() == content);
    RC_ASSERT(!message.reply().busy());
  }));
}

}  // namespace
}  // namespace plantain
