// Which piece each recent result of an endpoint belongs to. Answers to stage calls do not name
// their call, so that only their results show whether an answer is the copy of an earlier one.
#pragma once

#include "Common/Time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace Tanagerbay::Staging {

struct PieceRequest;

struct ResultOrigins
{
    // Identity of the piece, by the handle of its result.
    std::unordered_map<std::string, std::uint64_t> pieceByHandle;
    struct NotedHandle
    {
        std::string handle;
        Common::Time notedAt;
    };
    // The oldest first.
    std::deque<NotedHandle> order;
    // All results that were noted later are known.
    Common::Time forgottenUntil = Common::Time::min();
};

// Whether an endpoint has returned a handle before.
enum class HandleUse {
    New,
    SamePiece,
    OtherPiece,
};

// Records that the endpoint returned this handle as the result of the piece.
HandleUse noteResult(ResultOrigins &origins, const std::string &handle, const PieceRequest &piece,
                     Common::Time now);

} // namespace Tanagerbay::Staging
