// The configuration in force and the interface through which other modules read it.

#ifndef PLANTAIN_CONFIG_TYPE_H_
#define PLANTAIN_CONFIG_TYPE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core_type.h"
#include "document_type.h"

namespace plantain {

// An accepted document and its position in the log. Immutable.
struct ConfigView {
  ConfigVersion version;
  LogOffset publish_offset;
  // SHA-256 of the text.
  Digest digest;
  std::string text;
  Document document;
  // Time at which the log accepted the publish, by the log's clock. Set only if this process read it from the log.
  std::optional<WallTime> accepted_at;
  // Time from which VMs load the assigned weights without waiting for their turn in the rollout.
  std::optional<TimePoint> load_deadline;
  // Weights that the slot of the first assignment gets next; empty if unknown. They are fetched into memory while the
  // currently assigned weights are being loaded.
  Digest next_manifest;
};

// Provides the configuration in force.
class ConfigSource {
 public:
  virtual ~ConfigSource() = default;

  // Returns the view in force, or null if none is known. Thread-safe.
  virtual std::shared_ptr<const ConfigView> GetConfig() const = 0;

  // Calls `listener` on the control thread after each change. Must be called before Start.
  virtual void AddConfigListener(std::function<void(const std::shared_ptr<const ConfigView>&)> listener) = 0;

  // Returns whether the last read of the platform's log succeeded. Thread-safe.
  virtual bool IsLogReachable() const = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_CONFIG_TYPE_H_
