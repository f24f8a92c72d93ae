// Process-wide event counters and the table of their metric names.
#pragma once

#include "Common/EnumNames.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace Tanagerbay::Common {

enum class Counter {
    RequestsReceived,
    AnswersWhole,
    AnswersLate,
    RequestsRefused,
    RequestsFailed,
    CallersGone,
    StageAttempts,
    StageRetries,
    StageRetriesDenied,
    RepliesForeign,
    RepliesTruncated,
    StreamsContinued,
    StreamsCancelled,
    StreamsResumed,
    StreamsVersionUnavailable,
    StreamsVersionUnknown,
    CheckpointsUsed,
    TokensDelivered,
    OnceClaims,
    OnceReplayed,
    OnceConflicts,
    OnceUnresolved,
    OnceVoided,
    StoreCalls,
    StoreFailures,
    ListsApplied,
    ListsStaleIgnored,
    ListPollFailures,
    PeerMessagesSent,
    PeerBytesSent,
    PeerMessagesReceived,
    PeerBytesReceived,
    PeerMessagesBad,
    AllowanceBlocksGranted,
    AllowanceRefusals,
    RateRefusals,
    ConcurrencyRefusals,
    AdmissionQueued,
    AdmissionShed,
    Count,
};

template <>
struct EnumNames<Counter>
{
    static constexpr NameTable<Counter, static_cast<std::size_t>(Counter::Count)> table = {{
        {Counter::RequestsReceived, "requests_received"},
        {Counter::AnswersWhole, "answers_whole"},
        {Counter::AnswersLate, "answers_late"},
        {Counter::RequestsRefused, "requests_refused"},
        {Counter::RequestsFailed, "requests_failed"},
        {Counter::CallersGone, "callers_gone"},
        {Counter::StageAttempts, "stage_attempts"},
        {Counter::StageRetries, "stage_retries"},
        {Counter::StageRetriesDenied, "stage_retries_denied"},
        {Counter::RepliesForeign, "replies_foreign"},
        {Counter::RepliesTruncated, "replies_truncated"},
        {Counter::StreamsContinued, "streams_continued"},
        {Counter::StreamsCancelled, "streams_cancelled"},
        {Counter::StreamsResumed, "streams_resumed"},
        {Counter::StreamsVersionUnavailable, "streams_version_unavailable"},
        {Counter::StreamsVersionUnknown, "streams_version_unknown"},
        {Counter::CheckpointsUsed, "checkpoints_used"},
        {Counter::TokensDelivered, "tokens_delivered"},
        {Counter::OnceClaims, "once_claims"},
        {Counter::OnceReplayed, "once_replayed"},
        {Counter::OnceConflicts, "once_conflicts"},
        {Counter::OnceUnresolved, "once_unresolved"},
        {Counter::OnceVoided, "once_voided"},
        {Counter::StoreCalls, "store_calls"},
        {Counter::StoreFailures, "store_failures"},
        {Counter::ListsApplied, "lists_applied"},
        {Counter::ListsStaleIgnored, "lists_stale_ignored"},
        {Counter::ListPollFailures, "list_poll_failures"},
        {Counter::PeerMessagesSent, "peer_messages_sent"},
        {Counter::PeerBytesSent, "peer_bytes_sent"},
        {Counter::PeerMessagesReceived, "peer_messages_received"},
        {Counter::PeerBytesReceived, "peer_bytes_received"},
        {Counter::PeerMessagesBad, "peer_messages_bad"},
        {Counter::AllowanceBlocksGranted, "allowance_blocks_granted"},
        {Counter::AllowanceRefusals, "allowance_refusals"},
        {Counter::RateRefusals, "rate_refusals"},
        {Counter::ConcurrencyRefusals, "concurrency_refusals"},
        {Counter::AdmissionQueued, "admission_queued"},
        {Counter::AdmissionShed, "admission_shed"},
    }};
};

// A fixed set of atomic counters. Thread-safe.
class Counters
{
public:
    void add(Counter counter, std::uint64_t amount = 1)
    {
        this->values[static_cast<std::size_t>(counter)].fetch_add(amount,
                                                                  std::memory_order_relaxed);
    }
    std::uint64_t value(Counter counter) const
    {
        return this->values[static_cast<std::size_t>(counter)].load(std::memory_order_relaxed);
    }

private:
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Counter::Count)> values = {};
};

} // namespace Tanagerbay::Common
