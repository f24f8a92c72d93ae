#include "Staging/ResultOrigins.h"

#include "Common/Hash.h"
#include "Staging/StageQueue.h"

namespace Tanagerbay::Staging {

namespace {

// Results of the last calls; a copy of an answer follows it soon.
constexpr std::size_t kMaxOrigins = 512;

std::uint64_t identityOf(const PieceRequest &piece)
{
    return Common::hash64(piece.requestId + '/' + std::to_string(piece.stage) + '/'
                          + std::to_string(piece.piece));
}

} // namespace

HandleUse noteResult(ResultOrigins &origins, const std::string &handle, const PieceRequest &piece,
                     Common::Time now)
{
    const std::uint64_t identity = identityOf(piece);
    const auto [known, added] = origins.pieceByHandle.try_emplace(handle, identity);
    if (!added)
        return known->second == identity ? HandleUse::SamePiece : HandleUse::OtherPiece;
    origins.order.push_back({handle, now});
    if (origins.order.size() > kMaxOrigins) {
        origins.forgottenUntil = origins.order.front().notedAt;
        origins.pieceByHandle.erase(origins.order.front().handle);
        origins.order.pop_front();
    }
    return HandleUse::New;
}

} // namespace Tanagerbay::Staging
