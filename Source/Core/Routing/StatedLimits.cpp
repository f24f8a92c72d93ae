#include "Routing/StatedLimits.h"

namespace Tanagerbay::Routing {

namespace {

bool isStricter(std::optional<double> limit, std::optional<double> than)
{
    return limit && (!than || *limit < *than);
}

} // namespace

bool noteAnswer(StatedLimits &limits, const ProcessKey &process, std::optional<double> stated,
                Common::Time sentAt, Common::Time now)
{
    const auto found = limits.find(process);
    if (found == limits.end()) {
        if (stated)
            limits[process] = {stated, 1, now};
        return stated.has_value();
    }
    StatedLimit &known = found->second;
    if (stated == known.perSecond) {
        known.learnedAt = now;
        return false;
    }
    if (sentAt < known.learnedAt && !isStricter(stated, known.perSecond))
        return false;
    known = {stated, known.version + 1, now};
    return true;
}

bool mergeLimit(StatedLimits &limits, const ProcessKey &process, StatedLimit news, Common::Time now)
{
    StatedLimit &known = limits[process];
    if (news.version < known.version
        || (news.version == known.version && !isStricter(news.perSecond, known.perSecond)))
        return false;
    const bool isChanged = news.perSecond != known.perSecond || news.version != known.version;
    known = {news.perSecond, news.version, now};
    return isChanged;
}

} // namespace Tanagerbay::Routing
