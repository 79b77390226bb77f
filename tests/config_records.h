// Builds documents and records of log stream `config` for tests.

#ifndef PLANTAIN_TESTS_CONFIG_RECORDS_H_
#define PLANTAIN_TESTS_CONFIG_RECORDS_H_

#include <memory>
#include <string>

#include "config_fold.h"
#include "config_proof.h"
#include "document_func.h"
#include "manifest_func.h"
#include "record.pb.h"

namespace plantain {

// Returns a valid document. `mark` makes its text unique.
inline std::string MakeTestDocument(const std::string& mark) {
  return "schema: 1\ndeployment: test\norigin: {zone: praha}\nzones: [{name: praha, region: cechy}]\n# " + mark + "\n";
}

inline std::string MakeTestPublish(const std::string& id, uint64_t base_version, const std::string& document) {
  proto::ConfigRecord record;
  record.mutable_publish()->set_publish_id(id);
  record.mutable_publish()->set_base_version(base_version);
  record.mutable_publish()->set_author("test");
  record.mutable_publish()->set_document(document);
  return record.SerializeAsString();
}

inline std::shared_ptr<const ConfigView> MakeTestView(uint64_t version, uint64_t offset, const std::string& mark) {
  auto view = std::make_shared<ConfigView>();
  view->version = ConfigVersion(version);
  view->publish_offset = LogOffset(offset);
  view->text = MakeTestDocument(mark);
  view->digest = ComputeDigest(view->text);
  view->document = *ParseDocument("test", view->text);
  return view;
}

}  // namespace plantain

#endif  // PLANTAIN_TESTS_CONFIG_RECORDS_H_
