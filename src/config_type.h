// The configuration in force, as other modules see it.

#ifndef PLANTAIN_CONFIG_TYPE_H_
#define PLANTAIN_CONFIG_TYPE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core_type.h"
#include "document_type.h"

namespace plantain {

// One accepted document and its place in the log. Immutable.
struct ConfigView {
  ConfigVersion version;
  LogOffset publish_offset;
  // SHA-256 of the text.
  Digest digest;
  std::string text;
  Document document;
  // When the log accepted the publish, by the log's clock; known only to processes that read it there.
  std::optional<WallTime> accepted_at;
  // From then on VMs load the weights that the document places without waiting for their turn.
  std::optional<TimePoint> load_deadline;
  // Weights that will be placed next in the slot of the first assignment; empty if none are known. They are fetched
  // into memory while the placed ones are being loaded.
  Digest next_manifest;
};

// Gives access to the configuration in force.
class ConfigSource {
 public:
  virtual ~ConfigSource() = default;

  // Returns the view in force, or null while none is known. Safe from any thread.
  virtual std::shared_ptr<const ConfigView> GetConfig() const = 0;

  // Calls `listener` on the control thread after each change. Register before Start.
  virtual void AddConfigListener(std::function<void(const std::shared_ptr<const ConfigView>&)> listener) = 0;

  // Whether the platform's log answered the last read. Safe from any thread.
  virtual bool IsLogReachable() const = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_CONFIG_TYPE_H_
