#include "config_proof.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace plantain {
namespace {

const unsigned char* GetBytes(std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); }

void AppendNumber(uint64_t value, std::string& out) {
  for (int shift = 0; shift < 64; shift += 8) out += static_cast<char>((value >> shift) & 0xFF);
}

}  // namespace

std::string MakeConfigProof(std::string_view key, ConfigVersion version, LogOffset publish_offset,
                            const Digest& digest) {
  // The prefix separates domains: the proof is not valid for any other kind of message under the same key.
  std::string text = "plantainmast config 1\n";
  AppendNumber(version.Get(), text);
  AppendNumber(publish_offset.Get(), text);
  text += digest.Get();
  std::string proof(SHA256_DIGEST_LENGTH, '\0');
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), GetBytes(text), text.size(),
       reinterpret_cast<unsigned char*>(proof.data()), &length);
  return proof;
}

bool IsConfigProofValid(std::string_view key, const ConfigRefInfo& ref) {
  const std::string expected = MakeConfigProof(key, ref.version, ref.publish_offset, ref.digest);
  return ref.proof.size() == expected.size() && CRYPTO_memcmp(ref.proof.data(), expected.data(), expected.size()) == 0;
}

}  // namespace plantain
