// Keys of what requests have in common, by which the ends of endpoints are related to each other.

#ifndef PLANTAIN_CONTENT_KEY_H_
#define PLANTAIN_CONTENT_KEY_H_

#include <compare>
#include <string>
#include <string_view>

#include "fleet_type.h"
#include "http_type.h"

namespace plantain {

// What a key stands for.
enum class ContentKind {
  // Part of a prompt, which different requests share.
  kPromptPart,
  // A whole request: its caller's workspace, method, host, target and body.
  kRequest,
};

// Key of some content. Equal contents have equal keys.
struct ContentKey {
  ContentKind kind = ContentKind::kPromptPart;
  // The id of a prompt part as callers send it, or the digest of a request in hex.
  std::string id;

  auto operator<=>(const ContentKey&) const = default;
};

// Returns the key of a whole request. It is a cryptographic digest that includes the workspace, so that no caller can
// make a request with the key of another caller's request.
ContentKey MakeRequestKey(const WorkspaceName& workspace, std::string_view host, const HttpRequest& request);

// Returns the key of a prompt part. A long id is replaced by its digest.
ContentKey MakePartKey(std::string_view id);

// Returns the name of a kind that logs use.
std::string_view GetContentKindName(ContentKind kind);

}  // namespace plantain

#endif  // PLANTAIN_CONTENT_KEY_H_
