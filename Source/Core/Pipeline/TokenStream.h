// The token stream of one generation as delivered to the caller. It may span several engines and
// connections.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Tanagerbay::Pipeline {

enum class TokenVerdict {
    // The next token in order; it must be delivered.
    Deliver,
    // A token that was taken before; it must be dropped.
    Duplicate,
    // A token whose predecessors are missing. The stream is broken and must be continued by a new
    // call.
    Gap,
};

struct TokenStream
{
    // Tokens that were delivered, or skipped because the caller already has them.
    std::vector<std::string> tokens;
    // Number of tokens that the caller already had when this stream began.
    std::uint64_t callerTokenCount = 0;

    std::uint64_t count() const
    {
        return this->tokens.size();
    }
};

// Classifies a token from an engine, and appends it if the verdict is `Deliver`.
TokenVerdict takeToken(TokenStream &stream, std::uint64_t offset, std::string_view token);

// Returns true if the caller does not have the token at this offset yet, so that it must be sent.
bool callerNeedsToken(const TokenStream &stream, std::uint64_t offset);

// Returns the digest of all tokens in order, which the terminal event carries.
std::string streamDigest(const std::vector<std::string> &tokens);

enum class EndVerdict { Complete, Truncated };

// Checks the token count and digest of an engine's terminal event against the tokens that were
// taken.
EndVerdict verifyEnd(const TokenStream &stream, std::uint64_t tokenCount, std::string_view digest);

} // namespace Tanagerbay::Pipeline
