// The errors that callers of the system see, and a result type that holds a value or an error.
#pragma once

#include "Common/EnumNames.h"
#include "Common/Time.h"

#include <optional>
#include <string>

#include <tl/expected.hpp>

namespace Tanagerbay::Common {

enum class ErrorCode {
    BadInput,
    Unauthenticated,
    NotAllowed,
    NotFound,
    TooLarge,
    KeyInProgress,
    OutcomeUnknown,
    KeyReused,
    LimitReached,
    Overloaded,
    Draining,
    CutOff,
    StoreUnavailable,
    EndpointFailed,
    DeadlineExceeded,
    VersionConflict,
    VersionUnavailable,
    CallerGone,
    Internal,
};

template <>
struct EnumNames<ErrorCode>
{
    static constexpr NameTable<ErrorCode, 19> table = {{
        {ErrorCode::BadInput, "bad_input"},
        {ErrorCode::Unauthenticated, "unauthenticated"},
        {ErrorCode::NotAllowed, "not_allowed"},
        {ErrorCode::NotFound, "not_found"},
        {ErrorCode::TooLarge, "too_large"},
        {ErrorCode::KeyInProgress, "key_in_progress"},
        {ErrorCode::OutcomeUnknown, "outcome_unknown"},
        {ErrorCode::KeyReused, "key_reused"},
        {ErrorCode::LimitReached, "limit_reached"},
        {ErrorCode::Overloaded, "overloaded"},
        {ErrorCode::Draining, "draining"},
        {ErrorCode::CutOff, "cut_off"},
        {ErrorCode::StoreUnavailable, "store_unavailable"},
        {ErrorCode::EndpointFailed, "endpoint_failed"},
        {ErrorCode::DeadlineExceeded, "deadline_exceeded"},
        {ErrorCode::VersionConflict, "version_conflict"},
        {ErrorCode::VersionUnavailable, "version_unavailable"},
        {ErrorCode::CallerGone, "caller_gone"},
        {ErrorCode::Internal, "internal"},
    }};
};

// Whether the requested action was executed. `No` guarantees that no byte of the request reached an
// endpoint.
enum class Ran { No, Maybe, Yes };

template <>
struct EnumNames<Ran>
{
    static constexpr NameTable<Ran, 3> table
        = {{{Ran::No, "no"}, {Ran::Maybe, "maybe"}, {Ran::Yes, "yes"}}};
};

struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    Ran ran = Ran::No;
    // Delay after which the caller may retry; unset if a retry cannot succeed.
    std::optional<Milliseconds> retryAfter;
};

template <typename T>
using Result = tl::expected<T, Error>;

// Returns an error for an action that was not executed.
inline tl::unexpected<Error> notRun(ErrorCode code, std::string message,
                                    std::optional<Milliseconds> retryAfter = std::nullopt)
{
    return tl::unexpected<Error>(Error{code, std::move(message), Ran::No, retryAfter});
}

// Returns the HTTP status that reports an error code.
constexpr unsigned httpStatusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadInput:
        return 400;
    case ErrorCode::Unauthenticated:
        return 401;
    case ErrorCode::NotAllowed:
        return 403;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::TooLarge:
        return 413;
    case ErrorCode::KeyInProgress:
    case ErrorCode::OutcomeUnknown:
    case ErrorCode::VersionUnavailable:
        return 409;
    case ErrorCode::KeyReused:
        return 422;
    case ErrorCode::VersionConflict:
        return 412;
    case ErrorCode::LimitReached:
        return 429;
    case ErrorCode::Overloaded:
    case ErrorCode::Draining:
    case ErrorCode::CutOff:
    case ErrorCode::StoreUnavailable:
        return 503;
    case ErrorCode::EndpointFailed:
        return 502;
    case ErrorCode::DeadlineExceeded:
        return 504;
    case ErrorCode::CallerGone:
        return 499;
    case ErrorCode::Internal:
        return 500;
    }
    return 500;
}

} // namespace Tanagerbay::Common
