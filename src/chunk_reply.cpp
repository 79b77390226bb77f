#include "chunk_reply.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include "transfer.pb.h"

namespace plantain {
namespace {

using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedOutputStream;

// Longest encoding of a field's tag and length, in bytes.
constexpr size_t kMaxFieldHead = 20;

std::string FormatFieldHead(int number, size_t size) {
  uint8_t buffer[kMaxFieldHead];
  uint8_t* end = WireFormatLite::WriteTagToArray(number, WireFormatLite::WIRETYPE_LENGTH_DELIMITED, buffer);
  end = CodedOutputStream::WriteVarint64ToArray(size, end);
  return {reinterpret_cast<const char*>(buffer), static_cast<size_t>(end - buffer)};
}

}  // namespace

std::string FormatChunkReply(const VmId& sender, uint64_t id, const Digest& chunk, const std::string& content) {
  proto::TransferMessage message;
  message.set_sender(sender.Get());
  proto::ChunkReply reply;
  reply.set_id(id);
  reply.set_digest(chunk.Get());
  const std::string fields = reply.SerializeAsString();
  const std::string content_head = FormatFieldHead(proto::ChunkReply::kContentFieldNumber, content.size());
  const size_t reply_size = fields.size() + content_head.size() + content.size();
  std::string bytes;
  bytes.reserve(reply_size + message.sender().size() + 2 * kMaxFieldHead);
  message.AppendToString(&bytes);
  bytes += FormatFieldHead(proto::TransferMessage::kReplyFieldNumber, reply_size);
  bytes += fields;
  bytes += content_head;
  bytes += content;
  return bytes;
}

}  // namespace plantain
