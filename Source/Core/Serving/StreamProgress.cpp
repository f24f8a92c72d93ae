#include "Serving/StreamProgress.h"

#include "Serving/EventSequence.h"

#include <algorithm>

namespace Tanagerbay::Serving {

void noteEvents(StreamProgress &progress, const EventSequence &events)
{
    progress.lastEvent = events.lastEvent();
    progress.hasEvents = events.hasEvents();
    progress.eventCount = events.eventCount();
    progress.hasPartialEvent = events.hasPartialEvent();
    // The caller's word for its last event is no answer.
    std::uint64_t begun = events.eventCount() > 0 ? *progress.lastEvent : 0;
    if (progress.lastEvent && events.showsNextEvent())
        begun = events.nextEvent();
    progress.lastBegunEvent = std::max(progress.lastBegunEvent, begun);
}

std::uint64_t eventsOfTokens(std::uint64_t tokens, std::uint64_t tokensPerEvent)
{
    if (tokens == 0)
        return 0;
    return (tokens - 1) / std::max<std::uint64_t>(tokensPerEvent, 1) + 1;
}

bool hasAllTokens(const StreamProgress &progress)
{
    // More events than that show that the endpoint's events hold fewer tokens.
    return progress.maxEvents > 0 && progress.eventCount == progress.maxEvents
        && !hasLaterEventBegun(progress);
}

bool hasLaterEventBegun(const StreamProgress &progress)
{
    return progress.lastBegunEvent > progress.lastEvent.value_or(0);
}

bool isEndInDoubt(const StreamProgress &progress)
{
    return progress.doubtedEnd && progress.doubtedEnd == progress.lastEvent
        && !hasLaterEventBegun(progress);
}

StreamEnd judgeEnd(const StreamProgress &progress, const AnswerEnd &end)
{
    if (progress.hasPartialEvent)
        return StreamEnd::WithinEvent;
    if (!progress.hasEvents)
        return StreamEnd::WithoutEvent;
    if (hasLaterEventBegun(progress))
        return StreamEnd::BeforeBegunEvent;
    const bool isTrusted = end.isCloseTrusted && !end.isResumable;
    const bool isKnown
        = end.isFramed || hasAllTokens(progress) || isEndInDoubt(progress) || isTrusted;
    return isKnown ? StreamEnd::Complete : StreamEnd::Unconfirmed;
}

} // namespace Tanagerbay::Serving
