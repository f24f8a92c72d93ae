#include "Entry/StoreContactQuestion.h"

#include "Entry/PeerMesh.h"

#include <algorithm>
#include <utility>

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

constexpr std::string_view kQuestion = "readings?";
constexpr std::string_view kAnswer = "readings";
// Some of those asked may have been cut off, too.
constexpr std::size_t kTargets = 6;
// Of a longer run, the last part is told.
constexpr Common::Milliseconds kMaxAge{3600 * 1000};

} // namespace

json::object answerTo(const json::object &question, const ReadingRun &run, Common::Time now)
{
    const auto ageOf = [now](Common::Time time) {
        return Common::toMilliseconds(std::min<Common::Duration>(now - time, kMaxAge));
    };
    return {{kAnswer, numberOf(question, kQuestion)},
            {"sinceMs", ageOf(run.since)},
            {"lastMs", ageOf(run.last)}};
}

std::optional<ReadingRun> readAnswer(const json::object &answer, std::uint64_t number,
                                     Common::Time askedAt, Common::Time now)
{
    const std::uint64_t sinceMs = numberOf(answer, "sinceMs");
    const std::uint64_t lastMs = numberOf(answer, "lastMs");
    const bool isComplete = answer.contains("sinceMs") && answer.contains("lastMs");
    const auto maxAgeMs = static_cast<std::uint64_t>(kMaxAge.count());
    if (numberOf(answer, kAnswer) != number || !isComplete || sinceMs > maxAgeMs
        || lastMs > sinceMs)
        return std::nullopt;
    return ReadingRun{now - Common::Milliseconds(sinceMs), askedAt - Common::Milliseconds(lastMs)};
}

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
                           this->noteAnswer(message);
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
    this->datagrams.send(sender, answerTo(message, *run, clockNow()));
}

void StoreContactQuestion::noteAnswer(const json::object &message)
{
    const auto run = readAnswer(message, this->lastNumber, this->askedAt, clockNow());
    if (run)
        this->answerHandler(*run);
}

} // namespace Tanagerbay::Entry
