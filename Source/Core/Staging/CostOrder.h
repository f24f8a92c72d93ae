// Which pieces wait and which are turned away where a stage has too little room, by what it costs
// their callers.
//
// Waiting costs a request its objective first, then its answer, and in between nothing. So a piece
// that can be on time goes by priority and latest start; a late one waits behind all of these until
// it would be refused if it waited on, and goes then before what is less urgent. A caller of a less
// urgent request loses its objective by that; it is refused only once its own last chance has
// passed. Ranks and times decide, no prices.
#pragma once

#include "Staging/StageQueue.h"

namespace Tanagerbay::Staging {

// What a stage has too little of.
enum class ScarceResource {
    None,
    StageCalls,
    ResultMemory,
};

// A group that cannot be begun in time any more, with the figures that decided.
struct TurnedAway
{
    GroupId group = 0;
    // Pieces that go before it, and how long they take.
    std::size_t ahead = 0;
    Common::Duration wait{0};
    Common::Duration timeLeft{0};
};

// Whether routes with a stage at the service, or workspaces, differ in priority. Without that the
// order by cost would only change who of equals is served.
bool hasSeveralPriorities(const Catalog::Catalog &catalog, const std::string &service);

// Time from which a late group would be refused if it waited on, by plan. Plans allow for more than
// full calls, so that the free endpoint that it waits for then is in time for the most part.
Common::Time lastChanceFrom(const StageQueue &queue, const PieceRequest &request);

// Position of a late group that would be refused if it waited on. `isFirst` for a priority that is
// served too rarely.
GroupRank lastChanceRank(const PieceRequest &request, bool isFirst, GroupId group);

// Pieces that the endpoints make in a second, with full calls, if those that are ejected or held
// at present are back; zero where no endpoint is usable.
double piecesPerSecond(const StageQueue &queue, Common::Time now);

// Returns the late groups that cannot be begun in time even if nothing else comes: what goes before
// them takes longer than they have. Empty where no endpoint is usable, as nobody knows for how
// long.
std::vector<TurnedAway> groupsWithoutRoom(const StageQueue &queue, Common::Time now);

// When the stage will have worked off what goes before a new piece of the priority; nothing if no
// endpoint is usable.
std::optional<Common::Duration> roomIn(const StageQueue &queue, int priority, Common::Time now);

// What pieces wait for now.
ScarceResource scarceResource(const StageQueue &queue, Common::Time now);

} // namespace Tanagerbay::Staging

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Staging::ScarceResource>
{
    using Resource = Staging::ScarceResource;
    static constexpr NameTable<Resource, 3> table = {{
        {Resource::None, "none"},
        {Resource::StageCalls, "stage-calls"},
        {Resource::ResultMemory, "result-memory"},
    }};
};
