// Which piece each recent result of an endpoint belongs to. Answers to stage calls do not name
// their call, so that only their results show whether an answer is the copy of an earlier one.
#pragma once

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
    // Handles, the oldest first.
    std::deque<std::string> order;
};

// Whether an endpoint has returned a handle before.
enum class HandleUse {
    New,
    SamePiece,
    OtherPiece,
};

// Records that the endpoint returned this handle as the result of the piece.
HandleUse noteResult(ResultOrigins &origins, const std::string &handle, const PieceRequest &piece);

} // namespace Tanagerbay::Staging
