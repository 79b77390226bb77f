#include "content_key.h"

#include "hex_text.h"
#include "manifest_func.h"

namespace plantain {
namespace {

// Enough to exclude collisions; beacons carry keys.
constexpr size_t kKeyBytes = 16;
// Longest id of a prompt part that is kept as it is.
constexpr size_t kMaxIdBytes = 32;

// Appends a field with its length, so that different fields never give the same text.
void AppendField(std::string_view field, std::string& text) {
  text += std::to_string(field.size());
  text += ':';
  text += field;
}

}  // namespace

ContentKey MakeRequestKey(const WorkspaceName& workspace, std::string_view host, const HttpRequest& request) {
  std::string text;
  AppendField(workspace.Get(), text);
  AppendField(request.method, text);
  AppendField(host, text);
  AppendField(request.target, text);
  AppendField(ComputeDigest(request.body).Get(), text);
  return {ContentKind::kRequest, FormatHex(ComputeDigest(text).Get().substr(0, kKeyBytes))};
}

ContentKey MakePartKey(std::string_view id) {
  if (id.size() <= kMaxIdBytes) return {ContentKind::kPromptPart, std::string(id)};
  return {ContentKind::kPromptPart, FormatHex(ComputeDigest(id).Get().substr(0, kKeyBytes))};
}

std::string_view GetContentKindName(ContentKind kind) {
  return kind == ContentKind::kRequest ? "request" : "prompt_part";
}

}  // namespace plantain
