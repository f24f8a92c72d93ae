// Asks an endpoint which process it is. The list of endpoints is outdated for some time after a
// restart, and connections do not tell which process is behind them.
#pragma once

#include "Common/EnumNames.h"
#include "Entry/State.h"

namespace Tanagerbay::Entry {

enum class ProcessAnswer {
    // The endpoint is the process that was expected.
    Same,
    Other,
    // The endpoint has answered without stating its start time.
    Unstated,
    // No process listens at the endpoint's address.
    Absent,
    Unanswered,
};

} // namespace Tanagerbay::Entry

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Entry::ProcessAnswer>
{
    using Answer = Entry::ProcessAnswer;
    static constexpr NameTable<Answer, 5> table = {{
        {Answer::Same, "same"},
        {Answer::Other, "other"},
        {Answer::Unstated, "unstated"},
        {Answer::Absent, "absent"},
        {Answer::Unanswered, "unanswered"},
    }};
};

namespace Tanagerbay::Entry {

// What is known of the process behind a connection.
enum class ProcessStatement {
    // It was not asked.
    None,
    Stated,
    // It has answered without stating its start time.
    Unstated,
    // It has answered with an error.
    Refused,
    Unanswered,
};

} // namespace Tanagerbay::Entry

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Entry::ProcessStatement>
{
    using Statement = Entry::ProcessStatement;
    static constexpr NameTable<Statement, 5> table = {{
        {Statement::None, "none"},
        {Statement::Stated, "stated"},
        {Statement::Unstated, "unstated"},
        {Statement::Refused, "refused"},
        {Statement::Unanswered, "unanswered"},
    }};
};

namespace Tanagerbay::Entry {

struct ProcessReply
{
    ProcessAnswer answer = ProcessAnswer::Unanswered;
    // Start time of the process; unset if it was not stated.
    std::optional<std::uint64_t> startTime;
    // Unset if the endpoint has not answered.
    std::optional<EndpointResponseHead> head;
};

// Returns whether the process at the endpoint's address is the one with the endpoint's incarnation.
// `options` holds the deadline of the question.
Http::Awaitable<ProcessReply> askForProcess(State &state, Routing::Endpoint endpoint,
                                            Http::CallOptions options);

} // namespace Tanagerbay::Entry
