#include "Pipeline/Run.h"

#include <algorithm>
#include <charconv>

namespace Tanagerbay::Pipeline {

namespace {

// Splits `text` at its last colon. Returns false if there is none.
bool splitLast(std::string_view &text, std::string_view &last)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    last = text.substr(colon + 1);
    text = text.substr(0, colon);
    return true;
}

bool parseNumber(std::string_view text, std::uint32_t &number)
{
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

// The run id comes first and may itself contain colons.
std::optional<AttemptTag> parseTag(std::string_view text)
{
    AttemptTag tag;
    std::string_view nonce;
    std::string_view attempt;
    std::string_view stage;
    if (!splitLast(text, nonce) || !splitLast(text, attempt) || !splitLast(text, stage))
        return std::nullopt;
    if (!parseNumber(attempt, tag.attempt) || !parseNumber(stage, tag.stage))
        return std::nullopt;
    tag.runId = std::string(text);
    tag.nonce = std::string(nonce);
    return tag;
}

Common::Duration sumFrom(const std::vector<Common::Duration> &durations, std::size_t first)
{
    Common::Duration total{0};
    for (std::size_t i = first; i < durations.size(); ++i)
        total += durations[i];
    return total;
}

} // namespace

std::string formatTag(const AttemptTag &tag)
{
    return tag.runId + ":" + std::to_string(tag.stage) + ":" + std::to_string(tag.attempt) + ":"
        + tag.nonce;
}

AttemptTag beginAttempt(Run &run, std::string nonce, bool hedge)
{
    if (!hedge)
        run.openAttempts.clear();
    AttemptTag tag{run.id.value, run.stage, run.attempts, std::move(nonce)};
    ++run.attempts;
    run.openAttempts.push_back(tag);
    return tag;
}

ReplyVerdict classifyReply(const Run &run, std::string_view returnedTag)
{
    const auto tag = parseTag(returnedTag);
    if (!tag || tag->runId != run.id.value)
        return ReplyVerdict::Foreign;
    if (std::find(run.openAttempts.begin(), run.openAttempts.end(), *tag) != run.openAttempts.end())
        return ReplyVerdict::Accept;
    if (tag->stage <= run.stage && tag->attempt < run.attempts)
        return ReplyVerdict::Superseded;
    return ReplyVerdict::Foreign;
}

void closeAttempt(Run &run, const AttemptTag &tag)
{
    std::erase(run.openAttempts, tag);
}

void completeStage(Run &run)
{
    run.openAttempts.clear();
    ++run.stage;
}

Common::Time stageDeadline(const Run &run, Common::Time now,
                           const std::vector<Common::Duration> &expectedByStage)
{
    const Common::Duration laterStages = sumFrom(expectedByStage, run.stage + 1);
    const Common::Time latestEnd = run.deadline - laterStages;
    return latestEnd > now ? latestEnd : run.deadline;
}

bool cannotMeetDeadline(const Run &run, Common::Time now,
                        const std::vector<Common::Duration> &fastestByStage)
{
    return now + sumFrom(fastestByStage, run.stage) > run.deadline;
}

} // namespace Tanagerbay::Pipeline
