// What an instance knows of one endpoint: reported load, own work in flight, and health.
#pragma once

#include "Common/Address.h"
#include "Common/EnumNames.h"
#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>

namespace Tanagerbay::Routing {

enum class EndpointState { Live, Leaving };

} // namespace Tanagerbay::Routing

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Routing::EndpointState>
{
    using State = Routing::EndpointState;
    static constexpr NameTable<State, 2> table
        = {{{State::Live, "live"}, {State::Leaving, "leaving"}}};
};

namespace Tanagerbay::Routing {

// An endpoint's own account of its load. It arrives late.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // How many calls the endpoint works on at once.
    std::uint32_t slots = 1;
    bool leaving = false;

    std::uint32_t outstanding() const
    {
        return this->running + this->waiting;
    }
};

struct Health
{
    // Recent durations relative to the pool's: 1 is usual, 10 is ten times slower.
    double slowness = 1;
    Common::Time slownessAt;
    // Recent share of calls that failed.
    double errorRate = 0;
    std::uint32_t consecutiveErrors = 0;
    // How often in a row the endpoint was taken out of choice.
    std::uint32_t ejections = 0;
    Common::Time ejectedUntil;
    // Most own calls in flight while the endpoint returns to choice; zero where there is no cap.
    std::uint32_t returnCap = 0;
};

struct Endpoint
{
    Common::EndpointId id;
    Common::Address address;
    Common::FailureDomain failureDomain;
    EndpointState state = EndpointState::Live;
    // Start of the endpoint's process, where it is known.
    std::uint64_t incarnation = 0;
    LoadReport report;
    // Own calls in flight when the report arrived.
    std::uint32_t ownAtReport = 0;
    std::uint32_t ownInFlight = 0;
    Health health;
    std::uint64_t callsBegun = 0;
    std::uint64_t callsFailed = 0;
    // Work that the endpoint reported for this instance's calls.
    Common::Duration busy{0};
};

// Estimates the calls at the endpoint now: what others had there when it reported, and own work.
double estimatedOutstanding(const Endpoint &endpoint);

// Whether the endpoint may be chosen at all.
bool isEligible(const Endpoint &endpoint, Common::Time now);

// Takes a load report that came with a reply or from a poll.
void noteReport(Endpoint &endpoint, const LoadReport &report);

// Takes the end of a call that succeeded. `relative` is its duration over the pool's usual one.
void noteSuccess(Endpoint &endpoint, double relative, Common::Time now);

// Takes the end of a call that failed. `unreachable` is set where no connection could be made.
void noteFailure(Endpoint &endpoint, bool unreachable, Common::Time now);

// Slowness as it counts now: it returns towards 1 while the endpoint is not measured.
double slownessNow(const Health &health, Common::Time now);

} // namespace Tanagerbay::Routing
