// Asks other instances whether they could read the store while this one could not.
#pragma once

#include "Entry/PeerDatagrams.h"
#include "Entry/StoreContact.h"

namespace Tanagerbay::Entry {

// Returns the answer of an instance that has read the store in this run.
boost::json::object answerTo(const boost::json::object &question, const ReadingRun &run,
                             Common::Time now);

// Returns the run that an answer tells of, which may have been longer: the answer was written at
// some time between the question and now. Returns nothing if it belongs to another question, or
// cannot be read.
std::optional<ReadingRun> readAnswer(const boost::json::object &answer, std::uint64_t number,
                                     Common::Time askedAt, Common::Time now);

class StoreContactQuestion
{
public:
    StoreContactQuestion(State &state, PeerDatagrams &datagrams);

    // `ownRun` returns what this instance answers; `onAnswer` is called with each answer of others.
    void start(std::function<std::optional<ReadingRun>()> ownRun,
               std::function<void(const ReadingRun &)> onAnswer);
    // Asks several instances. Either datagram may be lost; answers to earlier questions are
    // ignored.
    void ask(Common::Time now);

private:
    void answer(const boost::json::object &message, const Common::Address &sender);
    void noteAnswer(const boost::json::object &message);

    State &state;
    PeerDatagrams &datagrams;
    std::function<std::optional<ReadingRun>()> ownRun;
    std::function<void(const ReadingRun &)> answerHandler;
    std::uint64_t lastNumber = 0;
    Common::Time askedAt;
};

} // namespace Tanagerbay::Entry
