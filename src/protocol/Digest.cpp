#include "protocol/Digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>

namespace lychee {

namespace {

constexpr std::size_t randomBytes = 16;

std::string toHex(const unsigned char* bytes, std::size_t count)
{
    std::string text;
    text.reserve(count * 2);
    for (std::size_t i = 0; i < count; ++i)
        text += fmt::format("{:02x}", bytes[i]);
    return text;
}

const unsigned char* bytesOf(std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); }

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &length, EVP_sha256(), nullptr);
    return toHex(digest.data(), length);
}

std::string hmacSha256Hex(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytesOf(data), data.size(), digest.data(), &length);
    return toHex(digest.data(), length);
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomHex128()
{
    std::array<unsigned char, randomBytes> bytes{};
    // RAND_bytes fails only when the system has no source of randomness; nonces must not repeat, so that is fatal.
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        std::abort();
    return toHex(bytes.data(), bytes.size());
}

} // namespace lychee
