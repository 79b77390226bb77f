#include "active_config.h"

#include <utility>

#include "document_func.h"
#include "failure_type.h"
#include "manifest_func.h"

namespace plantain {
namespace {

// Number of previous versions kept as bases of deltas. A peer with an older version receives the full text.
constexpr size_t kMaxPrevious = 4;

}  // namespace

std::optional<ConfigRefInfo> ActiveConfig::GetRef() const {
  if (m_view == nullptr) return std::nullopt;
  ConfigRefInfo ref{m_view->version, m_view->publish_offset, m_view->digest, ""};
  ref.proof = MakeConfigProof(m_key, ref.version, ref.publish_offset, ref.digest);
  return ref;
}

bool ActiveConfig::AdoptFolded(const std::shared_ptr<const ConfigView>& view) {
  if (view == nullptr || view->version <= GetVersion()) return false;
  Adopt(view);
  return true;
}

absl::Status ActiveConfig::AdoptOffer(const ConfigRefInfo& ref, std::string_view text) {
  if (!IsConfigProofValid(m_key, ref))
    return MakeFailure(FailureCode::kProofInvalid, "configuration proof does not match version, offset and digest");
  if (ref.version <= GetVersion()) return absl::OkStatus();
  if (ComputeDigest(text) != ref.digest)
    return MakeFailure(FailureCode::kDigestMismatch, "configuration text does not match its digest");
  absl::StatusOr<Document> document = ParseDocument("peer", text);
  if (!document.ok()) return document.status();
  auto view = std::make_shared<ConfigView>();
  view->version = ref.version;
  view->publish_offset = ref.publish_offset;
  view->digest = ref.digest;
  view->text = std::string(text);
  view->document = *std::move(document);
  Adopt(std::move(view));
  return absl::OkStatus();
}

std::string_view ActiveConfig::FindText(ConfigVersion version) const {
  if (m_view != nullptr && m_view->version == version) return m_view->text;
  for (const auto& view : m_previous) {
    if (view->version == version) return view->text;
  }
  return {};
}

void ActiveConfig::Adopt(std::shared_ptr<const ConfigView> view) {
  if (m_view != nullptr) m_previous.push_front(std::move(m_view));
  if (m_previous.size() > kMaxPrevious) m_previous.pop_back();
  m_view = std::move(view);
}

}  // namespace plantain
