// Line numbers of the fields of a document, used to report faults that are found after parsing.

#ifndef PLANTAIN_DOCUMENT_LINE_H_
#define PLANTAIN_DOCUMENT_LINE_H_

#include <map>
#include <string>
#include <string_view>

#include "document_fault.h"
#include "document_type.h"
#include "yaml_tree.h"

namespace plantain {

// Maps the path of a field, such as `placements[2].model`, to its line.
using DocumentLines = std::map<std::string, int>;

// As CheckDocument, with lines. Fields without a line are reported with line 0.
void CheckDocumentFields(const Document& document, const DocumentLines& lines, DocumentFaults& faults);

// As ParseDocument, with the tree and lines of the text. The result is a valid document only if no fault was added.
// `tree` stays empty if the text is not YAML.
Document ParseDocumentWithLines(std::string_view text, YamlNode& tree, DocumentLines& lines, DocumentFaults& faults);

}  // namespace plantain

#endif  // PLANTAIN_DOCUMENT_LINE_H_
