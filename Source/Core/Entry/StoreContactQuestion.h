// Asks other instances whether they could read the store while this one could not.
#pragma once

#include "Entry/PeerDatagrams.h"
#include "Entry/StoreContact.h"

namespace Tanagerbay::Entry {

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
    void readAnswer(const boost::json::object &message);

    State &state;
    PeerDatagrams &datagrams;
    std::function<std::optional<ReadingRun>()> ownRun;
    std::function<void(const ReadingRun &)> answerHandler;
    std::uint64_t lastNumber = 0;
    Common::Time askedAt;
};

} // namespace Tanagerbay::Entry
