// Hash functions: xxHash for content identity and placement, SHA-256 for secrets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Tanagerbay::Common {

// Returns the 64-bit xxHash of a string.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

// Returns the 128-bit xxHash of a string as 32 hexadecimal digits.
std::string digestOf(std::string_view text);

// Returns the SHA-256 of a string as 64 hexadecimal digits. Used for API keys and operator tokens.
std::string secretDigestOf(std::string_view text);

// Returns the index of the candidate that rendezvous hashing assigns to a key.
// `candidates` must not be empty.
std::size_t rendezvousChoice(std::string_view key, const std::vector<std::string> &candidates);

} // namespace Tanagerbay::Common
