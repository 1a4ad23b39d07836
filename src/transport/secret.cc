/** @file secret.cc Keys, hashes and random numbers through OpenSSL. */
#include "transport/secret.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <boost/outcome/try.hpp>
#include <fstream>
#include <sstream>

namespace gv {
namespace {

constexpr size_t kMinKeyBytes = 16;
constexpr size_t kNonceBytes = 16;

std::string ToHex(const unsigned char* bytes, size_t size) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out;
  out.reserve(size * 2);
  for (size_t i = 0; i < size; ++i) {
    out.push_back(kDigits[bytes[i] >> 4]);
    out.push_back(kDigits[bytes[i] & 15]);
  }
  return out;
}

}  // namespace

Result<std::string> ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    return NotRun(Reason::kStorage, file + ": cannot be opened");
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

Result<std::string> ReadKeyFile(const std::string& file) {
  BOOST_OUTCOME_TRY(auto text, ReadFile(file));
  std::string key = text.substr(0, text.find_first_of("\r\n"));
  if (key.size() < kMinKeyBytes) {
    return NotRun(Reason::kBadRequest,
                  file + ": the key is shorter than 16 bytes");
  }
  return key;
}

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  return ToHex(digest.data(), size);
}

std::string HmacHex(std::string_view key, std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &size);
  return ToHex(digest.data(), size);
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string RandomHex() {
  std::array<unsigned char, kNonceBytes> bytes{};
  RAND_bytes(bytes.data(), kNonceBytes);
  return ToHex(bytes.data(), bytes.size());
}

}  // namespace gv
