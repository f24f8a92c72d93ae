// Choice of a model engine by the expected time to the caller's first event.
//
// A few candidates are compared: the homes of the prompt's last shared part, which all instances
// find by weighted rendezvous hashing, and a few others that are drawn for each request. So a
// cached part is followed where that is sooner, and instances that read the same outdated reports
// do not all choose the same engine.
#pragma once

#include "Common/EnumNames.h"
#include "Routing/AffinityChoice.h"
#include "Routing/ExpectedTime.h"

namespace Tanagerbay::Routing {

enum class PromptChoiceReason {
    // The endpoints report no contention: the choice is by hash alone.
    ByHash,
    // The first or another home of the last shared part.
    Home,
    OtherHome,
    // Sooner than at the homes.
    SoonerElsewhere,
    // There was nothing to compare.
    OnlyOne,
};

} // namespace Tanagerbay::Routing

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Routing::PromptChoiceReason>
{
    using Reason = Routing::PromptChoiceReason;
    static constexpr NameTable<Reason, 5> table = {{
        {Reason::ByHash, "hash"},
        {Reason::Home, "home"},
        {Reason::OtherHome, "other-home"},
        {Reason::SoonerElsewhere, "sooner-elsewhere"},
        {Reason::OnlyOne, "only-one"},
    }};
};

namespace Tanagerbay::Routing {

struct PromptCandidate
{
    std::size_t index = 0;
    // Belief that the shared parts are cached there without an own send; zero where it is no home.
    double homeBelief = 0;
};

struct PromptChoice
{
    std::size_t index = 0;
    PromptChoiceReason reason = PromptChoiceReason::ByHash;
    double homeBelief = 0;
};

// Returns the endpoints to be compared, the first home first. `draw` names the request: with the
// same endpoints, the same ones are drawn for it each time.
std::vector<PromptCandidate> promptCandidates(const Pool &pool, const AffinityRequest &request,
                                              const PromptWork &work, std::string_view draw,
                                              Common::Time now);

// Returns the choice, or nothing where `chooseByAffinity` finds none. Where no endpoint reports
// contention, it is that of `chooseByAffinity`.
std::optional<PromptChoice> chooseForPrompt(const Pool &pool, const AffinityRequest &request,
                                            const PromptWork &work, std::string_view draw,
                                            Common::Time now);

} // namespace Tanagerbay::Routing
