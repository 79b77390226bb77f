// Findings about a valid document: entries without effect, limits that contradict each other, and differences from
// another document.

#ifndef PLANTAIN_DOCUMENT_REVIEW_H_
#define PLANTAIN_DOCUMENT_REVIEW_H_

#include <string>
#include <string_view>
#include <vector>

#include "document_line.h"

namespace plantain {

enum class FindingKind {
  // The document is not valid.
  kError,
  // An entry has no effect, because nothing refers to it or another entry takes its place.
  kUnused,
  // Two values cannot both take effect, or one cannot be met.
  kContradiction,
};

std::string_view GetFindingKindName(FindingKind kind);

struct DocumentFinding {
  FindingKind kind = FindingKind::kError;
  // 0 if the line is not known.
  int line = 0;
  std::string field;
  std::string text;
};

// Returns the findings about a valid document in the order of its lines.
std::vector<DocumentFinding> ReviewDocument(const Document& document, const DocumentLines& lines);

enum class DifferenceKind { kAdded, kRemoved, kChanged };

std::string_view GetDifferenceKindName(DifferenceKind kind);

struct DocumentDifference {
  DifferenceKind kind = DifferenceKind::kChanged;
  // Line in the new document, or in the old one if the field was removed.
  int line = 0;
  // Entries of a list are named by their names, such as `zones[praha].service`.
  std::string field;
  // Empty for a list or a map.
  std::string before;
  std::string after;
};

// Returns what differs between two documents. Comments, layout and the order of named entries do not count. A field
// that one document states and the other leaves at its default counts.
std::vector<DocumentDifference> CompareDocuments(const YamlNode& before, const YamlNode& after);

}  // namespace plantain

#endif  // PLANTAIN_DOCUMENT_REVIEW_H_
