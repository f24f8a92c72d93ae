// How long to wait for an engine's tokens, and when to move to another engine.
#pragma once

#include "Routing/Pool.h"

namespace Tanagerbay::Node {

// Returns how long the next bytes of an engine may take that has given `tokens` tokens; beyond it
// the engine is taken to have stopped.
Common::Duration longestTokenWait(const Routing::Pool &pool, std::uint64_t tokens);

// What is known of the tokens of one engine.
struct EngineProgress
{
    // Tokens that the engine gave, and the time since the first of them.
    std::uint64_t tokens = 0;
    Common::Duration sinceFirst{0};
    // Tokens that the answer may still have.
    std::uint64_t tokensLeft = 0;
    Common::Duration timeLeft{0};
};

// Returns whether the engine is much slower than usual and would end too late.
bool isTooSlow(const Routing::Pool &pool, const EngineProgress &progress);

} // namespace Tanagerbay::Node
