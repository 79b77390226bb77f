// JSON encoding of the engine's status and of the orders sent to it.

#ifndef PLANTAIN_ENGINE_REPORT_H_
#define PLANTAIN_ENGINE_REPORT_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "gate_type.h"

namespace plantain {

// Maximum length of an engine's status, and of its answer to an order, in JSON.
inline constexpr size_t kMaxEngineStatusBytes = 1024 * 1024;

// Engine status and contents of its staging area.
struct EngineReport {
  // Sequence number of the status read, in the order in which the reads were started.
  uint64_t sequence = 0;
  EngineStatus status;
  // Manifest of the staged weights; empty if nothing is staged.
  Digest staged_manifest;
  // Bitmap of staged chunks by chunk index, least significant bit first.
  std::string staged_bits;
  // The only manifest that may be staged, because the engine may still take an order to load it; empty if there is no
  // such order.
  Digest reserved_manifest;
};

enum class EngineOrderKind { kLoad, kUnload };

// Order to the engine to load or unload one set of weights.
struct EngineOrder {
  EngineOrderKind kind = EngineOrderKind::kLoad;
  ModelName model;
  AdapterName adapter;
  Digest manifest;
  FencingToken fence;
};

// Parses the body of a `GET /status` response. Fails with kProtocol.
absl::StatusOr<EngineReport> ParseEngineReport(std::string_view json);

// Builds the body of a `POST /orders` request.
std::string FormatEngineOrder(const EngineOrder& order);

}  // namespace plantain

#endif  // PLANTAIN_ENGINE_REPORT_H_
