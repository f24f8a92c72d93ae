#include "Pipeline/TokenStream.h"

#include "Common/Hash.h"

namespace Tanagerbay::Pipeline {

TokenVerdict takeToken(TokenStream &stream, std::uint64_t offset, std::string_view token)
{
    if (offset < stream.count())
        return TokenVerdict::Duplicate;
    if (offset > stream.count())
        return TokenVerdict::Gap;
    stream.tokens.emplace_back(token);
    return TokenVerdict::Deliver;
}

bool callerNeedsToken(const TokenStream &stream, std::uint64_t offset)
{
    return offset >= stream.callerTokenCount;
}

std::string streamDigest(const std::vector<std::string> &tokens)
{
    std::string text;
    for (const std::string &token : tokens) {
        text += token;
        text.push_back('\0');
    }
    return Common::digestOf(text);
}

EndVerdict verifyEnd(const TokenStream &stream, std::uint64_t tokenCount, std::string_view digest)
{
    if (tokenCount != stream.count() || digest != streamDigest(stream.tokens))
        return EndVerdict::Truncated;
    return EndVerdict::Complete;
}

} // namespace Tanagerbay::Pipeline
