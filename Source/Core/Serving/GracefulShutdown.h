// Decides which requests an instance accepts and ends during its graceful shutdown, and when the
// process exits.
#pragma once

#include "Common/Time.h"
#include "Serving/RequestPhase.h"

#include <cstddef>

namespace Tanagerbay::Serving {

// Graceful shutdown of an instance.
struct GracefulShutdown
{
    Common::Time startedAt;
    // When requests whose response has not begun get their final answer.
    Common::Time answersDueAt;
    // When the process exits, even if responses that have begun are not complete.
    Common::Time exitsAt;
    // When the process exits, even if requests have no response yet. Shortly before it is killed.
    Common::Time latestExitAt;
    bool areAnswersGiven = false;
};

// What an instance still does during its shutdown.
struct ShutdownActivity
{
    Common::Time lastRequestAt;
    std::size_t requestsInProgress = 0;
    // Pieces of any instance's requests in the queues of this one.
    std::size_t openPieces = 0;
    // Requests whose response has not begun, also those that are still being read.
    std::size_t unansweredRequests = 0;
};

// Returns the shutdown of an instance that the platform kills after `gracePeriod`.
GracefulShutdown beginShutdown(Common::Duration gracePeriod, Common::Time now);

// Returns whether a request that takes up to `maxDuration` is accepted. Shortly after the start of
// the shutdown every request is, since callers do not have the address of another instance yet;
// later only requests that are answered before the process exits.
bool mayAccept(const GracefulShutdown &shutdown, Common::Duration maxDuration, Common::Time now);

// Returns whether further requests are read. Once the final answers had their time, new requests
// could only be refused, and would keep the process from its exit.
bool mayRead(const GracefulShutdown &shutdown, Common::Time now);

// Returns whether the shutdown ends a request, so that its caller gets an answer before the process
// exits. `timeToAnswer` is the expected time from sending the request to the end of its response,
// zero if unknown. A request that has not been sent ends as soon as it could not be completed any
// more: another instance can still serve it.
bool mustEnd(const GracefulShutdown &shutdown, RequestPhase phase, Common::Duration timeToAnswer,
             Common::Time now);

// Records that the final answers are given at `now`. Postpones the exit if that is late, so that
// they can still be written. An instance that is later than its last exit tries to write them
// nevertheless: if it is killed meanwhile, nothing more is lost than by an exit.
void noteAnswersGiven(GracefulShutdown &shutdown, Common::Time now);

// Returns whether the process may exit.
bool mayExit(const GracefulShutdown &shutdown, const ShutdownActivity &activity, Common::Time now);

} // namespace Tanagerbay::Serving
