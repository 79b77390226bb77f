// Parsing, validation and lookup functions for the operators' document.

#ifndef PLANTAIN_DOCUMENT_FUNC_H_
#define PLANTAIN_DOCUMENT_FUNC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "document_type.h"

namespace plantain {

// Parses a document. Syntax errors, unknown fields, wrong types and values out of range are reported together, one per
// line in the form `file:line: field: expected ...`. The result depends only on the text, so that every process that
// folds the log accepts the same documents.
absl::StatusOr<Document> ParseDocument(std::string_view file, std::string_view text);

// Checks constraints between fields: references to unknown models, versions, pools or zones, the last zone out
// of service, and so on. ParseDocument calls it.
absl::Status CheckDocument(std::string_view file, const Document& document);

// Formats a document as YAML that ParseDocument parses to an equal document.
std::string FormatDocument(const Document& document);

// Returns the text with the `service` field of one zone changed. Comments and layout are preserved. Fails if the
// text has no such zone in block form or if the changed text is not a valid document.
absl::StatusOr<std::string> SetZoneServiceInText(std::string_view file, std::string_view text, const ZoneName& zone,
                                                 bool is_in_service);

// One set of weights that every VM of a pool must hold.
struct Assignment {
  ModelName model;
  // Empty for the base model.
  AdapterName adapter;
  VersionName version;
  Digest manifest;
  Bytes size;

  bool operator==(const Assignment&) const = default;
};

// Returns what the VMs of a pool must hold, the base model first. Empty if the pool has no placement.
std::vector<Assignment> GetAssignments(const Document& document, const PoolName& pool);

// Returns the zone's entry, or null.
const ZoneSpec* FindZone(const Document& document, const ZoneName& zone);

// Returns whether a zone accepts new work. False for a zone that the document does not list.
bool IsZoneInService(const Document& document, const ZoneName& zone);

const WorkspaceSpec* FindWorkspace(const Document& document, const WorkspaceName& workspace);
const ServiceSpec* FindService(const Document& document, const ServiceName& service);
const ServiceCallSpec* FindCall(const ServiceSpec& service, std::string_view call);

// Returns the placement that serves a model (and adapter, if not empty), or null.
const PlacementSpec* FindPlacement(const Document& document, const ModelName& model, const AdapterName& adapter);

}  // namespace plantain

#endif  // PLANTAIN_DOCUMENT_FUNC_H_
