// Stores the configuration document in force in one process, received from the log or from a peer. Performs no I/O.

#ifndef PLANTAIN_ACTIVE_CONFIG_H_
#define PLANTAIN_ACTIVE_CONFIG_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "config_proof.h"
#include "config_type.h"

namespace plantain {

// Only adopts documents with a higher version than the one in force.
class ActiveConfig {
 public:
  explicit ActiveConfig(std::string key) : m_key(std::move(key)) {}

  const std::shared_ptr<const ConfigView>& GetView() const { return m_view; }
  ConfigVersion GetVersion() const { return m_view == nullptr ? ConfigVersion(0) : m_view->version; }

  // Returns the identity and proof of the document in force, or nullopt if there is none.
  std::optional<ConfigRefInfo> GetRef() const;

  // Adopts a document that this process folded from the log if its version is higher. Returns whether it was adopted.
  bool AdoptFolded(const std::shared_ptr<const ConfigView>& view);

  // Adopts a document received from a peer. Fails with kProofInvalid, kDigestMismatch or the parser's error. Returns OK
  // without any change if the version is not higher than the one in force.
  absl::Status AdoptOffer(const ConfigRefInfo& ref, std::string_view text);

  // Returns the text of the version in force or of a recent version, or an empty view if it is not stored.
  std::string_view FindText(ConfigVersion version) const;

 private:
  void Adopt(std::shared_ptr<const ConfigView> view);

  const std::string m_key;
  std::shared_ptr<const ConfigView> m_view;
  // Previous versions, newest first. They are the bases of the deltas sent to peers.
  std::deque<std::shared_ptr<const ConfigView>> m_previous;
};

}  // namespace plantain

#endif  // PLANTAIN_ACTIVE_CONFIG_H_
