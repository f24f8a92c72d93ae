#include "Staging/ServedShares.h"

#include <cmath>

namespace Tanagerbay::Staging {

namespace {

// Bursts last for some seconds: a floor over a shorter time would hardly let the urgent go first.
constexpr double kHalfLifeSeconds = 10;
// Counts are brought up to date no more often than this.
constexpr double kMinDecaySeconds = 0.1;
// No kind may be served less than a quarter as often as all. A third, since pieces that go first
// from now on are counted later.
constexpr double kFloor = 1.0 / 3;
// Fewer pieces say nothing about a share.
constexpr double kMinPieces = 20;

ServedShare &shareOf(ServedShares &shares, int priority, Common::Time now)
{
    const double elapsed = Common::toSeconds(now - shares.decayedAt);
    if (elapsed >= kMinDecaySeconds) {
        const double factor = std::exp2(-elapsed / kHalfLifeSeconds);
        for (auto &[other, share] : shares.byPriority) {
            share.served *= factor;
            share.turnedAway *= factor;
        }
        shares.decayedAt = now;
    }
    return shares.byPriority[priority];
}

double servedPart(const ServedShare &share)
{
    const double all = share.served + share.turnedAway;
    return all > 0 ? share.served / all : 1;
}

} // namespace

void noteServed(ServedShares &shares, int priority, Common::Time now)
{
    shareOf(shares, priority, now).served += 1;
}

void noteTurnedAway(ServedShares &shares, int priority, Common::Time now)
{
    shareOf(shares, priority, now).turnedAway += 1;
}

bool isStarved(const ServedShares &shares, int priority)
{
    const auto own = shares.byPriority.find(priority);
    if (own == shares.byPriority.end() || own->second.served + own->second.turnedAway < kMinPieces)
        return false;
    ServedShare all;
    for (const auto &[other, share] : shares.byPriority) {
        all.served += share.served;
        all.turnedAway += share.turnedAway;
    }
    return servedPart(own->second) < kFloor * servedPart(all);
}

} // namespace Tanagerbay::Staging
