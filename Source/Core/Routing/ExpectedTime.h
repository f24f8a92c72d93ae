// Expected time of one prompt at an endpoint: to its first event, and to its end.
//
// The estimate is made of what the endpoint reported, this instance's sends since, the part of the
// prompt that has to be read there, the endpoint's lasting pace and the contention on its machine.
#pragma once

#include "Routing/Pool.h"

namespace Tanagerbay::Routing {

// The work that a prompt makes.
struct PromptWork
{
    // Parts that other requests share, in the order of the prompt.
    std::vector<SharedPart> shared;
    // Tokens that no other request shares.
    std::uint64_t ownTokens = 0;
    // Failure domain from which the endpoint fetches its inputs.
    Common::FailureDomain inputDomain;
    // Whether it fetches results of stages, which are large.
    bool hasInputs = false;
    // Number of instances that send requests to the pool, including this one.
    std::size_t senders = 1;
};

// How many times longer than usual work takes at the endpoint now: the reported contention, less as
// the report grows older. 1 where nothing was reported.
double currentContention(const Endpoint &endpoint, Common::Time now);

// Expected mean of the contention over a period at whose beginning it is as given.
double meanContention(double contention, Common::Duration period);

// Tokens of the prompt that the endpoint still has to read: a cached part saves its tokens if all
// parts before it are cached too. `homeBelief` is the belief that a part is cached there without an
// own send, since other instances send it there.
double tokensToRead(const Pool &pool, const Endpoint &endpoint, const PromptWork &work,
                    double homeBelief, Common::Time now);

// Tokens of other requests that the endpoint reads before: those of the reported waiting requests
// and of this instance's sends since.
double tokensAhead(const Pool &pool, const Endpoint &endpoint, Common::Time now);

// Returns the time from a send now to the first event.
Common::Duration expectedFirstEvent(const Pool &pool, const Endpoint &endpoint,
                                    const PromptWork &work, Common::Time now,
                                    double homeBelief = 0);

// Returns the time from a send now to the last of `events` events.
Common::Duration expectedEnd(const Pool &pool, const Endpoint &endpoint, const PromptWork &work,
                             std::uint64_t events, Common::Time now, double homeBelief = 0);

// Records the send of the prompt to the endpoint.
void noteSent(Pool &pool, std::size_t index, const PromptWork &work, Common::Time now);

} // namespace Tanagerbay::Routing
