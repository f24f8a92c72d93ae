#include "Common/Hash.h"

#include <array>
#include <cassert>

#include <openssl/evp.h>
#include <xxhash.h>

namespace Tanagerbay::Common {

namespace {

std::string toHex(const unsigned char *bytes, std::size_t count)
{
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string text;
    text.reserve(count * 2);
    for (std::size_t i = 0; i < count; ++i) {
        text.push_back(kDigits[bytes[i] >> 4]);
        text.push_back(kDigits[bytes[i] & 0xf]);
    }
    return text;
}

} // namespace

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string digestOf(std::string_view text)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(text.data(), text.size()));
    return toHex(canonical.digest, sizeof(canonical.digest));
}

std::string secretDigestOf(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes;
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), bytes.data(), &length, EVP_sha256(), nullptr);
    return toHex(bytes.data(), length);
}

std::size_t rendezvousChoice(std::string_view key, const std::vector<std::string> &candidates)
{
    assert(!candidates.empty());
    const std::uint64_t seed = hash64(key);
    std::size_t best = 0;
    std::uint64_t bestScore = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::uint64_t score = hash64(candidates[i], seed);
        if (i == 0 || score > bestScore) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

} // namespace Tanagerbay::Common
