// Computes digests; parses and validates manifests.

#ifndef PLANTAIN_MANIFEST_FUNC_H_
#define PLANTAIN_MANIFEST_FUNC_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "manifest_type.h"

namespace plantain {

// Returns the SHA-256 of the bytes.
Digest ComputeDigest(std::string_view content);

// Returns the digest in lower-case hexadecimal.
std::string FormatDigest(const Digest& digest);

// Parses a digest of 64 hexadecimal digits. Returns nothing for any other text.
std::optional<Digest> ParseDigest(std::string_view hex);

// Parses the canonical bytes of a manifest and validates its digest, counts, sizes and totals. Fails with
// kDigestMismatch or kManifestInvalid.
absl::StatusOr<std::shared_ptr<const Manifest>> ParseManifest(const Digest& expected, std::string_view content);

// Returns the canonical bytes of a manifest of the given chunk contents. Used by tests and benchmarks.
std::string MakeManifest(const ModelName& model, const AdapterName& adapter, const VersionName& version,
                         const std::vector<std::string>& chunks);

// Packs flags into bytes, least significant bit first.
std::string PackBits(const std::vector<bool>& bits);

// Unpacks `count` flags. Flags beyond the end of `bytes` are false.
std::vector<bool> UnpackBits(std::string_view bytes, size_t count);

}  // namespace plantain

#endif  // PLANTAIN_MANIFEST_FUNC_H_
