#include "Entry/StoreContactQuestion.h"

#include "Entry/PeerMesh.h"

#include <utility>

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

constexpr std::string_view kQuestion = "readings?";
constexpr std::string_view kAnswer = "readings";
// Some of those asked may have been cut off, too.
constexpr std::size_t kTargets = 6;
constexpr std::uint64_t kMaxAgeMs = 24ULL * 3600 * 1000;

} // namespace

StoreContactQuestion::StoreContactQuestion(State &state, PeerDatagrams &datagrams)
    : state(state), datagrams(datagrams)
{
}

void StoreContactQuestion::start(std::function<std::optional<ReadingRun>()> run,
                                 std::function<void(const ReadingRun &)> onAnswer)
{
    this->ownRun = std::move(run);
    this->answerHandler = std::move(onAnswer);
    this->datagrams.on(std::string(kQuestion),
                       [this](const json::object &message, const Common::Address &sender) {
                           this->answer(message, sender);
                       });
    this->datagrams.on(std::string(kAnswer),
                       [this](const json::object &message, const Common::Address &) {
                           this->readAnswer(message);
                       });
}

void StoreContactQuestion::ask(Common::Time now)
{
    ++this->lastNumber;
    this->askedAt = now;
    const json::object message{{kQuestion, this->lastNumber}};
    for (const Common::Address &target :
         Membership::heartbeatTargets(this->state.members, kTargets, this->state.random))
        this->datagrams.send(target, message);
}

void StoreContactQuestion::answer(const json::object &message, const Common::Address &sender)
{
    const auto run = this->ownRun();
    if (!run)
        return;
    const Common::Time now = clockNow();
    this->datagrams.send(sender,
                         {{kAnswer, numberOf(message, kQuestion)},
                          {"sinceMs", Common::toMilliseconds(now - run->since)},
                          {"lastMs", Common::toMilliseconds(now - run->last)}});
}

void StoreContactQuestion::readAnswer(const json::object &message)
{
    const std::uint64_t sinceMs = numberOf(message, "sinceMs");
    const std::uint64_t lastMs = numberOf(message, "lastMs");
    const bool isComplete = message.contains("sinceMs") && message.contains("lastMs");
    if (numberOf(message, kAnswer) != this->lastNumber || !isComplete || sinceMs > kMaxAgeMs
        || lastMs > sinceMs)
        return;
    // The answer was written between the question and now: the run is at least this long.
    this->answerHandler(
        {clockNow() - Common::Milliseconds(sinceMs), this->askedAt - Common::Milliseconds(lastMs)});
}

} // namespace Tanagerbay::Entry
