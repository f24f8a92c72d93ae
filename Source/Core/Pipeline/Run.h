// One run of a pipeline: identity of stage attempts, deadline budget, and handling of failed
// attempts.
#pragma once

#include "Common/Ids.h"
#include "Common/Time.h"
#include "Pipeline/Definition.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Tanagerbay::Pipeline {

// Identifies one attempt at one stage. The endpoint returns it with its reply.
struct AttemptTag
{
    std::string runId;
    std::uint32_t stage = 0;
    std::uint32_t attempt = 0;
    std::string nonce;

    bool operator==(const AttemptTag &) const = default;
};

// Returns the text form of a tag, which is sent in one header field.
std::string formatTag(const AttemptTag &tag);

enum class ReplyVerdict {
    Accept,
    // The returned tag is missing or malformed, or belongs to another run, or to a stage or attempt
    // that has not begun. The connection must be closed.
    Foreign,
    // The returned tag belongs to an attempt that was replaced by a later one or is closed.
    Superseded,
};

struct Run
{
    Common::RunId id;
    Common::Time startedAt;
    Common::Time deadline;
    std::uint32_t stageCount = 0;
    std::uint32_t stage = 0;
    std::uint32_t attempts = 0;
    // Attempts at the current stage whose reply may be used: one, or two while a hedged attempt is
    // pending.
    std::vector<AttemptTag> openAttempts;
};

// Begins an attempt at the current stage. Earlier attempts stay open only if `hedge` is true.
AttemptTag beginAttempt(Run &run, std::string nonce, bool hedge);

// Classifies a reply by the tag that the endpoint returned with it.
ReplyVerdict classifyReply(const Run &run, std::string_view returnedTag);

// Closes an attempt that failed.
void closeAttempt(Run &run, const AttemptTag &tag);

// Completes the current stage and advances to the next one. All attempts at the completed stage are
// closed; replies that arrive for them later are superseded.
void completeStage(Run &run);

// Returns the deadline of the current stage: the run's deadline less the time that the later stages
// are expected to take. If that is not in the future, returns the run's deadline, since giving up
// early has no benefit.
Common::Time stageDeadline(const Run &run, Common::Time now,
                           const std::vector<Common::Duration> &expectedByStage);

// Returns true if the run cannot meet its deadline even if every remaining stage takes only its
// fastest latency quantile.
bool cannotMeetDeadline(const Run &run, Common::Time now,
                        const std::vector<Common::Duration> &fastestByStage);

} // namespace Tanagerbay::Pipeline
