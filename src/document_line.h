// Line numbers of the fields of a document, used to report faults that are found after parsing.

#ifndef PLANTAIN_DOCUMENT_LINE_H_
#define PLANTAIN_DOCUMENT_LINE_H_

#include <map>
#include <string>

#include "document_fault.h"
#include "document_type.h"

namespace plantain {

// Maps the path of a field, such as `placements[2].model`, to its line.
using DocumentLines = std::map<std::string, int>;

// As CheckDocument, with lines. Fields without a line are reported with line 0.
void CheckDocumentFields(const Document& document, const DocumentLines& lines, DocumentFaults& faults);

}  // namespace plantain

#endif  // PLANTAIN_DOCUMENT_LINE_H_
