// Time-outs for the tokens of an engine, and detection of engines that are too slow.
#pragma once

#include "Routing/Pool.h"

namespace Tanagerbay::Node {

// Returns the maximum time to wait for the next bytes of an engine that has sent `tokens` tokens so
// far. An engine that takes longer is considered to have failed.
Common::Duration maxTokenWait(const Routing::Pool &pool, std::uint64_t tokens);

// Progress of one engine's token stream.
struct EngineProgress
{
    // Number of tokens that the engine has sent, and the time since the first of them.
    std::uint64_t tokens = 0;
    Common::Duration sinceFirstToken{0};
    // Maximum number of tokens still to be generated.
    std::uint64_t tokensLeft = 0;
    // Time left until the request's deadline.
    Common::Duration timeLeft{0};
};

// Returns whether the engine is much slower than usual and would miss the deadline.
bool isTooSlow(const Routing::Pool &pool, const EngineProgress &progress);

} // namespace Tanagerbay::Node
