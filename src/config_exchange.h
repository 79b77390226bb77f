// Interface through which the peer service reads the configuration and passes on versions received from peers.

#ifndef PLANTAIN_CONFIG_EXCHANGE_H_
#define PLANTAIN_CONFIG_EXCHANGE_H_

#include <optional>
#include <string_view>

#include "absl/status/status.h"
#include "config_proof.h"

namespace plantain {

// Used on the control thread only.
class ConfigExchange {
 public:
  virtual ~ConfigExchange() = default;

  // Returns the identity and proof of the document in force, or nullopt if there is none.
  virtual std::optional<ConfigRefInfo> GetConfigRef() const = 0;

  // Returns the text of the version in force or of a recent version, or an empty view if it is not stored.
  virtual std::string_view FindConfigText(ConfigVersion version) const = 0;

  // Processes a document received from a peer; see ActiveConfig::AdoptOffer.
  virtual absl::Status AdoptConfigOffer(const ConfigRefInfo& ref, std::string_view text) = 0;

  // Records that a message from a peer was received. Agents with peer contact read the log less often.
  virtual void RecordPeerContact() = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_CONFIG_EXCHANGE_H_
