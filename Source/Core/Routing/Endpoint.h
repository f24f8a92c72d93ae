// State that an instance keeps for each endpoint: reported load, this instance's calls in flight
// and health.
#pragma once

#include "Common/Address.h"
#include "Common/EnumNames.h"
#include "Common/Ids.h"
#include "Common/Time.h"
#include "Routing/EngineRates.h"
#include "Routing/SendGate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

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

// Load as reported by the endpoint itself. Reports arrive with a delay.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // Number of calls that the endpoint processes concurrently.
    std::uint32_t slots = 1;
    bool leaving = false;
    // How many times longer than usual work takes on the endpoint's machine at that moment; unset
    // where the endpoint does not report it.
    std::optional<double> contention;

    std::uint32_t outstanding() const
    {
        return this->running + this->waiting;
    }
};

struct Health
{
    // Smoothed ratio of the endpoint's pace to the pool's mean pace: 1 is average, 10 is ten times
    // slower.
    double slowness = 1;
    Common::Time slownessUpdatedAt;
    // Smoothed share of calls that failed.
    double errorRate = 0;
    std::uint32_t consecutiveErrors = 0;
    // Consecutive ejections without a full recovery between them.
    std::uint32_t ejections = 0;
    Common::Time ejectedUntil;
    // Maximum number of this instance's calls in flight during the slow start after an ejection;
    // zero where there is no limit.
    std::uint32_t slowStartLimit = 0;
};

struct Endpoint
{
    Common::EndpointId id;
    Common::Address address;
    Common::FailureDomain failureDomain;
    EndpointState state = EndpointState::Live;
    // Start time of the endpoint's process; zero where it is not known.
    std::uint64_t incarnation = 0;
    // Version of the software that the process runs; empty where it is not known.
    std::string version;
    // The operator has evacuated the endpoint's failure domain.
    bool isEvacuated = false;
    LoadReport report;
    // This instance's calls in flight when the report arrived.
    std::uint32_t ownInFlightAtReport = 0;
    // When the report was made, as far as known. Long ago where there was none.
    Common::Time reportedAt;
    // Smoothed mean of the waiting requests that it reports.
    double usualWaiting = 0;
    // This instance's prompts that the report does not count.
    std::vector<Common::Time> sendsSinceReport;
    LastingPace lastingPace;
    std::uint32_t ownInFlight = 0;
    Health health;
    // The endpoint has asked this instance to send it nothing before this time.
    Common::Time heldUntil;
    // Limit on the requests a second that the endpoint states for all instances together.
    std::optional<double> statedLimit;
    // Requests a second that the endpoint takes from all instances together while it is cold; unset
    // while it is believed warm.
    std::optional<double> coldPerSecond;
    // This instance's part of the stricter of both.
    SendGate gate;
    std::uint64_t callsBegun = 0;
    std::uint64_t callsFailed = 0;
    // Busy time that the endpoint reported for this instance's calls.
    Common::Duration busy{0};
};

// Estimates the calls outstanding at the endpoint: those of other instances as of the last report,
// plus this instance's calls in flight.
double estimatedOutstanding(const Endpoint &endpoint);

// Whether the endpoint leaves, by its entry or by its own report.
bool isLeaving(const Endpoint &endpoint);

// Whether the endpoint gets no new work, even if there is no other: it leaves, or its failure
// domain is evacuated. Work in progress at the latter ends in its own time, and it may come back.
bool takesNoNewWork(const Endpoint &endpoint);

// Returns when the endpoint's hold has ended and its limit permits a send of this instance.
// `Time::max()` if the limit permits none.
Common::Time sendableFrom(const Endpoint &endpoint);

// Whether the endpoint has asked this instance to send it nothing at present, or its limit does not
// permit a send. Nothing is sent to such an endpoint, even if there is no other.
bool isHeld(const Endpoint &endpoint, Common::Time now);

// Whether the endpoint is cold and permits this instance no send at present.
bool isHeldWhileCold(const Endpoint &endpoint, Common::Time now);

// Returns how many requests a second the endpoint takes from all instances together, by its stated
// limit or because it is cold; nothing if it is not limited.
std::optional<double> takenPerSecond(const Endpoint &endpoint);

// Whether the endpoint may be chosen: it takes new work, is neither held nor ejected, and its
// slow-start limit is not reached.
bool isEligible(const Endpoint &endpoint, Common::Time now);

// Whether the endpoint runs the required software version, if one is required.
bool hasVersion(const Endpoint &endpoint, const std::optional<std::string> &required);

// Records that the endpoint wants nothing from this instance for the period. A hold is never
// shortened by a later, shorter one.
void holdBack(Endpoint &endpoint, Common::Duration period, Common::Time now);

// Records a load report that came with a reply or from a poll. `madeAt` is when it was made; where
// it is not known, what the report says of the moment is not believed.
void noteReport(Endpoint &endpoint, const LoadReport &report, Common::Time madeAt = {});

// Records a successful call. `relative` is its pace divided by the pool's mean pace.
void noteSuccess(Endpoint &endpoint, double relative, Common::Time now);

// Whether the endpoint is believed to be down after failed calls.
bool isEjected(const Endpoint &endpoint, Common::Time now);

// Records a failed call. `unreachable` is set where no connection could be made; such an endpoint
// is ejected at once.
void noteFailure(Endpoint &endpoint, bool unreachable, Common::Time now);

// Returns the slowness at `now`: it decays towards 1 while there are no new samples.
double currentSlowness(const Health &health, Common::Time now);

} // namespace Tanagerbay::Routing
