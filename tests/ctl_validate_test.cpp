#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#include "ctl_type.h"
#include "fake_ctl_platform.h"
#include "wrong_documents.h"

namespace plantain {
namespace {

// Runs `plantainctl validate` on a text and returns its exit code; errors are written to `err`.
CtlExitCode Validate(const std::string& text, std::ostringstream& err) {
  const std::string path = "/tmp/plantainmast-validate-" + std::to_string(getpid()) + ".yaml";
  std::ofstream(path, std::ios::binary) << text;
  std::ostringstream out;
  const CtlExitCode exit_code = RunCtl({"validate", path}, {out, err},
                                       [](const CtlPlatformOptions&) -> absl::StatusOr<std::unique_ptr<CtlPlatform>> {
                                         return std::unique_ptr<CtlPlatform>(std::make_unique<FakeCtlPlatform>());
                                       });
  std::remove(path.c_str());
  return exit_code;
}

// Guards against invalid documents that pass validation or whose errors lack a location.
TEST_CASE("plantainctl validate exits with 2 and reports file, line and field of each error") {
  REQUIRE(GetWrongDocuments().size() >= 20);
  for (const WrongDocument& wrong : GetWrongDocuments()) {
    std::ostringstream err;
    INFO(wrong.to);
    CHECK(Validate(Replace(MakeText(), wrong.from, wrong.to), err) == CtlExitCode::kInvalid);
    // The table of documents uses the file name d.yaml.
    const std::string location = wrong.fault.substr(std::string("d.yaml").size());
    CHECK(err.str().find(".yaml" + location) != std::string::npos);
  }
  std::ostringstream err;
  CHECK(Validate(MakeText(), err) == CtlExitCode::kOk);
}

}  // namespace
}  // namespace plantain
