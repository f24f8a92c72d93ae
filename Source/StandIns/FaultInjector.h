// Fault injection. Faults are switched on and off through the control path.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Time.h"

#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>

namespace Tanagerbay::StandIns {

enum class FaultKind {
    // Work takes `value` times as long.
    Slow,
    // Calls are answered with status 503 before they have any effect.
    Refuse,
    // Calls are answered with status 500 before they have any effect.
    Error,
    // The connection is closed before the call has any effect.
    DropBefore,
    // The connection is closed after the call took effect, so that the reply is lost.
    DropAfter,
    // No call is answered and no work proceeds until the fault ends.
    Pause,
    // The listener is closed and calls in progress end without a reply.
    Die,
    // Load reports are `value` milliseconds old.
    LateReports,
    // Load reports say that the endpoint is leaving.
    Leaving,
    // A stream ends early, without its terminal event.
    Truncate,
    // The reply carries the attempt tag of another call.
    ForeignTag,
    // The reply of an engine does not state its software version.
    HiddenVersion,
};

} // namespace Tanagerbay::StandIns

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::StandIns::FaultKind>
{
    using Kind = StandIns::FaultKind;
    static constexpr NameTable<Kind, 12> table = {{
        {Kind::Slow, "slow"},
        {Kind::Refuse, "refuse"},
        {Kind::Error, "error"},
        {Kind::DropBefore, "drop-before"},
        {Kind::DropAfter, "drop-after"},
        {Kind::Pause, "pause"},
        {Kind::Die, "die"},
        {Kind::LateReports, "late-reports"},
        {Kind::Leaving, "leaving"},
        {Kind::Truncate, "truncate"},
        {Kind::ForeignTag, "foreign-tag"},
        {Kind::HiddenVersion, "hidden-version"},
    }};
};

namespace Tanagerbay::StandIns {

struct Fault
{
    double value = 1;
    // Share of calls that the fault affects.
    double probability = 1;
    Common::Time until;
};

// Safe to use from every thread.
class FaultInjector
{
public:
    explicit FaultInjector(std::uint64_t seed);

    void set(std::string_view target, FaultKind kind, const Fault &fault);
    void clearAll();
    void clear(std::string_view target);
    // Returns the fault if it is switched on for the target and affects this call, which is drawn
    // at random by its probability.
    std::optional<Fault> trigger(std::string_view target, FaultKind kind, Common::Time now);

private:
    std::mutex lock;
    std::mt19937_64 random;
    std::map<std::pair<std::string, FaultKind>, Fault> faults;
};

} // namespace Tanagerbay::StandIns
